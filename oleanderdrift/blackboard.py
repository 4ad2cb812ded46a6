"""The shared state of one instance, following the blackboard pattern.

Network adapters write what they receive; controllers read it and write
the rest.  Each field is owned by the module that defines its type.
"""

import collections.abc

import attrs

from oleanderdrift import decisions
from oleanderdrift import dispatch_group
from oleanderdrift import membership
from oleanderdrift import model
from oleanderdrift import settings as settings_lib
from oleanderdrift import share_types


@attrs.define(kw_only=True)
class OpenCall:
    """A call in progress from a caller of this instance.

    abort ends it with a result code.
    """

    client_account: str
    key_sha256: str
    abort: collections.abc.Callable[[], None]


@attrs.define(kw_only=True)
class Board:
    """The shared state; open_calls is keyed by call id."""

    settings: settings_lib.Settings
    members: membership.Members
    shares: share_types.Shares
    config: model.Config = attrs.field(factory=model.Config)
    ledger: decisions.Ledger = attrs.field(factory=decisions.Ledger)
    groups: dict[str, dispatch_group.DispatchGroup] = attrs.field(factory=dict)
    open_calls: dict[str, OpenCall] = attrs.field(factory=dict)
    draining: bool = False
