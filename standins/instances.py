"""Stand-in of the platform's lagging list of instances."""

import asyncio
import time
import typing

import attrs
import msgspec

from standins import faults
from standins import serving


@attrs.define(kw_only=True)
class ListSwitches(faults.Switches):
    """The list's faults: lag_s is how old the list is that it shows."""

    lag_s: float = 0.0


@attrs.frozen(kw_only=True)
class Instance:
    """An entry of the list."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: typing.Literal['live', 'leaving'] = 'live'


@attrs.frozen(kw_only=True)
class View:
    """The list as it was from a moment on."""

    since: float
    instances: dict[str, Instance]


@attrs.define(kw_only=True)
class InstanceList:
    """Every state that the list has had, the newest last."""

    views: list[View] = attrs.field(
        factory=lambda: [View(since=float('-inf'), instances={})]
    )

    def change(self, now: float, name: str, entry: Instance | None) -> None:
        """Sets an entry, or removes it."""
        instances = dict(self.views[-1].instances)
        instances.pop(name, None)
        if entry is not None:
            instances[name] = entry
        self.views.append(View(since=now, instances=instances))

    def seen(self, moment: float) -> list[Instance]:
        """Returns the entries as they were at a moment."""
        view = next(v for v in reversed(self.views) if v.since <= moment)
        return sorted(view.instances.values(), key=lambda entry: entry.name)


class ListHandler(serving.Handler):
    """Shows the list."""

    instances: InstanceList

    def get(self) -> None:
        """Answers with the list as it was lag_s ago."""
        switches = typing.cast(ListSwitches, self.frame.switches)
        moment = time.monotonic() - switches.lag_s
        self.write_json(self.instances.seen(moment))


class EntryHandler(serving.Handler):
    """Changes one entry."""

    instances: InstanceList

    def put(self, name: str) -> None:
        """Registers or updates an instance."""
        try:
            entry = msgspec.json.decode(self.request.body, type=Instance)
        except msgspec.MsgspecError as error:
            self.write_json({'error': str(error)}, 400)
            return
        if entry.name != name:
            self.write_json({'error': 'the names differ'}, 400)
            return
        self.instances.change(time.monotonic(), name, entry)
        self.write_json(entry)

    def delete(self, name: str) -> None:
        """Removes an instance."""
        self.instances.change(time.monotonic(), name, None)
        self.write_json({})


def make_app(switches: ListSwitches | None = None) -> serving.Application:
    """Returns the instance list as an application."""
    instances = InstanceList()

    def report() -> dict[str, typing.Any]:
        return {'instances': instances.seen(time.monotonic())}

    return serving.make_application(
        faults.Frame(switches=switches or ListSwitches()),
        [
            (r'/v1/instances', ListHandler),
            (r'/v1/instances/([\w.-]+)', EntryHandler),
        ],
        report,
        instances=instances,
    )


def main() -> None:
    """Runs the instance list until SIGTERM."""
    options = serving.parser(__doc__ or '').parse_args()
    asyncio.run(serving.serve(make_app(), options.address, options.port))


if __name__ == '__main__':
    main()
