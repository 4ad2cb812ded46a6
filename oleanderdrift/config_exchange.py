"""Exchanges configuration messages between this instance and its peers.

config_peers and key_trust make the decisions; this module sends and
receives, through functions that the daemon passes in.
"""

import asyncio
import collections.abc
import time
import typing

from oleanderdrift import codec
from oleanderdrift import config_feed
from oleanderdrift import config_peers
from oleanderdrift import errors
from oleanderdrift import key_trust
from oleanderdrift import logs
from oleanderdrift import messages
from oleanderdrift import model

RESPONSE_TIMEOUT_S: typing.Final = 1.5

RequestFunction: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message, float],
    collections.abc.Awaitable[messages.Message],
]
SendFunction: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], None
]
AddressSource: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Sequence[str]
]


async def run(
    feed: config_feed.ConfigFeed,
    request: RequestFunction,
    send: SendFunction,
    addresses: AddressSource,
) -> typing.NoReturn:
    """Queries peers at intervals, whenever that is needed.

    addresses returns the addresses of config_peers.neighbours.  The log
    is tried first: a fresh instance sends its first request only after
    one interval.  Returns only by cancellation.
    """
    while True:
        await asyncio.sleep(config_peers.REQUEST_INTERVAL_S)
        await query_peers(feed, request, send, addresses())


async def query_peers(
    feed: config_feed.ConfigFeed,
    request: RequestFunction,
    send: SendFunction,
    addresses: collections.abc.Sequence[str],
) -> None:
    """Sends a request to the neighbours, if one is needed.

    All get it at once, since any of them may have lost contact with the
    log too.  A fresh instance asks only one, chosen at random, since each
    would send its whole state.
    """
    requested_at = time.monotonic()
    message = config_peers.build_request(
        feed.reader, feed.trust, feed.last_contact, requested_at
    )
    if message is None or not addresses:
        return
    if message.next_offset == 0:
        addresses = [feed.random.choice(addresses)]
    responses = await asyncio.gather(
        *(_query_one(request, address, message) for address in addresses)
    )
    for response in responses:
        if response is not None:
            config_feed.apply_peer_response(feed, requested_at, response)
            merge_withdrawn(feed, response.withdrawn, send, addresses)


async def _query_one(
    request: RequestFunction, address: str, message: messages.ReadConfig
) -> config_peers.ConfigResponse | None:
    try:
        response = await request(address, message, RESPONSE_TIMEOUT_S)
    except (errors.ResultError, codec.CodecError) as error:
        logs.info('config-ask-failed', peer=address, detail=error)
        return None
    match response:
        case messages.ConfigRecords() | messages.ConfigState():
            return response
        case _:
            return None


def handle(
    feed: config_feed.ConfigFeed,
    message: messages.ReadConfig | messages.KeysWithdrawn,
    send: SendFunction,
    addresses: collections.abc.Sequence[str],
) -> messages.Message | None:
    """Returns the response to a peer's message, None if it needs none."""
    merge_withdrawn(feed, message.withdrawn, send, addresses)
    match message:
        case messages.ReadConfig():
            return config_peers.build_response(
                feed.reader,
                feed.trust,
                message,
                feed.last_contact,
                time.monotonic(),
            )
        case messages.KeysWithdrawn():
            return None


def withdraw(
    feed: config_feed.ConfigFeed,
    name: str,
    send: SendFunction,
    addresses: collections.abc.Sequence[str],
) -> model.ApiKey:
    """Withdraws a key directly, without the log, and notifies peers.

    Raises ResultError CONFIG_INVALID if there is no such key.
    """
    key = key_trust.withdraw_by_name(
        feed.trust, feed.config, name, time.monotonic()
    )
    _broadcast_withdrawn(feed, (key,), send, addresses)
    return key


def merge_withdrawn(
    feed: config_feed.ConfigFeed,
    digests: tuple[str, ...],
    send: SendFunction,
    addresses: collections.abc.Sequence[str],
) -> None:
    """Merges a peer's withdrawals and passes on those that are new."""
    new = key_trust.merge_withdrawn(
        feed.trust, feed.config, digests, time.monotonic(), feed.random
    )
    _broadcast_withdrawn(feed, new, send, addresses)


def _broadcast_withdrawn(
    feed: config_feed.ConfigFeed,
    keys: tuple[model.ApiKey, ...],
    send: SendFunction,
    addresses: collections.abc.Sequence[str],
) -> None:
    if not keys:
        return
    for key in keys:
        logs.info(
            'key-withdrawn-directly',
            key=key.name,
            client_account=key.client_account,
        )
        for listener in feed.withdrawal_listeners:
            listener(key)
    message = messages.KeysWithdrawn(
        withdrawn=tuple(key.sha256 for key in keys)
    )
    for address in addresses:
        send(address, message)
