"""Tests of the stand-ins: protocols, and that each fault shows."""

import asyncio
import json
import typing

import msgspec
import pytest
import tornado.httpclient

from standins import batching
from standins import engine
from standins import instances
from standins import log
from standins import relay
from standins import serving
from standins import tool


class Service:
    """A stand-in served in this process, and a client of it."""

    def __init__(self, application: serving.Application) -> None:
        self.server, port = serving.listen(application, '127.0.0.1', 0)
        self.url = f'http://127.0.0.1:{port}'
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        **options: typing.Any,
    ) -> tornado.httpclient.HTTPResponse:
        """Sends a request; a body other than bytes goes as JSON.

        A lost connection shows as code 599.
        """
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        request = tornado.httpclient.HTTPRequest(
            self.url + path, method, body=body, **options
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except tornado.httpclient.HTTPClientError as error:
            return tornado.httpclient.HTTPResponse(request, error.code)

    async def json(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Sends a request; returns the answer's JSON."""
        return json.loads((await self.call(method, path, body)).body)

    async def read(self, query: str) -> typing.Any:
        """Reads the stream s of a log."""
        answer = await self.call('GET', f'/v1/streams/s/records?{query}')
        return msgspec.msgpack.decode(answer.body)


def test_log_appends_reads_and_trims() -> None:
    async def body() -> None:
        service = Service(log.make_app(log.LogSwitches(retention=2)))
        path = '/v1/streams/s/records'
        offsets = [
            (await service.json('POST', path, data))['offset']
            for data in (b'a', b'b', b'c')
        ]
        assert offsets == [1, 2, 3]
        answer = await service.read('from=1&limit=10')
        assert (answer['first'], answer['next']) == (2, 4)
        assert [one['data'] for one in answer['records']] == [b'b', b'c']
        reader = asyncio.ensure_future(service.read('from=4&wait_ms=9000'))
        while (await service.json('GET', '/control'))['reads'] < 2:
            await asyncio.sleep(0)
        await service.call('POST', path, b'd')
        assert (await reader)['records'][0]['offset'] == 4

    asyncio.run(body())


def test_log_loses_answers_after_the_effect() -> None:
    async def body() -> None:
        service = Service(log.make_app())
        await service.call('POST', '/control', {'lose_answer': 1})
        path = '/v1/streams/s/records'
        assert (await service.call('POST', path, b'a')).code == 599
        answer = await service.read('from=1')
        assert [one['data'] for one in answer['records']] == [b'a']

    asyncio.run(body())


def test_silent_connection_stays_silent_while_new_ones_work() -> None:
    async def body() -> None:
        service = Service(log.make_app())
        reader = asyncio.ensure_future(service.read('from=1&wait_ms=200'))
        while not (await service.json('GET', '/control'))['reads']:
            await asyncio.sleep(0)
        await service.call('POST', '/control', {'silent': True})
        assert (await service.read('from=1'))['next'] == 1
        await asyncio.wait([reader], timeout=0.4)
        assert not reader.done()
        reader.cancel()

    asyncio.run(body())


@pytest.mark.parametrize('bad', [{'nonsense': 1}, {'outage': 'some'}])
def test_control_refuses_bad_switches(bad: dict[str, typing.Any]) -> None:
    async def body() -> None:
        service = Service(log.make_app())
        assert (await service.call('POST', '/control', bad)).code == 400
        await service.call('POST', '/control', {'outage': 'refuse'})
        path = '/v1/streams/s/records'
        assert (await service.call('GET', path)).code == 503

    asyncio.run(body())


def test_instance_list_lags() -> None:
    async def body() -> None:
        service = Service(instances.make_app())
        entry = instances.Instance(
            name='i1',
            data_centre='a',
            address='127.0.0.1',
            http_port=1,
            peer_port=2,
        )
        value = msgspec.to_builtins(entry)
        await service.call('PUT', '/v1/instances/i1', value)
        assert await service.json('GET', '/v1/instances') == [value]
        await service.call('POST', '/control', {'lag_s': 3600})
        assert await service.json('GET', '/v1/instances') == []

    asyncio.run(body())


def test_tool_counts_runs_and_fences() -> None:
    async def body() -> None:
        service = Service(tool.make_app(tool.ToolSwitches(check_fencing=True)))

        async def run(token: str) -> tornado.httpclient.HTTPResponse:
            headers = {
                'Idempotency-Key': 'k',
                'X-Program': 'p',
                'X-Fencing-Token': token,
            }
            return await service.call('POST', '/do', {}, headers=headers)

        assert json.loads((await run('2')).body)['run'] == 1
        assert json.loads((await run('3')).body)['run'] == 2
        assert (await run('2')).code == 409
        await service.call(
            'POST', '/control', {'fail_before': 1, 'fail_after': 1}
        )
        assert [(await run('3')).code for _ in range(3)] == [599, 599, 200]
        report = await service.json('GET', '/control')
        assert report['runs'] == [{'path': '/do', 'key': 'k', 'runs': 4}]

    asyncio.run(body())


CHAT: typing.Final = '/v1/chat/completions'


def question(text: str, **options: typing.Any) -> dict[str, typing.Any]:
    """Returns a chat request of one message."""
    messages = [{'role': 'user', 'content': text}]
    return {'model': 'm', 'messages': messages, 'max_tokens': 4, **options}


def streamed_text(data: bytes) -> str:
    """Returns the text of a streamed answer."""
    lines = [line for line in data.decode().splitlines() if line]
    events = [json.loads(x[6:]) for x in lines if x != 'data: [DONE]']
    choices = [c for event in events for c in event['choices']]
    return ''.join(c['delta'].get('content', '') for c in choices)


def test_engine_answers_streamed_and_whole() -> None:
    async def body() -> None:
        service = Service(engine.make_app())
        whole = await service.json('POST', CHAT, question('hello'))
        expected = batching.answer('hello', 4)
        assert whole['choices'][0]['message']['content'] == expected
        assert whole['usage']['completion_tokens'] == 4
        options = {'stream': True, 'stream_options': {'include_usage': True}}
        answer = await service.call('POST', CHAT, question('hey', **options))
        assert streamed_text(answer.body) == batching.answer('hey', 4)
        assert answer.body.endswith(b'data: [DONE]\n\n')
        assert b'"usage"' in answer.body

    asyncio.run(body())


def test_engine_resumes_a_cut_stream() -> None:
    async def body() -> None:
        service = Service(engine.make_app())
        await service.call(
            'POST', '/control', {'fail_after_tokens': 2, 'fail_streams': 1}
        )
        seen: list[bytes] = []
        headers: list[str] = []
        answer = await service.call(
            'POST',
            CHAT,
            question('hello', stream=True),
            streaming_callback=seen.append,
            header_callback=headers.append,
        )
        assert answer.code == 599
        assert streamed_text(b''.join(seen)) == batching.answer('hello', 2)
        line = next(x for x in headers if x.lower().startswith('x-stream'))
        stream = line.split(':')[1].strip()
        rest = await service.call('GET', f'/v1/streams/{stream}?from=2')
        text = streamed_text(b''.join(seen)) + streamed_text(rest.body)
        assert text == batching.answer('hello', 4)

    asyncio.run(body())


def test_engine_holds_and_releases_blocks() -> None:
    async def body() -> None:
        service = Service(engine.make_app())
        headers = {'X-Program': 'p1'}
        await service.call('POST', CHAT, question('x' * 400), headers=headers)
        assert (await service.json('GET', '/v1/load'))['held']['p1'] > 0
        again = await service.json('POST', CHAT, question('x' * 400))
        details = again['usage']['prompt_tokens_details']
        assert details['cached_tokens'] == 101
        await service.call('POST', '/v1/release', {'program': 'p1'})
        assert (await service.json('GET', '/v1/load'))['held'] == {}
        events = await service.json('GET', '/v1/events?from=1')
        kinds = [event['kind'] for event in events['events']]
        assert kinds[0] == 'stored' and 'released' in kinds

    asyncio.run(body())


def test_engine_cancels_when_the_client_goes() -> None:
    async def body() -> None:
        service = Service(engine.make_app())
        answer = await service.call(
            'POST',
            CHAT,
            question('hello', max_tokens=100_000, stream=True),
            request_timeout=0.2,
            streaming_callback=lambda data: None,
        )
        assert answer.code == 599
        load = {'running': 1}
        while load['running']:
            load = await service.json('GET', '/v1/load')
        assert (await service.json('GET', '/control'))['cancelled'] == 1

    asyncio.run(body())


@pytest.mark.parametrize('checked', [True, False])
def test_engine_checks_or_ignores_fencing_tokens(checked: bool) -> None:
    async def body() -> None:
        service = Service(engine.make_app())
        await service.call('POST', '/control', {'check_fencing': checked})
        codes = []
        for token in (2, 1):
            order = {'order': {'load': 'm'}, 'fencing_token': token}
            codes.append(
                (await service.call('POST', '/v1/orders', order)).code
            )
        assert codes == [200, 409 if checked else 200]

    asyncio.run(body())


def test_prefix_cache_evicts_the_least_recently_used() -> None:
    cache = batching.PrefixCache(capacity_blocks=2)
    first, second, third = ([{'content': text}] for text in 'abc')
    for messages in (first, second, first, third):
        cache.store(0.0, messages, 'p')
    held = [cache.cached_tokens(x) > 0 for x in (first, second, third)]
    assert held == [True, False, True]


def test_relay_holds_bytes_while_cut() -> None:
    async def body() -> None:
        target = Service(log.make_app())
        service = Service(relay.make_app())
        port = int(target.url.rsplit(':', 1)[1])
        link = {'address': '127.0.0.1', 'port': port}
        answer = await service.json('PUT', '/links/a/log', link)
        target.url = f'http://127.0.0.1:{answer["port"]}'
        assert (await target.read('from=1'))['next'] == 1
        cut = await service.json('PUT', '/cut', ['a/'])
        assert cut == {'cut': ['a/log']}
        reader = asyncio.ensure_future(target.read('from=1'))
        await asyncio.wait([reader], timeout=0.2)
        assert not reader.done()
        await service.call('PUT', '/cut', [])
        assert (await reader)['next'] == 1

    asyncio.run(body())
