"""A pool of idle connections."""

import collections.abc
import typing

import attrs

from oleanderdrift.gateway import channel

Connect: typing.TypeAlias = collections.abc.Callable[
    [str, int, float], collections.abc.Awaitable[channel.Channel]
]


@attrs.define(kw_only=True)
class Pool:
    """Idle connections by a key that identifies one incarnation of a peer.

    connect opens a connection to a host and port, within a time in seconds.
    """

    connect: Connect = channel.connect
    idle: dict[collections.abc.Hashable, list[channel.Channel]] = attrs.field(
        factory=dict
    )
    opened: int = 0

    async def acquire(
        self,
        key: collections.abc.Hashable,
        host: str,
        port: int,
        timeout_s: float,
        now: float,
    ) -> channel.Channel:
        """Returns an idle connection, or opens one."""
        idle = self.idle.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return await self.open(host, port, timeout_s)

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> channel.Channel:
        """Opens a connection; raises OSError or TimeoutError."""
        self.opened += 1
        return await self.connect(host, port, timeout_s)

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
        if connection.is_reusable(now):
            connection.protocol.idle = True
            self.idle.setdefault(key, []).append(connection)
        else:
            connection.close()

    def close_idle(self, key: collections.abc.Hashable) -> None:
        """Closes the idle connections of a key."""
        for connection in self.idle.pop(key, []):
            connection.close()
