"""Stand-in for a model engine with an OpenAI-compatible chat API."""

import asyncio
import time
import typing

import msgspec
import tornado.web

from standins import chat
from standins import engine_state
from standins import faults
from standins import serving


class LoadHandler(serving.Handler):
    """Handles load requests."""

    engine: engine_state.Engine

    def get(self) -> None:
        """Answers with the load as of lag_s ago."""
        self.write_json(self.engine.reported_load())


class EventsHandler(serving.Handler):
    """Handles reads of the cache events."""

    engine: engine_state.Engine

    def get(self) -> None:
        """Answers with the visible events from an offset on.

        next in the answer is the offset for the following read.
        """
        start = int(self.get_argument('from', '1'))
        now = time.monotonic()
        events = [
            event
            for event in self.engine.batcher.cache.events
            if event.offset >= start and event.visible_at <= now
        ]
        following = events[-1].offset + 1 if events else start
        self.write_json({'next': following, 'events': events})


class ReleaseHandler(serving.Handler):
    """Handles requests to release cache blocks."""

    engine: engine_state.Engine

    def post(self) -> None:
        """Releases the blocks of the program named in the body."""
        self.engine.release(str(self.read_json()['program']))
        self.write_json({})


class OrdersHandler(serving.Handler):
    """Handles orders to load a model or change role."""

    engine: engine_state.Engine

    def post(self) -> None:
        """Records an order; answers 409 if its fencing token is stale.

        Tokens are checked only with the switch check_fencing.
        """
        body = self.read_json()
        if self.engine.switches.check_fencing:
            token = int(body.get('fencing_token', 0))
            if not self.engine.guard.admit('orders', token):
                raise tornado.web.HTTPError(409)
        self.engine.orders.append(body)
        self.write_json({})


def make_app(
    switches: engine_state.EngineSwitches | None = None,
    name: str = 'engine',
    **settings: typing.Any,
) -> serving.Application:
    """Returns an engine application; settings override its defaults."""
    switches = switches or engine_state.EngineSwitches()
    state = faults.ServerState(switches=switches)
    engine = engine_state.make_engine(name, switches, **settings)

    def report() -> dict[str, typing.Any]:
        return {
            'started': engine.started,
            'cancelled': engine.cancelled,
            'load': msgspec.to_builtins(engine.load()),
            'orders': engine.orders,
            'requests': state.requests,
        }

    routes: list[tuple[str, type[serving.Handler]]] = [
        (r'/v1/chat/completions', chat.ChatHandler),
        (r'/v1/streams/([\w-]+)', chat.StreamHandler),
        (r'/v1/load', LoadHandler),
        (r'/v1/events', EventsHandler),
        (r'/v1/release', ReleaseHandler),
        (r'/v1/orders', OrdersHandler),
    ]
    return serving.make_application(state, routes, report, engine=engine)


def main() -> None:
    """Runs the engine until SIGTERM."""
    arguments = serving.make_parser(__doc__ or '')
    arguments.add_argument('--name', default='engine')
    arguments.add_argument('--speed', type=float, default=1.0)
    arguments.add_argument('--max-batch', type=int, default=8)
    arguments.add_argument('--cache-blocks', type=int, default=4096)
    arguments.add_argument('--check-fencing', action='store_true')
    options = arguments.parse_args()
    application = make_app(
        engine_state.EngineSwitches(
            speed=options.speed, check_fencing=options.check_fencing
        ),
        options.name,
        max_batch=options.max_batch,
        cache_blocks=options.cache_blocks,
    )
    asyncio.run(serving.serve(application, options.address, options.port))


if __name__ == '__main__':
    main()
