"""Stand-in for the platform's instance list, which may be out of date."""

import asyncio
import time
import typing

import attrs
import msgspec

from standins import faults
from standins import serving


@attrs.define(kw_only=True)
class ListSwitches(faults.Switches):
    """The list's faults; lag_s is the age of the list that it returns."""

    lag_s: float = 0.0


@attrs.frozen(kw_only=True)
class Instance:
    """One entry of the list."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: typing.Literal['live', 'leaving'] = 'live'


@attrs.frozen(kw_only=True)
class Snapshot:
    """The entries by name from a moment on."""

    since: float
    instances: dict[str, Instance]


@attrs.define(kw_only=True)
class InstanceList:
    """The list with its whole history, newest snapshot last."""

    snapshots: list[Snapshot] = attrs.field(
        factory=lambda: [Snapshot(since=float('-inf'), instances={})]
    )

    def set_entry(self, now: float, name: str, entry: Instance | None) -> None:
        """Adds or replaces an entry, or removes it if entry is None."""
        instances = dict(self.snapshots[-1].instances)
        instances.pop(name, None)
        if entry is not None:
            instances[name] = entry
        self.snapshots.append(Snapshot(since=now, instances=instances))

    def entries_at(self, moment: float) -> list[Instance]:
        """Returns the entries as of a moment, sorted by name."""
        snapshot = next(
            s for s in reversed(self.snapshots) if s.since <= moment
        )
        return sorted(
            snapshot.instances.values(), key=lambda entry: entry.name
        )


class ListHandler(serving.Handler):
    """Handles reads of the list."""

    instances: InstanceList

    def get(self) -> None:
        """Answers with the list as of lag_s ago."""
        switches = typing.cast(ListSwitches, self.state.switches)
        moment = time.monotonic() - switches.lag_s
        self.write_json(self.instances.entries_at(moment))


class EntryHandler(serving.Handler):
    """Handles changes of one entry."""

    instances: InstanceList

    def put(self, name: str) -> None:
        """Adds or updates an instance."""
        try:
            entry = msgspec.json.decode(self.request.body, type=Instance)
        except msgspec.MsgspecError as error:
            self.write_json({'error': str(error)}, 400)
            return
        if entry.name != name:
            self.write_json(
                {'error': 'the names in the path and the body differ'}, 400
            )
            return
        self.instances.set_entry(time.monotonic(), name, entry)
        self.write_json(entry)

    def delete(self, name: str) -> None:
        """Removes an instance."""
        self.instances.set_entry(time.monotonic(), name, None)
        self.write_json({})


def make_app(switches: ListSwitches | None = None) -> serving.Application:
    """Returns the instance list as an application."""
    instances = InstanceList()

    def report() -> dict[str, typing.Any]:
        return {'instances': instances.entries_at(time.monotonic())}

    return serving.make_application(
        faults.ServerState(switches=switches or ListSwitches()),
        [
            (r'/v1/instances', ListHandler),
            (r'/v1/instances/([\w.-]+)', EntryHandler),
        ],
        report,
        instances=instances,
    )


def main() -> None:
    """Runs the instance list until SIGTERM."""
    options = serving.make_parser(__doc__ or '').parse_args()
    asyncio.run(serving.serve(make_app(), options.address, options.port))


if __name__ == '__main__':
    main()
