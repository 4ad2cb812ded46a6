"""Stand-in of a tool service that counts how often it ran each call."""

import asyncio
import collections
import typing

import attrs
import tornado.web

from standins import faults
from standins import serving


@attrs.define(kw_only=True)
class ToolSwitches(faults.Switches):
    """The tool's faults.

    fail_before and fail_after are how many coming calls close the
    connection without an answer, before or after they ran.  hang_after
    is how many coming calls run and are then never answered.
    """

    check_fencing: bool = False
    delay_s: float = 0.0
    hang: bool = False
    fail_before: int = 0
    fail_after: int = 0
    hang_after: int = 0


@attrs.define(kw_only=True)
class Tool:
    """What the tool has run."""

    runs: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    guard: faults.FencingGuard = attrs.field(factory=faults.FencingGuard)
    fenced: int = 0


class CallHandler(serving.Handler):
    """Runs a call."""

    tool: Tool

    @property
    def switches(self) -> ToolSwitches:
        """The tool's switches."""
        return typing.cast(ToolSwitches, self.frame.switches)

    async def post(self) -> None:
        """Runs the call and echoes it with its run number."""
        self.frame.record(self.request)
        switches = self.switches
        if switches.hang:
            await self.hold()
        if switches.fail_before:
            switches.fail_before -= 1
            self.cut()
        if switches.check_fencing and not self.fencing_admits():
            self.tool.fenced += 1
            raise tornado.web.HTTPError(409)
        run = self.run()
        if switches.delay_s:
            await self.wait_closed(switches.delay_s)
        await self.fail_after_run()
        await self.silence_gate()
        self.write_json(
            {
                'run': run,
                'total': self.tool.runs.total(),
                'path': self.request.path,
                'echo': self.request.body.decode('utf-8', 'replace'),
            }
        )

    def fencing_admits(self) -> bool:
        """Returns whether the call's fencing token is fresh enough."""
        program = self.request.headers.get('X-Program', '')
        token = int(self.request.headers.get('X-Fencing-Token', '0'))
        return self.tool.guard.admits(program, token)

    def run(self) -> int:
        """Counts a run; returns how often this call has now run."""
        key = self.request.headers.get('Idempotency-Key', '')
        self.tool.runs[self.request.path, key] += 1
        return self.tool.runs[self.request.path, key]

    async def fail_after_run(self) -> None:
        """Loses the answer of a call that ran, as the switches say."""
        if self.switches.fail_after:
            self.switches.fail_after -= 1
            self.cut()
        if self.switches.hang_after:
            self.switches.hang_after -= 1
            await self.hold()


def make_app(switches: ToolSwitches | None = None) -> serving.Application:
    """Returns the tool service as an application."""
    frame = faults.Frame(switches=switches or ToolSwitches())
    tool = Tool()

    def report() -> dict[str, typing.Any]:
        return {
            'total': tool.runs.total(),
            'fenced': tool.fenced,
            'runs': [
                {'path': path, 'key': key, 'runs': runs}
                for (path, key), runs in tool.runs.items()
            ],
            'requests': frame.requests,
        }

    return serving.make_application(
        frame, [(r'/.*', CallHandler)], report, tool=tool
    )


def main() -> None:
    """Runs the tool service until SIGTERM."""
    arguments = serving.parser(__doc__ or '')
    arguments.add_argument('--check-fencing', action='store_true')
    options = arguments.parse_args()
    switches = ToolSwitches(check_fencing=options.check_fencing)
    asyncio.run(
        serving.serve(make_app(switches), options.address, options.port)
    )


if __name__ == '__main__':
    main()
