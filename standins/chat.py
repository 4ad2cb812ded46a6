"""The chat endpoints of the engine stand-in: whole, streamed, resumed."""

import asyncio
import typing
import uuid

import msgspec
import tornado.iostream
import tornado.web

from standins import batching
from standins import engine_state
from standins import serving

DEFAULT_TOKENS: typing.Final = 16


def usage(one: batching.Generation) -> dict[str, typing.Any]:
    """Returns the usage object of a generation."""
    return {
        'prompt_tokens': one.prompt_tokens,
        'completion_tokens': len(one.tokens),
        'total_tokens': one.prompt_tokens + len(one.tokens),
        'prompt_tokens_details': {'cached_tokens': one.cached_tokens},
    }


def chunk(
    one: batching.Generation, model: str, **parts: typing.Any
) -> dict[str, typing.Any]:
    """Returns a chunk of a streamed answer."""
    return {
        'id': one.stream_id,
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': model,
        **parts,
    }


def token_chunk(
    one: batching.Generation, model: str, place: int
) -> dict[str, typing.Any]:
    """Returns the chunk of one token."""
    delta = {'content': one.tokens[place]}
    if place == 0:
        delta['role'] = 'assistant'
    choice = {'index': 0, 'delta': delta, 'finish_reason': None}
    return chunk(one, model, choices=[choice])


class GenerationHandler(serving.Handler):
    """Sends a generation to the client."""

    engine: engine_state.Engine

    async def send_stream(
        self,
        one: batching.Generation,
        *,
        model: str,
        start: int = 0,
        with_usage: bool = False,
    ) -> None:
        """Streams the tokens from a place on as they come."""
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Stream-Id', one.stream_id)
        place = start
        while await self.wait_token(one, place):
            self.cut_if_asked(place)
            await self.send_event(token_chunk(one, model, place))
            place += 1
        choice = {'index': 0, 'delta': {}, 'finish_reason': 'length'}
        await self.send_event(chunk(one, model, choices=[choice]))
        if with_usage:
            await self.send_event(
                chunk(one, model, choices=[], usage=usage(one))
            )
        self.write('data: [DONE]\n\n')
        self.finish()

    async def wait_token(self, one: batching.Generation, place: int) -> bool:
        """Waits for a token; returns False at the end of the answer."""
        while place >= len(one.tokens):
            if one.done:
                return False
            if one.cancelled:
                self.cut()
            await self.wait_grown(one)
        return True

    async def wait_grown(self, one: batching.Generation) -> None:
        """Waits for the next token; a lost client cancels."""
        waits = [
            asyncio.ensure_future(one.grown.wait()),
            asyncio.ensure_future(self.closed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        await self.silence_gate()
        if self.closed.is_set():
            await self.client_gone(one)

    async def client_gone(self, one: batching.Generation) -> typing.NoReturn:
        """Cancels the generation, later if a resume is to be possible."""
        await asyncio.sleep(self.engine.switches.cancel_delay_s)
        self.engine.cancel(one)
        raise tornado.web.Finish()

    def cut_if_asked(self, place: int) -> None:
        """Cuts the connection as the switches say."""
        switches = self.engine.switches
        if place < 0 or place != switches.fail_after_tokens:
            return
        if not switches.fail_streams:
            return
        if switches.fail_streams > 0:
            switches.fail_streams -= 1
        self.cut()

    async def send_event(self, event: dict[str, typing.Any]) -> None:
        """Sends one event, if the client is still there."""
        self.write(b'data: ' + msgspec.json.encode(event) + b'\n\n')
        try:
            await self.flush()
        except tornado.iostream.StreamClosedError:
            self.closed.set()

    async def send_whole(self, one: batching.Generation, model: str) -> None:
        """Sends the whole answer when it is done."""
        while await self.wait_token(one, len(one.tokens)):
            continue
        self.cut_if_asked(
            min(len(one.tokens), self.engine.switches.fail_after_tokens)
        )
        content = ''.join(one.tokens)
        message = {'role': 'assistant', 'content': content}
        choice = {'index': 0, 'message': message, 'finish_reason': 'length'}
        self.set_header('X-Stream-Id', one.stream_id)
        self.write_json(
            {
                'id': one.stream_id,
                'object': 'chat.completion',
                'created': 0,
                'model': model,
                'choices': [choice],
                'usage': usage(one),
            }
        )


class ChatHandler(GenerationHandler):
    """Starts a generation."""

    async def post(self) -> None:
        """Answers a chat completion, streamed or whole."""
        self.frame.record(self.request)
        body = self.read_json()
        messages = body.get('messages')
        if not messages:
            raise tornado.web.HTTPError(400)
        one = self.generation(body)
        model = str(body.get('model', ''))
        self.engine.submit(one)
        if not body.get('stream'):
            await self.send_whole(one, model)
            return
        options = body.get('stream_options') or {}
        await self.send_stream(
            one, model=model, with_usage=bool(options.get('include_usage'))
        )

    def generation(self, body: dict[str, typing.Any]) -> batching.Generation:
        """Returns the generation that a request's body asks for."""
        messages = body['messages']
        limit = body.get('max_completion_tokens') or body.get('max_tokens')
        return batching.Generation(
            stream_id=uuid.uuid4().hex,
            program=self.request.headers.get('X-Program', ''),
            messages=messages,
            limit=int(limit or DEFAULT_TOKENS),
            prompt_tokens=sum(map(batching.count_tokens, messages)),
            mark=batching.digest(str(messages[-1].get('content'))),
        )


class StreamHandler(GenerationHandler):
    """Resumes or cancels a stream."""

    def find(self, stream_id: str) -> batching.Generation:
        """Returns the generation of a stream, or answers 404."""
        one = self.engine.streams.get(stream_id)
        if one is None or one.cancelled:
            raise tornado.web.HTTPError(404)
        return one

    async def get(self, stream_id: str) -> None:
        """Streams the answer again from the token asked for."""
        one = self.find(stream_id)
        start = int(self.get_argument('from', '0'))
        await self.send_stream(one, model='', start=start, with_usage=True)

    def delete(self, stream_id: str) -> None:
        """Cancels the generation."""
        self.engine.cancel(self.find(stream_id))
        self.write_json({})
