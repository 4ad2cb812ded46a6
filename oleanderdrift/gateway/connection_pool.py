"""A pool of idle connections."""

import collections.abc
import typing

import attrs

from oleanderdrift.gateway import channel
from oleanderdrift.gateway import own_link

Connect: typing.TypeAlias = collections.abc.Callable[
    [str, int, float], collections.abc.Awaitable[channel.Channel]
]


@attrs.define(kw_only=True)
class Pool:
    """Idle connections by a key that identifies one incarnation of a peer.

    connect opens a connection to a host and port, within a time in seconds.
    link counts what comes on the connections.  At most max_idle are kept.
    """

    connect: Connect = channel.connect
    idle: dict[collections.abc.Hashable, list[channel.Channel]] = attrs.field(
        factory=dict
    )
    opened: int = 0
    link: own_link.OwnLink | None = None
    max_idle: float = float('inf')

    async def acquire(
        self,
        key: collections.abc.Hashable,
        host: str,
        port: int,
        timeout_s: float,
        now: float,
    ) -> channel.Channel:
        """Returns an idle connection, or opens one."""
        idle = self.take(key, now)
        if idle is not None:
            return idle
        return await self.open(host, port, timeout_s)

    def take(
        self,
        key: collections.abc.Hashable,
        now: float,
        is_usable: collections.abc.Callable[[channel.Channel], bool]
        | None = None,
    ) -> channel.Channel | None:
        """Returns an idle connection, if there is one.

        Those that are not usable stay for others.
        """
        idle = self.idle.get(key, [])
        for place in reversed(range(len(idle))):
            if is_usable is not None and not is_usable(idle[place]):
                continue
            connection = idle.pop(place)
            if connection.is_reusable(now):
                return connection
            connection.close()
        return None

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        """Opens a connection; raises OSError or TimeoutError."""
        self.opened += 1
        connection = await self.connect(host, port, timeout_s)
        connection.protocol.link = self.link
        return connection

    def has_idle(self, key: collections.abc.Hashable, now: float) -> bool:
        """Returns whether a connection is open and waits for a request."""
        return any(one.is_reusable(now) for one in self.idle.get(key, ()))

    def release(
        self,
        key: collections.abc.Hashable,
        connection: channel.Channel,
        now: float,
    ) -> None:
        """Pools a connection for reuse, or closes it if not reusable."""
        if self.count() >= self.max_idle:
            self.close_unusable(now)
        if connection.is_reusable(now) and self.count() < self.max_idle:
            connection.protocol.idle = True
            self.idle.setdefault(key, []).append(connection)
        else:
            connection.close()

    def count(self) -> int:
        """Returns how many connections wait for a request."""
        return sum(map(len, self.idle.values()))

    def close_unusable(self, now: float) -> None:
        """Closes the idle connections that their upstreams have closed."""
        for key in list(self.idle):
            self._close_where(key, lambda one: not one.is_reusable(now))

    def close_idle(self, key: collections.abc.Hashable) -> None:
        """Closes the idle connections of a key."""
        for connection in self.idle.pop(key, []):
            connection.close()

    def close_idle_direct(self, key: collections.abc.Hashable) -> None:
        """Closes the idle connections of a key that lead there directly."""
        self._close_where(key, lambda one: not one.via)

    def close_idle_tunnels(self, key: collections.abc.Hashable) -> None:
        """Closes the idle connections of a key that lead through a peer."""
        self._close_where(key, lambda one: bool(one.via))

    def close_idle_via(self, peer: str) -> None:
        """Closes the idle connections that lead through a peer."""
        for key in list(self.idle):
            self._close_where(key, lambda one: one.via == peer)

    def _close_where(
        self,
        key: collections.abc.Hashable,
        unwanted: collections.abc.Callable[[channel.Channel], bool],
    ) -> None:
        """Closes the idle connections of a key that are unwanted."""
        idle = self.idle.pop(key, [])
        kept = []
        for connection in idle:
            if unwanted(connection):
                connection.close()
            else:
                kept.append(connection)
        if kept:
            self.idle[key] = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for key in list(self.idle):
            self.close_idle(key)
