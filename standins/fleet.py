"""Starts a fleet as processes: platform, upstreams and instances.

Run as a script, it serves until SIGINT.  Each instance reaches the log,
the instance list and its peers in other data centres through links of one
relay, so that tests can cut those connections.
"""

import argparse
import contextlib
import pathlib
import signal
import tempfile
import typing

from standins import fleet_config
from standins import fleet_state
from standins import processes

HEALTH_PATH: typing.Final = '/healthz'
RELAY_ADDRESS: typing.Final = '127.0.0.1'


def start_standins(fleet: fleet_state.Fleet) -> None:
    """Starts the stand-ins and waits until they listen."""
    module_arguments = {'log': ['standins.log'], 'relay': ['standins.relay']}
    tool_options = ['--check-fencing'] * fleet.plan.tools_check_fencing
    for data_centre in fleet.plan.data_centres:
        module_arguments[f'list-{data_centre}'] = ['standins.instances']
        module_arguments[f'tool-{data_centre}'] = [
            'standins.tool',
            *tool_options,
        ]
        for number, speed in enumerate(fleet.plan.engine_speeds, start=1):
            name = f'engine-{data_centre}-{number}'
            options = ['--name', name, '--speed', str(speed)]
            module_arguments[name] = ['standins.engine', *options]
    for name, arguments in module_arguments.items():
        fleet.standins[name] = processes.start(
            name, ['-m', *arguments], fleet.folder
        )
    for process in fleet.standins.values():
        processes.await_listening(process)


def open_link(
    fleet: fleet_state.Fleet, name: str, address: str, port: int
) -> int:
    """Opens a link of the relay; returns its port."""
    answer = processes.call(
        'PUT',
        f'{fleet.standins["relay"].url}/links/{name}',
        {'address': address, 'port': port},
    )
    return int(answer['port'])


def create_nodes(fleet: fleet_state.Fleet) -> None:
    """Assigns every instance its addresses and writes its settings."""
    for network, data_centre in enumerate(fleet.plan.data_centres, start=1):
        for number in range(1, fleet.plan.instances_each + 1):
            name = f'{data_centre}-{number}'
            address = f'127.0.{network}.{number}'
            node = fleet_state.Node(
                name=name,
                data_centre=data_centre,
                address=address,
                http_port=processes.free_port(address),
                peer_port=processes.free_port(address),
                settings_path=fleet.folder / f'{name}.toml',
            )
            fleet.nodes[name] = node
            fleet_config.write_settings(
                fleet, node, open_platform_links(fleet, node)
            )


def open_platform_links(
    fleet: fleet_state.Fleet, node: fleet_state.Node
) -> dict[str, str]:
    """Opens a node's links to the platform; returns its settings for it."""
    instance_list = fleet.standins[f'list-{node.data_centre}']
    urls = {}
    for service, process in (('log', fleet.log), ('list', instance_list)):
        link = f'{node.data_centre}/{node.name}/{service}'
        port = open_link(fleet, link, process.address, process.port)
        urls[f'{service}_url'] = f'http://{RELAY_ADDRESS}:{port}'
    return urls


def cut_from_platform(
    fleet: fleet_state.Fleet, node: fleet_state.Node
) -> None:
    """Cuts one node off from the log and the list, but not its peers."""
    set_cut(fleet, [f'{node.data_centre}/{node.name}/'])


def register(fleet: fleet_state.Fleet, node: fleet_state.Node) -> None:
    """Adds a node to each data centre's list.

    The other data centres get the address of a link to it.
    """
    for data_centre in fleet.plan.data_centres:
        address, port = node.address, node.peer_port
        if data_centre != node.data_centre:
            link = f'{data_centre}/{node.data_centre}/{node.name}'
            port = open_link(fleet, link, address, port)
            address = RELAY_ADDRESS
        entry = {
            'name': node.name,
            'data_centre': node.data_centre,
            'address': address,
            'http_port': node.http_port,
            'peer_port': port,
            'state': 'live',
        }
        url = fleet.standins[f'list-{data_centre}'].url
        processes.call('PUT', f'{url}/v1/instances/{node.name}', entry)


def start_node(fleet: fleet_state.Fleet, node: fleet_state.Node) -> None:
    """Starts an instance without waiting until it is ready."""
    node.process = processes.start(
        node.name,
        [
            *fleet.plan.python_arguments,
            'serve',
            '--settings',
            str(node.settings_path),
        ],
        fleet.folder,
        node.address,
        node.http_port,
    )


def cut_off(fleet: fleet_state.Fleet, data_centre: str) -> None:
    """Cuts a data centre off from the others and from the platform."""
    others = [
        other for other in fleet.plan.data_centres if other != data_centre
    ]
    prefixes = [f'{data_centre}/']
    prefixes += [f'{other}/{data_centre}/' for other in others]
    set_cut(fleet, prefixes)


def set_cut(fleet: fleet_state.Fleet, prefixes: list[str]) -> None:
    """Cuts the links with one of the prefixes; restores all others."""
    processes.call('PUT', f'{fleet.standins["relay"].url}/cut', prefixes)


@contextlib.contextmanager
def running(
    plan: fleet_state.Plan, config: typing.Callable[[fleet_state.Fleet], str]
) -> typing.Iterator[fleet_state.Fleet]:
    """Runs a fleet for the length of a with block.

    config returns the configuration to publish, as TOML.
    """
    with tempfile.TemporaryDirectory(prefix='fleet-') as folder:
        fleet = fleet_state.Fleet(plan=plan, folder=pathlib.Path(folder))
        try:
            start_standins(fleet)
            create_nodes(fleet)
            fleet_config.publish(fleet, config(fleet))
            for node in fleet.nodes.values():
                register(fleet, node)
                start_node(fleet, node)
            for node in fleet.nodes.values():
                processes.await_health(node.running, HEALTH_PATH)
            yield fleet
        finally:
            stop(fleet)


def stop(fleet: fleet_state.Fleet) -> None:
    """Stops the instances, then the stand-ins."""
    nodes = [node.process for node in fleet.nodes.values()]
    processes.end_all(process for process in nodes if process)
    processes.end_all(fleet.standins.values())


def main() -> None:
    """Serves a fleet with the given configuration file until SIGINT."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument('config', type=pathlib.Path)
    options = arguments.parse_args()

    def config(fleet: fleet_state.Fleet) -> str:
        text: str = options.config.read_text()
        return text + fleet_config.upstream_tables(
            fleet, 'guide', ['desk', 'sheet']
        )

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with running(fleet_state.Plan(), config) as fleet:
        print(f'log {fleet.log.url}')
        for node in fleet.nodes.values():
            print(f'instance {node.name} {node.url}', flush=True)
        with contextlib.suppress(KeyboardInterrupt):
            signal.pause()


if __name__ == '__main__':
    main()
