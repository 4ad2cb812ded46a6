"""Shared parts of the stand-ins: fault injection, control and serving.

A stand-in is a small HTTP server that simulates a service of the platform.
Its faults are switches that POST /control sets while it runs.
"""

import argparse
import asyncio
import signal
import typing

import msgspec
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from standins import faults

MAX_BODY_BYTES: typing.Final = 64 * 1024 * 1024


class Handler(tornado.web.RequestHandler):
    """Base of the handlers: injects faults, notes lost connections."""

    state: faults.ServerState

    def initialize(
        self, state: faults.ServerState, **parts: typing.Any
    ) -> None:
        """Sets the stand-in's parts as attributes."""
        self.state = state
        self.disconnected = asyncio.Event()
        for name, part in parts.items():
            setattr(self, name, part)

    @property
    def stream(self) -> tornado.iostream.IOStream:
        """The connection of the request."""
        stream: tornado.iostream.IOStream
        stream = self.request.connection.stream  # type: ignore[union-attr]
        return stream

    async def prepare(self) -> None:
        """Applies the fault switches before the request is handled."""
        self.state.open_streams.add(self.stream)
        await self.apply_outage()
        if self.state.switches.slow_s:
            await self.wait_for_disconnect(self.state.switches.slow_s)
            await self.apply_outage()

    async def apply_outage(self) -> None:
        """Raises a 503 error or hangs if a switch asks for it."""
        await self.hang_if_silent()
        match self.state.switches.outage:
            case 'hang':
                await self.hang()
            case 'refuse':
                raise tornado.web.HTTPError(503)

    async def hang_if_silent(self) -> None:
        """Hangs if the connection has been silenced."""
        if self.stream in self.state.silent_streams:
            await self.hang()

    async def hang(self) -> typing.NoReturn:
        """Waits without an answer until the client disconnects."""
        await self.disconnected.wait()
        raise tornado.web.Finish()

    async def wait_for_disconnect(self, timeout_s: float) -> bool:
        """Waits for the client to disconnect; returns whether it did."""
        try:
            await asyncio.wait_for(self.disconnected.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def close_connection(self) -> typing.NoReturn:
        """Closes the connection without an answer."""
        self.stream.close()
        raise tornado.web.Finish()

    def on_connection_close(self) -> None:
        """Notes that the client has disconnected."""
        self.disconnected.set()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answers with an error as JSON."""
        self.write_json({'error': {'status': status_code}}, status_code)

    def write_json(self, value: typing.Any, status: int = 200) -> None:
        """Answers with JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def read_json(self) -> typing.Any:
        """Returns the decoded JSON body, or raises a 400 error."""
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as error:
            raise tornado.web.HTTPError(400, str(error)) from error


class ControlHandler(Handler):
    """Reads and sets the fault switches; no fault applies to it."""

    report: typing.Callable[[], dict[str, typing.Any]]

    async def prepare(self) -> None:
        """Skips the faults that the base class applies."""

    def get(self) -> None:
        """Answers with the switches and the stand-in's report."""
        self.write_json({'switches': self.state.switches, **self.report()})

    def post(self) -> None:
        """Sets the switches named in the JSON body."""
        try:
            self.state.set_switches(self.read_json())
        except (ValueError, msgspec.ValidationError) as error:
            self.write_json({'error': str(error)}, 400)
            return
        self.write_json({'switches': self.state.switches})


class Application(tornado.web.Application):
    """A stand-in's application; its state is accessible to tests."""

    state: faults.ServerState


def make_application(
    state: faults.ServerState,
    routes: typing.Sequence[tuple[str, type[Handler]]],
    report: typing.Callable[[], dict[str, typing.Any]],
    **parts: typing.Any,
) -> Application:
    """Returns an application with the routes and /control."""
    common = {'state': state, **parts}
    control = {'state': state, 'report': report}
    rules: list[typing.Any] = [(r'/control', ControlHandler, control)]
    rules += [(path, handler, common) for path, handler in routes]
    application = Application(rules, log_function=lambda handler: None)
    application.state = state
    return application


def listen(
    application: tornado.web.Application, address: str, port: int
) -> tuple[tornado.httpserver.HTTPServer, int]:
    """Starts serving on the address; returns the server and its port."""
    sockets = tornado.netutil.bind_sockets(port, address)
    server = tornado.httpserver.HTTPServer(
        application, max_buffer_size=MAX_BODY_BYTES
    )
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def serve(
    application: tornado.web.Application, address: str, port: int
) -> None:
    """Serves until SIGTERM or SIGINT; prints `listening ADDRESS PORT`."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server, port = listen(application, address, port)
    print(f'listening {address} {port}', flush=True)
    await stop.wait()
    server.stop()


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns an argument parser with the stand-ins' common options."""
    arguments = argparse.ArgumentParser(description=description)
    arguments.add_argument('--address', default='127.0.0.1')
    arguments.add_argument('--port', type=int, default=0)
    return arguments
