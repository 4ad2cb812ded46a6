"""Fault switches of the stand-ins, and what they record of requests."""

import typing
import weakref

import attrs
import msgspec
import tornado.httputil
import tornado.iostream

REQUESTS_KEPT: typing.Final = 20_000


@attrs.define(kw_only=True)
class Switches:
    """The faults that every stand-in can show.

    outage is '' for none, 'refuse' for an answer of 503 or 'hang' for no
    answer at all.  slow_s delays each answer.  Setting silent to true
    silences for good the connections that are open at that moment; new
    ones work.
    """

    outage: typing.Literal['', 'refuse', 'hang'] = ''
    slow_s: float = 0.0
    silent: bool = False


@attrs.define(kw_only=True)
class RequestRecord:
    """A request as it arrived."""

    method: str
    uri: str
    headers: list[tuple[str, str]]
    body: str


@attrs.define(kw_only=True)
class Frame:
    """What a running stand-in knows of its connections and requests."""

    switches: Switches
    open_streams: weakref.WeakSet[tornado.iostream.IOStream] = attrs.field(
        factory=weakref.WeakSet
    )
    silent_streams: weakref.WeakSet[tornado.iostream.IOStream] = attrs.field(
        factory=weakref.WeakSet
    )
    requests: list[RequestRecord] = attrs.field(factory=list)

    def throw(self, changes: dict[str, typing.Any]) -> None:
        """Sets the switches named, or raises ValueError for a bad one."""
        values = {**attrs.asdict(self.switches), **changes}
        unknown = set(changes) - {
            field.name for field in attrs.fields(type(self.switches))
        }
        if unknown:
            raise ValueError(f'no such switch: {sorted(unknown)}')
        checked = msgspec.convert(values, type(self.switches), strict=False)
        for name in changes:
            setattr(self.switches, name, getattr(checked, name))
        if changes.get('silent'):
            self.silent_streams.update(self.open_streams)

    def record(self, request: tornado.httputil.HTTPServerRequest) -> None:
        """Keeps a request for later inspection."""
        if len(self.requests) == REQUESTS_KEPT:
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
    """Refuses orders whose fencing token is older than one seen."""

    newest: dict[str, int] = attrs.field(factory=dict)

    def admits(self, scope: str, token: int) -> bool:
        """Returns whether the token is not older than the newest."""
        if token < self.newest.get(scope, token):
            return False
        self.newest[scope] = token
        return True
