"""Estimates how fast an engine reads prompts and generates tokens.

The load that it addresses: engines of one service differ by a factor of two,
slow down as more requests run, and may turn several times as slow at any
moment.  Seconds per token are a line over the running requests, times a ratio
that shows a sudden change and that falls back to 1 while nobody measures it.
Instances tell each other their newest measurements, as `upstream_speed` does
for calls.
"""

import math
import typing

import attrs

from oleanderdrift.gateway import upstream_speed
from oleanderdrift import speed as speed_lib

# An engine of which nothing has been measured.
READING_S: typing.Final = 1 / 200_000
TOKEN_S: typing.Final = 0.0013
# A turn of usual length, without prefill.
TURN_DECODE_S: typing.Final = 0.33
TURN_TOKENS: typing.Final = TURN_DECODE_S / TOKEN_S
# What each running request adds to the time of a turn.
BATCH_SLOWDOWN_S: typing.Final = 0.003
# The assumed line counts as so many measurements at each of two loads.
SEED_POINTS: typing.Final = 3
SEED_LOADS: typing.Final = (1, 8)
# Some hundred measurements; those of all instances come fast.
DECAY: typing.Final = 0.995
# A median that is off by this factor is a change and not chance.
JUMP: typing.Final = math.log(1.6)
# The first measurements tell the usual speed; after them, a change that stays
# becomes usual by this part with each one.
LEARNING_POINTS: typing.Final = 10
FOLDED_SHARE: typing.Final = 0.01
# The weight of a new measurement in the mean of recent ones.
RECENT_SHARE: typing.Final = 0.1
MIN_RECENT_POINTS: typing.Final = 5
# One measurement is taken to be off by this factor at the most.
MAX_FACTOR: typing.Final = 1.5
# The time to the first event of a prompt that is read in the time of fewer
# tokens is mostly other than reading.
MIN_READING: typing.Final = 20
MAX_READING_FACTOR: typing.Final = 2.0
# The time of an answer in which the instance was held up for a larger part,
# by its link, its caller or its processor, says nothing.
MAX_HELD_SHARE: typing.Final = 0.25
MIN_TIME_S: typing.Final = 1e-7


class TurnTimes(typing.NamedTuple):
    """The times of a turn's answer, on one clock.

    unread_tokens were to be read before its first event.  tokens is how many
    it has, with tokens_per_event in each event.  running is the mean number
    of requests on the engine meanwhile.  read_held_s and held_s are for how
    long the instance was held up before and after the first event.
    """

    unread_tokens: int
    tokens: int
    tokens_per_event: int
    running: float
    sent_at: float
    first_at: float
    last_at: float
    read_held_s: float
    held_s: float


@attrs.define(kw_only=True)
class EngineSpeed:
    """The speed of one start of an engine.

    points counts the measurements of all instances, max_running is the
    highest load at which one was made, recent_s the mean time per token of the
    latest ones, and least_s the lowest such mean.  expected_s and
    measured_s are the sums of the times of the turns that
    this instance has measured there.
    """

    speed: speed_lib.Speed = attrs.field(factory=lambda: _seed())
    ratio: upstream_speed.SpeedRatio = attrs.field(
        factory=lambda: upstream_speed.SpeedRatio(jump=JUMP, smoothing=0.0)
    )
    series: upstream_speed.Series[upstream_speed.TurnPoint] = attrs.field(
        factory=lambda: upstream_speed.Series()
    )
    points: int = 0
    max_running: int = 0
    recent_s: float = 0.0
    least_s: float = float('inf')
    expected_s: float = 0.0
    measured_s: float = 0.0

    def token_s(self, running: float, now: float) -> float:
        """Returns the time per token while so many requests run."""
        line_s = speed_lib.decode_s(self.speed, running)
        return line_s * self.ratio.ratio(now)

    def idle_token_s(self) -> float:
        """Returns the time per token of its only request, as it usually is."""
        return speed_lib.decode_s(self.speed, 1.0)

    def least_token_s(self) -> float:
        """Returns the time per token of an engine that is hardly busy.

        On one that was always busy, idle_token_s is far too high.
        """
        return min(self.least_s, self.idle_token_s())

    def turn_s(self, running: float, now: float) -> float:
        """Returns the time of a turn of usual length, without prefill."""
        return self.token_s(running, now) * TURN_TOKENS

    def reading_s(self) -> float:
        """Returns the time per prompt token that is not cached."""
        return self.speed.prefill_s

    def note_turn(self, times: TurnTimes, now: float) -> None:
        """Applies a measured turn of this instance, to be told to peers."""
        span_s = times.last_at - times.first_at
        events = times.tokens // times.tokens_per_event
        if events < 2 or times.held_s > span_s * MAX_HELD_SHARE:
            return
        tokens = (events - 1) * times.tokens_per_event
        token_s = max((span_s - times.held_s) / tokens, MIN_TIME_S)
        reading = None
        read_s = times.first_at - times.sent_at - times.read_held_s
        read_s -= token_s * times.tokens_per_event
        if (
            times.unread_tokens * self.reading_s() >= token_s * MIN_READING
            and read_s > 0.0
            and times.read_held_s <= read_s * MAX_HELD_SHARE
        ):
            reading = upstream_speed.encode_s(read_s / times.unread_tokens)
        self.expected_s += (
            times.unread_tokens * self.reading_s()
            + times.tokens * self.token_s(times.running, now)
        )
        self.measured_s += times.last_at - times.sent_at
        point = upstream_speed.TurnPoint(
            # Peers would not read a state with a value out of range.
            running=max(round(times.running), 1),
            token=upstream_speed.encode_s(token_s),
            reading=reading,
        )
        self.series.add(point, now)
        self.apply('', point, now)

    def apply(
        self, source: str, point: upstream_speed.TurnPoint, now: float
    ) -> None:
        """Applies one measurement, its steps bounded."""
        line_s = speed_lib.decode_s(self.speed, point.running)
        token_s = upstream_speed.decode_s(point.token)
        self.ratio.apply(source, math.log(token_s / line_s), now)
        self.points += 1
        self.max_running = max(self.max_running, point.running)
        weight = max(RECENT_SHARE, 1 / self.points)
        self.recent_s += weight * (token_s - self.recent_s)
        if self.points >= MIN_RECENT_POINTS:
            self.least_s = min(self.least_s, self.recent_s)
        if self.points <= LEARNING_POINTS:
            if self.ratio.log_mean:
                line_s *= self.fold(1.0)
                self.ratio.votes.clear()
        elif self.ratio.log_mean:
            line_s *= self.fold(FOLDED_SHARE)
        factor = token_s / (line_s * math.exp(self.ratio.log_mean))
        factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)
        speed_lib.add_point(
            self.speed.decode, point.running, line_s * factor, DECAY
        )
        if point.reading is None:
            return
        known_s = self.speed.prefill_s
        reading_s = upstream_speed.decode_s(point.reading)
        speed_lib.update_prefill(
            self.speed,
            min(
                max(reading_s, known_s / MAX_READING_FACTOR),
                known_s * MAX_READING_FACTOR,
            ),
        )

    def fold(self, share: float) -> float:
        """Moves a part of the ratio into the line; returns its factor."""
        moved = self.ratio.log_mean * share
        self.ratio.log_mean -= moved
        factor = math.exp(moved)
        self.speed.decode.y *= factor
        self.speed.decode.xy *= factor
        return factor


def _seed() -> speed_lib.Speed:
    """Returns the speed of an engine of which nothing has been measured."""
    # The first measurement of reading is one of several, not the only one.
    speed = speed_lib.Speed(prefill_s=READING_S, prefill_samples=1)
    for load in SEED_LOADS * SEED_POINTS:
        slowdown_s = BATCH_SLOWDOWN_S / TURN_TOKENS * (load - 1)
        speed_lib.add_point(speed.decode, load, TOKEN_S + slowdown_s)
    return speed
