"""Estimates how fast an upstream is, from the measurements of all instances.

The load that it addresses: some upstreams of a service turn several times as
slow while many instances share them.  Each instance alone sends an upstream
too few requests to notice in time.  So instances tell each other their newest
measurements, and each applies all of them to its own estimate, in the order
in which they come.  Bounded steps and medians keep a single measurement, or
a single instance, from changing an estimate.
"""

import math
import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds

# Measurements of an instance that a message carries; more in one interval
# between messages are not told.
MAX_REPORTED: typing.Final = 2
# A measurement is repeated in messages for this long; they can be lost.
REPORTED_S: typing.Final = 1.0
# The newest measurements, whose median shows a sudden change.  Calls vary so
# much that of five, three often take twice as long as usual by chance.
WINDOW: typing.Final = 7
# The newest of them show that it is fast again; to be wrong costs little.
RECOVERY_WINDOW: typing.Final = 3
# Of these, at most so many are from one instance.
MAX_VOTES: typing.Final = 2
# While there are fewer, those that are missing count as usual.
MIN_VOTES: typing.Final = 3
# A median that is off by this factor is a change and not chance.
JUMP: typing.Final = math.log(2.2)
# The step of the average, as a part of the distance and at the most.
SMOOTHING_FACTOR: typing.Final = 0.1
MAX_CHANGE: typing.Final = math.log(1.5)
# A ratio without measurements is kept for this time, then falls towards 1.
KEPT_S: typing.Final = 2.0
DECAY_S: typing.Final = 4.0
# Ratios are told as a byte, in steps of 6.5%.
CODES_PER_OCTAVE: typing.Final = 11
CODE_OF_ONE: typing.Final = 44
MAX_CODE: typing.Final = 127
# Times are told as a byte, from 0.1 us on in steps of 7.2%.
TIME_CODES_PER_OCTAVE: typing.Final = 10
FIRST_TIME_S: typing.Final = 1e-7
MAX_TIME_CODE: typing.Final = 255
COUNTS: typing.Final = 65_536
# The tags of two starts of one upstream differ.
TAGS: typing.Final = 65_536
# Requests to an upstream that was slow, to see whether it still is: only after
# nobody has measured it for a while, and at most so many a second from all
# instances.
RETRY_AFTER_S: typing.Final = 0.1
RETRIES_PER_S: typing.Final = 20.0

Code: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CODE)]
TimeCode: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_TIME_CODE)
]
Tag: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, lt=max(COUNTS, TAGS))
]


Value = typing.TypeVar('Value')


class TurnPoint(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A measured turn of an engine.

    running is the number of requests there.  token and reading are the codes
    of the times for each token and for each prompt token, None if its prompt
    was too short to tell.
    """

    running: bounds.Slots
    token: TimeCode
    reading: TimeCode | None = None


class Report(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An instance's newest measurements of one start of an upstream.

    start is the start's tag.  count is the number of measured calls so far,
    modulo COUNTS, by which a receiver knows the ratios that are new to it,
    and turn_count that of turns.
    """

    start: Tag
    count: Tag
    ratios: tuple[Code, ...] = ()
    turn_count: Tag = 0
    turns: tuple[TurnPoint, ...] = ()


def tag(born_ms: int) -> int:
    """Returns the tag of an upstream's start."""
    return born_ms % TAGS


def encode_ratio(log_ratio: float) -> int:
    """Returns the code of a ratio, bounded."""
    code = round(log_ratio / math.log(2.0) * CODES_PER_OCTAVE) + CODE_OF_ONE
    return min(max(code, 0), MAX_CODE)


def decode_ratio(code: int) -> float:
    """Returns the logarithm of a ratio."""
    return (code - CODE_OF_ONE) / CODES_PER_OCTAVE * math.log(2.0)


def encode_s(time_s: float) -> int:
    """Returns the code of a time, bounded."""
    octaves = math.log2(max(time_s, FIRST_TIME_S) / FIRST_TIME_S)
    return min(round(octaves * TIME_CODES_PER_OCTAVE), MAX_TIME_CODE)


def decode_s(code: int) -> float:
    """Returns the time of a code."""
    return FIRST_TIME_S * math.exp2(code / TIME_CODES_PER_OCTAVE)


@attrs.define(kw_only=True)
class Series(typing.Generic[Value]):
    """An instance's newest measurements, and the counts that it has heard.

    count is the number of its own, modulo COUNTS, newest are the latest of
    them and at is when the last one was made.
    """

    count: int = 0
    newest: tuple[Value, ...] = ()
    at: float = float('-inf')
    heard: dict[str, int] = attrs.field(factory=dict)

    def add(self, value: Value, now: float) -> None:
        """Adds a measurement, to be told to peers."""
        self.count = (self.count + 1) % COUNTS
        self.newest = (*self.newest, value)[-MAX_REPORTED:]
        self.at = now

    def is_due(self, now: float) -> bool:
        """Returns whether peers are to be told the newest measurements."""
        return now - self.at <= REPORTED_S

    def new_ones(
        self, peer: str, count: int, values: tuple[Value, ...]
    ) -> tuple[Value, ...]:
        """Returns those of a peer's measurements that are new."""
        known = self.heard.get(peer)
        if known == count:
            return ()
        self.heard[peer] = count
        new = min(len(values), MAX_REPORTED)
        if known is not None:
            new = min((count - known) % COUNTS, new)
        return values[len(values) - new :]


@attrs.define(kw_only=True)
class OpenCall:
    """A call that was sent to a plain upstream.

    usual_s is what calls of its route usually take, None if that is unknown.
    factor is by how much its upstream's queue and warm objects change this,
    and expected_s the product with the upstream's ratio.
    """

    route: str
    sent_at: float
    factor: float
    usual_s: float | None
    expected_s: float | None
    is_overdue: bool = False


@attrs.frozen(kw_only=True)
class Vote:
    """A measured ratio, as a logarithm, with the instance that measured."""

    source: str
    log_ratio: float


@attrs.define(kw_only=True)
class SpeedRatio:
    """The ratio of an upstream's time to what is usual.

    log_mean is its logarithm.  votes are the newest measurements, the latest
    last, and measured_at is when the latest one came.  retried_at is when
    this instance last sent a request here although the upstream was slow.
    jump is the change, as a logarithm, at which it follows the median, and
    smoothing the step otherwise.
    """

    log_mean: float = 0.0
    votes: list[Vote] = attrs.field(factory=list)
    measured_at: float = float('-inf')
    series: Series[int] = attrs.field(factory=lambda: Series())
    jump: float = JUMP
    smoothing: float = SMOOTHING_FACTOR
    retried_at: float = float('-inf')

    def ratio(self, now: float) -> float:
        """Returns the ratio; one that nobody measures falls towards 1."""
        if not self.log_mean:
            return 1.0
        idle_s = now - self.measured_at - KEPT_S
        if idle_s <= 0.0:
            return math.exp(self.log_mean)
        return math.exp(self.log_mean * math.exp(-idle_s / DECAY_S))

    def note_own(self, log_ratio: float, now: float) -> None:
        """Applies a measurement of this instance, to be told to peers."""
        code = encode_ratio(log_ratio)
        self.series.add(code, now)
        # As peers apply it, so that all have the same estimate.
        self.apply('', decode_ratio(code), now)

    def apply(self, source: str, log_ratio: float, now: float) -> None:
        """Applies one measurement."""
        self.measured_at = now
        votes = self.votes
        same = [one for one in votes if one.source == source]
        if len(same) >= MAX_VOTES:
            votes.remove(same[0])
        votes.append(Vote(source=source, log_ratio=log_ratio))
        del votes[:-WINDOW]
        recent = self.median(WINDOW)
        newest = self.median(RECOVERY_WINDOW)
        if recent - self.log_mean > self.jump:
            self.log_mean = recent
            return
        if self.log_mean - newest > self.jump:
            self.log_mean = newest
            return
        change = min(max(log_ratio - self.log_mean, -MAX_CHANGE), MAX_CHANGE)
        self.log_mean += self.smoothing * change

    def median(self, count: int) -> float:
        """Returns the median of so many of the newest measurements."""
        ordered = [one.log_ratio for one in self.votes[-count:]]
        ordered += [0.0] * (MIN_VOTES - len(ordered))
        ordered.sort()
        return ordered[len(ordered) // 2]

    def try_retry(self, now: float, instances: int) -> bool:
        """Returns whether a slow upstream may be tried again now."""
        if (
            now - self.measured_at < RETRY_AFTER_S
            or now - self.retried_at < instances / RETRIES_PER_S
        ):
            return False
        self.retried_at = now
        return True
