"""A caller of the fleet: programs, model calls, tool calls.

Model calls go through the openai package, everything else through plain
HTTP.  A caller may reach another instance with each request, as behind a
balancer.
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
    """An answer of an instance; code and execution are its own words."""

    status: int
    code: int
    execution: str
    body: str
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def json(self) -> typing.Any:
        """The body's JSON."""
        return json.loads(self.body)


@attrs.define(kw_only=True)
class Program:
    """A program as its caller knows it."""

    program_id: str
    key: str
    class_name: str
    calls: int = 0
    messages: list[dict[str, str]] = attrs.field(factory=list)

    def headers(self, call: int) -> dict[str, str]:
        """Returns the headers that name a call of the program."""
        return {
            'Oleander-Program': self.program_id,
            'Oleander-Call': str(call),
        }


@attrs.define(kw_only=True)
class Stream:
    """A streamed answer, as far as it came; code is a refusal's."""

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
    """Sends a request; raises OSError where no answer comes."""
    sent = {'Content-Type': 'application/json', **(headers or {})}
    if key:
        sent['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        url, data=body, headers=sent, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return reply(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return reply(error.code, dict(error.headers), error.read())


def reply(status: int, headers: dict[str, str], body: bytes) -> Reply:
    """Returns an answer with its code and execution read."""
    lower = {name.lower(): value for name, value in headers.items()}
    return Reply(
        status=status,
        code=int(lower.get('oleander-code', '-1')),
        execution=lower.get('oleander-execution', ''),
        body=body.decode('utf-8', 'replace'),
        headers=lower,
    )


def start_program(
    url: str, key: str, class_name: str, parent: str = ''
) -> Program:
    """Starts a program; raises RuntimeError where that is refused."""
    asked = {'class_name': class_name, 'parent': parent}
    answer = send(
        'POST', f'{url}/v1/programs', key, json.dumps(asked).encode()
    )
    if answer.status != 201:
        raise RuntimeError(answer.body)
    return Program(
        program_id=answer.json['program'], key=key, class_name=class_name
    )


def end_program(url: str, program: Program) -> Reply:
    """Declares a program finished."""
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
    """Makes a streamed model call; takes it into the history if whole.

    A refusal or a cut shows in the stream's error.  A repeat of a call
    needs the first one's idempotency key.
    """
    messages = [*program.messages, {'role': 'user', 'content': question}]
    stream = Stream()
    with openai.OpenAI(
        base_url=f'{url}/v1',
        api_key=program.key,
        max_retries=0,
        timeout=TIMEOUT_S,
    ) as caller:
        try:
            chunks = caller.chat.completions.create(
                model=model,
                messages=typing.cast(typing.Any, messages),
                max_tokens=tokens,
                stream=True,
                extra_headers={
                    **program.headers(program.calls + 1),
                    'Idempotency-Key': idempotency_key or uuid.uuid4().hex,
                },
            )
            take(stream, chunks, on_token)
        except openai.APIStatusError as error:
            stream.error = str(error)
            stream.code = int(error.response.headers['Oleander-Code'])
        except openai.OpenAIError as error:
            stream.error = str(error)
        except Exception as error:
            # The package passes on its transport's errors from a stream.
            stream.error = repr(error)
    if stream.finished:
        program.calls += 1
        answer = {'role': 'assistant', 'content': stream.text}
        program.messages = [*messages, answer]
    return stream


def take(
    stream: Stream,
    chunks: typing.Iterable[typing.Any],
    on_token: typing.Callable[[str], None],
) -> None:
    """Takes the chunks of an answer as they come."""
    for chunk in chunks:
        for choice in chunk.choices:
            token = choice.delta.content or ''
            stream.text += token
            stream.finished |= choice.finish_reason is not None
            on_token(token)


def is_right(stream: Stream, question: str, tokens: int) -> bool:
    """Returns whether a stream is the whole answer to its question."""
    return stream.finished and stream.text == batching.answer(question, tokens)


def use_tool(
    url: str,
    program: Program,
    path: str,
    value: typing.Any,
    idempotency_key: str,
    call: int = 0,
) -> Reply:
    """Makes a tool call of a program, by default its next call."""
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
