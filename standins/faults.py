"""Fault switches, request records and fencing checks of the stand-ins."""

import typing
import weakref

import attrs
import msgspec
import tornado.httputil
import tornado.iostream

MAX_REQUESTS: typing.Final = 20_000


@attrs.define(kw_only=True)
class Switches:
    """The faults that every stand-in can simulate.

    outage is '' for none, 'refuse' for a 503 answer or 'hang' for no
    answer at all.  slow_s delays each answer.  When silent is set to true,
    nothing is ever sent again on the connections that are open at that
    moment; new ones work.
    """

    outage: typing.Literal['', 'refuse', 'hang'] = ''
    slow_s: float = 0.0
    silent: bool = False


@attrs.define(kw_only=True)
class RequestRecord:
    """A request as received."""

    method: str
    uri: str
    headers: list[tuple[str, str]]
    body: str


@attrs.define(kw_only=True)
class ServerState:
    """A running stand-in's switches, connections and recorded requests."""

    switches: Switches
    open_streams: weakref.WeakSet[tornado.iostream.IOStream] = attrs.field(
        factory=weakref.WeakSet
    )
    silent_streams: weakref.WeakSet[tornado.iostream.IOStream] = attrs.field(
        factory=weakref.WeakSet
    )
    requests: list[RequestRecord] = attrs.field(factory=list)

    def set_switches(self, changes: dict[str, typing.Any]) -> None:
        """Sets the named switches.

        Raises ValueError for an unknown name and msgspec.ValidationError
        for a bad value; in both cases no switch changes.
        """
        values = {**attrs.asdict(self.switches), **changes}
        unknown = set(changes) - {
            field.name for field in attrs.fields(type(self.switches))
        }
        if unknown:
            raise ValueError(f'no such switch: {sorted(unknown)}')
        converted = msgspec.convert(values, type(self.switches), strict=False)
        for name in changes:
            setattr(self.switches, name, getattr(converted, name))
        if changes.get('silent'):
            self.silent_streams.update(self.open_streams)

    def record(self, request: tornado.httputil.HTTPServerRequest) -> None:
        """Records a request; drops the oldest record at the limit."""
        if len(self.requests) == MAX_REQUESTS:
            self.requests.pop(0)
        self.requests.append(
            RequestRecord(
                method=request.method or '',
                uri=request.uri or '',
                headers=list(request.headers.get_all()),
                body=request.body.decode('utf-8', 'replace'),
            )
        )


@attrs.define(kw_only=True)
class FencingGuard:
    """Refuses requests whose fencing token is lower than one seen before.

    Tokens are compared within a scope, such as a program.
    """

    newest: dict[str, int] = attrs.field(factory=dict)

    def admit(self, scope: str, token: int) -> bool:
        """Returns whether a token is current, and notes it if so."""
        if token < self.newest.get(scope, token):
            return False
        self.newest[scope] = token
        return True
