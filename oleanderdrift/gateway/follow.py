"""Watches the store for configuration and upstream changes."""

import asyncio
import typing

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import evacuations as evacuations_lib
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import model
from oleanderdrift.gateway import ports
from oleanderdrift.gateway import regions

# Long-poll timeouts; a longer poll would delay the detection of a
# connection that has gone silent.
CONFIG_POLL_TIMEOUT_S: typing.Final = 0.5
UPSTREAMS_POLL_TIMEOUT_S: typing.Final = 0.5
# Upstreams renew their entries continually, so each read returns at once;
# reading them in batches saves calls to the store.
MIN_UPSTREAMS_INTERVAL_S: typing.Final = 0.2
MAX_UPSTREAMS_INTERVAL_S: typing.Final = 1.0
# Reads in the time within which no more work may go to a leaving upstream.
READS_PER_DRAIN: typing.Final = 4
RETRY_DELAY_S: typing.Final = 0.1


class StoreWatcher:
    """Keeps the configuration and upstreams on the board up to date."""

    def __init__(
        self,
        board: board_lib.Board,
        codec: ports.Codec,
        log: ports.Log,
        events: event_log.EventLog,
    ) -> None:
        self.board = board
        self.codec = codec
        self.log = log
        self.events = events
        self.store_lost = False
        self.config_reads = 0

    async def watch_config(self) -> None:
        """Applies configuration changes until cancelled."""
        position: int | None = None
        while True:
            as_of = clock.boot()
            self.board.check_pause(clock.monotonic(), as_of)
            # While the store is lost, an immediate empty response is enough
            # to show that it is back; requests wait for one after a pause.
            is_urgent = (
                self.store_lost or not self.board.has_read_since_pause()
            )
            poll_timeout_s = 0.0 if is_urgent else CONFIG_POLL_TIMEOUT_S
            try:
                if position is None:
                    found = await self.log.newest(self.codec.config_topic)
                else:
                    read = await self.log.read_keyed(
                        self.codec.config_topic,
                        position,
                        wait_s=poll_timeout_s,
                    )
                    if read is None:
                        position = None
                        continue
                    found = read
            except errors.ResultError as error:
                self.note_failure(error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if position is not None and not found.records:
                # The empty response shows that there was no change until
                # the poll timed out.
                as_of = min(as_of + poll_timeout_s, clock.boot())
            was_first_read = position is None
            position = found.end
            self.apply_evacuations(found, was_first_read)
            for record in found.records:
                if record.key == self.codec.config_key and record.value:
                    self.apply_config(record.value)
            if not found.is_last:
                # Newer ones may withdraw what these allow.
                continue
            self.note_success(as_of)
            self.config_reads += 1
            if was_first_read and self.board.config is None:
                await asyncio.sleep(RETRY_DELAY_S)

    def apply_evacuations(
        self, found: ports.KeyedRecords, is_full: bool
    ) -> None:
        """Applies the evacuations that begin or end with a read."""
        known = self.board.upstreams
        evacuations = known.evacuations
        prefix = self.codec.evacuation_prefix
        apply = evacuations.replace if is_full else evacuations.apply
        for change in apply(found.records, prefix):
            name = change.data_centre
            if change.kind is evacuations_lib.Kind.ENDED:
                now = clock.monotonic()
                self.board.mark_cold(name, now, now)
            self.events.info(
                'evacuation-' + change.kind.value,
                data_centre=name,
                upstreams=sum(
                    one.entry.data_centre == name
                    for one in known.by_id.values()
                ),
                in_force=len(evacuations.names),
            )

    def apply_config(self, value: bytes) -> None:
        """Applies a configuration if it is newer than the current one."""
        try:
            config = self.codec.decode_configuration(value)
        except errors.ResultError as error:
            self.events.info('config-refused', reason=error.detail)
            return
        known = self.board.config
        if known is not None and config.version <= known.version:
            return
        self.board.config = config
        accounts = config.accounts_by_key or {}
        self.board.rate_limiter.configure(accounts.values())
        self.board.origins.configure(config)
        self.events.info(
            'config-in-force',
            version=config.version,
            routes=len(config.routes),
            accounts=_format_rates(config),
        )
        unknown = regions.unknown(
            config, self.board.settings.regions_by_data_centre
        )
        if unknown:
            self.events.info(
                'regions-unknown',
                version=config.version,
                names=','.join(unknown),
            )

    def note_failure(self, error: errors.ResultError) -> None:
        """Records a failed read; logs the first one of an outage."""
        self.board.freshness.note_failure(
            self.board.reachability.others_have_store(clock.monotonic())
        )
        if not self.store_lost:
            self.store_lost = True
            self.events.info(
                'store-lost', code=error.code.number, detail=error.detail
            )

    def note_success(self, as_of: float) -> None:
        """Records a read that shows the state of the store as of a time."""
        if (
            self.board.freshness.confirm(as_of, clock.boot())
            or self.store_lost
        ):
            self.store_lost = False
            self.events.info('store-regained')

    async def watch_upstreams(self) -> None:
        """Applies changes to the upstreams' entries until cancelled."""
        position: int | None = None
        while True:
            read_at = clock.boot()
            try:
                if position is None:
                    found = await self.log.newest(self.codec.upstreams_topic)
                    self.remove_unlisted(found)
                else:
                    read = await self.log.read_keyed(
                        self.codec.upstreams_topic,
                        position,
                        wait_s=UPSTREAMS_POLL_TIMEOUT_S,
                    )
                    if read is None:
                        position = None
                        continue
                    found = read
            except errors.ResultError as error:
                self.events.info(
                    'upstreams-unread',
                    code=error.code.number,
                    detail=error.detail,
                )
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            position = found.end
            for record in found.records:
                self.apply_entry(record)
            if not found.is_last:
                continue
            self.board.upstreams_known = bool(self.board.upstreams.by_id)
            self.board.origins.note_view(read_at)
            await asyncio.sleep(self.upstreams_interval_s(clock.boot()))

    def upstreams_interval_s(self, boot_now: float) -> float:
        """Returns the time until the next read of the upstreams' entries.

        It is short while entries that are needed at once may be written.
        """
        if not self.board.upstreams_known:
            return MIN_UPSTREAMS_INTERVAL_S
        if self.board.freshness.in_lapse_grace(boot_now):
            return MIN_UPSTREAMS_INTERVAL_S
        interval_s = self.board.settings.upstream_drain_s / READS_PER_DRAIN
        return min(
            max(interval_s, MIN_UPSTREAMS_INTERVAL_S), MAX_UPSTREAMS_INTERVAL_S
        )

    def remove_unlisted(self, found: ports.KeyedRecords) -> None:
        """Removes the upstreams that are missing from a full read."""
        ids = {record.key for record in found.records}
        for upstream_id in self.board.upstreams.keep_only(
            ids, clock.monotonic()
        ):
            self.events.info('upstream-removed', upstream=upstream_id)

    def apply_entry(self, record: ports.KeyedRecord) -> None:
        """Applies one changed or removed entry."""
        if record.value is None:
            if self.board.upstreams.remove(record.key, clock.monotonic()):
                self.events.info('upstream-removed', upstream=record.key)
            return
        entry = self.codec.decode_upstream_entry(record.key, record.value)
        if entry is None:
            self.events.info(
                'entry-unreadable',
                upstream=record.key,
                code=codes.CONFIG_INVALID.number,
            )
            return
        change = self.board.upstreams.put(entry)
        self.note_cold_time(entry, change in ('added', 'restarted'))
        if change is not None:
            self.events.info(
                'upstream-' + change,
                upstream=record.key,
                service=entry.service,
                born_ms=entry.born_ms,
                software=entry.version,
            )

    def note_cold_time(self, entry: model.UpstreamEntry, is_new: bool) -> None:
        """Applies how long an upstream is cold, if its entry is in force."""
        known = self.board.upstreams.by_id.get(entry.upstream_id)
        if known is None or known.entry is not entry:
            return
        service = self.board.services().get(entry.service)
        if not self.board.cold_shares.note_entry(
            entry, service, clock.monotonic(), is_new
        ):
            self.events.info(
                'cold-time-ignored',
                upstream=entry.upstream_id,
                cold_s=entry.cold_s,
            )


def _format_rates(config: model.Configuration) -> str:
    accounts = config.accounts_by_key or {}
    rates = {
        account.name: (
            f'{account.name}:{account.rate_per_s:g}+{account.burst:g}'
        )
        for account in accounts.values()
    }
    return ','.join(rates.values())
