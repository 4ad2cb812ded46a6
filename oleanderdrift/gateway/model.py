"""The types that the gateway's modules share.

Times are seconds on the monotonic clock unless a field says otherwise.
"""

import enum
import typing

import attrs

from oleanderdrift.gateway import identifiers

INCARNATION_SEPARATOR: typing.Final = '\x1f'


class RouteKind(enum.Enum):
    """The kind of a route's requests; decides if they may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """The rules for requests with a host and path prefix.

    attempts is the most upstreams that may run one request.  retains says
    that the gateway stores the conversation's turns, for retention_s.
    Resumable streams may be continued by another upstream.  sticky says that
    an upstream is faster with an object that it handled lately.  regions holds
    those that its requests may reach, none for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int
    public: bool
    resumable: bool
    retains: bool
    retention_s: float
    sticky: bool = False
    regions: frozenset[str] = frozenset()

    def is_resumable_stream(self) -> bool:
        """Returns whether a stream that broke off may be continued."""
        return self.kind is RouteKind.STREAMING and self.resumable


@attrs.frozen(kw_only=True)
class Service:
    """A group of interchangeable upstreams.

    Each event of a stream stands for tokens_per_event tokens.  An upstream
    that has just started is cold for cold_start_s, and takes cold_per_s
    requests a second until then; 0 if the operators name none.
    memory_tokens is how many prompt and output tokens of running requests an
    engine holds, 0 if that is not specified.
    """

    name: str
    tokens_per_event: int
    is_engine: bool
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A customer with a rate limit; a rate of 0 means no limit.

    regions holds those that its requests may reach, none for all.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float
    regions: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of the size and duration of what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    accounts_by_key is None where requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts_by_key: dict[str, ClientAccount] | None
    limits: Limits


@attrs.frozen(kw_only=True)
class UpstreamEntry:
    """An upstream's registration in the store.

    born_ms, a Unix time, tells the incarnations of one id apart.  version is
    that of its software, without an order; what two versions write does not
    fit together.
    """

    upstream_id: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    draining: bool
    born_ms: int
    cold_s: float
    version: str

    def incarnation(self) -> str:
        """Returns a name for this start of the upstream.

        No name of an account can equal it: those are sent in headers, which
        cannot contain the separator.
        """
        return f'{self.upstream_id}{INCARNATION_SEPARATOR}{self.born_ms}'


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Request:
    """A caller's decoded request.

    headers are forwarded to the upstream unchanged.  deadline is when the
    caller stops waiting.  program_id and session_id are empty outside
    programs.  affinity_key names the object that the request is about.
    resumes is the id of the request whose answer began the stream that this
    one continues after last_event_id.  finish_s is the time until its program
    should end, None if that is not specified.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    deadline: float
    received: float
    program_id: str = ''
    session_id: str = ''
    token_budget: int | None = None
    max_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    previous_turn: str | None = None
    last_event_id: str | None = None
    resumes: str | None = None
    affinity_key: str | None = None
    finish_s: float | None = None

    @property
    def turn_id(self) -> str:
        """What previous_turn of later turns names it by."""
        return identifiers.short_id(self.request_id)

    def memory_tokens(self) -> int:
        """Returns how many tokens an engine holds while it runs there."""
        return sum(part.tokens for part in self.prompt) + self.max_tokens
