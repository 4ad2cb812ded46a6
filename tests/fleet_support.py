"""Helpers of the tests on a running fleet: calls, waits and checks."""

import collections
import functools
import json
import time
import typing
import urllib.request
import uuid

import attrs
import msgspec

from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import messages
from standins import client
from standins import demo_config
from standins import demo_table
from standins import fleet
from standins import fleet_state
from standins import processes

CONFIG_BOUND_S: typing.Final = 9.0
LEASE_S: typing.Final = 2.0
TAKEOVER_BOUND_S: typing.Final = 12.0
POLL_INTERVAL_S: typing.Final = 0.02
RECORD_BOUND_S: typing.Final = 5.0
READ_LIMIT: typing.Final = 10_000
PLAN: typing.Final = fleet_state.Plan(
    settings={
        'platform': {'timeout_s': 1.0, 'list_interval_s': 0.2},
        'limits': {'upstream_silence_s': 8.0, 'shutdown_s': 5.0},
        'fleet': {'lease_s': LEASE_S, 'peer_timeout_s': 1.0},
    },
    operator_token_sha256=demo_config.sha256(demo_config.OPERATOR_TOKEN),
)

T = typing.TypeVar('T')


@attrs.define(kw_only=True)
class DispatchLedger:
    """The responses to every attempt at a dispatch, by idempotency key.

    None stands for an attempt without a response.
    """

    attempts: dict[str, list[client.Reply | None]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def dispatch(
        self,
        url: str,
        program: client.Program,
        idempotency_key: str,
        call: int = 0,
    ) -> client.Reply | None:
        """Sends a dispatch; returns None if there is no response."""
        reply = None
        try:
            reply = client.use_tool(
                url,
                program,
                demo_config.DISPATCH_PATH,
                {'key': idempotency_key},
                idempotency_key,
                call,
            )
        except OSError:
            pass
        self.attempts[idempotency_key].append(reply)
        return reply

    def check(self, runs: collections.Counter[str]) -> None:
        """Asserts that the runs of each dispatch agree with its responses."""
        for key, replies in self.attempts.items():
            executions = [
                reply.execution if reply else '' for reply in replies
            ]
            assert runs[key] <= 1, (key, runs[key], replies)
            if 'ran' in executions:
                assert runs[key] == 1, (key, replies)
            if set(executions) == {'not-run'}:
                assert runs[key] == 0, (key, replies)
            for reply in replies:
                if reply is not None and reply.status == 200:
                    assert json.loads(reply.json['echo']) == {'key': key}


def wait_until(
    condition: typing.Callable[[], T | None], timeout_s: float
) -> T:
    """Polls a condition until it returns a true value; returns that value.

    Raises AssertionError once the time-out has passed.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, (
            'condition not met before the time-out'
        )
        time.sleep(POLL_INTERVAL_S)


def new_key() -> str:
    """Returns a new idempotency key."""
    return uuid.uuid4().hex


def start_program(
    node: fleet_state.Node, account: str = 'ward', class_name: str = 'dispatch'
) -> client.Program:
    """Starts a program at a node, which becomes its owner."""
    return client.start_program(
        node.url, demo_config.caller_key(account), class_name
    )


def ask(
    node: fleet_state.Node,
    program: client.Program,
    question: str,
    tokens: int = 8,
    on_token: typing.Callable[[str], None] = lambda token: None,
    idempotency_key: str = '',
) -> client.Stream:
    """Makes a model call through a node."""
    return client.ask(
        node.url,
        program,
        question,
        demo_config.MODEL,
        tokens,
        on_token,
        idempotency_key,
    )


def ask_until_answered(
    node: fleet_state.Node,
    program: client.Program,
    question: str,
    timeout_s: float = TAKEOVER_BOUND_S,
) -> client.Stream:
    """Repeats a model call until it completes; asserts a correct answer."""
    last = client.Stream()
    key = new_key()

    def is_answered() -> bool:
        nonlocal last
        last = ask(node, program, question, idempotency_key=key)
        return last.finished

    try:
        wait_until(is_answered, timeout_s)
    except AssertionError:
        raise AssertionError(
            f'model call not completed: {last.error}'
        ) from None
    assert client.is_correct_answer(last, question, 8), last
    return last


def retry_until_final(
    ledger: DispatchLedger,
    node: fleet_state.Node,
    program: client.Program,
    key: str,
    call: int,
) -> None:
    """Repeats a dispatch until its outcome is final."""
    final_codes = {
        codes.OK.number,
        codes.OUTCOME_UNKNOWN.number,
        codes.ALREADY_RAN.number,
    }

    def is_final() -> bool:
        reply = ledger.dispatch(node.url, program, key, call)
        return reply is not None and reply.code in final_codes

    try:
        wait_until(is_final, TAKEOVER_BOUND_S)
    except AssertionError:
        last = ledger.attempts[key][-1]
        raise AssertionError(
            f'dispatch has no final outcome: {last}'
        ) from None


def restart(running: fleet_state.Fleet, node: fleet_state.Node) -> None:
    """Restarts a stopped node and waits until it is healthy."""
    fleet.start_node(running, node)
    processes.await_health(node.running, fleet.HEALTH_PATH)


def status(node: fleet_state.Node) -> typing.Any:
    """Returns a node's status, which includes its view of the fleet."""
    return client.send(
        'GET', f'{node.url}/v1/status', demo_config.OPERATOR_TOKEN
    ).json


def count_runs(running: fleet_state.Fleet) -> collections.Counter[str]:
    """Returns how often each dispatch ran, over all tool stand-ins."""
    return demo_table.count_runs(running)


def log_records(
    running: fleet_state.Fleet, stream: str
) -> list[messages.Message]:
    """Returns every record of a stream, with batches unpacked."""
    url = f'{running.log.url}/v1/streams/{stream}/records?limit={READ_LIMIT}'
    with urllib.request.urlopen(url) as response:
        body = msgspec.msgpack.decode(response.read())
    assert body['next'] <= READ_LIMIT
    return [
        message
        for record in body['records']
        for message in unpack(record['data'])
    ]


def unpack(data: bytes) -> list[messages.Message]:
    """Decodes a record and unpacks batches, nested ones too."""
    message = codec.decode(data)
    match message:
        case messages.Batch() | messages.ShardRecords():
            return [
                inner for record in message.records for inner in unpack(record)
            ]
        case _:
            return [message]


def finished_calls(
    running: fleet_state.Fleet, program: client.Program
) -> list[messages.CallFinished]:
    """Returns the CallFinished records of a program's calls that ran."""
    return [
        message
        for data_centre in running.plan.data_centres
        for message in log_records(running, f'programs.{data_centre}')
        if isinstance(message, messages.CallFinished)
        and message.program == program.program_id
        and message.execution is codes.Execution.RAN
    ]


def recorded_messages(
    running: fleet_state.Fleet, program: client.Program
) -> list[dict[str, str]]:
    """Returns a program's history as recorded in the log."""
    histories = {
        call.call: call.history for call in finished_calls(running, program)
    }
    return [
        message
        for call in sorted(histories)
        if histories[call]
        for message in json.loads(histories[call])
    ]


def check_history(running: fleet_state.Fleet, program: client.Program) -> None:
    """Asserts that the log's history equals the caller's history."""
    check_history_prefix(running, program)
    assert recorded_messages(running, program) == program.messages


def check_history_prefix(
    running: fleet_state.Fleet, program: client.Program
) -> None:
    """Asserts that the log's history starts with the caller's history.

    The log may hold more: calls whose answers did not reach the caller.
    """
    length = len(program.messages)

    def is_recorded() -> bool:
        return len(recorded_messages(running, program)) >= length

    if length:
        wait_until(is_recorded, RECORD_BOUND_S)
    recorded = recorded_messages(running, program)[:length]
    assert recorded == program.messages, program.program_id


def key_table(name: str, account: str, secret: str) -> str:
    """Returns the configuration table of an API key."""
    digest = demo_config.sha256(secret)
    return f'[key.{name}]\nclient_account = "{account}"\nsha256 = "{digest}"\n'


def accepts_key(node: fleet_state.Node, secret: str) -> bool:
    """Returns whether a node accepts a request with the key."""
    body = b'{"class_name": "alert"}'
    reply = client.send('POST', f'{node.url}/v1/programs', secret, body)
    return reply.status == 201


def has_key_state(node: fleet_state.Node, secret: str, accepted: bool) -> bool:
    """Returns whether a node accepts (or refuses) a key as expected."""
    return accepts_key(node, secret) is accepted


def await_key_state(
    nodes: typing.Iterable[fleet_state.Node], secret: str, accepted: bool
) -> float:
    """Waits until all nodes accept (or refuse) a key; returns the seconds.

    The time limit is for all nodes together.
    """
    started = time.monotonic()
    for node in nodes:
        wait_until(
            functools.partial(has_key_state, node, secret, accepted),
            CONFIG_BOUND_S - (time.monotonic() - started),
        )
    return time.monotonic() - started


def await_offset(running: fleet_state.Fleet, offset: int) -> None:
    """Waits until every node has applied the change at a log offset."""
    for node in running.nodes.values():
        wait_until(functools.partial(has_offset, node, offset), CONFIG_BOUND_S)


def has_offset(node: fleet_state.Node, offset: int) -> bool:
    """Returns whether a node has applied the configuration up to an offset."""
    applied: int = status(node)['config_offset']
    return applied >= offset
