"""What the gateway needs from the platform: a log, and a codec.

The adapter in `oleanderdrift.platform` implements these protocols.
"""

import collections.abc
import typing

import attrs

from oleanderdrift.gateway import model

# What is appended to the log, possibly a part of something longer.
Record: typing.TypeAlias = bytes | memoryview


@attrs.frozen(kw_only=True)
class LogRecords:
    """Records of one partition, oldest first.

    start is the offset of the first record here.  first is the oldest
    offset that the partition still holds, and end the offset after its
    newest record.  trimmed says that the requested offset has been removed
    from the log.
    """

    start: int
    records: tuple[bytes, ...]
    end: int
    first: int
    trimmed: bool = False


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key; value is None if the key was removed."""

    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class KeyedRecords:
    """Records of a keyed topic, and the offset to continue reading at.

    is_last says that the topic had no newer ones when they were read.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_last: bool = True


class RecordLog(typing.Protocol):
    """Partitions of records that are appended and read by offset.

    Calls raise errors.ResultError: LOG_UNAVAILABLE if the call had no
    effect, APPEND_UNCONFIRMED if the append may have taken effect or may
    still do so.
    """

    partitions: int
    record_bytes: int

    async def append(
        self,
        topic: str,
        partition: int,
        records: collections.abc.Sequence[Record],
    ) -> int:
        """Appends all records or none; returns the first record's offset."""

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        *,
        max_bytes: int = 1_048_576,
    ) -> LogRecords:
        """Reads records from start on, as many as are within a size."""


class Log(RecordLog, typing.Protocol):
    """The platform's append-only log, including keyed topics.

    A keyed topic retains the newest record of each key.
    consecutive_failures counts failed calls since the last successful one.
    """

    consecutive_failures: int
    calls: int
    failures: int

    async def newest(self, topic: str) -> KeyedRecords:
        """Returns the newest record of each key of a keyed topic."""

    async def read_keyed(
        self, topic: str, start: int, *, wait_s: float
    ) -> KeyedRecords | None:
        """Reads keyed records; None if start is no longer in the log."""

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes the newest record of a key."""

    async def remove(self, topic: str, key: str, end: int) -> bool:
        """Removes a key if the topic still ends at an offset.

        Returns whether it did.  A removal that is executed late fails, too,
        if anything was written since.
        """


@attrs.frozen(kw_only=True)
class UpstreamHead:
    """The decoded head of an upstream's response.

    headers are those that are forwarded to the caller.  not_run says that
    the upstream itself reported that it did not run the request; sealed
    says that the response carries the upstream's proof of origin.
    is_event_stream is false only if it names another content type, and
    is_framed if its body ends with the connection.
    rate_limit_per_s is the rate of requests that the upstream accepts from
    all instances together, None if it names no limit.  cold_s is how much
    longer the upstream is cold, None if it does not say.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_id: str | None
    not_run: bool
    sealed: bool
    is_event_stream: bool
    is_framed: bool
    rate_limit_per_s: float | None = None
    cold_s: float | None = None


class Codec(typing.Protocol):
    """Translates between the wire formats and the gateway's types."""

    config_topic: str
    config_key: str
    # In the configuration's topic; a data centre's name follows it.
    evacuation_prefix: str
    upstreams_topic: str
    report_target: str

    def decode_request(
        self,
        method: str,
        target: str,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
        now: float,
    ) -> model.Request:
        """Decodes a caller's request; raises ResultError BAD_REQUEST."""

    def request_id(
        self, headers: collections.abc.Sequence[tuple[str, str]]
    ) -> str:
        """Returns the id of a caller's request, empty if it has none."""

    def key(self, headers: collections.abc.Sequence[tuple[str, str]]) -> str:
        """Returns the key of a caller's request, empty if it has none."""

    def upstream_headers(
        self,
        request: model.Request,
        upstream: model.UpstreamEntry,
        account: model.ClientAccount | None,
        remaining_s: float,
        last_event_id: str | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers of the request to the upstream."""

    def decode_upstream_head(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        *,
        is_framed: bool,
    ) -> UpstreamHead:
        """Decodes the head of an upstream's response."""

    def says_leaving(
        self, headers: collections.abc.Sequence[tuple[str, str]]
    ) -> bool:
        """Returns whether an upstream says in an answer that it leaves."""

    def decode_report(self, body: bytes) -> int | None:
        """Decodes when an upstream started, a Unix time in milliseconds.

        body is what it answers at report_target; None if that does not say.
        """

    def refusal_headers(
        self, request_id: str | None, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Returns the headers of a response that the gateway generates."""

    def decode_configuration(self, value: bytes) -> model.Configuration:
        """Decodes a configuration; raises ResultError CONFIG_INVALID."""

    def decode_upstream_entry(
        self, upstream_id: str, value: bytes
    ) -> model.UpstreamEntry | None:
        """Decodes an upstream's entry; None if it names no upstream."""
