"""What the proofs on a running fleet share: callers, waits and counts."""

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
PROBE_INTERVAL_S: typing.Final = 0.02
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
    """Every attempt at a dispatch, by idempotency key."""

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
        """Sends a dispatch; returns None where no answer came."""
        answer = None
        try:
            answer = client.use_tool(
                url,
                program,
                demo_config.DISPATCH_PATH,
                {'key': idempotency_key},
                idempotency_key,
                call,
            )
        except OSError:
            pass
        self.attempts[idempotency_key].append(answer)
        return answer

    def check(self, runs: collections.Counter[str]) -> None:
        """Asserts that each dispatch did what its answers said."""
        for key, answers in self.attempts.items():
            said = [answer.execution if answer else '' for answer in answers]
            assert runs[key] <= 1, (key, runs[key], answers)
            if 'ran' in said:
                assert runs[key] == 1, (key, answers)
            if set(said) == {'not-run'}:
                assert runs[key] == 0, (key, answers)
            for answer in answers:
                if answer is not None and answer.status == 200:
                    assert json.loads(answer.json['echo']) == {'key': key}


def wait_until(
    condition: typing.Callable[[], T | None], timeout_s: float
) -> T:
    """Returns the first true value of a condition, within the time."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, 'the time is over'
        time.sleep(PROBE_INTERVAL_S)


def new_key() -> str:
    """Returns a fresh idempotency key."""
    return uuid.uuid4().hex


def start_program(
    node: fleet_state.Node, account: str = 'ward', class_name: str = 'dispatch'
) -> client.Program:
    """Starts a program whose owner is the node."""
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
    """Repeats a model call until it is answered, and rightly."""
    last = client.Stream()
    key = new_key()

    def answered() -> bool:
        nonlocal last
        last = ask(node, program, question, idempotency_key=key)
        return last.finished

    try:
        wait_until(answered, timeout_s)
    except AssertionError:
        raise AssertionError(f'not answered: {last.error}') from None
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
    final = {
        codes.OK.number,
        codes.OUTCOME_UNKNOWN.number,
        codes.ALREADY_RAN.number,
    }

    def known() -> bool:
        answer = ledger.dispatch(node.url, program, key, call)
        return answer is not None and answer.code in final

    try:
        wait_until(known, TAKEOVER_BOUND_S)
    except AssertionError:
        last = ledger.attempts[key][-1]
        raise AssertionError(f'no final outcome: {last}') from None


def restart(running: fleet_state.Fleet, node: fleet_state.Node) -> None:
    """Starts an ended node anew."""
    fleet.start_node(running, node)
    processes.await_health(node.running, fleet.HEALTH_PATH)


def status(node: fleet_state.Node) -> typing.Any:
    """Returns a node's view of the fleet."""
    return client.send(
        'GET', f'{node.url}/v1/status', demo_config.OPERATOR_TOKEN
    ).json


def count_runs(running: fleet_state.Fleet) -> collections.Counter[str]:
    """Returns the runs of each dispatch at the tool stand-ins."""
    return demo_table.count_runs(running)


def log_records(
    running: fleet_state.Fleet, stream: str
) -> list[messages.Message]:
    """Returns every record of a stream, what wraps others opened."""
    url = f'{running.log.url}/v1/streams/{stream}/records?limit={READ_LIMIT}'
    with urllib.request.urlopen(url) as answer:
        body = msgspec.msgpack.decode(answer.read())
    assert body['next'] <= READ_LIMIT
    return [
        message
        for record in body['records']
        for message in opened(record['data'])
    ]


def opened(data: bytes) -> list[messages.Message]:
    """Returns the records in a record."""
    message = codec.decode(data)
    match message:
        case messages.Batch() | messages.ShardRecords():
            return [one for part in message.records for one in opened(part)]
        case _:
            return [message]


def finished_calls(
    running: fleet_state.Fleet, program: client.Program
) -> list[messages.CallFinished]:
    """Returns the ends of a program's calls that the log holds."""
    return [
        message
        for place in running.plan.data_centres
        for message in log_records(running, f'programs.{place}')
        if isinstance(message, messages.CallFinished)
        and message.program == program.program_id
        and message.execution is codes.Execution.RAN
    ]


def recorded_messages(
    running: fleet_state.Fleet, program: client.Program
) -> list[dict[str, str]]:
    """Returns a program's history as the log has it."""
    calls = {
        call.call: call.history for call in finished_calls(running, program)
    }
    return [
        message
        for call in sorted(calls)
        if calls[call]
        for message in json.loads(calls[call])
    ]


def check_history(running: fleet_state.Fleet, program: client.Program) -> None:
    """Asserts that the log holds the program's whole history, once."""
    check_history_begins(running, program)
    assert recorded_messages(running, program) == program.messages


def check_history_begins(
    running: fleet_state.Fleet, program: client.Program
) -> None:
    """Asserts that the log's history begins with the caller's."""
    known = len(program.messages)

    def recorded() -> bool:
        return len(recorded_messages(running, program)) >= known

    if known:
        wait_until(recorded, RECORD_BOUND_S)
    found = recorded_messages(running, program)[:known]
    assert found == program.messages, program.program_id


def key_table(name: str, account: str, secret: str) -> str:
    """Returns a key as a table of a configuration file."""
    digest = demo_config.sha256(secret)
    return f'[key.{name}]\nclient_account = "{account}"\nsha256 = "{digest}"\n'


def accepts_key(node: fleet_state.Node, secret: str) -> bool:
    """Returns whether a node takes a request with the key."""
    body = b'{"class_name": "alert"}'
    answer = client.send('POST', f'{node.url}/v1/programs', secret, body)
    return answer.status == 201


def is_taken(node: fleet_state.Node, secret: str, wanted: bool) -> bool:
    """Returns whether a key works on a node as wanted."""
    return accepts_key(node, secret) is wanted


def await_key_state(
    nodes: typing.Iterable[fleet_state.Node], secret: str, wanted: bool
) -> float:
    """Waits until a key works, or does not, on all nodes; returns how long."""
    begun = time.monotonic()
    for node in nodes:
        wait_until(
            functools.partial(is_taken, node, secret, wanted),
            CONFIG_BOUND_S - (time.monotonic() - begun),
        )
    return time.monotonic() - begun


def await_offset(running: fleet_state.Fleet, offset: int) -> None:
    """Waits until a change is in force at every node."""
    for node in running.nodes.values():
        wait_until(functools.partial(has_offset, node, offset), CONFIG_BOUND_S)


def has_offset(node: fleet_state.Node, offset: int) -> bool:
    """Returns whether a node has folded the configuration so far."""
    found: int = status(node)['config_offset']
    return found >= offset
