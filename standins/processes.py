"""Starts server processes, awaits readiness and stops them by process id."""

import json
import os
import pathlib
import selectors
import signal
import socket
import subprocess  # nosec
import sys
import time
import typing
import urllib.error
import urllib.request

import attrs

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
READY_TIMEOUT_S: typing.Final = 20.0
END_TIMEOUT_S: typing.Final = 10.0
HTTP_TIMEOUT_S: typing.Final = 10.0
PROBE_INTERVAL_S: typing.Final = 0.05


@attrs.define(kw_only=True)
class Process:
    """A process that serves HTTP on one address and port."""

    name: str
    child: subprocess.Popen[str]
    address: str
    port: int
    log_path: pathlib.Path

    @property
    def url(self) -> str:
        """The base URL of the server."""
        return f'http://{self.address}:{self.port}'

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self.child.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        os.kill(self.child.pid, number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.child.kill()
        self.child.wait()

    def freeze(self) -> None:
        """Suspends the process until thaw(); waits until it has stopped."""
        self.signal(signal.SIGSTOP)
        os.waitid(
            os.P_PID,
            self.child.pid,
            os.WSTOPPED | os.WNOWAIT,
        )

    def thaw(self) -> None:
        """Resumes the process."""
        self.signal(signal.SIGCONT)


def start(
    name: str,
    arguments: list[str],
    folder: pathlib.Path,
    address: str = '',
    port: int = 0,
) -> Process:
    """Starts `python ARGUMENTS`; its stderr goes to a file in the folder."""
    log_path = folder / f'{name}.log'
    with log_path.open('ab') as log:
        child = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
            cwd=ROOT,
            text=True,
        )
    return Process(
        name=name, child=child, address=address, port=port, log_path=log_path
    )


def await_listening(process: Process) -> None:
    """Waits for the line `listening ADDRESS PORT` and stores both.

    Raises RuntimeError if another line or none comes in time.
    """
    stdout = process.child.stdout
    assert stdout is not None
    with selectors.DefaultSelector() as selector:
        selector.register(stdout, selectors.EVENT_READ)
        ready = selector.select(READY_TIMEOUT_S)
    words = stdout.readline().split() if ready else []
    if words[:1] != ['listening']:
        raise RuntimeError(f'{process.name}: {tail(process)}')
    process.address = words[1]
    process.port = int(words[2])


def await_health(process: Process, path: str) -> None:
    """Waits until a GET of the path succeeds.

    Raises RuntimeError if the process exits or is not ready in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.running:
        try:
            call('GET', process.url + path)
            return
        except OSError:
            time.sleep(PROBE_INTERVAL_S)
    raise RuntimeError(f'{process.name} is not ready: {tail(process)}')


def tail(process: Process) -> str:
    """Returns the last 2000 characters of a process's log file."""
    return process.log_path.read_text()[-2000:]


def end_all(processes: typing.Iterable[Process]) -> list[str]:
    """Stops processes with SIGTERM, and kills those that do not exit.

    Returns the names of the killed ones.
    """
    live = [process for process in processes if process.running]
    for process in live:
        process.thaw()
        process.signal(signal.SIGTERM)
    deadline = time.monotonic() + END_TIMEOUT_S
    killed = []
    for process in live:
        try:
            process.child.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            killed.append(process.name)
    return killed


def free_port(address: str) -> int:
    """Returns a port that is free on the address at the moment."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
        return port


def call(
    method: str,
    url: str,
    value: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> typing.Any:
    """Sends JSON and returns the response's JSON, or None if it has none.

    Raises OSError if there is no response or its status is an error.
    """
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        body = response.read()
    try:
        return json.loads(body)
    except ValueError:
        return None


def set_switches(process: Process, **switches: typing.Any) -> None:
    """Sets fault switches of a stand-in by name."""
    call('POST', f'{process.url}/control', switches)


def report(process: Process) -> typing.Any:
    """Returns a stand-in's switches, counters and records."""
    return call('GET', f'{process.url}/control')
