"""What operators ask of an instance over HTTP, for when the log is away.

POST /v1/keys/NAME/withdraw takes a key away at once, here and at the
peers.  It needs the operator token, of which the settings hold a hash.
"""

import collections.abc
import hashlib
import hmac
import typing

import attrs
import msgspec
from tornado import web

from oleanderdrift import codes
from oleanderdrift import config_exchange
from oleanderdrift import config_feed
from oleanderdrift import errors
from oleanderdrift import http_in
from oleanderdrift import logs
from oleanderdrift import model

WITHDRAW_PATH: typing.Final = '/v1/keys/([^/]+)/withdraw'


@attrs.frozen(kw_only=True)
class Desk:
    """What operators' requests work on.

    withdraw withdraws a key directly and returns it; token_sha256 is the
    operator token's SHA-256 in hex, empty where nobody may ask.
    """

    withdraw: collections.abc.Callable[[str], model.ApiKey]
    token_sha256: str


@attrs.frozen(kw_only=True)
class Withdrawn:
    """The answer to a withdrawal."""

    key: str
    client_account: str


class WithdrawHandler(web.RequestHandler):
    """POST /v1/keys/NAME/withdraw."""

    desk: Desk

    def initialize(self, desk: Desk) -> None:
        """Receives what rules hands to the handler."""
        self.desk = desk

    def post(self, name: str) -> None:
        """Withdraws the key, or answers why not."""
        try:
            self.check_token()
            key = self.desk.withdraw(name)
        except errors.ResultError as error:
            logs.info('operator-refused', code=error.code.number, key=name)
            self.set_status(error.code.status)
            self.finish_json(http_in.error_body(error))
            return
        answer = Withdrawn(key=key.name, client_account=key.client_account)
        self.finish_json(msgspec.json.encode(answer))

    def check_token(self) -> None:
        """Raises ResultError OPERATOR_ONLY without the operator token."""
        header = self.request.headers.get('Authorization', '')
        scheme, _space, token = header.partition(' ')
        digest = hashlib.sha256(token.encode()).hexdigest()
        known = self.desk.token_sha256
        if (
            scheme.lower() != 'bearer'
            or not token
            or not hmac.compare_digest(digest, known)
        ):
            raise errors.ResultError(codes.OPERATOR_ONLY)

    def finish_json(self, body: bytes) -> None:
        """Ends the answer with a JSON body."""
        self.set_header('Content-Type', 'application/json')
        self.finish(body)


def rules(
    feed: config_feed.ConfigFeed,
    send: config_exchange.Send,
    addresses: config_exchange.Addresses,
    token_sha256: str,
) -> list[typing.Any]:
    """Returns the rules for web.Application.add_handlers('.*', ...)."""

    def withdraw(name: str) -> model.ApiKey:
        return config_exchange.withdraw(feed, name, send, addresses())

    desk = Desk(withdraw=withdraw, token_sha256=token_sha256)
    return [(WITHDRAW_PATH, WithdrawHandler, {'desk': desk})]
