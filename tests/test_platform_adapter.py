"""Decoding and encoding of the platform's names and formats."""

import json
import typing

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import identifiers
from oleanderdrift.gateway import model
from oleanderdrift.platform import codec
from oleanderdrift.platform import operator
from oleanderdrift.platform import settings
from tests import gateway_support

ENTRY: dict[str, typing.Any] = {
    'Service': 'guide',
    'Address': '10.0.0.1:80',
    'Zone': 'north',
    'Version': 'v1',
    'Slots': 6,
    'State': 'ready',
    'ColdLeftMs': 0,
    'Seq': 4,
    'born': 7,
}
CONFIG: dict[str, typing.Any] = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r',
            'Host': 'Desk.example',
            'PathPrefix': '/a/',
            'Kind': 'streaming',
            'TimeoutMs': 5000,
            'GoalMs': 200,
            'Priority': 1,
            'Split': [
                {'Service': 'guide', 'Weight': 90},
                {'Service': 'desk', 'Weight': 10},
            ],
            'Attempts': 1,
            'Retain': True,
            'RetainS': 60.0,
            'Resumable': False,
        }
    ],
    'Services': [
        {'Name': 'guide', 'MaxConns': 360, 'Engine': {'Stride': 14}},
        {'Name': 'desk', 'MaxConns': 96},
    ],
    'Tenants': [
        {'Name': 'ward', 'ApiKeys': ['k1', 'k2'], 'RatePerS': 5, 'Burst': 6}
    ],
}
SERVICES: list[dict[str, typing.Any]] = CONFIG['Services']
SETTINGS = """
Node = "n1"
Ip = "10.1.0.11"
Zone = "north"
PortRange = [7780, 7795]
Unknown = true
[Listen]
Front = "10.1.0.11:8368"
ReadyAddr = "10.1.0.11:8369"
[Limits]
MemoryMb = 180
LinkMbps = 22.5
[Bounds]
RevokeMs = 5000
[Platform]
Address = "10.200.1.7:8362"
parts = 12
"""


def test_configuration_is_decoded() -> None:
    config = operator.decode_configuration(json.dumps(CONFIG).encode())
    route = config.routes[0]
    assert config.version == 7
    assert route.host == 'desk.example'
    assert route.kind is model.RouteKind.STREAMING
    assert route.timeout_s == 5.0
    assert route.retains
    assert [one.weight for one in route.services] == [90, 10]
    assert config.services['guide'].tokens_per_event == 14
    assert config.services['guide'].is_engine
    assert not config.services['desk'].is_engine
    accounts = config.accounts_by_key
    assert accounts is not None
    assert accounts['k2'].rate_per_s == 5


def test_unknown_kind_must_not_be_repeated() -> None:
    result = operator.decode_configuration(
        json.dumps(CONFIG).replace('"streaming"', '"new"').encode()
    )
    assert result.routes[0].kind is model.RouteKind.NON_IDEMPOTENT


@pytest.mark.parametrize('value', [b'', b'{}', b'[]', b'{"Version": "x"}'])
def test_unreadable_configuration_has_a_code(value: bytes) -> None:
    with pytest.raises(errors.ResultError) as raised:
        operator.decode_configuration(value)
    assert raised.value.code is codes.CONFIG_INVALID


def test_entry_is_decoded() -> None:
    result = operator.decode_upstream_entry('u1', json.dumps(ENTRY).encode())
    assert result == gateway_support.entry(
        host='10.0.0.1', port=80, slots=6, born_ms=7
    )


@pytest.mark.parametrize(
    'change',
    [
        {'Service': None},
        {'Address': 5},
        {'Address': 'nowhere'},
        {'Address': ':80'},
        {'State': 'sleeping'},
        {'State': None},
        {'Slots': 'many'},
        {'born': 1.5},
    ],
)
def test_malformed_entry_names_no_upstream(
    change: dict[str, typing.Any],
) -> None:
    value = json.dumps({**ENTRY, **change}).encode()
    assert operator.decode_upstream_entry('u1', value) is None


@pytest.mark.parametrize('value', [b'', b'\xff\xfe', b'null', b'[1]'])
def test_unreadable_entry_names_no_upstream(value: bytes) -> None:
    assert operator.decode_upstream_entry('u1', value) is None


HEADERS = [
    ('Host', 'Desk.example'),
    ('Attempt-Id', 'q1'),
    ('Credential', 'k1'),
    ('Deadline-Ms', '1500'),
    ('Token-Count', '1460,80'),
    ('Token-Budget', '900'),
    ('Prompt-Prefix', '5c:800,91:410'),
    ('Program-Id', 'p'),
    ('Session-Id', 's'),
    ('Tenant', 'forged'),
    ('Kv-Hold', 'forged'),
    ('Connection', 'keep-alive, X-Hop'),
    ('X-Hop', '1'),
    ('X-End', '2'),
]


def decode_changed(**changes: str | None) -> model.Request:
    """Decodes a request with HEADERS, some changed or (None) removed."""
    by_name = dict(HEADERS)
    for name, value in changes.items():
        key = name.replace('_', '-')
        if value is None:
            del by_name[key]
        else:
            by_name[key] = value
    return codec.PlatformCodec().decode_request(
        'POST', '/a/b?c', list(by_name.items()), b'body', 10.0
    )


def test_request_is_decoded() -> None:
    result = decode_changed()
    assert result.request_id == 'q1'
    assert result.host == 'desk.example'
    assert result.key == 'k1'
    assert result.deadline == 11.5
    assert result.max_tokens == 80
    assert result.token_budget == 900
    assert [part.tokens for part in result.prompt] == [800, 410]


def test_long_ids_are_kept_as_short_ones() -> None:
    """Guards against ids of any length that stay after their request."""
    long = 'p' * 5_000
    most = identifiers.MAX_ID_LENGTH
    result = decode_changed(
        Attempt_Id=long,
        Program_Id=long,
        Session_Id='s' * most,
        Previous_Turn=long,
        Prompt_Prefix=f'{long}:3,{"q" * most}:4',
    )
    # What is sent on and sent back is what came.
    assert result.request_id == long
    assert ('Program-Id', long) in result.headers
    assert len(result.turn_id) <= most
    # A later turn names it by the same id.
    assert result.previous_turn == result.turn_id == result.program_id
    assert result.session_id == 's' * most
    first, second = (part.part_id for part in result.prompt)
    assert (first, second) == (result.turn_id, 'q' * most)
    other = decode_changed(Program_Id=long + 'p')
    assert other.program_id != result.program_id


def test_usual_ids_are_kept_as_they_are() -> None:
    result = decode_changed(Attempt_Id='q1', Previous_Turn='q0')
    assert (result.turn_id, result.previous_turn) == ('q1', 'q0')


def test_rest_of_a_prompt_with_very_many_parts_is_one() -> None:
    """Guards against prompts that take long to look up."""
    most = codec.MAX_PROMPT_PARTS
    entries = [f'p{n}:{n}' for n in range(3 * most)]
    odd = ['x', ':3', 'y:', 'z:+1', 'v:1:2']
    result = decode_changed(Prompt_Prefix=', '.join([*entries, *odd]))
    assert len(result.prompt) == most + 1
    assert result.prompt[most - 1].part_id == f'p{most - 1}'
    total = sum(part.tokens for part in result.prompt)
    assert total == sum(range(3 * most)) + 3 + 2
    same = decode_changed(Prompt_Prefix=','.join(entries[:most]))
    assert same.prompt == result.prompt[:most]


@pytest.mark.parametrize(
    ('text', 'finish_s'),
    [
        ('1500', 1.5),
        ('0', 0.0),
        *((text, None) for text in ('', 'x', '-1', 'nan', 'inf', '1e30')),
    ],
)
def test_time_left_is_decoded(text: str, finish_s: float | None) -> None:
    assert decode_changed(Finish_Ms=text).finish_s == finish_s


def test_callers_cannot_set_the_gateways_headers() -> None:
    result = decode_changed()
    sent = codec.PlatformCodec().upstream_headers(
        result, gateway_support.entry(), gateway_support.account(), 1.0, None
    )
    by_name = {name.lower(): value for name, value in sent}
    assert by_name['tenant'] == 'ward'
    assert by_name['expect-instance'] == 'u1'
    assert by_name['deadline-ms'] == '1000'
    assert by_name['x-end'] == '2'
    assert by_name['attempt-id'] == 'q1'
    assert not {'credential', 'kv-hold', 'connection', 'x-hop'} & set(by_name)


def test_callers_cannot_drop_identifying_headers() -> None:
    result = decode_changed(Connection='close, Host, Attempt-Id')
    names = {name.lower() for name, _ in result.headers}
    assert {'host', 'attempt-id'} <= names


@pytest.mark.parametrize(
    'changes',
    [
        {'Attempt_Id': None},
        {'Deadline_Ms': 'soon'},
        {'Deadline_Ms': 'nan'},
        {'Deadline_Ms': '-1'},
        {'Token_Budget': 'x'},
    ],
)
def test_bad_request_has_a_code(changes: dict[str, str | None]) -> None:
    with pytest.raises(errors.ResultError) as raised:
        decode_changed(**changes)
    assert raised.value.code is codes.BAD_REQUEST


@pytest.mark.parametrize(
    ('status', 'headers', 'not_run'),
    [
        (503, [('Not-Executed', '1')], True),
        (503, [], False),
        (421, [], True),
        (200, [('Response-Seal', 'x')], False),
    ],
)
def test_only_the_upstream_can_report_not_run(
    status: int, headers: list[tuple[str, str]], not_run: bool
) -> None:
    head = codec.PlatformCodec().decode_upstream_head(
        status, headers, is_framed=True
    )
    assert head.not_run is not_run


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        ('12.5', 12.5),
        (' 3 ', 3.0),
        ('0', 0.0),
        (None, None),
        ('', None),
        ('soon', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
    ],
)
def test_rate_limit_of_an_upstream_is_decoded(
    text: str | None, rate: float | None
) -> None:
    headers = [] if text is None else [('Server-Limit', text)]
    head = codec.PlatformCodec().decode_upstream_head(
        200, headers, is_framed=True
    )
    assert head.rate_limit_per_s == rate


@pytest.mark.parametrize(
    ('text', 'cold_s'),
    [('1500', 1.5), ('0', 0.0), ('', None), ('-1', None), ('1e300', None)],
)
def test_cold_time_of_an_upstream_is_decoded(
    text: str, cold_s: float | None
) -> None:
    head = codec.PlatformCodec().decode_upstream_head(
        200, [('Cold-Ms', text)], is_framed=True
    )
    assert head.cold_s == cold_s


def test_cold_starts_of_a_service_are_decoded() -> None:
    services = [{'Name': 'desk', 'ColdStartS': 8, 'ColdPerS': 6.5}, *SERVICES]
    config = operator.decode_configuration(
        json.dumps({**CONFIG, 'Services': services[:2]}).encode()
    )
    desk, guide = config.services['desk'], config.services['guide']
    assert (desk.cold_start_s, desk.cold_per_s) == (8.0, 6.5)
    assert (guide.cold_start_s, guide.cold_per_s) == (0.0, 0.0)


def test_settings_are_decoded() -> None:
    result = settings.decode(SETTINGS.encode())
    assert result.instance == 'n1'
    assert result.peer_listen == '10.1.0.11:7780'
    assert result.tunnel_listen == '10.1.0.11:7781'
    assert result.grant_listen == '10.1.0.11:7782'
    short = SETTINGS.replace('7795', '7781')
    assert settings.decode(short.encode()).grant_listen == ''
    assert result.store_partitions == 12
    assert result.key_grace_s == 4.5
    assert result.link_mbps == 22.5


@pytest.mark.parametrize(
    'text',
    ['', 'Node = 5', SETTINGS.replace('Zone', 'Area'), '\x00', 'a = ['],
)
def test_bad_settings_have_a_code(text: str) -> None:
    with pytest.raises(errors.ResultError) as raised:
        settings.decode(text.encode())
    assert raised.value.code is codes.SETTINGS_INVALID


@pytest.mark.parametrize(
    ('cookies', 'expected'),
    [
        ([], None),
        (['Affinity-Key=17'], '17'),
        (['a=b; Affinity-Key=17; c=d'], '17'),
        (['a=b;Affinity-Key = 17 ;c'], '17'),
        (['Affinity-Key="17"'], '17'),
        (['a=b', 'Affinity-Key=17'], '17'),
        (['Affinity-Key='], None),
        (['Affinity-Key'], None),
        (['Affinity-Key=' + 'x' * 129], None),
        (['=;;=a;"; Affinity-Key=17'], '17'),
        (['affinity-key=17'], None),
    ],
)
def test_affinity_cookie_is_read_and_forwarded(
    cookies: list[str], expected: str | None
) -> None:
    headers = [('Attempt-Id', 'q1')]
    headers += [('Cookie', value) for value in cookies]
    request = codec.PlatformCodec().decode_request('GET', '/', headers, b'', 0)
    assert request.affinity_key == expected
    sent = codec.PlatformCodec().upstream_headers(
        request, gateway_support.entry(), None, 1.0, None
    )
    assert [value for name, value in sent if name == 'Cookie'] == cookies
