"""Stand-in for a tool service that counts how often it ran each call."""

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

    fail_before and fail_after are the numbers of coming calls that close
    the connection without an answer, before or after they run.  hang_after
    is the number of coming calls that run but are never answered.  While
    hang is set, no call runs or is answered.  delay_s is the time between
    a run and its answer.
    """

    check_fencing: bool = False
    delay_s: float = 0.0
    hang: bool = False
    fail_before: int = 0
    fail_after: int = 0
    hang_after: int = 0


@attrs.define(kw_only=True)
class Tool:
    """Run counts by path and idempotency key; fenced counts refusals."""

    runs: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    guard: faults.FencingGuard = attrs.field(factory=faults.FencingGuard)
    fenced: int = 0


class CallHandler(serving.Handler):
    """Handles calls of any path."""

    tool: Tool

    @property
    def switches(self) -> ToolSwitches:
        """The tool's switches."""
        return typing.cast(ToolSwitches, self.state.switches)

    async def post(self) -> None:
        """Runs the call; answers with its body and how often it has run."""
        self.state.record(self.request)
        switches = self.switches
        if switches.hang:
            await self.hang()
        if switches.fail_before:
            switches.fail_before -= 1
            self.close_connection()
        if switches.check_fencing and not self.is_token_current():
            self.tool.fenced += 1
            raise tornado.web.HTTPError(409)
        run = self.count_run()
        if switches.delay_s:
            await self.wait_for_disconnect(switches.delay_s)
        await self.fail_after_run()
        await self.hang_if_silent()
        self.write_json(
            {
                'run': run,
                'total': self.tool.runs.total(),
                'path': self.request.path,
                'echo': self.request.body.decode('utf-8', 'replace'),
            }
        )

    def is_token_current(self) -> bool:
        """Returns whether the call's fencing token is current."""
        program = self.request.headers.get('X-Program', '')
        token = int(self.request.headers.get('X-Fencing-Token', '0'))
        return self.tool.guard.admit(program, token)

    def count_run(self) -> int:
        """Counts a run; returns how often this call has run so far."""
        key = self.request.headers.get('Idempotency-Key', '')
        self.tool.runs[self.request.path, key] += 1
        return self.tool.runs[self.request.path, key]

    async def fail_after_run(self) -> None:
        """Withholds the answer of a call that ran, if a switch asks."""
        if self.switches.fail_after:
            self.switches.fail_after -= 1
            self.close_connection()
        if self.switches.hang_after:
            self.switches.hang_after -= 1
            await self.hang()


def make_app(switches: ToolSwitches | None = None) -> serving.Application:
    """Returns the tool service as an application."""
    state = faults.ServerState(switches=switches or ToolSwitches())
    tool = Tool()

    def report() -> dict[str, typing.Any]:
        return {
            'total': tool.runs.total(),
            'fenced': tool.fenced,
            'runs': [
                {'path': path, 'key': key, 'runs': runs}
                for (path, key), runs in tool.runs.items()
            ],
            'requests': state.requests,
        }

    return serving.make_application(
        state, [(r'/.*', CallHandler)], report, tool=tool
    )


def main() -> None:
    """Runs the tool service until SIGTERM."""
    arguments = serving.make_parser(__doc__ or '')
    arguments.add_argument('--check-fencing', action='store_true')
    options = arguments.parse_args()
    switches = ToolSwitches(check_fencing=options.check_fencing)
    asyncio.run(
        serving.serve(make_app(switches), options.address, options.port)
    )


if __name__ == '__main__':
    main()
