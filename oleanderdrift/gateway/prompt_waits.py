"""Has long prompts wait, and names the engines to avoid.

Applies `prefill_admission` to the requests of an instance.
"""

import asyncio
import collections.abc

from oleanderdrift.gateway import board as board_lib
from oleanderdrift.gateway import clock
from oleanderdrift.gateway import model
from oleanderdrift.gateway import prefill_admission
from oleanderdrift.gateway import progress as progress_lib
from oleanderdrift.gateway import upstreams

Candidates = collections.abc.Callable[
    [progress_lib.Progress], list[upstreams.Upstream]
]


class PromptWaits:
    """Decides for requests with prompts by the board's state.

    long_s holds from which reading time on prompts are long, by service, as
    of the configuration long_s_of.
    """

    def __init__(self, board: board_lib.Board) -> None:
        self.board = board
        self.long_s_of: model.Configuration | None = None
        self.long_s: dict[str, float] = {}

    async def wait(
        self, progress: progress_lib.Progress, candidates: Candidates
    ) -> None:
        """Has a long prompt wait for an engine that reads none, in order.

        Only a first try waits; a stream that goes on does not.
        """
        request, service = progress.admitted.request, progress.admitted.service
        if not service.is_engine or not request.prompt:
            return
        if progress.upstream or progress.origin is not None:
            return
        began_at = now = clock.monotonic()
        prefill = self.board.prefill
        if not prefill.is_mixed(service.name, now):
            return
        target_s = progress.admitted.route.target_s
        until = now + prefill_admission.WAIT_FRACTION * target_s
        limit_s = self.limit_s(service.name)
        engines = self.usable(progress, candidates(progress), now)
        queue = prefill.mixes[service.name].queue
        try:
            while now < until and prefill.must_wait(
                service.name, engines, request, limit_s, now
            ):
                queue[request.request_id] = None
                await asyncio.sleep(prefill_admission.POLL_S)
                now = clock.monotonic()
                engines = self.usable(progress, candidates(progress), now)
        finally:
            queue.pop(request.request_id, None)
            progress.prompt_wait_s = now - began_at

    def reading(
        self,
        progress: progress_lib.Progress,
        candidates: list[upstreams.Upstream],
        shut: frozenset[str],
        now: float,
    ) -> frozenset[str]:
        """Returns the engines to avoid by what they read, by id.

        shut are those that get nothing anyway.
        """
        request, service = progress.admitted.request, progress.admitted.service
        if not service.is_engine or not request.prompt:
            return frozenset()
        prefill, limit_s = self.board.prefill, self.limit_s(service.name)
        prefill.note_prompt(
            service.name, candidates, request.prompt, limit_s, now
        )
        if not prefill.is_mixed(service.name, now):
            return frozenset()
        engines = self.usable(progress, candidates, now, shut)
        return prefill.shut(service.name, engines, request, limit_s, now)

    def limit_s(self, service: str) -> float:
        """Returns from which reading time on a service's prompts are long."""
        config = self.board.config
        if config is None:
            return float('inf')
        if self.long_s_of is not config:
            self.long_s_of = config
            self.long_s.clear()
        if service not in self.long_s:
            self.long_s[service] = prefill_admission.long_s(config, service)
        return self.long_s[service]

    def usable(
        self,
        progress: progress_lib.Progress,
        candidates: list[upstreams.Upstream],
        now: float,
        shut: frozenset[str] = frozenset(),
    ) -> list[upstreams.Upstream]:
        """Returns the candidates that are sound, not cold and not shut."""
        silent = self.board.silent_data_centres
        found = [
            one
            for one in candidates
            if one.entry.upstream_id not in progress.excluded
            and one.entry.upstream_id not in shut
            and one.entry.data_centre not in silent
            and not one.is_ejected(now)
        ]
        return self.board.cold_shares.warm(
            progress.admitted.service, found, now
        )
