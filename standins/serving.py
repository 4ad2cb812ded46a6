"""What the stand-ins share: handlers that show faults, control, serving.

A stand-in is a small HTTP server in place of a service of the platform.
Its faults are switches that POST /control throws while it runs.
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
    """Base of the stand-ins' handlers: faults, JSON, lost connections."""

    frame: faults.Frame

    def initialize(self, frame: faults.Frame, **parts: typing.Any) -> None:
        """Takes the stand-in's parts."""
        self.frame = frame
        self.closed = asyncio.Event()
        for name, part in parts.items():
            setattr(self, name, part)

    @property
    def stream(self) -> tornado.iostream.IOStream:
        """The connection that the request came on."""
        stream: tornado.iostream.IOStream
        stream = self.request.connection.stream  # type: ignore[union-attr]
        return stream

    async def prepare(self) -> None:
        """Applies the faults before the request takes effect."""
        self.frame.open_streams.add(self.stream)
        await self.outage_gate()
        if self.frame.switches.slow_s:
            await self.wait_closed(self.frame.switches.slow_s)
            await self.outage_gate()

    async def outage_gate(self) -> None:
        """Refuses or holds the request as the switches say."""
        await self.silence_gate()
        match self.frame.switches.outage:
            case 'hang':
                await self.hold()
            case 'refuse':
                raise tornado.web.HTTPError(503)

    async def silence_gate(self) -> None:
        """Holds the request if its connection has gone silent."""
        if self.stream in self.frame.silent_streams:
            await self.hold()

    async def hold(self) -> typing.NoReturn:
        """Gives no answer until the client closes the connection."""
        await self.closed.wait()
        raise tornado.web.Finish()

    async def wait_closed(self, timeout_s: float) -> bool:
        """Waits; returns early and True if the client closes."""
        try:
            await asyncio.wait_for(self.closed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def cut(self) -> typing.NoReturn:
        """Closes the connection without an answer."""
        self.stream.close()
        raise tornado.web.Finish()

    def on_connection_close(self) -> None:
        """Notes that the client has gone."""
        self.closed.set()

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answers an error as JSON."""
        self.write_json({'error': {'status': status_code}}, status_code)

    def write_json(self, value: typing.Any, status: int = 200) -> None:
        """Answers with JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))

    def read_json(self) -> typing.Any:
        """Returns the body's JSON; a body without any is refused."""
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as error:
            raise tornado.web.HTTPError(400, str(error)) from error


class ControlHandler(Handler):
    """Reads and throws the switches; no fault reaches it."""

    report: typing.Callable[[], dict[str, typing.Any]]

    async def prepare(self) -> None:
        """Lets control through whatever the switches say."""

    def get(self) -> None:
        """Answers with the switches and what the stand-in counted."""
        self.write_json({'switches': self.frame.switches, **self.report()})

    def post(self) -> None:
        """Throws the switches named in the JSON body."""
        try:
            self.frame.throw(self.read_json())
        except (ValueError, msgspec.ValidationError) as error:
            self.write_json({'error': str(error)}, 400)
            return
        self.write_json({'switches': self.frame.switches})


class Application(tornado.web.Application):
    """A stand-in's application with its frame in reach of tests."""

    frame: faults.Frame


def make_application(
    frame: faults.Frame,
    routes: typing.Sequence[tuple[str, type[Handler]]],
    report: typing.Callable[[], dict[str, typing.Any]],
    **parts: typing.Any,
) -> Application:
    """Returns an application of the routes and /control."""
    common = {'frame': frame, **parts}
    control = {'frame': frame, 'report': report}
    rules: list[typing.Any] = [(r'/control', ControlHandler, control)]
    rules += [(path, handler, common) for path, handler in routes]
    application = Application(rules, log_function=lambda handler: None)
    application.frame = frame
    return application


def listen(
    application: tornado.web.Application, address: str, port: int
) -> tuple[tornado.httpserver.HTTPServer, int]:
    """Serves on the address; returns the server and its port."""
    sockets = tornado.netutil.bind_sockets(port, address)
    server = tornado.httpserver.HTTPServer(
        application, max_buffer_size=MAX_BODY_BYTES
    )
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def serve(
    application: tornado.web.Application, address: str, port: int
) -> None:
    """Serves until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server, port = listen(application, address, port)
    print(f'listening {address} {port}', flush=True)
    await stop.wait()
    server.stop()


def parser(description: str) -> argparse.ArgumentParser:
    """Returns the argument parser that the stand-ins have in common."""
    arguments = argparse.ArgumentParser(description=description)
    arguments.add_argument('--address', default='127.0.0.1')
    arguments.add_argument('--port', type=int, default=0)
    return arguments
