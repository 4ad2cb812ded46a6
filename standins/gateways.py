"""Runs gateway instances as processes, each with its own link to the store.

Each instance has a loopback address of its own, so that all can use the
same ports.  The link to the store is a relay link that a test can cut.
"""

import os
import pathlib
import random
import signal
import subprocess  # nosec
import sys
import typing

import attrs

from standins import processes
from standins import relay as relay_lib

FRONT_PORT: typing.Final = 8080
READY_PORT: typing.Final = 8081
PEER_PORT: typing.Final = 8100
TUNNEL_PORT: typing.Final = 8101
# For grants of tokens.
LAST_PORT: typing.Final = 8102
PARTITIONS: typing.Final = 4
SETTINGS: typing.Final = """\
Node = "{name}"
Ip = "{address}"
Zone = "north"
PortRange = [{peer}, {last}]
[Listen]
Front = "{address}:{front}"
ReadyAddr = "{address}:{ready}"
[Platform]
Address = "127.0.0.1:{store}"
parts = {parts}
[Bounds]
GraceS = 6
"""


@attrs.define(kw_only=True)
class Instance:
    """An instance: its settings file, link to the store and process.

    root is the folder of the build that the next start runs.
    """

    name: str
    address: str
    settings: pathlib.Path
    link: relay_lib.Link
    child: subprocess.Popen[bytes] | None = None
    frozen: bool = False
    root: pathlib.Path = processes.ROOT

    def start(self) -> None:
        """Starts the process unless it is running."""
        if self.child is not None and self.child.poll() is None:
            return
        with self.settings.with_suffix('.log').open('ab') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', 'oleanderdrift.platform'],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.root,
                env={**os.environ, 'OLEANDERDRIFT_CONFIG': str(self.settings)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal if it is running."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def freeze(self) -> None:
        """Suspends the process until thaw()."""
        self.frozen = True
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes the process."""
        self.frozen = False
        self.signal(signal.SIGCONT)

    def end(self) -> None:
        """Kills the process and waits until it has exited."""
        self.thaw()
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def log(self) -> str:
        """Returns the process's output and error output."""
        return self.settings.with_suffix('.log').read_text()


async def build(
    folder: pathlib.Path, count: int, store_port: int, rng: random.Random
) -> list[Instance]:
    """Creates instances without starting them.

    They share a random network in 127.0.0.0/8 and one relay.
    """
    network = f'127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}'
    relay = relay_lib.Relay(address='127.0.0.1')
    instances = []
    for number in range(count):
        name, address = f'north-{number}', f'{network}.{number + 1}'
        link = await relay.open(name, '127.0.0.1', store_port)
        settings = folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                address=address,
                peer=PEER_PORT,
                last=LAST_PORT,
                front=FRONT_PORT,
                ready=READY_PORT,
                store=link.listening_port,
                parts=PARTITIONS,
            )
        )
        instances.append(
            Instance(name=name, address=address, settings=settings, link=link)
        )
    return instances
