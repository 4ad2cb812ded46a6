"""The status report of one instance, as JSON for operators."""

import time
import typing

import attrs
import msgspec

from oleanderdrift import blackboard
from oleanderdrift import config_feed
from oleanderdrift import group_commit
from oleanderdrift import membership
from oleanderdrift import model
from oleanderdrift import share_feed

UNKNOWN_AGE_S: typing.Final = 1e9


@attrs.frozen(kw_only=True)
class Status:
    """The response body of GET /v1/status."""

    instance: str
    data_centre: str
    ready: bool
    draining: bool
    config_offset: int
    config_age_s: float
    members: tuple[membership.Member, ...]
    upstreams: tuple[model.Upstream, ...]
    classes: tuple[model.ProgramClass, ...]
    share: float
    open_calls: int
    programs: int
    log_failing: bool
    log_appends: int


def read(
    board: blackboard.Board,
    feed: config_feed.ConfigFeed,
    shares: share_feed.ShareFeed,
    commit: group_commit.GroupCommit,
) -> bytes:
    """Returns the instance's status as JSON."""
    now = time.monotonic()
    return msgspec.json.encode(
        Status(
            instance=board.settings.instance.name,
            data_centre=board.settings.instance.data_centre,
            ready=feed.caught_up.is_set(),
            draining=board.draining,
            config_offset=feed.next_offset - 1,
            config_age_s=_config_age_s(feed),
            members=tuple(membership.alive(board.members, now)),
            upstreams=tuple(board.config.upstreams.values()),
            classes=tuple(board.config.classes.values()),
            share=share_feed.fraction(shares),
            open_calls=len(board.open_calls),
            programs=sum(
                len(shard.programs) for shard in board.ledger.shards.values()
            ),
            log_failing=commit.failing,
            log_appends=commit.appends,
        )
    )


def _config_age_s(feed: config_feed.ConfigFeed) -> float:
    if feed.last_contact is None:
        return UNKNOWN_AGE_S
    return time.monotonic() - feed.last_contact
