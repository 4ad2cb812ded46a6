"""Decides whether a caller's key may be trusted at the present time.

The log says which keys are in force.  Where an instance hears nothing
of the log, directly or through peers, keys go on working for a grace
period; and an operator can withdraw a key directly at any instance,
which peers pass on without the log.
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
# Leaves the instance that the operator called time to tell the log.
MIN_CONFIRM_DELAY_S: typing.Final = 10.0
MAX_CONFIRM_DELAY_S: typing.Final = 120.0


@attrs.define(kw_only=True)
class KeyTrust:
    """The SHA-256 of keys withdrawn directly, and the grace period.

    A digest stays until the log withdraws the key as well; its value is
    the time from which this instance asks the log to.
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

    last_contact is when config was last known to be complete, None for
    never.  Raises ResultError MISSING_KEY, UNKNOWN_KEY, or
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
    """Takes in a peer's withdrawals; returns the keys new to this one.

    Their open streams are to be ended, and the news passed on to the
    neighbours.  Digests of keys not in force here are passed over: they
    open nothing, and exchanges bring them again.
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

    Every instance makes the same change_id, so the log takes one.
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
