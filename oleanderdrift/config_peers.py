"""Decides how instances exchange the configuration with peers.

The log stays the only source: a peer relays its records with their
offsets or, to an instance that is too far behind, a snapshot of its
state with the next offset.  An instance sends requests while it cannot
tell from the log that it is up to date, and while it knows of keys
withdrawn directly.
"""

import typing

import attrs

from oleanderdrift import config_reader
from oleanderdrift import config_state
from oleanderdrift import key_trust
from oleanderdrift import log_client
from oleanderdrift import membership
from oleanderdrift import messages
from oleanderdrift import model

REQUEST_INTERVAL_S: typing.Final = 2.0
# Longer than the long poll of the log, so that a reader in contact with
# the log does not ask peers.
STALE_AFTER_S: typing.Final = 4.0
MAX_RELAYED_RECORDS: typing.Final = 200
# Neighbours of an instance in its own data centre and in all others.
LOCAL_NEIGHBOURS: typing.Final = 4
REMOTE_NEIGHBOURS: typing.Final = 4

ConfigResponse: typing.TypeAlias = (
    messages.ConfigRecords | messages.ConfigState
)


@attrs.frozen(kw_only=True)
class PeerUpdate:
    """The effect of a peer's response.

    complete_at is a time, on the requester's clock, at which its
    configuration was complete, or None if the response proves none.
    """

    changes: tuple[model.ObjectChange, ...]
    complete_at: float | None


def neighbours(
    members: membership.Members, now: float
) -> list[membership.Member]:
    """Returns the few live peers with which this instance exchanges.

    They are chosen by rendezvous hashing, so that each instance has its
    own selection, each has few links even in a large fleet, and a change
    of membership changes few of them.
    """
    this = members.this
    ranked = sorted(
        (
            member
            for member in membership.alive(members, now)
            if member.name != this.name
        ),
        key=lambda member: membership.weight(this.name, member.name),
    )
    local = [one for one in ranked if one.data_centre == this.data_centre]
    remote = [one for one in ranked if one.data_centre != this.data_centre]
    return local[:LOCAL_NEIGHBOURS] + remote[:REMOTE_NEIGHBOURS]


def build_request(
    reader: config_reader.ConfigReader,
    trust: key_trust.KeyTrust,
    last_contact: float | None,
    now: float,
) -> messages.ReadConfig | None:
    """Returns the request to send to peers now, or None if not needed.

    It is to be sent to the neighbours every REQUEST_INTERVAL_S.  A fresh
    instance sends it to only one, since the response is large.
    """
    in_contact = (
        last_contact is not None
        and now - last_contact < STALE_AFTER_S
        and reader.gap_end is None
    )
    if in_contact and not trust.withdrawn:
        return None
    return messages.ReadConfig(
        next_offset=reader.config.next_offset,
        withdrawn=tuple(sorted(trust.withdrawn)),
    )


def build_response(
    reader: config_reader.ConfigReader,
    trust: key_trust.KeyTrust,
    request: messages.ReadConfig,
    last_contact: float | None,
    now: float,
) -> ConfigResponse:
    """Returns the response to a peer's request.

    last_contact is when this instance's configuration was last known to
    be complete, on the same clock as now; None if it never was.
    """
    age_s = None if last_contact is None else max(0.0, now - last_contact)
    withdrawn = tuple(sorted(trust.withdrawn))
    next_offset = reader.config.next_offset
    start = max(request.next_offset, config_reader.FIRST_OFFSET)
    if next_offset > start and not _in_tail(reader, start):
        return messages.ConfigState(
            snapshot=config_state.snapshot(reader.config),
            age_s=age_s,
            withdrawn=withdrawn,
        )
    records = [
        messages.ConfigRecord(
            offset=record.offset, time_ms=record.time_ms, data=record.data
        )
        for record in reader.tail
        if record.offset >= start
    ]
    return messages.ConfigRecords(
        next_offset=next_offset,
        records=tuple(records[:MAX_RELAYED_RECORDS]),
        age_s=age_s,
        withdrawn=withdrawn,
    )


def _in_tail(reader: config_reader.ConfigReader, offset: int) -> bool:
    return bool(reader.tail) and reader.tail[0].offset <= offset


def apply_response(
    reader: config_reader.ConfigReader,
    response: ConfigResponse,
    requested_at: float,
) -> PeerUpdate:
    """Applies a peer's response to a request sent at requested_at.

    The peer's configuration was complete age_s before it responded, and
    it responded after requested_at, so this configuration was complete
    at requested_at - age_s.  Each clock is compared only with itself.
    Raises ResultError CONFIG_INVALID for a snapshot that cannot be
    decoded.
    """
    match response:
        case messages.ConfigState():
            changes = config_reader.load_snapshot(reader, response.snapshot)
            response_offset = response.snapshot.next_offset
        case messages.ConfigRecords():
            relayed = (
                log_client.LogRecord(
                    offset=one.offset, time_ms=one.time_ms, data=one.data
                )
                for one in response.records
            )
            changes = config_reader.apply_relayed(reader, relayed)
            response_offset = response.next_offset
    complete = (
        response.age_s is not None
        and reader.config.next_offset >= response_offset
        and reader.gap_end is None
    )
    return PeerUpdate(
        changes=tuple(changes),
        complete_at=requested_at - (response.age_s or 0.0)
        if complete
        else None,
    )
