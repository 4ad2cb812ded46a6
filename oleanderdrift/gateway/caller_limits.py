"""How much of its memory and descriptors a process gives to others.

Callers may open connections, and send on them what is allowed, in any number.
What they can fill is derived from what the process needs itself.
"""

import collections.abc
import enum
import typing

import attrs

# What a process uses before it serves anything, if that was not measured.
RESTING_BYTES: typing.Final = 46_137_344
# Beyond this share of the limit, the process at rest is taken to be smaller:
# else a machine that is too small would serve nothing.
MAX_RESTING_SHARE: typing.Final = 0.6
# For the process's own state: configuration, records of turns, peers.
OWN_STATE_SHARE: typing.Final = 0.25
# Of that, for complete turns that are cached, and for budgets of programs.
CACHED_TURNS_SHARE: typing.Final = 0.7
# For where turns are stored, in the index and once more beside it.
TURN_INDEX_SHARE: typing.Final = 0.12
# Some thousands of turns.
MIN_TURN_INDEX_BYTES: typing.Final = 1_048_576
HELD_SHARE: typing.Final = 0.4
# The largest body by default, twice, so that one request always fits.
MIN_HELD_BYTES: typing.Final = 8_388_608
# Python's objects of a connection and of its request, and what is read and
# parsed for it, from its caller and its upstream, before it is counted.
CONNECTION_BYTES: typing.Final = 81_920
# Of these, what the kernel may hold unread.
UNREAD_BYTES: typing.Final = 32_768
MIN_CONNECTIONS: typing.Final = 16
# Listeners, the store, peers, the log and what the interpreter opens.
OWN_DESCRIPTORS_SHARE: typing.Final = 1 / 16
MIN_OWN_DESCRIPTORS: typing.Final = 40
# Each tunnel has two.
TUNNEL_SHARE: typing.Final = 0.1
MAX_TUNNELS: typing.Final = 256
# Connections of peers that have not asked for a tunnel yet.
OPENING_SHARE: typing.Final = 0.25
# Some turns of the event loop pass before their first message is read.
MIN_OPENING: typing.Final = 16
OPERATORS_SHARE: typing.Final = 1 / 40
MIN_OPERATORS: typing.Final = 8
MAX_OPERATORS: typing.Final = 32
OPERATORS_PORTS: typing.Final = 2
LINGERING_SHARE: typing.Final = 1 / 100
MIN_LINGERING: typing.Final = 8
MAX_LINGERING: typing.Final = 16
# Of the descriptors that are left.  Each request may need a connection to an
# upstream besides its caller's, and idle ones are kept.
CLIENT_SHARE: typing.Final = 0.4
IDLE_UPSTREAM_SHARE: typing.Final = 0.5
# A head comes in one piece as a rule, and a pause in a body is short.
MIN_HEAD_AGE_S: typing.Final = 0.3
MIN_SILENCE_S: typing.Final = 1.0
# A body whose bytes come now and then, or wait here to be read.
MIN_SLOW_S: typing.Final = 2.0
# So that not every new connection looks for another to close.
MAX_VICTIMS: typing.Final = 8


@attrs.frozen(kw_only=True)
class CallerLimits:
    """The limits that one process keeps to.

    held_bytes is the budget of `held_bytes`, unread_bytes what the kernel may
    hold of callers' bytes, and cached_turns_bytes what complete turns and
    budgets may take.  turn_index_bytes is for each of two ways to find turns
    in the store.  The others count connections.
    operators is for each of the operators' ports.  opening are connections
    of peers that have not asked for a tunnel yet, and lingering those of
    callers that were refused and still send.
    """

    held_bytes: int
    unread_bytes: int
    cached_turns_bytes: int
    turn_index_bytes: int
    clients: int
    idle_upstreams: int
    tunnels: int
    opening: int
    operators: int
    lingering: int


def derive(
    memory_bytes: int, descriptors: int, resting_bytes: int = RESTING_BYTES
) -> CallerLimits:
    """Returns the limits of a process.

    descriptors is how many it may have open, and resting_bytes the memory
    that it uses before it serves anything.
    """
    resting = min(resting_bytes, int(memory_bytes * MAX_RESTING_SHARE))
    own_state = int(memory_bytes * OWN_STATE_SHARE)
    spare = memory_bytes - resting - own_state
    held = max(int(spare * HELD_SHARE), MIN_HELD_BYTES)
    own = max(int(descriptors * OWN_DESCRIPTORS_SHARE), MIN_OWN_DESCRIPTORS)
    tunnels = min(int(descriptors * TUNNEL_SHARE), MAX_TUNNELS)
    opening = max(int(tunnels * OPENING_SHARE), MIN_OPENING)
    operators = min(
        max(int(descriptors * OPERATORS_SHARE), MIN_OPERATORS), MAX_OPERATORS
    )
    lingering = min(
        max(int(descriptors * LINGERING_SHARE), MIN_LINGERING), MAX_LINGERING
    )
    left = descriptors - own - 2 * tunnels - opening - lingering
    left -= OPERATORS_PORTS * operators
    clients = min(
        int(left * CLIENT_SHARE), int((spare - held) / CONNECTION_BYTES)
    )
    clients = max(clients, MIN_CONNECTIONS)
    return CallerLimits(
        held_bytes=held,
        unread_bytes=clients * UNREAD_BYTES,
        cached_turns_bytes=int(own_state * CACHED_TURNS_SHARE),
        turn_index_bytes=max(
            int(own_state * TURN_INDEX_SHARE), MIN_TURN_INDEX_BYTES
        ),
        clients=clients,
        idle_upstreams=int(clients * IDLE_UPSTREAM_SHARE),
        tunnels=tunnels,
        opening=opening,
        operators=operators,
        lingering=lingering,
    )


class Stage(enum.IntEnum):
    """What a connection waits for; lower ones are closed first."""

    UNUSED = 0
    IDLE = 1
    HEAD = 2
    BODY = 3
    SLOW_BODY = 4
    SERVED = 5


_MIN_AGE_S: typing.Final = {
    Stage.UNUSED: 0.0,
    Stage.IDLE: 0.0,
    Stage.HEAD: MIN_HEAD_AGE_S,
    Stage.BODY: MIN_SILENCE_S,
    Stage.SLOW_BODY: MIN_SLOW_S,
}
_Connection = typing.TypeVar('_Connection')


def victims(
    connections: collections.abc.Iterable[tuple[_Connection, Stage, float]],
    now: float,
) -> list[_Connection]:
    """Returns the connections to close for a new one, if any may be.

    Each comes with its stage and the time since when it has been in it.
    """
    found = [
        (stage, since, number, one)
        for number, (one, stage, since) in enumerate(connections)
        if stage in _MIN_AGE_S and now - since >= _MIN_AGE_S[stage]
    ]
    found.sort(key=lambda each: each[:3])
    return [one for _, _, _, one in found[:MAX_VICTIMS]]
