"""Checks of invariants that stay on while the product runs.

A breach is counted by name, logged, and stops the action that would
have gone on with it.  The instance itself goes on.
"""

import collections

from absl import logging

from oleanderdrift import codes
from oleanderdrift import errors

BREACHES: collections.Counter[str] = collections.Counter()


def check(condition: bool, name: str, detail: str = '') -> None:
    """Raises INVARIANT_BROKEN where the condition does not hold."""
    if condition:
        return
    BREACHES[name] += 1
    logging.error(
        'event=invariant_broken code=%d invariant=%s detail=%r',
        codes.INVARIANT_BROKEN.number,
        name,
        detail,
    )
    raise errors.ResultError(codes.INVARIANT_BROKEN, f'{name}: {detail}')
