"""The messages that instances exchange, and their codec.

An instance publishes its own state as an envelope.  Relays forward envelopes
unchanged, so that a state that arrives twice is recognised by its sequence
number, whichever relays it came through.
"""

import enum
import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import program_pace
from oleanderdrift.gateway import rate_buckets
from oleanderdrift.gateway import shared_failures
from oleanderdrift.gateway import upstream_limits
from oleanderdrift.gateway import upstream_speed

# Retired incarnations of an instance whose late messages are recognised.
MAX_RETIRED: typing.Final = 4


class Topic(enum.Enum):
    """What a publisher sends; the value is the prefix of the message.

    OWN is the publisher's own state.  DATA_CENTRE are the states of the
    publisher's data centre, for other data centres.  FLEET are all states
    that the publisher receives, for its own data centre.
    """

    OWN = b'o'
    DATA_CENTRE = b'd'
    FLEET = b'f'


class UpstreamLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The load that an instance puts on one upstream.

    running is the number of its open requests, and pending the number of
    their prompt tokens that the upstream has not processed yet.  cached
    holds the parts of their prompts that the upstream has cached lately.
    speed has the instance's newest measurements, None if it has none.
    held counts the prompt and output tokens of its open requests.
    """

    running: bounds.Count
    pending: bounds.Count
    cached: tuple[str, ...] = ()
    speed: upstream_speed.Report | None = None
    held: bounds.Count = 0


class StateUpdate(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The state that an instance publishes to its peers.

    usage is keyed by client account or upstream limit; whole says that it
    names all that were ever requested.  work is keyed by upstream and
    complete.  limits holds what this instance heard of upstreams' limits.
    crashes holds the latest crashes, and blocked for how long requests are
    refused, by fingerprint; it comes with whole updates, and grounds with it,
    the crashes for which they are.  living holds for how many seconds
    upstreams are known to be alive that were said to have crashed.
    unreachable holds the upstreams that the instance cannot reach directly;
    reaches_few says that there are more.  failures counts what upstreams that
    lately broke off answers did with this instance's requests.  paces, which
    come with whole updates, has what programs spent, by service.
    """

    data_centre: bounds.Text
    store_age_s: bounds.Seconds
    usage: dict[str, rate_buckets.Usage]
    whole: bool
    work: dict[str, UpstreamLoad]
    leaving: bool = False
    limits: dict[bounds.Text, upstream_limits.Report] = {}
    crashes: dict[bounds.Text, crash_ledger.CrashReport] = {}
    blocked: dict[bounds.Text, bounds.Seconds] = {}
    living: dict[bounds.Text, bounds.Seconds] = {}
    grounds: dict[bounds.Text, frozenset[bounds.Text]] = {}
    unreachable: frozenset[bounds.Text] = frozenset()
    reaches_few: bool = False
    failures: dict[bounds.Text, shared_failures.Report] = {}
    paces: dict[bounds.Text, program_pace.Report] = {}


class Envelope(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One instance's encoded state, with its place in the order of states.

    incarnation is random: the time of day may be stepped between two starts
    of an instance.
    """

    instance: bounds.Text
    incarnation: int
    sequence: bounds.Count
    state: msgspec.Raw


class Bundle(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The envelopes that one publisher sends at once."""

    publisher: bounds.Text
    envelopes: list[Envelope]


_BUNDLE_DECODER: typing.Final = msgspec.msgpack.Decoder(Bundle)
_STATE_DECODER: typing.Final = msgspec.msgpack.Decoder(StateUpdate)


def encode_state(state: StateUpdate) -> msgspec.Raw:
    """Encodes a state for an envelope."""
    return msgspec.Raw(msgspec.msgpack.encode(state))


def decode_state(envelope: Envelope) -> StateUpdate:
    """Decodes an envelope's state; raises one of decoding.DECODE_ERRORS."""
    return _STATE_DECODER.decode(envelope.state)


def encode_bundle(topic: Topic, bundle: Bundle) -> bytes:
    """Encodes a bundle with its topic."""
    return topic.value + msgspec.msgpack.encode(bundle)


def decode_bundle(data: bytes) -> Bundle:
    """Decodes a message; raises one of decoding.DECODE_ERRORS."""
    return _BUNDLE_DECODER.decode(memoryview(data)[1:])


@attrs.define(kw_only=True)
class Newest:
    """The newest state that was received of one instance."""

    incarnation: int
    sequence: int
    retired: tuple[int, ...] = ()


@attrs.define(kw_only=True)
class Sequences:
    """Tells new states from those received before, by instance."""

    newest: dict[str, Newest] = attrs.field(factory=dict)

    def accept(self, envelope: Envelope) -> bool:
        """Records an envelope; returns whether its state is new."""
        known = self.newest.get(envelope.instance)
        if known is None:
            self.newest[envelope.instance] = Newest(
                incarnation=envelope.incarnation, sequence=envelope.sequence
            )
            return True
        if envelope.incarnation == known.incarnation:
            if envelope.sequence <= known.sequence:
                return False
            known.sequence = envelope.sequence
            return True
        if envelope.incarnation in known.retired:
            return False
        known.retired = (*known.retired, known.incarnation)[-MAX_RETIRED:]
        known.incarnation = envelope.incarnation
        known.sequence = envelope.sequence
        return True
