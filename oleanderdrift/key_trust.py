"""Decides whether a caller's API key may be accepted now.

The log says which keys are in force.  When an instance has no contact
with the log, directly or through peers, keys keep working for a grace
period.  An operator can also withdraw a key directly at any instance;
peers pass such a withdrawal on without the log.
"""

import random
import typing

import attrs

from oleanderdrift import codes
from oleanderdrift import config_state
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model

KEY_GRACE_S: typing.Final = 3600.0
# Peers wait at least this long before they append a direct withdrawal to
# the log themselves, so that the instance the operator called can append
# it first.  It is also the interval between retries.
MIN_CONFIRM_DELAY_S: typing.Final = 10.0
MAX_CONFIRM_DELAY_S: typing.Final = 120.0


@attrs.define(kw_only=True)
class KeyTrust:
    """The keys withdrawn directly, and the grace period.

    withdrawn maps the SHA-256 digest of a key to the time from which
    this instance appends the withdrawal to the log.  A digest is removed
    once the log has withdrawn the key as well.
    """

    grace_s: float = KEY_GRACE_S
    withdrawn: dict[str, float] = attrs.field(factory=dict)


def authenticate(
    trust: KeyTrust,
    config: model.Config,
    bearer_key: str,
    last_contact: float | None,
    now: float,
) -> model.ApiKey:
    """Returns the key's record if it may be used now.

    last_contact is when config was last known to be complete, None if
    it never was.  Raises ResultError MISSING_KEY, UNKNOWN_KEY, or
    KEYS_UNVERIFIABLE after the grace period.
    """
    if not bearer_key:
        raise errors.ResultError(codes.MISSING_KEY)
    if last_contact is None or now - last_contact > trust.grace_s:
        raise errors.ResultError(
            codes.KEYS_UNVERIFIABLE,
            'no contact with the log yet'
            if last_contact is None
            else f'no contact with the log for {now - last_contact:.0f} s',
        )
    return config_state.authenticate(config, bearer_key, trust.withdrawn)


def withdraw_by_name(
    trust: KeyTrust, config: model.Config, name: str, now: float
) -> model.ApiKey:
    """Withdraws a key by its name and returns it.

    Raises ResultError CONFIG_INVALID if there is no such key.
    """
    key = config_state.find(config, model.Kind.KEY, name)
    if not isinstance(key, model.ApiKey):
        raise errors.ResultError(
            codes.CONFIG_INVALID, f'there is no key {name}'
        )
    trust.withdrawn[key.sha256] = now
    return key


def merge_withdrawn(
    trust: KeyTrust,
    config: model.Config,
    digests: typing.Iterable[str],
    now: float,
    rng: random.Random,
) -> tuple[model.ApiKey, ...]:
    """Merges a peer's withdrawals; returns the newly withdrawn keys.

    The caller has to end the open streams of these keys and to pass the
    withdrawals on to the neighbours.  Digests of keys not in force here
    are ignored: such keys are refused anyway, and later exchanges repeat
    the digests.
    """
    new = tuple(
        config.keys[digest]
        for digest in digests
        if digest in config.keys and digest not in trust.withdrawn
    )
    for key in new:
        delay_s = rng.uniform(MIN_CONFIRM_DELAY_S, MAX_CONFIRM_DELAY_S)
        trust.withdrawn[key.sha256] = now + delay_s
    return new


def due_withdrawals(
    trust: KeyTrust, config: model.Config, now: float
) -> list[messages.ConfigChange]:
    """Returns the changes to append so that the log withdraws the keys.

    Every instance builds the same change_id for a withdrawal, so it is
    applied only once.
    """
    changes = []
    for digest, append_at in trust.withdrawn.items():
        key = config.keys.get(digest)
        if key is None or append_at > now:
            continue
        trust.withdrawn[digest] = now + MIN_CONFIRM_DELAY_S
        version = config.versions[model.Kind.KEY, key.name]
        changes.append(
            messages.ConfigChange(
                change_id=f'withdrawn-{version}-{digest}',
                kind=model.Kind.KEY,
                name=key.name,
                expected_version=version,
                body=None,
                author='direct withdrawal',
            )
        )
    return changes


def on_change(trust: KeyTrust, change: model.ObjectChange) -> None:
    """Forgets a direct withdrawal once the log has withdrawn the key."""
    match change.before, change.after:
        case model.ApiKey(sha256=old), model.ApiKey(sha256=new) if old == new:
            return
        case model.ApiKey(sha256=old), _:
            trust.withdrawn.pop(old, None)
