"""The types that the gateway's modules share.

Times are seconds on the monotonic clock unless a field says otherwise.
"""

import enum

import attrs


class RouteKind(enum.Enum):
    """What a route's requests allow to be repeated."""

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
    """Where requests of one host and path prefix go.

    attempts is the most upstreams that one request may be run on.
    retains says that the gateway keeps the conversation's turns, for
    retention_s.  resumable streams may go on at another upstream.
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


@attrs.frozen(kw_only=True)
class Service:
    """A kind of upstream; a stream event stands for tokens_per_event."""

    name: str
    tokens_per_event: int
    is_engine: bool


@attrs.frozen(kw_only=True)
class ClientAccount:
    """Who is limited; a rate of 0 stands for no limit."""

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


@attrs.frozen(kw_only=True)
class Limits:
    """What a caller may send and how long it may take."""

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
    """What an upstream says of itself.

    born_ms, a Unix time, tells the incarnations of one id apart.
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


@attrs.frozen(kw_only=True)
class PromptPart:
    """A piece of a prompt that requests may share."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request, decoded.

    headers are those that go on to the upstream as they came.  deadline
    is when the caller stops waiting.  program_id and session_id are empty
    outside programs; token_budget is None where none is given.
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
