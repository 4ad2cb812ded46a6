"""The objects that operators configure: accounts, keys, upstreams etc.

These are plain values.  config_state applies log records to a Config;
all other code only reads it.
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
    """A client account with its fleet-wide request rate and burst."""

    name: str
    rate_per_s: float
    burst: int


@attrs.frozen(kw_only=True)
class ApiKey:
    """A caller's API key, stored only as its SHA-256 digest."""

    name: str
    client_account: str
    sha256: str


@attrs.frozen(kw_only=True)
class ProgramClass:
    """A class of programs.

    target_s is the target duration of a whole program.  The optional
    limits are the budget of each program of the class.
    """

    name: str
    target_s: float
    max_calls: int = 1_000
    max_tokens: int = 2_000_000
    max_duration_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class Model:
    """A model that upstreams may serve."""

    name: str


@attrs.frozen(kw_only=True)
class Tool:
    """A service that is not a model.

    A call may be repeated only if the tool is idempotent.
    """

    name: str
    idempotent: bool


@attrs.frozen(kw_only=True)
class Route:
    """Maps a path prefix to a tool.

    Requests to open_to_all routes need no key.  Calls to a tool that is
    not idempotent always need a program.
    """

    name: str
    prefix: str
    tool: str
    open_to_all: bool = False


@attrs.frozen(kw_only=True)
class Upstream:
    """One replica that serves models or tools at an HTTP base URL.

    checks_fencing says that it rejects an order whose fencing token is
    older than one it has seen.  An upstream with leaving set is being
    drained and gets no new work.
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
    """An object before and after an accepted change, None if absent."""

    offset: int
    kind: Kind
    name: str
    before: ConfigObject | None
    after: ConfigObject | None


@attrs.frozen(kw_only=True)
class Verdict:
    """The outcome of one record, the same for every reader of the log.

    version is the offset of the change now in force for the object, 0
    if there is none.  changes is empty for a repeated change.
    """

    accepted: bool
    code: codes.ResultCode
    detail: str
    version: int
    changes: tuple[ObjectChange, ...] = ()


@attrs.define(kw_only=True)
class Config:
    """The configuration in force, built from the records of the log.

    keys are indexed by SHA-256, all other objects by name.  versions
    maps (kind, name) to the offset of the change in force; deleted
    objects have none.  recent_verdicts maps the change_id of each of the
    latest changes to its verdict.  next_offset is the offset of the next
    record to apply.
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
