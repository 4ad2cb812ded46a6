"""What the rate limiter keeps of limits, requests and peers."""

import typing

import attrs
import msgspec

from oleanderdrift.gateway import bounds


class Limit(typing.Protocol):
    """A rate per second and a burst, under a name of its own."""

    @property
    def name(self) -> str:
        """Returns the name of the account or upstream."""

    @property
    def rate_per_s(self) -> float:
        """Returns the rate of requests, 0 if there is no limit."""

    @property
    def burst(self) -> float:
        """Returns the most tokens in the bucket."""


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request exceeds the limit, for the caller and the log."""

    retry_after_s: float
    tokens: float
    share: float
    demand: float
    rate_per_s: float
    peers: int

    def text(self) -> str:
        """Returns the inputs of the decision as text."""
        return (
            f'tokens {self.tokens:.2f}, share {self.share:.3f} of '
            f'{self.rate_per_s:g}/s, demand {self.demand:.2f}/s, '
            f'{self.peers} peers'
        )


class Usage(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An instance's requests for one account.

    spent counts the requests admitted since the instance started; demand is
    the rate of all requests, admitted or refused, per second.
    """

    spent: bounds.Count
    demand: bounds.PerSecond


@attrs.define(kw_only=True)
class Peer:
    """The latest reported usage of one incarnation of a peer.

    spent and demand are by account; demand has no entries of 0.  complete
    says that spent has all accounts with requests since the peer started.
    charged_until is the time up to which its spending was subtracted.
    """

    incarnation: int
    spent: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    complete: bool
    last_update: float
    charged_until: float

    def merge(self, usage: dict[str, Usage]) -> None:
        """Updates the accounts that are named."""
        for account, reported in usage.items():
            self.spent[account] = reported.spent
            if reported.demand > 0:
                self.demand[account] = reported.demand
            else:
                self.demand.pop(account, None)


@attrs.define(kw_only=True)
class Bucket:
    """An account's bucket as this instance sees it.

    tokens falls below 0 if instances spent the same tokens concurrently.
    announced is the number of spent requests that were sent to the peers.
    sends_left is the number of further updates that name the account after
    its demand has ended.  Nothing is spent before held_until.
    """

    tokens: float = 0.0
    updated: float
    demand: float = 0.0
    spent: int = 0
    announced: int = 0
    sends_left: int = 0
    held_until: float = float('-inf')
