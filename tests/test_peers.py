"""Tests of messages between instances over real sockets."""

import asyncio

from oleanderdrift import messages
from oleanderdrift import peers

REQUESTS = 400
WORKERS = 12


async def answer(
    _sender: str, message: messages.Message
) -> messages.Message | None:
    """Answers with a program named after the request."""
    return messages.ProgramStarted(program=message.client_account)


def make(name: str) -> peers.Peers:
    """Returns a peer adapter on a free port."""
    return peers.Peers(
        name=name,
        address='127.0.0.1',
        port=0,
        handler=answer,
        on_late=lambda address, message: None,
    )


def test_every_request_of_a_busy_mesh_is_answered() -> None:
    async def ask(all_peers: list[peers.Peers], worker: int) -> int:
        right = 0
        for number in range(REQUESTS // WORKERS):
            sender = all_peers[worker % 3]
            target = all_peers[(worker + 1 + number % 2) % 3]
            label = f'{worker}-{number}'
            reply = await sender.request(
                f'127.0.0.1:{target.port}',
                messages.CreateProgram(client_account=label, class_name='c'),
                10.0,
            )
            right += reply == messages.ProgramStarted(program=label)
        return right

    async def run() -> int:
        mesh = [make(name) for name in 'abc']
        try:
            found = await asyncio.gather(
                *(ask(mesh, worker) for worker in range(WORKERS))
            )
        finally:
            for one in mesh:
                one.close()
        return sum(found)

    assert asyncio.run(run()) == REQUESTS // WORKERS * WORKERS
