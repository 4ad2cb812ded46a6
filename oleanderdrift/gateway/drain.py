"""Stops an instance; requests end by themselves, or in time with an answer.

The instance first reports that it is not ready, so that the load balancer
sends no new connections.  Callers on open connections are told to reconnect
with each response.  Connections that were already on their way when the
listener closes are accepted and served.  New tunnels are refused, and peers
are told to end theirs.  Programs get another grantor, and what this one holds
of their budgets is returned.
"""

import asyncio
import typing

import attrs

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import ingress as ingress_lib
from oleanderdrift.gateway import tunnel_server
from oleanderdrift.gateway import turn_flow
from oleanderdrift import logs

# The load balancer probes readiness once a second and notices a change
# within two probes.
LOAD_BALANCER_GRACE_S: typing.Final = 3.0
# During a drain, client connections idle for this long are closed.
IDLE_TIMEOUT_S: typing.Final = 1.0
# The part of the time to stop that is reserved for the last answers, the last
# writes and the end of the process.
STOP_MARGIN_S: typing.Final = 0.9
# Requests that end with the stop are answered in this time.
LAST_ANSWERS_S: typing.Final = 0.1
# The last writes, to a store that may be slow or silent.
FLUSH_TIMEOUT_S: typing.Final = 0.6
POLL_INTERVAL_S: typing.Final = 0.05
# Accepting a connection that is on its way takes one turn of the loop.
ACCEPT_TURNS: typing.Final = 3


@attrs.define(kw_only=True)
class Drain:
    """Stops the parts of an instance that serve requests."""

    board: board_lib.Board
    ingress: ingress_lib.Ingress
    turns: turn_flow.TurnFlow
    tunnels: tunnel_server.TunnelServer

    async def run(self) -> None:
        """Completes the open requests within the time to stop."""
        started = clock.monotonic()
        deadline = started + self.board.settings.stop_s - STOP_MARGIN_S
        self.board.stopping = True
        self.board.stop_deadline = deadline
        logs.info(
            'draining',
            open=self.board.open_requests,
            tunnels=len(self.tunnels.open),
        )
        self.ingress.forwarder.end_by(deadline)
        self.tunnels.leave()
        self.turns.grants.hand_over()
        await asyncio.sleep(LOAD_BALANCER_GRACE_S)
        await close_listener(self.ingress)
        while clock.monotonic() < deadline + LAST_ANSWERS_S:
            self.ingress.close_idle(clock.monotonic(), IDLE_TIMEOUT_S)
            # Also gives the connections just accepted the time to begin.
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self.has_work():
                break
        if self.board.open_requests:
            logs.warning('requests-cut', open=self.board.open_requests)
        if self.tunnels.open:
            logs.warning('tunnels-cut', open=len(self.tunnels.open))
        await self.flush()

    def has_work(self) -> bool:
        """Returns whether callers or peers still use their connections.

        A request may go on when its client has left.
        """
        return bool(
            self.ingress.readers
            or self.board.open_requests
            or self.tunnels.open
        )

    async def flush(self) -> None:
        """Writes what the store does not have yet."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self.turns.flush()
        except TimeoutError:
            logs.warning('turns-not-flushed', reason='timeout at stop')


async def close_listener(ingress: ingress_lib.Ingress) -> None:
    """Stops listening; accepts the connections of the backlog first.

    Closing a listening socket resets those, with the requests that their
    clients have sent.  With the smallest backlog the kernel completes no
    further ones meanwhile.
    """
    for listener in ingress.listeners:
        listener.listen(0)
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
    ingress.server.stop()
