"""Callers of the soak test, and checks of what they and replicas observed."""

import asyncio
import collections
import json
import random
import typing

import attrs

from standins import gateways
from standins import replica as replica_lib

BUDGET: typing.Final = 900
MAX_TOKENS: typing.Final = 60
TOKENS_PER_EVENT: typing.Final = 14
EVENTS: typing.Final = 4
DEADLINE_MS: typing.Final = 3_000
RESPONSE_TIMEOUT_S: typing.Final = 5.0
MAX_TURNS: typing.Final = 6
REFUSED: typing.Final = (402, 429, 503)
# Software of replicas that serve side by side; their streams do not fit.
VERSIONS: typing.Final = ('v1', 'v2')
CONFIG: typing.Final = {
    'Version': 1,
    'Routes': [
        {
            'Name': 'turns',
            'Host': 'desk.example',
            'PathPrefix': '/a/',
            'Kind': 'streaming',
            'TimeoutMs': DEADLINE_MS,
            'Service': 'guide',
            'Attempts': 1,
            'Retain': True,
        },
        {
            'Name': 'calls',
            'Host': 'desk.example',
            'PathPrefix': '/b/',
            'Kind': 'non_idempotent',
            'TimeoutMs': DEADLINE_MS,
            'Service': 'guide',
            'Attempts': 1,
        },
        {
            'Name': 'streams',
            'Host': 'desk.example',
            'PathPrefix': '/c/',
            'Kind': 'streaming',
            'TimeoutMs': DEADLINE_MS,
            'Service': 'reader',
            'Attempts': 3,
            'Resumable': True,
        },
    ],
    'Services': [
        {'Name': 'guide', 'Engine': {'Stride': TOKENS_PER_EVENT}},
        {'Name': 'reader', 'Engine': {'Stride': TOKENS_PER_EVENT}},
    ],
    'Tenants': [{'Name': 'ward', 'ApiKeys': ['k1'], 'RatePerS': 0}],
}


@attrs.frozen(kw_only=True)
class Response:
    """A response; status is 0 if none came.

    complete says that the body was received to its end, and keep_alive that
    the connection can be used again.
    """

    status: int = 0
    request_id: str = ''
    body: bytes = b''
    complete: bool = False
    keep_alive: bool = False


@attrs.define(kw_only=True)
class Observations:
    """What all callers have observed so far.

    history maps each completed turn's id to the conversation up to its end,
    as a replica must receive it.  expected maps each turn's id to the body
    that a replica must receive for it.  repeatable holds the requests that
    may run more than once.
    """

    statuses: dict[str, int] = attrs.field(factory=dict)
    counts: collections.Counter[int] = attrs.field(factory=collections.Counter)
    tokens: collections.Counter[str] = attrs.field(factory=collections.Counter)
    history: dict[str, bytes] = attrs.field(factory=dict)
    expected: dict[str, bytes] = attrs.field(factory=dict)
    repeatable: set[str] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)


def event_lines(version: str = '') -> list[bytes]:
    """Returns the data lines of a whole stream of one software version."""
    suffix = f' {version}' if version else ''
    return [f'data: e{n}{suffix}'.encode() for n in range(1, EVENTS + 1)]


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one response; it is not complete if it breaks off."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    fields = {
        line.split(': ')[0].lower(): line.split(': ')[1]
        for line in lines
        if ': ' in line
    }
    body, complete = b'', False
    try:
        if 'content-length' in fields:
            body = await reader.readexactly(int(fields['content-length']))
            complete = True
        while not complete:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            complete = size == 0
    except (asyncio.IncompleteReadError, ConnectionError):
        complete = False
    return Response(
        status=int(first.split(' ')[1]),
        request_id=fields.get('attempt-id', ''),
        body=body,
        complete=complete,
        keep_alive=complete
        and fields.get('connection', '').lower() != 'close',
    )


@attrs.define(kw_only=True)
class Caller:
    """A caller that reuses its connections until the peer closes them."""

    name: str
    instances: list[gateways.Instance]
    observations: Observations
    rng: random.Random
    connections: dict[
        str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ] = attrs.field(factory=dict)
    sent: int = 0

    async def send_request(self, head: str, body: bytes) -> Response:
        """Sends a request to a random instance; returns the response."""
        address = self.rng.choice(self.instances).address
        connection = self.connections.pop(address, None)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                if connection is None:
                    connection = await asyncio.open_connection(
                        address, gateways.FRONT_PORT
                    )
                connection[1].write(head.encode() + body)
                response = await read_response(connection[0])
        except (OSError, EOFError, TimeoutError):
            response = Response()
        if connection is not None and response.keep_alive:
            self.connections[address] = connection
        elif connection is not None:
            connection[1].close()
        return response

    def close(self) -> None:
        """Closes the connections that are still open."""
        for _, writer in self.connections.values():
            writer.close()

    def next_id(self) -> str:
        """Returns the id of a new request."""
        self.sent += 1
        return f'{self.name}.{self.sent}'

    def request_head(
        self, line: str, request_id: str, size: int, extra_headers: str
    ) -> str:
        """Returns a request's head, given its request line."""
        return (
            f'{line} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {request_id}\r\nCredential: k1\r\n'
            f'Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {size}\r\n'
            f'{extra_headers}\r\n'
        )

    async def send_turn(self, program: str, previous: str) -> str:
        """Sends one turn; returns its id if it completed, else ''."""
        request_id = self.next_id()
        body = f'in {request_id};'.encode()
        extra_headers = (
            f'Program-Id: {program}\r\nToken-Budget: {BUDGET}\r\n'
            f'Token-Count: 10,{MAX_TOKENS}\r\n'
        )
        if previous:
            extra_headers += f'Previous-Turn: {previous}\r\n'
        history = self.observations.history.get(previous, b'')
        self.observations.expected[request_id] = history + body
        response = await self.send_request(
            self.request_head(
                'POST /a/x', request_id, len(body), extra_headers
            ),
            body,
        )
        self.record(request_id, response)
        events = response.body.count(b'\n\n')
        self.observations.tokens[program] += events * TOKENS_PER_EVENT
        if response.status == 404 and previous:
            self.observations.violations.append(
                f'{request_id}: {previous} is unknown'
            )
        if response.status != 200 or not response.complete:
            return ''
        data_lines = [
            line
            for line in response.body.split(b'\n')
            if line.startswith(b'data')
        ]
        if data_lines != event_lines():
            self.observations.violations.append(
                f'{request_id}: events {data_lines!r}'
            )
        output = b''.join(f'e{n}\n'.encode() for n in range(1, EVENTS + 1))
        self.observations.history[request_id] = history + body + output
        return request_id

    async def send_call(self) -> None:
        """Sends one call that must not run twice."""
        request_id = self.next_id()
        self.record(
            request_id,
            await self.send_request(
                self.request_head('POST /b/x', request_id, 0, ''), b''
            ),
        )

    def record(self, request_id: str, response: Response) -> None:
        """Records a response and checks that it belongs to the request."""
        self.observations.statuses[request_id] = response.status
        self.observations.counts[response.status] += 1
        if response.status == 200 and response.request_id != request_id:
            self.observations.violations.append(
                f'{request_id}: got {response.request_id}'
            )

    async def run(self, until: float) -> None:
        """Runs programs until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            program = f'p{self.name}.{self.sent}'
            previous = ''
            for _ in range(self.rng.randrange(2, MAX_TURNS)):
                ended = await self.send_turn(program, previous)
                previous = ended or previous
                await self.send_call()
                # Refused callers back off.
                await asyncio.sleep(0.01 if ended else 0.1)


def find_violations(
    observations: Observations, replicas: list[replica_lib.Replica]
) -> list[str]:
    """Returns violated guarantees, as seen by callers and replicas."""
    violations = list(observations.violations)
    executions: collections.Counter[str] = collections.Counter()
    for replica in replicas:
        for request in replica.received:
            name = request.headers.get('attempt-id', '')
            executions[name] += 1
            if 'credential' in request.headers:
                violations.append(f'{name}: the key was forwarded')
            expected_body = observations.expected.get(name)
            if expected_body is not None and request.body != expected_body:
                violations.append(f'{name}: its conversation differs')
    for name, count in executions.items():
        if name in observations.repeatable:
            continue
        if count > 1:
            violations.append(f'{name}: ran {count} times')
        if observations.statuses.get(name) in REFUSED:
            violations.append(
                f'{name}: {observations.statuses[name]}, but it ran'
            )
    for program, tokens in observations.tokens.items():
        if tokens > BUDGET + MAX_TOKENS:
            violations.append(f'{program}: {tokens} tokens')
    return violations


def entry(
    port: int, service: str, version: str, data_centre: str = 'north'
) -> bytes:
    """Returns a replica's entry for the store."""
    return json.dumps(
        {
            'Service': service,
            'Address': f'127.0.0.1:{port}',
            'Zone': data_centre,
            'Version': version,
            'Slots': 64,
            'State': 'ready',
            'born': 1,
        }
    ).encode()
