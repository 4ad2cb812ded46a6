"""Decides whether this instance reaches an upstream directly.

An instance may lose its links to upstreams while its peers keep theirs: then
connections hang, are reset or are refused here and nowhere else.  Silence
alone shows nothing, as a sound upstream may be silent for a second; a
connection that cannot be established does.  Only a probe shows that the path
is back, so that no caller's request is risked for it.
"""

import enum
import random
import typing

import attrs

# A path without a byte for so long while a request waits is probed: sooner if
# no other upstream sends anything either.
ALL_SILENT_S: typing.Final = 0.25
ONE_SILENT_S: typing.Final = 0.5
# Bytes of any upstream within this time show that some links are sound.
ALIVE_S: typing.Final = 0.2
# A silent upstream that a probe has reached is probed again after this time.
RECHECK_S: typing.Final = 1.0
# Between the probes of a lost path.
FIRST_PROBE_INTERVAL_S: typing.Final = 0.4
MAX_PROBE_INTERVAL_S: typing.Final = 1.0
PROBE_INTERVAL_GROWTH: typing.Final = 1.2
PROBE_JITTER: typing.Final = 0.2
# Peers that did not reach an upstream are not asked again for this time.
NO_PEER_S: typing.Final = 0.3


class Loss(enum.Enum):
    """How connecting failed.

    After REFUSED, open connections may live on.  After TIMED_OUT they hang.
    """

    REFUSED = 'refused'
    TIMED_OUT = 'timed-out'


def loss_of(error: OSError) -> Loss:
    """Returns how connecting failed."""
    if isinstance(error, TimeoutError):
        return Loss.TIMED_OUT
    return Loss.REFUSED


@attrs.define(kw_only=True)
class Path:
    """The direct path to one start of an upstream.

    loss is None while it is not lost.  confirmed says that a peer reached
    the upstream meanwhile, so that the upstream is not to blame.  heard_at
    is when bytes last came over the path, connected_at when a connection was
    last established, checked_at when a probe last established one, lost_at
    when the path was lost, and probe_at when its next probe is due.  Peers
    are not asked before no_peer_until.
    """

    loss: Loss | None = None
    confirmed: bool = False
    heard_at: float = float('-inf')
    connected_at: float = float('-inf')
    checked_at: float = float('-inf')
    lost_at: float = float('-inf')
    probe_at: float = float('inf')
    probe_interval_s: float = FIRST_PROBE_INTERVAL_S
    no_peer_until: float = float('-inf')

    def note_heard(self, at: float) -> None:
        """Records that bytes came over the path."""
        self.heard_at = max(self.heard_at, at)

    def note_connected(self, now: float) -> bool:
        """Records a connection; returns whether the path was lost."""
        was_lost = self.loss is not None
        self.loss = None
        self.confirmed = False
        self.connected_at = now
        self.probe_at = float('inf')
        self.probe_interval_s = FIRST_PROBE_INTERVAL_S
        self.no_peer_until = float('-inf')
        return was_lost

    def note_timed_out(
        self, started: float, now: float, chance: random.Random
    ) -> bool:
        """Records a time-out of connecting since a time.

        Returns whether the path is lost by it.  A time-out beside other
        bytes of the upstream is one lost packet.
        """
        if max(self.heard_at, self.connected_at) >= started:
            return False
        return self._lose(Loss.TIMED_OUT, now, chance)

    def note_reached_by_peer(
        self, loss: Loss, started: float, now: float, chance: random.Random
    ) -> bool:
        """Records that a peer reached it after connecting had failed here.

        started is when connecting began.  Returns whether this was not
        known.
        """
        self.no_peer_until = float('-inf')
        if self.connected_at >= started:
            return False
        if self.loss is None:
            self._lose(loss, now, chance)
        was_confirmed = self.confirmed
        self.confirmed = True
        return not was_confirmed

    def note_no_peer(self, now: float) -> None:
        """Records that no peer reached the upstream either."""
        self.no_peer_until = now + NO_PEER_S

    def may_ask_peers(self, now: float) -> bool:
        """Returns whether a peer may reach the upstream."""
        return now >= self.no_peer_until

    def is_probe_due(self, now: float) -> bool:
        """Returns whether the lost path is to be probed."""
        return self.loss is not None and now >= self.probe_at

    def schedule_probe(self, now: float, chance: random.Random) -> None:
        """Plans the next probe, each time a little later."""
        jitter = chance.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
        self.probe_at = now + self.probe_interval_s * jitter
        self.probe_interval_s = min(
            self.probe_interval_s * PROBE_INTERVAL_GROWTH,
            MAX_PROBE_INTERVAL_S,
        )

    def is_suspect(
        self, sent_at: float, any_heard_at: float, now: float
    ) -> bool:
        """Returns whether a request's silence calls for a probe.

        any_heard_at is when bytes last came from any upstream directly.
        """
        if now - self.checked_at < RECHECK_S:
            return False
        has_sound_links = now - any_heard_at < ALIVE_S
        limit_s = ONE_SILENT_S if has_sound_links else ALL_SILENT_S
        return now - max(sent_at, self.heard_at) > limit_s

    def _lose(self, loss: Loss, now: float, chance: random.Random) -> bool:
        """Records the loss; returns whether the path was not lost."""
        was_lost = self.loss is not None
        self.loss = loss
        if not was_lost:
            self.lost_at = now
            self.schedule_probe(now, chance)
        return not was_lost
