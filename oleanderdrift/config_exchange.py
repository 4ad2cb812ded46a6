"""Carries the configuration's peer messages for one instance.

config_peers and key_trust decide; this module asks and answers through
functions that the daemon gives it.
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

ANSWER_TIMEOUT_S: typing.Final = 1.5

Request: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message, float],
    collections.abc.Awaitable[messages.Message],
]
Send: typing.TypeAlias = collections.abc.Callable[
    [str, messages.Message], None
]
Addresses: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Sequence[str]
]


async def run(
    feed: config_feed.ConfigFeed,
    request: Request,
    send: Send,
    addresses: Addresses,
) -> typing.NoReturn:
    """Asks live peers for as long as there is need to.

    addresses gives those of config_peers.neighbours.  The log comes
    first: a fresh instance asks after one interval only.  Returns only
    by cancellation.
    """
    while True:
        await asyncio.sleep(config_peers.ASK_INTERVAL_S)
        await ask(feed, request, send, addresses())


async def ask(
    feed: config_feed.ConfigFeed,
    request: Request,
    send: Send,
    addresses: collections.abc.Sequence[str],
) -> None:
    """Asks the neighbours if there is need to.

    All at once, since any may be cut off as well; a fresh instance asks
    one drawn at random, since each would send the whole state.
    """
    asked = time.monotonic()
    question = config_peers.question(
        feed.reader, feed.trust, feed.last_contact, asked
    )
    if question is None or not addresses:
        return
    if question.next_offset == 0:
        addresses = [feed.random.choice(addresses)]
    answers = await asyncio.gather(
        *(_ask_one(request, address, question) for address in addresses)
    )
    for answer in answers:
        if answer is not None:
            config_feed.take_answer(feed, asked, answer)
            take_withdrawn(feed, answer.withdrawn, send, addresses)


async def _ask_one(
    request: Request, address: str, question: messages.ReadConfig
) -> config_peers.Answer | None:
    try:
        answer = await request(address, question, ANSWER_TIMEOUT_S)
    except (errors.ResultError, codec.CodecError) as error:
        logs.info('config-ask-failed', peer=address, detail=error)
        return None
    match answer:
        case messages.ConfigRecords() | messages.ConfigState():
            return answer
        case _:
            return None


def handle(
    feed: config_feed.ConfigFeed,
    message: messages.ReadConfig | messages.KeysWithdrawn,
    send: Send,
    addresses: collections.abc.Sequence[str],
) -> messages.Message | None:
    """Returns the answer to a peer's message, None where it wants none."""
    take_withdrawn(feed, message.withdrawn, send, addresses)
    match message:
        case messages.ReadConfig():
            return config_peers.answer(
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
    send: Send,
    addresses: collections.abc.Sequence[str],
) -> model.ApiKey:
    """Withdraws a key directly, without the log, and tells peers.

    Raises ResultError CONFIG_INVALID if there is no such key.
    """
    key = key_trust.withdraw_name(
        feed.trust, feed.config, name, time.monotonic()
    )
    _spread(feed, (key,), send, addresses)
    return key


def take_withdrawn(
    feed: config_feed.ConfigFeed,
    digests: tuple[str, ...],
    send: Send,
    addresses: collections.abc.Sequence[str],
) -> None:
    """Takes in withdrawals heard of, and passes on what is new."""
    new = key_trust.take_withdrawn(
        feed.trust, feed.config, digests, time.monotonic(), feed.random
    )
    _spread(feed, new, send, addresses)


def _spread(
    feed: config_feed.ConfigFeed,
    keys: tuple[model.ApiKey, ...],
    send: Send,
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
