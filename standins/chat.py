"""Chat endpoints of the engine stand-in, with streaming and resumption."""

import asyncio
import typing
import uuid

import msgspec
import tornado.iostream
import tornado.web

from standins import batching
from standins import engine_state
from standins import serving

DEFAULT_MAX_TOKENS: typing.Final = 16


def usage(generation: batching.Generation) -> dict[str, typing.Any]:
    """Returns the usage object of a generation."""
    return {
        'prompt_tokens': generation.prompt_tokens,
        'completion_tokens': len(generation.tokens),
        'total_tokens': generation.prompt_tokens + len(generation.tokens),
        'prompt_tokens_details': {'cached_tokens': generation.cached_tokens},
    }


def chunk(
    generation: batching.Generation, model: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Returns a chunk of a streamed answer with the given fields."""
    return {
        'id': generation.stream_id,
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': model,
        **fields,
    }


def token_chunk(
    generation: batching.Generation, model: str, index: int
) -> dict[str, typing.Any]:
    """Returns the chunk of the token at an index."""
    delta = {'content': generation.tokens[index]}
    if index == 0:
        delta['role'] = 'assistant'
    choice = {'index': 0, 'delta': delta, 'finish_reason': None}
    return chunk(generation, model, choices=[choice])


class GenerationHandler(serving.Handler):
    """Base of the handlers that send a generation to the client."""

    engine: engine_state.Engine

    async def send_stream(
        self,
        generation: batching.Generation,
        *,
        model: str,
        start: int = 0,
        with_usage: bool = False,
    ) -> None:
        """Streams the tokens from index start on as they are generated."""
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Stream-Id', generation.stream_id)
        index = start
        while await self.wait_for_token(generation, index):
            self.apply_stream_fault(index)
            await self.send_event(token_chunk(generation, model, index))
            index += 1
        choice = {'index': 0, 'delta': {}, 'finish_reason': 'length'}
        await self.send_event(chunk(generation, model, choices=[choice]))
        if with_usage:
            await self.send_event(
                chunk(generation, model, choices=[], usage=usage(generation))
            )
        self.write('data: [DONE]\n\n')
        self.finish()

    async def wait_for_token(
        self, generation: batching.Generation, index: int
    ) -> bool:
        """Waits for the token at an index; returns False past the end."""
        while index >= len(generation.tokens):
            if generation.done:
                return False
            if generation.cancelled:
                self.cut()
            await self.wait_for_progress(generation)
        return True

    async def wait_for_progress(self, generation: batching.Generation) -> None:
        """Waits for a change of the generation or a lost connection."""
        waits = [
            asyncio.ensure_future(generation.progress.wait()),
            asyncio.ensure_future(self.closed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        await self.silence_gate()
        if self.closed.is_set():
            await self.handle_disconnect(generation)

    async def handle_disconnect(
        self, generation: batching.Generation
    ) -> typing.NoReturn:
        """Cancels the generation after cancel_delay_s.

        Until then the client can resume the stream.
        """
        await asyncio.sleep(self.engine.switches.cancel_delay_s)
        self.engine.cancel(generation)
        raise tornado.web.Finish()

    def apply_stream_fault(self, index: int) -> None:
        """Closes the connection if a switch asks for it at this token."""
        switches = self.engine.switches
        if index < 0 or index != switches.fail_after_tokens:
            return
        if not switches.fail_streams:
            return
        if switches.fail_streams > 0:
            switches.fail_streams -= 1
        self.cut()

    async def send_event(self, event: dict[str, typing.Any]) -> None:
        """Sends one event; notes if the client has disconnected."""
        self.write(b'data: ' + msgspec.json.encode(event) + b'\n\n')
        try:
            await self.flush()
        except tornado.iostream.StreamClosedError:
            self.closed.set()

    async def send_complete(
        self, generation: batching.Generation, model: str
    ) -> None:
        """Sends the complete answer once it is generated."""
        while await self.wait_for_token(generation, len(generation.tokens)):
            continue
        self.apply_stream_fault(
            min(len(generation.tokens), self.engine.switches.fail_after_tokens)
        )
        content = ''.join(generation.tokens)
        message = {'role': 'assistant', 'content': content}
        choice = {'index': 0, 'message': message, 'finish_reason': 'length'}
        self.set_header('X-Stream-Id', generation.stream_id)
        self.write_json(
            {
                'id': generation.stream_id,
                'object': 'chat.completion',
                'created': 0,
                'model': model,
                'choices': [choice],
                'usage': usage(generation),
            }
        )


class ChatHandler(GenerationHandler):
    """Handles chat completions."""

    async def post(self) -> None:
        """Generates an answer and sends it, streamed if asked to."""
        self.frame.record(self.request)
        body = self.read_json()
        messages = body.get('messages')
        if not messages:
            raise tornado.web.HTTPError(400)
        generation = self.make_generation(body)
        model = str(body.get('model', ''))
        self.engine.submit(generation)
        if not body.get('stream'):
            await self.send_complete(generation, model)
            return
        options = body.get('stream_options') or {}
        await self.send_stream(
            generation,
            model=model,
            with_usage=bool(options.get('include_usage')),
        )

    def make_generation(
        self, body: dict[str, typing.Any]
    ) -> batching.Generation:
        """Returns a generation for a request's body."""
        messages = body['messages']
        max_tokens = body.get('max_completion_tokens') or body.get(
            'max_tokens'
        )
        return batching.Generation(
            stream_id=uuid.uuid4().hex,
            program=self.request.headers.get('X-Program', ''),
            messages=messages,
            max_tokens=int(max_tokens or DEFAULT_MAX_TOKENS),
            prompt_tokens=sum(map(batching.count_tokens, messages)),
            question_digest=batching.digest(str(messages[-1].get('content'))),
        )


class StreamHandler(GenerationHandler):
    """Resumes or cancels a stream."""

    def find(self, stream_id: str) -> batching.Generation:
        """Returns the generation of a stream, or raises a 404 error."""
        generation = self.engine.streams.get(stream_id)
        if generation is None or generation.cancelled:
            raise tornado.web.HTTPError(404)
        return generation

    async def get(self, stream_id: str) -> None:
        """Streams the answer from the token index in the query on."""
        generation = self.find(stream_id)
        start = int(self.get_argument('from', '0'))
        await self.send_stream(
            generation, model='', start=start, with_usage=True
        )

    def delete(self, stream_id: str) -> None:
        """Cancels the generation."""
        self.engine.cancel(self.find(stream_id))
        self.write_json({})
