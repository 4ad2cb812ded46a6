"""Defines Daemon, which holds the components of one instance."""

import asyncio

import attrs
from tornado import httpserver

from oleanderdrift import blackboard
from oleanderdrift import config_feed
from oleanderdrift import dispatch as dispatch_lib
from oleanderdrift import group_commit
from oleanderdrift import http_base
from oleanderdrift import http_out
from oleanderdrift import list_client
from oleanderdrift import log_client
from oleanderdrift import owner as owner_lib
from oleanderdrift import peers as peers_lib
from oleanderdrift import probes
from oleanderdrift import releases as releases_lib
from oleanderdrift import shard_feed
from oleanderdrift import shard_manager


@attrs.define(kw_only=True)
class Daemon:
    """The components of one instance and its background tasks."""

    board: blackboard.Board
    shard_manager: shard_manager.ShardManager
    shards: shard_feed.ShardFeed
    log: log_client.LogClient
    feed: config_feed.ConfigFeed
    list_client: list_client.ListClient
    peers: peers_lib.Peers
    upstream_client: http_out.UpstreamClient
    dispatch: dispatch_lib.Dispatch
    owner: owner_lib.Owner
    commit: group_commit.GroupCommit
    releases: releases_lib.Releases
    context: http_base.HandlerContext
    server: httpserver.HTTPServer
    prober: probes.Prober
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
