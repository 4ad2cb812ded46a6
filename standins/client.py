"""Client of a fleet: starts programs and makes model and tool calls.

Model calls use the openai package, all others plain HTTP.  Each function
takes the URL of an instance, so that a caller can use a different one for
each request, as behind a load balancer.
"""

import json
import typing
import urllib.error
import urllib.request
import uuid

import attrs
import openai

from standins import batching

TIMEOUT_S: typing.Final = 10.0


@attrs.frozen(kw_only=True)
class Reply:
    """A response of an instance.

    code and execution are from its Oleander-Code (-1 if absent) and
    Oleander-Execution headers.
    """

    status: int
    code: int
    execution: str
    body: str
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def json(self) -> typing.Any:
        """The decoded JSON body."""
        return json.loads(self.body)


@attrs.define(kw_only=True)
class Program:
    """A program as its caller knows it: calls made, and the history."""

    program_id: str
    key: str
    class_name: str
    calls: int = 0
    messages: list[dict[str, str]] = attrs.field(factory=list)

    def headers(self, call: int) -> dict[str, str]:
        """Returns the headers that identify a call of the program."""
        return {
            'Oleander-Program': self.program_id,
            'Oleander-Call': str(call),
        }


@attrs.define(kw_only=True)
class Stream:
    """A streamed answer as far as received; code is set on a refusal."""

    text: str = ''
    finished: bool = False
    error: str = ''
    code: int = 0


def send(
    method: str,
    url: str,
    key: str = '',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Sends a request; raises OSError if there is no response."""
    sent = {'Content-Type': 'application/json', **(headers or {})}
    if key:
        sent['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        url, data=body, headers=sent, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return make_reply(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        return make_reply(error.code, dict(error.headers), error.read())


def make_reply(status: int, headers: dict[str, str], body: bytes) -> Reply:
    """Returns a response with the result code and execution parsed."""
    lower_headers = {name.lower(): value for name, value in headers.items()}
    return Reply(
        status=status,
        code=int(lower_headers.get('oleander-code', '-1')),
        execution=lower_headers.get('oleander-execution', ''),
        body=body.decode('utf-8', 'replace'),
        headers=lower_headers,
    )


def start_program(
    url: str, key: str, class_name: str, parent: str = ''
) -> Program:
    """Starts a program; raises RuntimeError if that is refused."""
    request_body = {'class_name': class_name, 'parent': parent}
    answer = send(
        'POST', f'{url}/v1/programs', key, json.dumps(request_body).encode()
    )
    if answer.status != 201:
        raise RuntimeError(answer.body)
    return Program(
        program_id=answer.json['program'], key=key, class_name=class_name
    )


def end_program(url: str, program: Program) -> Reply:
    """Ends a program."""
    return send(
        'DELETE', f'{url}/v1/programs/{program.program_id}', program.key
    )


def ask(
    url: str,
    program: Program,
    question: str,
    model: str,
    tokens: int,
    on_token: typing.Callable[[str], None] = lambda token: None,
    idempotency_key: str = '',
) -> Stream:
    """Makes a streamed model call; adds it to the history if complete.

    A refusal or a lost connection shows in the stream's error.  To repeat
    a call, pass the idempotency key of the first attempt.
    """
    messages = [*program.messages, {'role': 'user', 'content': question}]
    stream = Stream()
    with openai.OpenAI(
        base_url=f'{url}/v1',
        api_key=program.key,
        max_retries=0,
        timeout=TIMEOUT_S,
    ) as openai_client:
        try:
            chunks = openai_client.chat.completions.create(
                model=model,
                messages=typing.cast(typing.Any, messages),
                max_tokens=tokens,
                stream=True,
                extra_headers={
                    **program.headers(program.calls + 1),
                    'Idempotency-Key': idempotency_key or uuid.uuid4().hex,
                },
            )
            receive_chunks(stream, chunks, on_token)
        except openai.APIStatusError as error:
            stream.error = str(error)
            stream.code = int(error.response.headers['Oleander-Code'])
        except openai.OpenAIError as error:
            stream.error = str(error)
        except Exception as error:
            # While streaming, openai lets its transport's errors through
            # unwrapped.
            stream.error = repr(error)
    if stream.finished:
        program.calls += 1
        answer = {'role': 'assistant', 'content': stream.text}
        program.messages = [*messages, answer]
    return stream


def receive_chunks(
    stream: Stream,
    chunks: typing.Iterable[typing.Any],
    on_token: typing.Callable[[str], None],
) -> None:
    """Adds the chunks of an answer to the stream as they arrive."""
    for chunk in chunks:
        for choice in chunk.choices:
            token = choice.delta.content or ''
            stream.text += token
            stream.finished |= choice.finish_reason is not None
            on_token(token)


def is_right(stream: Stream, question: str, tokens: int) -> bool:
    """Returns whether a stream is the complete, correct answer."""
    return stream.finished and stream.text == batching.answer(question, tokens)


def use_tool(
    url: str,
    program: Program,
    path: str,
    value: typing.Any,
    idempotency_key: str,
    call: int = 0,
) -> Reply:
    """Makes a tool call; call is its number, by default the next one."""
    call = call or program.calls + 1
    answer = send(
        'POST',
        f'{url}{path}',
        program.key,
        json.dumps(value).encode(),
        {**program.headers(call), 'Idempotency-Key': idempotency_key},
    )
    if answer.status == 200:
        program.calls = max(program.calls, call)
    return answer
