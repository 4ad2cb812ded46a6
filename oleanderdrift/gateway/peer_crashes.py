"""Applies what peers say of crashes to the board, and logs it."""

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import crash_detector
from oleanderdrift.gateway import crash_ledger
from oleanderdrift.gateway import event_log
from oleanderdrift.gateway import peer_messages


class PeerCrashes:
    """The crashes that peers saw, and the requests that they refuse."""

    def __init__(
        self, board: board_lib.Board, events: event_log.EventLog
    ) -> None:
        self.board = board
        self.events = events

    def apply(
        self, peer: str, state: peer_messages.StateUpdate, now: float
    ) -> None:
        """Applies what one peer says."""
        for incarnation, age_s in state.living.items():
            unblocked = self.board.crashes.withdraw(incarnation, now - age_s)
            crash_detector.log_unblocked(self.events, unblocked)
        self.board.crashes.note_blocked(state.blocked, now, state.grounds)
        for incarnation, report in state.crashes.items():
            self.log_report(peer, incarnation, report, now)
            blames = self.board.note_peers_crash(
                peer, incarnation, report, now
            )
            crash_detector.log_blames(self.events, blames)

    def review(self, now: float) -> None:
        """Decides which requests the latest crashes are blamed on."""
        blames = self.board.crashes.review(now)
        crash_detector.log_blames(self.events, blames)

    def log_report(
        self,
        peer: str,
        incarnation: str,
        report: crash_ledger.CrashReport,
        now: float,
    ) -> None:
        """Logs that a peer takes an upstream for crashed, the first time.

        If bytes came from it more recently than the crash, it lives.
        """
        upstream = self.board.upstreams.of_incarnation(incarnation)
        crashes = self.board.crashes
        if (
            upstream is None
            or incarnation in crashes.crashes
            or crashes.is_refuted(incarnation, now - report.age_s)
            or self.board.accusations.has(peer, incarnation)
        ):
            return
        self.events.info(
            'crash-reported',
            peer=peer,
            upstream=upstream.entry.upstream_id,
            age_s=round(report.age_s, 3),
            heard_s=round(now - upstream.last_received, 3),
        )
