"""Tells that a request has come again, whatever its id and instance."""

import hashlib
import typing

import attrs

from oleanderdrift.gateway import model

# Two different requests never have the same digest in practice.
DIGEST_BYTES: typing.Final = 8
# Tells fingerprints of targets, which are hexadecimal otherwise.
TARGET_PREFIX: typing.Final = 't'


@attrs.frozen(kw_only=True)
class Fingerprints:
    """Digests of a request; target leaves its body out.

    The body is the one that the caller sent, without the conversation that
    it continues.
    """

    request: str
    target: str


def fingerprints(request: model.Request, account: str) -> Fingerprints:
    """Returns the digests of a request's caller, method, target and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (account, request.method, request.host, request.target):
        data = part.encode()
        digest.update(len(data).to_bytes(4, 'big'))
        digest.update(data)
    target = TARGET_PREFIX + digest.hexdigest()
    digest.update(request.body)
    return Fingerprints(request=digest.hexdigest(), target=target)


def is_target(fingerprint: str) -> bool:
    """Returns whether a fingerprint is that of a target."""
    return fingerprint.startswith(TARGET_PREFIX)
