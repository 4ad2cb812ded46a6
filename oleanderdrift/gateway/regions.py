"""Decides in which data centres a request may be processed.

Routes and accounts may be bound to regions by law or contract, while callers
connect to any instance and links between data centres fail.
"""

import collections.abc
import typing

from oleanderdrift.gateway import model

_NONE: typing.Final[frozenset[str]] = frozenset()

RegionsByDataCentre: typing.TypeAlias = collections.abc.Mapping[str, str]
# The data centres that a request may reach; None if it is not bound.
Inside: typing.TypeAlias = frozenset[str] | None


def allowed(
    route: model.Route, account: model.ClientAccount | None
) -> frozenset[str] | None:
    """Returns the regions that a request may reach, None if any."""
    of_account = account.regions if account is not None else _NONE
    if not route.regions and not of_account:
        return None
    if not route.regions or not of_account:
        return route.regions or of_account
    return route.regions & of_account


def inside(
    route: model.Route,
    account: model.ClientAccount | None,
    regions_by_data_centre: RegionsByDataCentre,
) -> Inside:
    """Returns the data centres that a request may reach.

    One that the settings do not list is in no region.
    """
    regions = allowed(route, account)
    if regions is None:
        return None
    return frozenset(
        name
        for name, region in regions_by_data_centre.items()
        if region in regions
    )


def is_inside(data_centre: str, found: Inside) -> bool:
    """Returns whether a request may reach a data centre."""
    return found is None or data_centre in found


def unknown(
    config: model.Configuration, regions_by_data_centre: RegionsByDataCentre
) -> list[str]:
    """Returns the regions that a configuration names and nothing is in."""
    accounts = (config.accounts_by_key or {}).values()
    named = _NONE.union(
        *(route.regions for route in config.routes),
        *(account.regions for account in accounts),
    )
    return sorted(named - set(regions_by_data_centre.values()))
