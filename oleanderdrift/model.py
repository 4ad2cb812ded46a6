"""What operators configure: accounts, keys, classes, routes, upstreams.

These are plain values.  config_state folds log records into a Config;
everything else only reads it.
"""

import enum
import typing

import attrs

from oleanderdrift import codes


class Kind(enum.StrEnum):
    """The kinds of configured object."""

    ACCOUNT = 'account'
    KEY = 'key'
    CLASS = 'class'
    MODEL = 'model'
    TOOL = 'tool'
    ROUTE = 'route'
    UPSTREAM = 'upstream'


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A client account with its fleet-wide rate and burst of requests."""

    name: str
    rate_per_s: float
    burst: int


@attrs.frozen(kw_only=True)
class ApiKey:
    """A caller's key, known by its SHA-256 alone."""

    name: str
    client_account: str
    sha256: str


@attrs.frozen(kw_only=True)
class ProgramClass:
    """A class of programs with its target for a whole program.

    The optional limits are the budget of each program of the class.
    """

    name: str
    target_s: float
    max_calls: int = 1_000
    max_tokens: int = 2_000_000
    max_duration_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class Model:
    """A model that engines may serve."""

    name: str


@attrs.frozen(kw_only=True)
class Tool:
    """A plain service; its calls may be repeated only if idempotent."""

    name: str
    idempotent: bool


@attrs.frozen(kw_only=True)
class Route:
    """Maps a path prefix to a tool.

    open_to_all routes need no key.  Calls of a tool that is not
    idempotent always need a program.
    """

    name: str
    prefix: str
    tool: str
    open_to_all: bool = False


@attrs.frozen(kw_only=True)
class Upstream:
    """One replica of models or tools at an HTTP base URL.

    checks_fencing says that it refuses an order whose fencing token is
    older than one it has seen.  A leaving upstream gets no new work.
    """

    name: str
    data_centre: str
    url: str
    models: tuple[str, ...] = ()
    tools: tuple[str, ...] = ()
    checks_fencing: bool = False
    leaving: bool = False


ConfigObject: typing.TypeAlias = (
    ClientAccount | ApiKey | ProgramClass | Model | Tool | Route | Upstream
)

TYPES: typing.Final[dict[Kind, type[ConfigObject]]] = {
    Kind.ACCOUNT: ClientAccount,
    Kind.KEY: ApiKey,
    Kind.CLASS: ProgramClass,
    Kind.MODEL: Model,
    Kind.TOOL: Tool,
    Kind.ROUTE: Route,
    Kind.UPSTREAM: Upstream,
}


@attrs.frozen(kw_only=True)
class ObjectChange:
    """One object before and after an accepted change, None for absent."""

    offset: int
    kind: Kind
    name: str
    before: ConfigObject | None
    after: ConfigObject | None


@attrs.frozen(kw_only=True)
class Verdict:
    """What every reader of the log makes of one record.

    version is the offset of the change now in force for the object, 0
    where there is none.  changes is empty for a repeated change.
    """

    accepted: bool
    code: codes.Result
    detail: str
    version: int
    changes: tuple[ObjectChange, ...] = ()


@attrs.define(kw_only=True)
class Config:
    """The configuration in force, as folded from the log.

    keys are indexed by SHA-256, everything else by name.  versions maps
    (kind, name) to the offset of the change in force; deleted objects
    have none.  recent_verdicts maps the ids of the latest changes to their
    verdicts.  next_offset is the first offset not yet folded.
    """

    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    keys: dict[str, ApiKey] = attrs.field(factory=dict)
    classes: dict[str, ProgramClass] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    tools: dict[str, Tool] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    versions: dict[tuple[Kind, str], int] = attrs.field(factory=dict)
    recent_verdicts: dict[str, Verdict] = attrs.field(factory=dict)
    next_offset: int = 0
