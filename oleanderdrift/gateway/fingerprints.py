"""Tells that a request has come again, whatever its id and instance."""

import hashlib
import typing

from oleanderdrift.gateway import model

# Two different requests never have the same digest in practice.
DIGEST_BYTES: typing.Final = 8


def fingerprint(request: model.Request, account: str) -> str:
    """Returns a digest of a request's caller, method, target and body.

    The body is the one that the caller sent, without the conversation that
    it continues.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (account, request.method, request.host, request.target):
        data = part.encode()
        digest.update(len(data).to_bytes(4, 'big'))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()
