"""State of a fleet: its plan, its processes and its nodes."""

import pathlib
import typing

import attrs

from standins import processes

DATA_CENTRES: typing.Final = ('north', 'east', 'south')
ENGINE_SPEEDS: typing.Final = (1.0, 0.5)


@attrs.frozen(kw_only=True)
class Plan:
    """What to start; settings go into each instance's TOML file.

    python_arguments is what Python is called with to run an instance.
    """

    data_centres: tuple[str, ...] = DATA_CENTRES
    python_arguments: tuple[str, ...] = ('-m', 'oleanderdrift')
    instances_each: int = 3
    engine_speeds: tuple[float, ...] = ENGINE_SPEEDS
    settings: dict[str, dict[str, float]] = attrs.field(factory=dict)
    operator_token_sha256: str = ''
    tools_check_fencing: bool = False


@attrs.define(kw_only=True)
class Node:
    """An instance: its data centre, addresses, settings file and process."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    settings_path: pathlib.Path
    process: processes.Process | None = None

    @property
    def url(self) -> str:
        """The base URL for callers."""
        return f'http://{self.address}:{self.http_port}'

    @property
    def running(self) -> processes.Process:
        """The node's process, which must have been started."""
        assert self.process is not None
        return self.process


@attrs.define(kw_only=True)
class Fleet:
    """The processes of the stand-ins and the nodes, by name."""

    plan: Plan
    folder: pathlib.Path
    standins: dict[str, processes.Process] = attrs.field(factory=dict)
    nodes: dict[str, Node] = attrs.field(factory=dict)

    @property
    def log(self) -> processes.Process:
        """The log service."""
        return self.standins['log']

    def of_kind(self, kind: str) -> list[processes.Process]:
        """Returns the stand-ins of a kind, such as engine or tool."""
        return [
            process
            for name, process in self.standins.items()
            if name.startswith(f'{kind}-')
        ]

    def in_data_centre(self, data_centre: str) -> list[Node]:
        """Returns the nodes of a data centre."""
        return [
            node
            for node in self.nodes.values()
            if node.data_centre == data_centre
        ]
