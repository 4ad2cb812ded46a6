"""The shared state of a gateway instance: its blackboard."""

import collections
import typing

import attrs

from oleanderdrift.gateway import accusations as accusations_lib
from oleanderdrift.gateway import allotments as allotments_lib
from oleanderdrift.gateway import call_speeds as call_speeds_lib
from oleanderdrift.gateway import caller_limits as caller_limits_lib
from oleanderdrift.gateway import cold_shares as cold_shares_lib
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import fleet_members
from oleanderdrift.gateway import freshness as freshness_lib
from oleanderdrift.gateway import grantors as grantors_lib
from oleanderdrift.gateway import held_bytes
from oleanderdrift.gateway import model
from oleanderdrift.gateway import own_link
from oleanderdrift.gateway import prefill_admission
from oleanderdrift.gateway import program_pace
from oleanderdrift.gateway import reachability as reachability_lib
from oleanderdrift.gateway import refused_programs as refused_programs_lib
from oleanderdrift.gateway import regions
from oleanderdrift.gateway import settings as settings_lib
from oleanderdrift.gateway import shared_failures
from oleanderdrift.gateway import stream_origins
from oleanderdrift.gateway import tunnel_peers as tunnel_peers_lib
from oleanderdrift.gateway import upstream_limits as upstream_limits_lib
from oleanderdrift.gateway import upstreams as upstreams_lib

# Enough for the programs that start within some minutes.
MAX_STARTED_PROGRAMS: typing.Final = 20_000
# Where neither the settings nor the process state a limit.
DEFAULT_DESCRIPTORS: typing.Final = 8_192
# After a longer pause, what is known of the peers' spending is too old.
MAX_PAUSE_S: typing.Final = 1.0


@attrs.define(kw_only=True)
class Board:
    """The state that an instance's components share.

    started_programs holds the ids of programs that had a request admitted
    here, the latest last.  paces has what programs spend their time on, and
    refused_programs those that were refused for the load of engines.
    stopping is set by the signal to stop.
    stop_deadline is when a stopping instance ends its open requests.
    silent_data_centres names the data centres that cannot be reached.
    instances is the number of instances that are heard, with this one.
    origins has the software versions that began the streams of this instance.
    tunnel_peers are those that may carry connections to upstreams, and
    lost_paths holds the upstreams that this instance cannot reach directly.
    held counts the bytes of others that are in memory, and link those that
    lately came over the link of this instance.  call_speeds has the usual
    times of calls.
    caller_limits says what callers may fill, and refusals counts by kind what
    was refused or closed for it.
    grantors are the instances that grant tokens of programs.
    pauses counts the pauses of this process that were noticed.
    exchanged_at is when states were last exchanged with peers, and resumed_at
    when this process last went on after a pause, on the clock that also
    advances while the machine is suspended.
    """

    settings: settings_lib.GatewaySettings
    rate_limiter: allotments_lib.RateLimiter
    reachability: reachability_lib.Reachability
    config: model.Configuration | None = None
    upstreams: upstreams_lib.UpstreamSet = attrs.field(
        factory=upstreams_lib.UpstreamSet
    )
    upstreams_known: bool = False
    upstream_limits: upstream_limits_lib.UpstreamLimits = attrs.field(
        default=attrs.Factory(
            lambda self: upstream_limits_lib.UpstreamLimits(
                limiter=self.rate_limiter
            ),
            takes_self=True,
        )
    )
    cold_shares: cold_shares_lib.ColdShares = attrs.field(
        default=attrs.Factory(
            lambda self: cold_shares_lib.ColdShares(
                members=fleet_members.FleetMembers(own=self.settings.instance)
            ),
            takes_self=True,
        )
    )
    prefill: prefill_admission.PrefillAdmission = attrs.field(
        factory=prefill_admission.PrefillAdmission
    )
    freshness: freshness_lib.Freshness = attrs.field(
        factory=freshness_lib.Freshness
    )
    crashes: crash_ledger.CrashLedger = attrs.field(
        factory=crash_ledger.CrashLedger
    )
    failures: shared_failures.SharedFailures = attrs.field(
        factory=shared_failures.SharedFailures
    )
    accusations: accusations_lib.Accusations = attrs.field(
        factory=accusations_lib.Accusations
    )
    origins: stream_origins.StreamOrigins = attrs.field(
        factory=stream_origins.StreamOrigins
    )
    started_programs: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    paces: program_pace.Paces = attrs.field(factory=program_pace.Paces)
    refused_programs: refused_programs_lib.RefusedPrograms = attrs.field(
        factory=refused_programs_lib.RefusedPrograms
    )
    tunnel_peers: tunnel_peers_lib.TunnelPeers = attrs.field(
        factory=tunnel_peers_lib.TunnelPeers
    )
    grantors: grantors_lib.Grantors = attrs.field(
        default=attrs.Factory(
            lambda self: grantors_lib.Grantors(
                data_centre=self.settings.data_centre
            ),
            takes_self=True,
        )
    )
    caller_limits: caller_limits_lib.CallerLimits = attrs.field(
        default=attrs.Factory(
            lambda self: caller_limits_lib.derive(
                self.settings.memory_bytes,
                self.settings.max_descriptors or DEFAULT_DESCRIPTORS,
            ),
            takes_self=True,
        )
    )
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    held: held_bytes.HeldBytes = attrs.field(
        default=attrs.Factory(
            lambda self: held_bytes.HeldBytes(
                limit=self.caller_limits.held_bytes
            ),
            takes_self=True,
        )
    )
    link: own_link.OwnLink = attrs.field(
        default=attrs.Factory(
            lambda self: own_link.OwnLink(mbps=self.settings.link_mbps),
            takes_self=True,
        )
    )
    call_speeds: call_speeds_lib.CallSpeeds = attrs.field(
        default=attrs.Factory(
            lambda self: call_speeds_lib.CallSpeeds(
                data_centre=self.settings.data_centre, link=self.link
            ),
            takes_self=True,
        )
    )
    lost_paths: dict[str, upstreams_lib.Upstream] = attrs.field(factory=dict)
    stopping: bool = False
    stop_deadline: float = float('inf')
    silent_data_centres: frozenset[str] = frozenset()
    open_requests: int = 0
    instances: int = 1
    pauses: int = 0
    exchanged_at: float = float('inf')
    resumed_at: float = float('-inf')

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres whose upstreams get no requests."""
        return frozenset(self.upstreams.evacuations.names)

    def note_started_program(self, program: str) -> None:
        """Records that a program has had a request admitted here."""
        self.started_programs[program] = None
        self.started_programs.move_to_end(program)
        if len(self.started_programs) > MAX_STARTED_PROGRAMS:
            self.started_programs.popitem(last=False)

    def services(self) -> dict[str, model.Service]:
        """Returns the configured services by name."""
        return self.config.services if self.config is not None else {}

    def mark_cold(self, data_centre: str, since: float, now: float) -> None:
        """Counts a data centre's upstreams as cold from a time on.

        To be called when its evacuation ends.
        """
        self.cold_shares.mark_data_centre(
            data_centre,
            self.upstreams.by_id.values(),
            self.services(),
            since,
            now,
        )

    def note_crash(
        self, incarnation: str, report: crash_ledger.CrashReport, now: float
    ) -> list[crash_ledger.Blame]:
        """Records a crash that this instance saw."""
        upstream = self.upstreams.of_incarnation(incarnation)
        if upstream is not None:
            upstream.set_aside(now)
        return self.crashes.note_own_crash(incarnation, report, now)

    def note_peers_crash(
        self,
        peer: str,
        incarnation: str,
        report: crash_ledger.CrashReport,
        now: float,
    ) -> list[crash_ledger.Blame]:
        """Records that a peer takes an upstream for crashed.

        The peer may have lost its own links.  While the upstream's entry
        stands, its word only makes this instance look for itself.
        """
        if self.crashes.is_refuted(incarnation, now - report.age_s):
            return []
        upstream = self.upstreams.of_incarnation(incarnation)
        if (
            upstream is None
            or upstream.removed_at is not None
            or incarnation in self.crashes.crashes
        ):
            return self.crashes.note_crash(incarnation, report, now)
        upstream.doubt(now)
        self.accusations.add(peer, incarnation, report, now)
        return []

    def check_pause(self, now: float, boot_now: float) -> None:
        """Notes whether this process has been paused.

        If so, its token buckets are emptied, and its grants of tokens are
        dropped later by the count of pauses.
        """
        if boot_now - self.exchanged_at > MAX_PAUSE_S:
            self.resumed_at = boot_now
            self.rate_limiter.restart(now)
            self.upstream_limits.restart()
            self.pauses += 1
            self.exchanged_at = boot_now

    def has_read_since_pause(self) -> bool:
        """Returns whether the store was read since the latest pause.

        Until then, an evacuation that began meanwhile is not known.  It does
        not matter where the settings bound no evacuations.
        """
        if self.settings.evacuate_s is None:
            return True
        return self.freshness.confirmed_at >= self.resumed_at

    def inside(
        self, route: model.Route, account: model.ClientAccount | None
    ) -> regions.Inside:
        """Returns the data centres that a request may reach."""
        return regions.inside(
            route, account, self.settings.regions_by_data_centre
        )

    def judged_at(self, now: float) -> float:
        """Returns until when the silence of peers counts.

        Their states wait behind all that comes over a full link.
        """
        return now - self.link.held_s(now - reachability_lib.SILENT_S, now)

    def unreachable_data_centres(self, now: float) -> frozenset[str]:
        """Returns the data centres that are silent in every way.

        Where only the instances are silent or slow to report, the upstreams
        go on, and so does their work.
        """
        judged_at = self.judged_at(now)
        silent = self.reachability.silent_data_centres(judged_at)
        if not silent:
            return silent
        since = judged_at - reachability_lib.SILENT_S
        return silent - self.upstreams.data_centres_heard(since)

    def is_ready(self, now: float, boot_now: float) -> bool:
        """Returns whether the load balancer should send new connections."""
        return (
            self.config is not None
            and self.upstreams_known
            and not self.stopping
            and self.freshness.is_ready(boot_now)
            and not self.reachability.is_isolated(self.judged_at(now))
        )
