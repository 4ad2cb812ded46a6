"""A simulated fleet: instances that own programs, and a faulty log.

Only the log, the messages between peers and the upstreams are simulated;
the instances use the product's shard managers and ledgers.
"""

import collections
import random
import typing

import attrs

from oleanderdrift import call_ends
from oleanderdrift import codec
from oleanderdrift import codes
from oleanderdrift import decisions
from oleanderdrift import errors
from oleanderdrift import held_shards
from oleanderdrift import lease_promises
from oleanderdrift import ledger as ledger_lib
from oleanderdrift import messages
from oleanderdrift import model
from oleanderdrift import ownership
from oleanderdrift import programs
from oleanderdrift import shard_manager

LEASE_S: typing.Final = 10.0
CLASS: typing.Final = model.ProgramClass(
    name='plan', target_s=60.0, max_calls=6, max_tokens=60
)
ACCOUNT: typing.Final = 'acme'
COMMIT, READY, SENT, DONE = range(4)


@attrs.define(kw_only=True, eq=False)
class Append:
    """An append in progress; it may land late or lose its answer."""

    node: 'Node'
    stream: str
    record: messages.Message
    on_answer: typing.Callable[[], None]
    on_failure: typing.Callable[[], None]


@attrs.define(kw_only=True, eq=False)
class AdmittedCall:
    """A call that an instance has admitted.

    serial numbers the admissions of the fleet.  With must_commit, the call
    may be dispatched once its node has committed needed_writes records.
    """

    node: 'Node'
    serial: int
    begin: messages.BeginCall
    grant: messages.CallGranted
    upstream: str
    needed_writes: int
    must_commit: bool
    state: int = COMMIT


@attrs.define(kw_only=True, eq=False)
class Node:
    """One incarnation of an instance with its own clock.

    entries are the records that are not committed yet; written and
    committed count records.
    """

    name: str
    clock_rate: float
    clock_offset: float
    manager: shard_manager.ShardManager
    entries: list[tuple[str, int, messages.Message]] = attrs.field(
        factory=list
    )
    written: int = 0
    committed: int = 0
    committing: bool = False
    reading: list[shard_manager.TakeOver] = attrs.field(factory=list)

    def write(self, decision: decisions.Decision) -> None:
        """Queues a decision's records for the group commit."""
        for record in decision.records:
            shard = ledger_lib.shard_of(record.program)
            epoch = self.manager.ledger.shards[shard].epoch
            self.entries.append((shard, epoch, record))
            self.written += 1


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The simulated world, and what the invariants are checked against.

    late_appends failed for their senders but may still land.  run_counts
    and not_run are by idempotency key: how often a call was dispatched,
    and the latest admission's serial when it was last reported not run.
    newest_dispatch holds the newest (fencing token, call) per program;
    used and released hold the upstreams per program; nothing compares
    them yet.
    """

    now: float = 1_000.0
    incarnations: int = 0
    nodes: list[Node] = attrs.field(factory=list)
    streams: dict[str, list[messages.Message]] = attrs.field(
        factory=lambda: {'fleet': [], 'programs': []}
    )
    appends: list[Append] = attrs.field(factory=list)
    late_appends: list[Append] = attrs.field(factory=list)
    promise_requests: list[tuple[Node, shard_manager.AskPromise]] = (
        attrs.field(factory=list)
    )
    admitted: list[AdmittedCall] = attrs.field(factory=list)
    serials: int = 0
    run_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    not_run: dict[str, int] = attrs.field(factory=dict)
    newest_dispatch: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    used: dict[str, set[str]] = attrs.field(factory=dict)
    released: dict[str, set[str]] = attrs.field(factory=dict)
    unrecorded: set[str] = attrs.field(factory=set)

    def start(self, name: str, rate: float) -> None:
        """Starts a new incarnation of an instance."""
        self.incarnations += 1
        manager = shard_manager.make(
            instance=name,
            data_centre='dc',
            lease_s=LEASE_S,
            unix_s=self.now + self.incarnations,
            rng=random.Random(self.incarnations),
            ledger=decisions.Ledger(),
        )
        manager.fleet.next_offset = 1
        offset = 1e4 * self.incarnations
        node = Node(
            name=name, clock_rate=rate, clock_offset=offset, manager=manager
        )
        self.nodes.append(node)

    def kill(self, node: Node) -> None:
        """Kills an incarnation and starts the next one of its name."""
        self.nodes.remove(node)
        self.admitted = [op for op in self.admitted if op.node is not node]
        self.late_appends += [one for one in self.appends if one.node is node]
        self.appends = [a for a in self.appends if a.node is not node]
        self.start(node.name, node.clock_rate)

    def clock(self, node: Node) -> float:
        """Returns a node's monotonic time."""
        return self.now * node.clock_rate + node.clock_offset

    def read(self, node: Node) -> None:
        """Lets a node read the fleet stream to its end."""
        fleet = node.manager.fleet
        for offset in range(fleet.next_offset, len(self.streams['fleet']) + 1):
            record = self.streams['fleet'][offset - 1]
            shard_manager.on_fleet_record(
                node.manager, self.clock(node), offset, record
            )

    def step(self, node: Node) -> None:
        """Carries out what a node's manager asks for, and flushes records."""
        actions = shard_manager.step(
            node.manager,
            self.clock(node),
            log_answers=True,
            durable=not node.entries,
            copied={shard for shard, _epoch, _record in node.entries},
        )
        for action in actions:
            match action:
                case shard_manager.AppendFleet():
                    self.append(node, 'fleet', action.record)
                case shard_manager.AskPromise():
                    self.promise_requests.append((node, action))
                case shard_manager.TakeOver():
                    self.fence(node, action)
        self.flush(node)

    def append(
        self,
        node: Node,
        stream: str,
        record: messages.Message,
        on_answer: typing.Callable[[], None] = lambda: None,
        on_failure: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Starts an append."""
        self.appends.append(
            Append(
                node=node,
                stream=stream,
                record=record,
                on_answer=on_answer,
                on_failure=on_failure,
            )
        )

    def fence(self, node: Node, action: shard_manager.TakeOver) -> None:
        """Appends the fence of a takeover, which goes on once it lands."""
        self.append(
            node,
            'programs',
            action.fence,
            on_answer=lambda: self.take_over(node, action),
            on_failure=lambda: shard_manager.takeover_failed(
                node.manager, action
            ),
        )

    def take_over(self, node: Node, action: shard_manager.TakeOver) -> None:
        """Replays a shard up to the fence and serves it."""
        stream = self.streams['programs']
        end = stream.index(action.fence)
        found = held_shards.replay(stream[:end], [action.shard])
        decision = shard_manager.finish_takeover(
            node.manager, self.now, action, found
        )
        if decision is not None:
            node.write(decision)

    def flush(self, node: Node) -> None:
        """Appends all pending records as a batch, unless one is in flight."""
        if node.committing or not node.entries:
            return
        node.committing = True
        batch = list(node.entries)

        def on_answer() -> None:
            node.committing = False
            node.committed += len(batch)
            del node.entries[: len(batch)]

        def on_failure() -> None:
            node.committing = False

        records = tuple(
            codec.encode(
                messages.ShardRecords(
                    shard=shard, epoch=epoch, records=(codec.encode(one),)
                )
            )
            for shard, epoch, one in batch
        )
        record = messages.Batch(records=records)
        self.append(node, 'programs', record, on_answer, on_failure)

    def copy(self, node: Node, shard: str) -> bool:
        """Copies a shard's waiting records to all its possible successors.

        Returns whether all have taken them.
        """
        fleet = node.manager.fleet
        if shard not in fleet.own or ownership.is_private(fleet, shard):
            return False
        homes = ownership.own_successors(fleet, shard)
        waiting = [entry for entry in node.entries if entry[0] == shard]
        for home in homes:
            if not self.keep(fleet.shards[home].opener, home, waiting):
                return False
        now = self.clock(node)
        if not homes or not ownership.may_serve(fleet, now, shard):
            return False
        ownership.note_unrecorded(fleet)
        return True

    def keep(
        self,
        name: str,
        home: str,
        entries: list[tuple[str, int, messages.Message]],
    ) -> bool:
        """Gives an instance copies; returns whether it has taken them."""
        for node in self.nodes:
            if node.name == name and all(
                lease_promises.may_wait(node.manager.fleet, shard, home)
                for shard, _epoch, _record in entries
            ):
                node.entries += entries
                node.written += len(entries)
                return True
        return False

    def land_append(self, append: Append, *, answered: bool) -> None:
        """Adds an append to its stream; without an answer it has failed."""
        self.appends.remove(append)
        self.streams[append.stream].append(append.record)
        if answered:
            append.on_answer()
        else:
            append.on_failure()

    def fail_append(self, append: Append) -> None:
        """Fails an append, which may still land later."""
        self.appends.remove(append)
        self.late_appends.append(append)
        append.on_failure()

    def land_late_append(self, append: Append) -> None:
        """Adds an append to its stream that has failed for its sender."""
        self.late_appends.remove(append)
        self.streams[append.stream].append(append.record)

    def deliver_promise_request(
        self, asked: tuple[Node, shard_manager.AskPromise]
    ) -> None:
        """Passes a promise request to the peer, and its answer back."""
        self.promise_requests.remove(asked)
        asker, action = asked
        for node in self.nodes:
            if node.name != action.instance:
                continue
            try:
                reply = shard_manager.on_promise_request(
                    node.manager, self.clock(node), action.request
                )
            except errors.ResultError:
                continue
            shard_manager.on_promise(asker.manager, reply)

    def run_nodes(
        self, nodes: typing.Iterable[Node], *, log: bool, peers: bool = True
    ) -> None:
        """Runs one round of nodes; log and peers tell whether these work."""
        for node in list(nodes):
            if log:
                self.read(node)
            self.step(node)
            for asked in [a for a in self.promise_requests if a[0] is node]:
                if peers:
                    self.deliver_promise_request(asked)
                else:
                    self.promise_requests.remove(asked)
            for one in [a for a in self.appends if a.node is node]:
                if log:
                    self.land_append(one, answered=True)
                else:
                    self.fail_append(one)
            if log:
                self.read(node)

    def create(self, node: Node) -> str:
        """Starts a program."""
        shard = shard_manager.shard_for_new_program(
            node.manager, self.clock(node)
        )
        message = messages.CreateProgram(
            client_account=ACCOUNT, class_name='plan'
        )
        decision = programs.create(
            node.manager.ledger, self.now, shard, message, CLASS
        )
        node.write(decision)
        assert isinstance(decision.reply, messages.ProgramStarted)
        return decision.reply.program

    def begin(
        self, node: Node, message: messages.BeginCall, upstream: str
    ) -> codes.ResultCode | None:
        """Asks a node to admit a call; returns the code of a refusal."""
        shard = ledger_lib.shard_of(message.program)
        try:
            epoch = shard_manager.epoch_of(
                node.manager, self.clock(node), shard
            )
        except errors.ResultError as error:
            return self.check_refusal(
                message, programs.error_without_owner(message, error).code
            )
        decision = programs.begin(
            node.manager.ledger, self.now, epoch, message
        )
        node.write(decision)
        if isinstance(decision.reply, messages.ErrorReply):
            return self.check_refusal(
                message, codes.TABLE[decision.reply.code]
            )
        if isinstance(decision.reply, messages.CallGranted):
            self.admit(node, message, decision, upstream)
        return None

    def admit(
        self,
        node: Node,
        message: messages.BeginCall,
        decision: decisions.Decision,
        upstream: str,
    ) -> None:
        """Places an admitted call on an upstream and keeps track of it."""
        grant = decision.reply
        placed = call_ends.place(
            node.manager.ledger,
            self.now,
            messages.CallPlaced(
                program=grant.program,
                call=grant.call,
                attempt=grant.attempt,
                fencing_token=grant.fencing_token,
                upstream=upstream,
            ),
        )
        node.write(placed)
        self.serials += 1
        self.admitted.append(
            AdmittedCall(
                node=node,
                serial=self.serials,
                begin=message,
                grant=grant,
                upstream=upstream,
                needed_writes=node.written,
                must_commit=decision.commit_required
                or placed.commit_if_available,
            )
        )

    def check_refusal(
        self, message: messages.BeginCall, code: codes.ResultCode
    ) -> codes.ResultCode:
        """Checks a refusal: a call that is reported not run has not run."""
        if code.execution is codes.Execution.NOT_RUN:
            self.note_not_run(message)
        return code

    def note_not_run(self, message: messages.BeginCall) -> None:
        """Checks and records that a call was reported not run."""
        if message.idempotent:
            return
        assert not self.run_counts[message.idempotency_key], message
        self.not_run[message.idempotency_key] = self.serials
