"""Measures how a direct key withdrawal spreads over the neighbour graph.

Every instance forwards a withdrawal to its neighbours once.  An instance
that receives none asks its neighbours every two seconds, as a cut-off
instance does.
"""

import collections.abc
import typing

import attrs

from bench import figure
from oleanderdrift import config_peers
from oleanderdrift import membership

DATA_CENTRES: typing.Final = 7
INSTANCES_PER_DATA_CENTRE: typing.Final = 86


@attrs.frozen(kw_only=True)
class Spread:
    """The spread of one withdrawal.

    told counts the instances that received it from a neighbour, asked
    those that got it by asking their neighbours once, and hops the forwards
    on the way to the last one told.  links is the highest number of
    incoming and outgoing links of any instance.
    """

    instances: int
    told: int
    asked: int
    hops: int
    links: int


def views(data_centres: int, size: int) -> list[membership.Members]:
    """Returns each instance's view of a fleet of equal data centres."""
    listed = {
        f'i{number}': membership.Member(
            name=f'i{number}',
            data_centre=f'dc{number % data_centres}',
            address='10.0.0.1',
            http_port=1,
            peer_port=2,
        )
        for number in range(data_centres * size)
    }
    return [
        membership.Members(this=this, listed=listed)
        for this in listed.values()
    ]


def spread(data_centres: int, size: int, cut: bool) -> Spread:
    """Returns how a withdrawal spreads from one instance.

    With cut, no message leaves the instance's own data centre.
    """
    links = {
        view.this.name: [
            neighbour.name
            for neighbour in config_peers.neighbours(view, 0.0)
            if not cut or neighbour.data_centre == view.this.data_centre
        ]
        for view in views(data_centres, size)
    }
    told, newly_told, hops = {'i0'}, {'i0'}, -1
    while newly_told:
        newly_told = {
            name for source in newly_told for name in links[source]
        } - told
        told |= newly_told
        hops += 1
    asked = {name for name in links if told & set(links[name])} - told
    incoming = [name for names in links.values() for name in names]
    return Spread(
        instances=size if cut else size * data_centres,
        told=len(told),
        asked=len(asked),
        hops=hops,
        links=max(len(links[name]) + incoming.count(name) for name in links),
    )


def figures() -> collections.abc.Iterator[figure.Figure]:
    """Yields the figures of a whole fleet and of a cut-off data centre."""
    for cut in (False, True):
        found = spread(DATA_CENTRES, INSTANCES_PER_DATA_CENTRE, cut)
        scope = 'cut_data_centre' if cut else 'fleet'
        for name, value in attrs.asdict(found).items():
            yield figure.Figure(
                name=f'config.spread.{scope}.{name}', unit='', value=value
            )
