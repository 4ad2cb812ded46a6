"""Runs programs of three classes on a fleet and prints a result table.

Nine instances in three data centres serve urgent alerts, dispatches with
a side effect that may happen only once, and planning conversations with
pauses for tools and a sub-agent.
"""

import argparse
import concurrent.futures
import itertools
import random
import sys
import time
import typing
import uuid

import attrs
from hdrh import histogram

from standins import client
from standins import demo_config
from standins import demo_table
from standins import fleet
from standins import fleet_state

SEED: typing.Final = 7
ANSWER_TOKENS: typing.Final = 24
PAUSE_S: typing.Final = (0.05, 0.3)
PLANNING_TURNS: typing.Final = 3
MAX_LATENCY_MS: typing.Final = 600_000


@attrs.define(kw_only=True)
class Session:
    """A running program; its calls go to the instances in rotation."""

    account: str
    class_name: str
    urls: typing.Iterator[str]
    totals: demo_table.Totals
    rng: random.Random
    program: client.Program

    def ask(self, question: str) -> None:
        """Makes a model call; raises RuntimeError if there is no answer.

        A wrong answer is only counted.
        """
        url = next(self.urls)
        stream = client.ask(
            url, self.program, question, demo_config.MODEL, ANSWER_TOKENS
        )
        if not stream.finished:
            self.totals.refusals[self.account] += 1
            raise RuntimeError(stream.error)
        if not client.is_correct_answer(stream, question, ANSWER_TOKENS):
            self.totals.wrong_answers += 1

    def use_tool(self, path: str, repeat: bool = False) -> None:
        """Makes a tool call; repeat sends it again to another instance.

        Both carry the same idempotency key.
        """
        key = uuid.uuid4().hex
        value = {'note': f'{self.account} {self.class_name}'}
        answer = client.use_tool(
            next(self.urls), self.program, path, value, key
        )
        if answer.status != 200:
            self.totals.refusals[self.account] += 1
            raise RuntimeError(answer.body)
        if path == demo_config.DISPATCH_PATH:
            self.totals.side_effects.append(key)
        if repeat:
            client.use_tool(
                next(self.urls),
                self.program,
                path,
                value,
                key,
                self.program.calls,
            )

    def pause(self) -> None:
        """Sleeps for a random time, as for thinking or a slow tool."""
        time.sleep(self.rng.uniform(*PAUSE_S))


def run_alert(session: Session) -> None:
    """Asks one urgent question."""
    session.ask(f'lane closed, {session.program.program_id}: whom to warn?')


def run_dispatch(session: Session) -> None:
    """Sends a dispatch twice, then asks for its confirmation."""
    session.use_tool(demo_config.DISPATCH_PATH, repeat=True)
    session.ask('is the team on its way?')


def run_planning(session: Session) -> None:
    """Holds a conversation with pauses, tool calls and a sub-agent."""
    for turn in range(PLANNING_TURNS):
        session.ask(f'{session.account} plan, step {turn}')
        session.pause()
        session.use_tool(demo_config.SHEET_PATH)
    child = start_session(
        session.account,
        session.class_name,
        session.urls,
        session.totals,
        session.rng,
        session.program.program_id,
    )
    child.ask(f'{session.account} sub-agent: check the plan')
    client.end_program(next(session.urls), child.program)
    session.ask('put it all together')


RUNNERS: typing.Final = {
    'alert': run_alert,
    'dispatch': run_dispatch,
    'planning': run_planning,
}


def start_session(
    account: str,
    class_name: str,
    urls: typing.Iterator[str],
    totals: demo_table.Totals,
    rng: random.Random,
    parent: str = '',
) -> Session:
    """Starts a program and returns its session."""
    key = demo_config.caller_key(account)
    program = client.start_program(next(urls), key, class_name, parent)
    return Session(
        account=account,
        class_name=class_name,
        urls=urls,
        totals=totals,
        rng=rng,
        program=program,
    )


def run_program(
    account: str,
    class_name: str,
    urls: typing.Iterator[str],
    totals: demo_table.Totals,
    rng: random.Random,
) -> None:
    """Runs a program from start to end and records its duration."""
    started = time.monotonic()
    totals.programs[class_name] += 1
    try:
        session = start_session(account, class_name, urls, totals, rng)
        RUNNERS[class_name](session)
        client.end_program(next(urls), session.program)
    except (RuntimeError, OSError) as error:
        totals.failed.append(f'{class_name} of {account}: {error}')
        return
    duration_s = time.monotonic() - started
    if duration_s <= demo_config.TARGETS_S[class_name]:
        totals.in_target[class_name] += 1
    totals.latency[account].record_value(round(duration_s * 1000))


def run_all(
    running: fleet_state.Fleet, rounds: int, callers: int
) -> demo_table.Totals:
    """Runs programs of every account and class concurrently."""
    totals = demo_table.Totals()
    for account in demo_config.ACCOUNTS:
        totals.latency[account] = histogram.HdrHistogram(1, MAX_LATENCY_MS, 2)
    rng = random.Random(SEED)
    urls = itertools.cycle([node.url for node in running.nodes.values()])
    programs = [
        (account, class_name)
        for _ in range(rounds)
        for account in demo_config.ACCOUNTS
        for class_name in RUNNERS
    ]
    rng.shuffle(programs)
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        for account, class_name in programs:
            pool.submit(run_program, account, class_name, urls, totals, rng)
    return totals


def main() -> None:
    """Runs the demonstration; exits with 1 if anything went wrong."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument('--rounds', type=int, default=3)
    arguments.add_argument('--callers', type=int, default=12)
    options = arguments.parse_args()
    plan = fleet_state.Plan(
        operator_token_sha256=demo_config.sha256(demo_config.OPERATOR_TOKEN)
    )
    print('starting 9 instances in 3 data centres ...', flush=True)
    with fleet.running(plan, demo_config.make_toml) as running:
        print('running programs of three classes ...', flush=True)
        totals = run_all(running, options.rounds, options.callers)
        succeeded = demo_table.print_totals(
            totals, demo_table.count_runs(running)
        )
    sys.exit(0 if succeeded else 1)


if __name__ == '__main__':
    main()
