"""A planned stop cuts requests that it accepted after its third second."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as lib  # noqa: E402

KEY = '3fexd9dnn2ctnfzs989a'
GRACE_S = 8.0
# Within TimeoutMs and the time budget, no pause over GapTargetMs.
LONG = (24, 0.2)
NEXT = (17, 0.2)
PUBLISH_S = 1.85


def plan(fields):
    """Says how long a replica works: in the session's name."""
    return LONG if fields['session-id'].endswith('long') else NEXT


async def session(rig, node, name, results):
    """A turn that is under way at SIGTERM, then what follows it."""
    channel = lib.Channel(rig.record, node)
    program = f'p{name}'
    first = lib.turn_fields(KEY, program, f'{name}-long')
    answer = await channel.request(
        'POST', lib.HOST, '/chat/1', first, b'{"text": "plan the term"}'
    )
    results['first'].append(answer)
    # The client thinks, then goes on over the channel that is open.
    await asyncio.sleep(0.6)
    kept = channel.writer is not None
    fields = lib.turn_fields(
        KEY, program, f'{name}-next', previous=first['Attempt-Id']
    )
    answer = await channel.request(
        'POST', lib.HOST, '/chat/1', fields, b'{"text": "and May?"}'
    )
    answer.on_kept_channel = kept
    results['next'].append(answer)
    channel.close()


async def publisher(rig, node, name, results):
    """The same with a call that must not be repeated."""
    channel = lib.Channel(rig.record, node)
    first = lib.turn_fields(KEY, f'q{name}', f'{name}-long')
    answer = await channel.request(
        'POST', lib.HOST, '/chat/1', first, b'{"text": "plan the term"}'
    )
    results['first'].append(answer)
    await asyncio.sleep(0.9)
    kept = channel.writer is not None
    fields = {
        'Attempt-Id': lib.new_id(),
        'Deadline-Ms': 2000,
        'Credential': KEY,
        'Program-Id': f'q{name}',
        'Session-Id': f'{name}-long',
        'Finish-Ms': 20000,
    }
    answer = await channel.request(
        'POST', lib.HOST, '/publish/1', fields, b'{"calendar": 5}'
    )
    answer.on_kept_channel = kept
    results['next'].append(answer)
    channel.close()


async def case(rig):
    store = rig.open_store()
    await store.put(
        'op', 'config', lib.config(7, [lib.tenant('hule930', KEY)])
    )
    for number in range(2):
        await rig.add_replica(f'i-model{number}', 'models', plan)
        await rig.add_replica(
            f'i-school{number}', 'school', lambda fields: PUBLISH_S, slots=6
        )
    nodes = [await rig.add_node(f'edge-{one}') for one in range(2)]
    if not await lib.until_ready(nodes):
        return lib.NOT_RUN, 'the instances are not ready'
    await asyncio.sleep(3.5)
    node = nodes[0]
    results = {'first': [], 'next': []}
    tasks = [
        asyncio.create_task(one(rig, node, f's{number}', results))
        for number, one in enumerate([session, publisher] * 4)
    ]
    # The first events have come; SIGTERM falls into the long answers.
    await asyncio.sleep(0.15)
    term_at = rig.record.now()
    if lib.TROUBLE:
        node.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if node.runs():
            node.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    if any(not one.whole or one.status != 200 for one in results['first']):
        return lib.NOT_RUN, 'a first answer was not whole'
    cut = []
    for answer in results['next']:
        runs = rig.runs_of(answer.attempt)
        sent_s = answer.sent - term_at
        rig.record.note(
            'judged', id=answer.attempt, sent_after_sigterm=round(sent_s, 2),
            kept=answer.on_kept_channel, status=answer.status,
            whole=answer.whole, runs=len(runs),
        )
        # Sent later than 3 s after the SIGTERM, so the sixth of GraceS is
        # no excuse; passed on; not at its time budget; the replica worked on.
        in_time = answer.ended - answer.sent < 1.95
        if '/chat' in (runs[0]['path'] if runs else ''):
            in_time = answer.ended - answer.sent < 4.9
        if runs and not answer.whole and sent_s > 3.0 and in_time:
            cut.append(answer)
    text = (
        f'{len(cut)} of {len(results["next"])} requests were sent later than '
        '3 s after SIGTERM, passed on to a sound replica and cut'
    )
    return (lib.BROKEN if cut else lib.HELD), text


lib.main(pathlib.Path(__file__).resolve().parent, case)
