"""Ids that callers choose and that are kept after their request.

They may be as long as a head, so a long one is known by its digest.
"""

import hashlib
import typing

MAX_ID_LENGTH: typing.Final = 64
DIGEST_BYTES: typing.Final = 16


def short_id(text: str) -> str:
    """Returns an id that is not long, the same for the same text."""
    if len(text) <= MAX_ID_LENGTH:
        return text
    data = text.encode('latin-1', 'replace')
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
