"""Invariant checks that are enabled in production.

A violation is counted by name and logged, and aborts the current action.
The instance itself keeps running.
"""

import collections

from absl import logging

from oleanderdrift import codes
from oleanderdrift import errors

BREACHES: collections.Counter[str] = collections.Counter()


def check(condition: bool, name: str, detail: str = '') -> None:
    """Raises ResultError(INVARIANT_BROKEN) if the condition is false."""
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
