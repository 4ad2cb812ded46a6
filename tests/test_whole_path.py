"""End-to-end tests: the openai client and a fleet of real processes."""

import collections.abc
import json
import time
import typing
import urllib.error
import urllib.request

import openai
from openai.types import chat as chat_types
import pytest

from standins import fleet
from standins import fleet_config
from standins import fleet_state
from standins import processes

CONFIG = """
[account.escola]
rate_per_s = 100.0
burst = 200
[account.ponte]
rate_per_s = 100.0
burst = 200
[class.planning]
target_s = 60.0
[model.guide]
[tool.desk]
idempotent = false
[tool.sheet]
idempotent = true
[route.desk]
prefix = "/desk"
tool = "desk"
[route.sheet]
prefix = "/sheet"
tool = "sheet"
open_to_all = true
"""


def config_text(running: fleet_state.Fleet) -> str:
    """Returns the configuration, with the fleet's upstreams."""
    return CONFIG + fleet_config.upstream_tables(
        running, 'guide', ['desk', 'sheet']
    )


@pytest.fixture(scope='module')
def running() -> collections.abc.Iterator[fleet_state.Fleet]:
    """Runs a small fleet: one instance in each of three data centres."""
    plan = fleet_state.Plan(instances_each=1)
    with fleet.running(plan, config_text) as started:
        yield started


@pytest.fixture(scope='module')
def keys(running: fleet_state.Fleet) -> dict[str, str]:
    """Issues a key per client account, in force at every instance."""
    issued = {}
    for account in ('escola', 'ponte'):
        results = fleet_config.run_accepted_command(
            running, 'key', 'issue', account
        )
        issued[account] = results[0]['key']
    offset = results[0]['offset']
    for node in running.nodes.values():
        while status(node.url)['config_offset'] < offset:
            pass
    return issued


def status(url: str) -> typing.Any:
    """Returns an instance's status."""
    with urllib.request.urlopen(f'{url}/v1/status') as response:
        return json.load(response)


def request(
    url: str, key: str, body: bytes = b'{}', **headers: str
) -> tuple[int, dict[str, str], typing.Any]:
    """Posts JSON; returns status, headers and the decoded JSON response."""
    http_headers = {
        name.replace('_', '-'): value for name, value in headers.items()
    }
    if key:
        http_headers['Authorization'] = f'Bearer {key}'
    http_request = urllib.request.Request(url, data=body, headers=http_headers)
    try:
        with urllib.request.urlopen(http_request) as response:
            return response.status, dict(response.headers), json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), json.load(error)


def chat(
    url: str, key: str, program: str, messages: list[typing.Any]
) -> tuple[str, str]:
    """Makes a streamed model call; returns the program id and the text."""
    client = openai.OpenAI(api_key=key, base_url=f'{url}/v1', max_retries=0)
    headers = {'Oleander-Program': program, 'Oleander-Class': 'planning'}
    raw = client.chat.completions.with_raw_response.create(
        model='guide',
        messages=messages,
        stream=True,
        max_tokens=8,
        extra_headers=headers,
    )
    text = ''.join(
        chunk.choices[0].delta.content or ''
        for chunk in raw.parse()
        if chunk.choices
    )
    return raw.headers['Oleander-Program'], text


def test_program_over_three_instances(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    urls = [node.url for node in running.nodes.values()]
    program = 'new'
    messages: list[typing.Any] = []
    for url in urls:
        messages.append({'role': 'user', 'content': f'ask {url}'})
        program, text = chat(url, keys['escola'], program, messages)
        assert text
        messages.append({'role': 'assistant', 'content': text})
    http_status, headers, _body = request(
        f'{urls[0]}/desk/page',
        keys['escola'],
        Oleander_Program=program,
        Idempotency_Key='publish',
    )
    assert (http_status, headers['Oleander-Call']) == (200, '4')


def test_repeat_of_a_non_idempotent_call_runs_once(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    urls = [node.url for node in running.nodes.values()]
    _status, _headers, started = request(
        f'{urls[0]}/v1/programs', keys['escola'], b'{"class_name":"planning"}'
    )
    runs = [
        request(
            f'{url}/desk/once',
            keys['escola'],
            Oleander_Program=started['program'],
            Idempotency_Key='k',
        )[2]['run']
        for url in urls
    ]
    assert runs == [1, 1, 1]


def test_no_upstream_sees_a_key(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    url = next(iter(running.nodes.values())).url
    chat(url, keys['escola'], 'new', [{'role': 'user', 'content': 'x'}])
    for process in running.of_kind('engine') + running.of_kind('tool'):
        with urllib.request.urlopen(f'{process.url}/control') as response:
            received = response.read().decode()
        assert keys['escola'] not in received


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'key', 'code'),
    [
        ('/desk/x', {}, b'{}', 'wrong', 2001),
        ('/desk/x', {}, b'{}', '', 2000),
        ('/desk/x', {}, b'{}', 'escola', 4000),
        ('/nowhere', {}, b'{}', 'escola', 1005),
        ('/v1/programs', {}, b'{"class_name":"none"}', 'escola', 1004),
        ('/v1/programs', {}, b'{', 'escola', 1002),
        ('/v1/chat/completions', {}, b'{"model":1}', 'escola', 1002),
        (
            '/v1/chat/completions',
            {},
            b'{"model":"no","messages":[{"role":"user"}]}',
            'escola',
            1003,
        ),
        ('/desk/x', {'Oleander_Call': 'x'}, b'{}', 'escola', 4000),
        ('/desk/x?k=KEY', {}, b'{}', 'escola', 1008),
        ('/desk/x', {}, b'"KEY"', 'escola', 1008),
        ('/desk/x', {'Oleander_Program': 'a.1'}, b'{}', 'escola', 4010),
        (
            '/v1/chat/completions',
            {'Oleander_Program': 'a.1'},
            b'{"model":"guide","messages":[{"role":"user"}]}',
            'escola',
            4008,
        ),
    ],
)
def test_refusals_have_codes(
    running: fleet_state.Fleet,
    keys: dict[str, str],
    path: str,
    headers: dict[str, str],
    body: bytes,
    key: str,
    code: int,
) -> None:
    url = next(iter(running.nodes.values())).url
    secret = keys.get(key, key)
    _status, response_headers, response = request(
        url + path.replace('KEY', secret),
        secret,
        body.replace(b'KEY', secret.encode()),
        **headers,
    )
    assert response['error']['code'] == code
    execution = 'unknown' if code == 4010 else 'not-run'
    assert response_headers['Oleander-Execution'] == execution


def test_another_accounts_program_is_unknown(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    url = next(iter(running.nodes.values())).url
    _status, _headers, started = request(
        f'{url}/v1/programs', keys['escola'], b'{"class_name":"planning"}'
    )
    _status, _headers, response = request(
        f'{url}/desk/x', keys['ponte'], Oleander_Program=started['program']
    )
    assert response['error']['code'] == 4001


def test_open_route_needs_no_key(running: fleet_state.Fleet) -> None:
    url = next(iter(running.nodes.values())).url
    http_status, _headers, response = request(f'{url}/sheet/read', '')
    assert (http_status, response['path']) == (200, '/sheet/read')


def open_stream(
    url: str, key: str, content: str, max_tokens: int
) -> openai.Stream[chat_types.ChatCompletionChunk]:
    """Starts a program with a streamed model call; returns the open stream."""
    client = openai.OpenAI(api_key=key, base_url=f'{url}/v1', max_retries=0)
    return client.chat.completions.create(
        model='guide',
        messages=[{'role': 'user', 'content': content}],
        stream=True,
        max_tokens=max_tokens,
        extra_headers={
            'Oleander-Program': 'new',
            'Oleander-Class': 'planning',
        },
    )


def test_withdrawn_key_ends_an_open_stream(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    issued = fleet_config.run_accepted_command(
        running, 'key', 'issue', 'escola'
    )[0]
    node = next(iter(running.nodes.values()))
    while status(node.url)['config_offset'] < issued['offset']:
        pass
    stream = open_stream(node.url, issued['key'], 'long', 100_000)
    next(iter(stream))
    fleet_config.run_accepted_command(
        running, 'key', 'withdraw', issued['name']
    )
    with pytest.raises(openai.APIError, match='withdrawn'):
        for _chunk in stream:
            pass


def get_json(url: str) -> typing.Any:
    """Returns the decoded JSON response of a GET."""
    with urllib.request.urlopen(url) as response:
        return json.load(response)


def held_programs(running: fleet_state.Fleet) -> set[str]:
    """Returns the programs with cache blocks at any engine."""
    return {
        program
        for process in running.of_kind('engine')
        for program in get_json(f'{process.url}/v1/load')['held']
    }


def test_ended_program_is_let_go_by_engines(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    node = next(iter(running.nodes.values()))
    messages = [{'role': 'user', 'content': 'long enough to be cached ' * 40}]
    program, _text = chat(node.url, keys['escola'], 'new', messages)
    assert program in held_programs(running)
    end_request = urllib.request.Request(
        f'{node.url}/v1/programs/{program}',
        method='DELETE',
        headers={'Authorization': f'Bearer {keys["escola"]}'},
    )
    with urllib.request.urlopen(end_request) as response:
        assert response.status == 204
    deadline = time.monotonic() + 5.0
    while program in held_programs(running):
        assert time.monotonic() < deadline


def runs_by_tool(running: fleet_state.Fleet) -> dict[str, int]:
    """Returns the number of runs at each tool stand-in."""
    return {
        process.name: processes.report(process)['total']
        for process in running.of_kind('tool')
    }


def busiest_tool(running: fleet_state.Fleet, urls: list[str]) -> str:
    """Sends 30 requests; returns the name of the tool that got the most."""
    before = runs_by_tool(running)
    for number in range(30):
        assert request(f'{urls[number % 3]}/sheet/x', '')[0] == 200
    after = runs_by_tool(running)
    return max(after, key=lambda name: after[name] - before[name])


def test_leaving_upstream_gets_no_new_work(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    urls = [node.url for node in running.nodes.values()]
    leaving = busiest_tool(running, urls)
    tables = fleet_config.upstream_tables(running, 'guide', ['desk', 'sheet'])
    tables = tables.replace(
        f'[upstream.{leaving}]\n', f'[upstream.{leaving}]\nleaving = true\n'
    )
    changes = fleet_config.publish(running, CONFIG + tables)
    offset = max(change['offset'] for change in changes)
    deadline = time.monotonic() + 9.0
    while min(status(url)['config_offset'] for url in urls) < offset:
        assert time.monotonic() < deadline
    before = runs_by_tool(running)[leaving]
    assert busiest_tool(running, urls) != leaving
    assert runs_by_tool(running)[leaving] == before


def test_graceful_shutdown_cuts_no_stream(
    running: fleet_state.Fleet, keys: dict[str, str]
) -> None:
    node = list(running.nodes.values())[-1]
    stream = open_stream(node.url, keys['escola'], 'last words', 60)
    chunks = iter(stream)
    first = next(chunks)
    node.running.child.terminate()
    pieces = [
        chunk.choices[0].delta.content for chunk in chunks if chunk.choices
    ]
    assert first.choices and len([piece for piece in pieces if piece]) == 59
    assert node.running.child.wait(timeout=30) == 0
