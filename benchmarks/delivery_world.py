"""The cores of delivery and journal, joined by small fakes.

Routers and control hosts run the real cores on buses of their own. Fakes
stand at the interfaces: admission, placement, the replicated log, the HTTP
client and the upstreams. Time is an event queue; nothing is random but by
the seed.
"""

from __future__ import annotations

import collections
import datetime
import heapq
import itertools
import random
import typing

import msgspec

from benchmarks import delivery_upstreams as upstreams
from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import core as delivery_core
from fulmarbarrow.delivery import evidence_keeper
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import policy
from fulmarbarrow.journal import control as journal_control
from fulmarbarrow.journal import router as journal_router
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

TICK = datetime.timedelta(milliseconds=250)
HOP = datetime.timedelta(milliseconds=1)
COMMIT = datetime.timedelta(milliseconds=2)
NO_QUORUM_WAIT = datetime.timedelta(seconds=2)


class Node:
    """A daemon: its bus and whether its process lives."""

    def __init__(self, *, world: World, name: str, role: str) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.alive = True
        self.control: journal_control.JournalControl | None = None
        self.bus = buses.Bus(clock=world.clock, strict=True)
        self.metrics = metrics_module.Metrics()
        self.record = membership_messages.Daemon(
            daemon_id=name,
            incarnation=1,
            zone="attica-a",
            region="attica",
            address=self.address,
            roles=(role,),
        )
        self.bus.subscribe(message.Send, world.carry)

    def replace(self, control: journal_control.JournalControl) -> None:
        """Have a freshly started core in the place of the old one."""
        self.control = control

    def post(self, event: message.Message) -> None:
        """Hand an event to the daemon's cores, if it lives."""
        if self.alive:
            self.bus.post(event)


class World:
    """Routers, control hosts, upstreams and callers in one queue of time."""

    def __init__(
        self,
        *,
        seed: int,
        routers: int = 2,
        engines: int = 3,
        registers: int = 2,
        mechanisms: policy.Mechanisms | None = None,
        check_lease: bool = True,
        retries: defaults.RetriesSection | None = None,
        tells_began: bool = False,
    ) -> None:
        self.retries = retries
        self._tells_began = tells_began
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.mechanisms = mechanisms or policy.Mechanisms()
        self.check_lease = check_lease
        self._cancelled: set[str] = set()
        self.steps = 0
        self.on_step: typing.Callable[[int], None] = lambda step: None
        self.drop_next = 0
        self.place_delay = HOP
        self._lost_to: collections.Counter[str] = collections.Counter()
        self.client_pause = datetime.timedelta(0)
        self._queue: list[tuple[datetime.datetime, int, typing.Any]] = []
        self._numbers = itertools.count()
        self.log = Log(world=self)
        self.controls = [self._control(n) for n in range(3)]
        self.cores: dict[str, delivery_core.DeliveryCore] = {}
        self.routers = [self._router(n) for n in range(routers)]
        self.nodes = {
            node.address: node for node in (*self.controls, *self.routers)
        }
        self.upstreams: dict[str, upstreams.Upstream] = {}
        for pool, count in (("engine", engines), ("register", registers)):
            for number in range(count):
                upstream = upstreams.Upstream(
                    world=self, pool=pool, number=number
                )
                self.upstreams[upstream.upstream_id] = upstream
        self.callers: dict[str, typing.Any] = {}
        self._introduce()
        self.log.lead(0)
        self.after(TICK, self._tick)

    @property
    def now(self) -> datetime.datetime:
        """The time in this world."""
        return self.clock.now()

    def after(
        self, delay: datetime.timedelta, call: typing.Any, *args: typing.Any
    ) -> None:
        """Call later."""
        entry = (self.now + delay, next(self._numbers), (call, args))
        heapq.heappush(self._queue, entry)

    def run(self, until: typing.Callable[[], bool], limit: float) -> None:
        """Let time pass until a condition holds, or ``limit`` seconds."""
        end = self.now + datetime.timedelta(seconds=limit)
        while self._queue and not until():
            if self._queue[0][0] > end:
                return
            at, _, (call, args) = heapq.heappop(self._queue)
            if at > self.now:
                self.clock.advance(at - self.now)
            call(*args)

    def carry(self, event: message.Send, _: datetime.datetime) -> None:
        """Carry a message between daemons, unless it is lost."""
        if self.drop_next > 0:
            self.drop_next -= 1
            return
        if self._lost_to[event.address] > 0:
            self._lost_to[event.address] -= 1
            return
        self.after(HOP, self._arrive, event)

    def lose_to(self, address: str, count: int) -> None:
        """Lose the next messages to a daemon."""
        self._lost_to[address] = count

    def _arrive(self, event: message.Send) -> None:
        node = self.nodes.get(event.address)
        if node is not None:
            node.post(event.message)

    def tell_routers(self, event: message.Message) -> None:
        """Post an event of membership on every router."""
        for router in self.routers:
            router.post(event)

    def _tick(self) -> None:
        for node in self.nodes.values():
            node.post(message.Tick())
        self.after(TICK, self._tick)

    def _count(self, _: buses.Turn) -> None:
        self.steps += 1
        step = self.steps
        self.after(datetime.timedelta(0), self.on_step, step)

    def _control(self, number: int) -> Node:
        node = Node(world=self, name=f"control-{number}", role="control")
        node.control = journal_control.JournalControl(
            daemon=node.record, metrics=node.metrics
        )
        for kind in journal_control.JournalControl.handles:
            node.bus.subscribe(
                kind, lambda event, now: node.control.handle(event, now)
            )
        node.bus.subscribe(
            consensus_messages.Propose,
            lambda event, _: self.log.propose(node, event),
        )
        retries = self.retries or defaults.RetriesSection()
        node.bus.attach(
            evidence_keeper.EvidenceKeeper(
                rng=random.Random(self.rng.random()),
                crash_limit=retries.crashes,
                metrics=node.metrics,
            )
        )
        node.bus.record(self._count)
        return node

    def _router(self, number: int) -> Node:
        node = Node(world=self, name=f"entry-{number}", role="router")
        core = delivery_core.DeliveryCore(
            metrics=node.metrics,
            rng=random.Random(self.rng.random()),
            mechanisms=self.mechanisms,
            retries=self.retries,
            tells_began=self._tells_began,
        )
        self.cores[node.name] = core
        node.bus.attach(core)
        node.bus.attach(
            journal_router.JournalRouter(
                daemon=node.record, metrics=node.metrics
            )
        )
        for kind, handler in (
            (limits_messages.AdmitRequest, self._admit),
            (placement_messages.PlaceRequest, self._place_later),
            (messages.StartAttempt, self._start),
            (messages.CancelAttempt, self._cancel),
            (messages.WakeRequested, self._wake),
        ):
            node.bus.subscribe(
                kind,
                lambda event, _, handler=handler: handler(node, event),
            )
        for kind in (
            messages.ResponseStarted,
            messages.ResponseData,
            messages.ResponseEnded,
            messages.ResponseAborted,
            messages.RequestRefused,
        ):
            node.bus.subscribe(kind, lambda event, _: self._answer(event))
        node.bus.record(self._count)
        return node

    def restart_router(self, router: Node) -> None:
        """Replace a router by a process that knows nothing.

        Its open requests are lost. It and its peers learn of each other.
        """
        router.alive = False
        started = self._router(self.routers.index(router))
        started.record = msgspec.structs.replace(
            router.record, incarnation=router.record.incarnation + 1
        )
        self.routers[self.routers.index(router)] = started
        self.nodes[started.address] = started
        for other in (*self.controls, *self.routers):
            if other is not started:
                started.post(
                    membership_messages.DaemonChanged(daemon=other.record)
                )
                other.post(
                    membership_messages.DaemonChanged(daemon=started.record)
                )
        for upstream in self.upstreams.values():
            upstream.announce()

    def _introduce(self) -> None:
        for router in self.routers:
            for other in (*self.controls, *self.routers):
                if other is not router:
                    router.post(
                        membership_messages.DaemonChanged(daemon=other.record)
                    )
        for control in self.controls:
            for other in self.nodes.values():
                if other is control:
                    continue
                control.post(
                    membership_messages.DaemonChanged(daemon=other.record)
                )
        for upstream in self.upstreams.values():
            upstream.announce()

    def _admit(self, node: Node, event: limits_messages.AdmitRequest) -> None:
        admitted = limits_messages.Admitted(request_id=event.request_id)
        self.after(HOP, node.post, admitted)

    def _place_later(
        self, node: Node, event: placement_messages.PlaceRequest
    ) -> None:
        self.after(self.place_delay, self._place, node, event)

    def _place(
        self, node: Node, event: placement_messages.PlaceRequest
    ) -> None:
        """Choose a serving upstream that is not excluded."""
        fitting = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.serves(event.service)
            and upstream.upstream_id not in event.excluded
        ]
        if not fitting:
            node.post(
                placement_messages.NotPlaced(
                    request_id=event.request_id,
                    attempt_id=event.attempt_id,
                    code="no_upstream",
                )
            )
            return
        upstream = self.rng.choice(fitting)
        node.post(
            placement_messages.Placed(
                request_id=event.request_id,
                attempt_id=event.attempt_id,
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                url=f"http://{upstream.upstream_id}",
                version="",
            )
        )

    def _start(self, node: Node, event: messages.StartAttempt) -> None:
        """Connect, check the lease, and write the request."""
        pause, self.client_pause = self.client_pause, datetime.timedelta(0)
        self.after(HOP + pause, self._write, node, event)

    def _write(self, node: Node, event: messages.StartAttempt) -> None:
        if not node.alive or event.attempt_id in self._cancelled:
            return
        upstream = self.upstreams[event.upstream_id]
        until = event.dispatch_until
        if until is not None and self.now >= until and self.check_lease:
            self._fail(node, event, messages.FailureKind.LEASE_PASSED, False)
        elif not upstream.up:
            self._fail(node, event, messages.FailureKind.CONNECT, False)
        else:
            upstream.take(node, event, self.callers[event.request_id])

    @staticmethod
    def _fail(
        node: Node,
        event: messages.StartAttempt,
        kind: messages.FailureKind,
        sent: bool,
    ) -> None:
        node.post(
            messages.AttemptFailed(
                attempt_id=event.attempt_id, kind=kind, sent=sent
            )
        )

    def _cancel(self, node: Node, event: messages.CancelAttempt) -> None:
        self._cancelled.add(event.attempt_id)
        self.upstreams[event.upstream_id].cancel(event.attempt_id)

    def _wake(self, node: Node, event: messages.WakeRequested) -> None:
        delay = max(datetime.timedelta(0), event.at - self.now)
        self.after(delay, node.post, messages.Wake())

    def _answer(self, event: typing.Any) -> None:
        self.callers[event.request_id].take(event)


class Log:
    """The replicated log: a leader, a quorum, and proposals in doubt."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self._leader = 0
        self._index = 0
        self.quorum = True
        self.commits: collections.Counter[str] = collections.Counter()

    def lead(self, number: int) -> None:
        """Make another control host the leader; the others hear of it."""
        self._leader = number
        leader = self._world.controls[number]
        for control in self._world.controls:
            self._world.after(
                HOP,
                control.post,
                consensus_messages.LeaderChanged(
                    group=consensus_messages.Group.JOURNAL,
                    term=1,
                    leader=leader.name,
                    address=leader.address,
                    fencing_number=1,
                ),
            )

    def propose(self, node: Node, event: consensus_messages.Propose) -> None:
        """Commit a proposal after a while, or say why not."""
        leader = self._world.controls[self._leader]
        if node is not leader:
            known = leader.name if self.quorum else ""
            self._answer(node, event, False, known)
            return
        if not self.quorum:
            self._world.after(NO_QUORUM_WAIT, self._doubt, node, event, False)
            return
        self._world.after(COMMIT, self._commit, node, event)

    def _commit(self, node: Node, event: consensus_messages.Propose) -> None:
        leader = self._world.controls[self._leader]
        if node is leader and node.alive and self.quorum:
            self._apply(event)
            self._answer(node, event, True, leader.name)
            return
        self._doubt(node, event, self._world.rng.random() < 0.5)

    def _doubt(
        self, node: Node, event: consensus_messages.Propose, commit: bool
    ) -> None:
        """A proposal whose leader changed may be committed all the same."""
        if commit:
            self._apply(event)
        node.post(
            consensus_messages.ProposeResult(
                proposal_id=event.proposal_id,
                group=event.group,
                committed=False,
                unknown=True,
            )
        )

    def _apply(self, event: consensus_messages.Propose) -> None:
        self._index += 1
        self.commits[event.proposal_id] += 1
        for control in self._world.controls:
            control.post(
                consensus_messages.Applied(
                    group=event.group,
                    index=self._index,
                    term=1,
                    command=event.command,
                )
            )

    def _answer(
        self,
        node: Node,
        event: consensus_messages.Propose,
        committed: bool,
        leader: str,
    ) -> None:
        node.post(
            consensus_messages.ProposeResult(
                proposal_id=event.proposal_id,
                group=event.group,
                committed=committed,
                index=self._index,
                leader=leader,
            )
        )
