"""Chooses the instance that grants a program's tokens: its grantor.

All instances rank the same candidates alike, by a hash, so that a program's
turns find the tokens that one instance has reserved for them.  Instances
that differ for a moment use two grantors, each with its own reservation.
Instances of the own data centre go first: most turns of a program come to
one data centre, and go on while it is cut off from the others.
The load that this addresses is a large fleet, in which each turn of a
program reaches an instance that has not seen the program yet.
"""

import typing

import attrs

from oleanderdrift.gateway import relays
from oleanderdrift.gateway import routing

# Smaller fleets do without.  In fleets of any size, turns that come to
# several instances wait less with a grantor, and take fewer calls.
MIN_INSTANCES: typing.Final = 2
# How long a silent grantor is avoided; doubles with each silence.
FIRST_AVOIDANCE_S: typing.Final = 2.0
MAX_AVOIDANCE_S: typing.Final = 16.0
_MASK: typing.Final = 2**64 - 1
# The finalizer of MurmurHash3: each bit of the input changes all others.
_FACTOR: typing.Final = 0xFF51AFD7ED558CCD
_SHIFT: typing.Final = 33


@attrs.define(kw_only=True)
class Avoidance:
    """A grantor that was silent; avoided until a time."""

    until: float
    silences: int


@attrs.define(kw_only=True)
class Grantors:
    """The other instances that are heard and grant tokens, by name.

    hashes has the hashes of their names, and avoided the silent ones.
    data_centre is that of this instance.
    """

    data_centre: str = ''
    peers: dict[str, relays.Instance] = attrs.field(factory=dict)
    hashes: dict[str, int] = attrs.field(factory=dict)
    avoided: dict[str, Avoidance] = attrs.field(factory=dict)

    def note_state(self, instance: relays.Instance) -> None:
        """Records that an instance is heard and is not leaving."""
        if self.peers.get(instance.name) is instance:
            return
        if not instance.grant_address:
            self.forget(instance.name)
            return
        self.peers[instance.name] = instance
        self.hashes[instance.name] = routing.hash_of(instance.name)

    def forget(self, name: str) -> None:
        """Removes an instance that is leaving or silent."""
        self.peers.pop(name, None)
        self.hashes.pop(name, None)

    def choose(
        self, program: str, own: relays.Instance | None, now: float
    ) -> relays.Instance | None:
        """Returns a program's grantor; None if no other instance grants.

        own is this instance if it grants tokens.
        """
        if not self.peers:
            return None
        hashed = routing.hash_of(program)
        best, best_rank = None, (False, -1)
        if own is not None:
            best = own
            best_rank = (True, rank(hashed, routing.hash_of(own.name)))
        for name, each in self.hashes.items():
            peer = self.peers[name]
            is_local = peer.data_centre == self.data_centre
            if best_rank[0] and not is_local:
                continue
            ranked = (is_local, rank(hashed, each))
            if ranked > best_rank and not self.is_avoided(name, now):
                best, best_rank = peer, ranked
        return best

    def avoid(self, name: str, now: float) -> float:
        """Avoids a silent grantor, each time for longer; returns how long."""
        known = self.avoided.get(name)
        silences = known.silences + 1 if known is not None else 1
        pause_s = min(
            FIRST_AVOIDANCE_S * 2.0 ** (silences - 1), MAX_AVOIDANCE_S
        )
        self.avoided[name] = Avoidance(until=now + pause_s, silences=silences)
        return pause_s

    def note_answer(self, name: str) -> None:
        """Records that a grantor has sent something."""
        if self.avoided:
            self.avoided.pop(name, None)

    def is_avoided(self, name: str, now: float) -> bool:
        """Returns whether a grantor was silent lately."""
        known = self.avoided.get(name)
        return known is not None and now < known.until


def rank(program: int, instance: int) -> int:
    """Returns the rank of an instance for a program, from their hashes."""
    mixed = program ^ instance
    mixed ^= mixed >> _SHIFT
    mixed = mixed * _FACTOR & _MASK
    return mixed ^ mixed >> _SHIFT
