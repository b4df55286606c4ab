"""The usage cores of a whole fleet on a made-up network, log and platform."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.usage import control as usage_control
from fulmarbarrow.usage import fleet_time
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import router as usage_router
from fulmarbarrow.wire import codec

WINDOW = datetime.timedelta(seconds=5)
REPORT_WITHIN = datetime.timedelta(seconds=10)
TICK = datetime.timedelta(milliseconds=250)
HOP = datetime.timedelta(milliseconds=2)
COMMIT = datetime.timedelta(milliseconds=12)
LEASE = datetime.timedelta(seconds=3)
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
GROUP = consensus_messages.Group.CONFIGURATION
USAGE = duties_messages.Duty.USAGE
Outcome = duties_messages.CallOutcome


def seconds(count: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=count)


class Node:
    """A daemon with its own clock; ``skew`` is the error of that clock."""

    def __init__(self, *, fleet: Fleet, record, core, skew) -> None:
        self._fleet = fleet
        self.record = record
        self.core = core
        self.skew = skew
        self.alive = True
        self.frozen = False
        self.cut = False
        self.waiting: list[message.Message] = []
        self.bytes_in = 0
        self.bytes_out = 0
        self.codec = codec.Codec(
            fleet_key="k" * 32,
            sender=record.daemon_id,
            address=record.address,
            incarnation=record.incarnation,
        )
        self.bus = buses.Bus(clock=self, strict=True)
        self.bus.attach(core)
        self.bus.subscribe(
            message.Send, lambda event, _: fleet.send(self, event)
        )
        for kind, handler in (
            (consensus_messages.Propose, fleet.propose),
            (messages.ReportUsage, fleet.call),
            (duties_messages.DutyRefused, fleet.note),
            (duties_messages.PlatformUnreachable, fleet.note),
        ):
            self.bus.subscribe(
                kind,
                lambda event, _, handler=handler: handler(self, event),
            )

    def now(self) -> datetime.datetime:
        """Return the time of this host's clock."""
        return self._fleet.now + self.skew

    def post(self, event: message.Message) -> None:
        """Handle an event, after the end of a freeze if there is one."""
        if not self.alive:
            return
        if self.frozen:
            if not isinstance(event, message.Tick):
                self.waiting.append(event)
            return
        self.bus.post(event)

    def thaw(self) -> None:
        """End a freeze: first handle what has arrived meanwhile."""
        self.frozen = False
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            self.bus.post(event)


@dataclasses.dataclass(kw_only=True)
class Platform:
    """What the platform accepted, and how it answers.

    ``outcomes`` are those of the next calls; then all are accepted.
    """

    outcomes: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    down: bool = False
    calls: list[messages.ReportUsage] = dataclasses.field(default_factory=list)
    accepted: dict[int, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    accepted_at: dict[int, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )


class Fleet:
    """Routers and control hosts on one line of time."""

    def __init__(
        self,
        *,
        routers: int,
        controls: int = 3,
        seed: int = 1,
        skews=(),
        accounts: int = 0,
        latency: tuple[float, float] = (0.002, 0.002),
    ) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self._accounts = accounts
        self._latency = latency
        self._events: list = []
        self._order = itertools.count()
        self._by_address: dict[str, Node] = {}
        self.platform = Platform()
        self.notes: list[message.Message] = []
        self.log: list[consensus_messages.Applied] = []
        self.truth: dict[int, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.holder: Node | None = None
        self.number = 0
        self.repeats_messages = False
        self.controls = [
            self._node(f"control-{n}", "control", skew)
            for n, skew in itertools.zip_longest(
                range(controls), skews, fillvalue=0.0
            )
        ]
        self.routers = [
            self._node(f"router-{n}", "router", 0.0) for n in range(routers)
        ]
        for node in self.nodes:
            self.after(self.rng.random() * TICK, self._tick, node)
            self.introduce(node)

    @property
    def nodes(self) -> list[Node]:
        """All daemons."""
        return [*self.controls, *self.routers]

    @property
    def window(self) -> int:
        """The window of true time."""
        return fleet_time.window_at(self.now, WINDOW)

    def after(
        self, delay: datetime.timedelta, call: typing.Callable, *arguments
    ) -> None:
        """Call later."""
        entry = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, duration: float) -> None:
        """Let time pass."""
        until = self.now + seconds(duration)
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def load(self, rate: float, accounts: int, until: float) -> None:
        """Let requests of random accounts begin at random routers."""
        for _ in range(int(rate * until)):
            self.after(
                seconds(self.rng.random() * until),
                lambda: self.begin(
                    self.rng.choice(self.routers),
                    f"account{self.rng.randrange(accounts)}",
                ),
            )

    def begin(self, router: Node, account: str, count: int = 1) -> None:
        """Let requests of an account begin to run at a router."""
        if not router.alive or router.frozen:
            return
        for _ in range(count):
            self.truth[self.window][account] += 1
            began = delivery_messages.RequestBegan(account=account)
            self.after(self._hop(), router.post, began)

    def hold(self, control: Node) -> None:
        """Grant the duty to a control host with the next number."""
        if self.holder is not None:
            former = self.holder
            former.post(
                duties_messages.DutyLost(
                    duty=USAGE, subject="", number=self.number, reason="test"
                )
            )
        self.number += 1
        self.holder = control
        self._renew(control, self.number)
        self._announce(control, self.number)

    def restart(self, node: Node) -> Node:
        """Replace a daemon by a process that knows only the log."""
        node.alive = False
        group = self.controls if node in self.controls else self.routers
        role = node.record.roles[0]
        started = self._node(node.record.daemon_id, role, 0.0)
        group[group.index(node)] = started
        if role == "control":
            for entry in self.log:
                started.post(entry)
        self.introduce(started)
        self._tick(started)
        return started

    def configure(self, node: Node, accounts: int) -> None:
        """Give a daemon a configuration with some accounts."""
        named = tuple(
            bundles.Account(name=f"account{n}", key_salt="", key_digest="")
            for n in range(accounts)
        )
        node.post(
            publishing_messages.ConfigurationChanged(
                revision=1, bundle=bundles.Bundle(account=named)
            )
        )

    def introduce(self, node: Node) -> None:
        """Configure a daemon; let it and all others learn of each other."""
        self.configure(node, self._accounts)
        for other in self.nodes:
            if other is node:
                continue
            other.post(membership_messages.DaemonChanged(daemon=node.record))
            node.post(membership_messages.DaemonChanged(daemon=other.record))

    def send(self, sender: Node, event: message.Send) -> None:
        """Deliver a message, unless a cut separates the two daemons."""
        size = len(sender.codec.encode(event.address, (event.message,)))
        sender.bytes_out += size
        clock = isinstance(event.message, messages.ClockTold)
        disturbed = self.repeats_messages and not clock
        times = 2 if disturbed else 1
        for _ in range(times):
            delay = self._hop()
            if disturbed:  # also reorders them
                delay += self.rng.random() * seconds(1.5)
            self.after(delay, self._arrive, sender, event, size)

    def _hop(self) -> datetime.timedelta:
        """Return the time that a message takes."""
        return seconds(self.rng.uniform(*self._latency))

    def propose(self, node: Node, event: consensus_messages.Propose) -> None:
        """Commit a command after a while."""
        self.after(COMMIT, self._commit, node, event)

    def call(self, node: Node, event: messages.ReportUsage) -> None:
        """Handle a call to the platform."""
        self.platform.calls.append(event)
        outcome = Outcome.ACCEPTED
        if self.platform.outcomes:
            outcome = self.platform.outcomes.popleft()
        if self.platform.down:
            outcome = Outcome.NOT_SENT
        if outcome in (Outcome.ACCEPTED, Outcome.UNKNOWN):
            # An unknown call was carried out; its answer was lost.
            self.platform.accepted.setdefault(event.window, dict(event.counts))
            self.platform.accepted_at.setdefault(event.window, self.now)
        delay = seconds(1.0 if outcome is Outcome.UNKNOWN else 0.05)
        ended = duties_messages.CallEnded(
            call_id=event.call_id, outcome=outcome
        )
        self.after(delay, node.post, ended)

    def note(self, node: Node, event: message.Message) -> None:
        """Keep an effect for checks."""
        self.notes.append(event)

    def misplaced(self, window: int) -> int:
        """Return how many requests a report lacks or has too many."""
        reported = self.platform.accepted.get(window, {})
        truth = self.truth[window]
        return sum(
            abs(reported.get(account, 0) - truth[account])
            for account in {*reported, *truth}
        )

    def error_of(self, window: int) -> float:
        """Return the largest error of an account's reported count."""
        reported = self.platform.accepted.get(window, {})
        truth = self.truth[window]
        return max(
            (
                abs(reported.get(account, 0) - truth[account])
                / max(truth[account], 1)
                for account in {*reported, *truth}
            ),
            default=0.0,
        )

    def _node(self, name: str, role: str, skew: float) -> Node:
        record = membership_messages.Daemon(
            daemon_id=name,
            incarnation=int(self.now.timestamp() * 1000),
            zone=f"zone-{sum(map(ord, name)) % 3}",
            region="region",
            address=name,
            roles=(role,),
        )
        options = {
            "daemon": record,
            "metrics": metrics_module.Metrics(),
            "window": WINDOW,
        }
        if role == "control":
            core = usage_control.UsageControl(
                group=GROUP, report_within=REPORT_WITHIN, **options
            )
        else:
            core = usage_router.UsageRouter(**options)
        node = Node(fleet=self, record=record, core=core, skew=seconds(skew))
        self._by_address[name] = node
        return node

    def _tick(self, node: Node) -> None:
        if node.alive:
            node.post(message.Tick())
            self.after(TICK, self._tick, node)

    def _renew(self, control: Node, number: int) -> None:
        if self.number != number or not control.alive:
            return
        if not control.frozen:
            control.post(
                duties_messages.DutyHeld(
                    duty=USAGE,
                    subject="",
                    number=number,
                    until=control.now() + LEASE,
                )
            )
        self.after(LEASE / 3, self._renew, control, number)

    def _announce(self, control: Node, number: int) -> None:
        if self.number != number or not control.alive:
            return
        announced = duties_messages.HolderAnnounced(
            duty=USAGE,
            holder=control.record.daemon_id,
            address=control.record.address,
            number=number,
        )
        for router in self.routers:
            if not router.cut and not control.cut:
                self.after(HOP, router.post, announced)
        self.after(seconds(5), self._announce, control, number)

    def _arrive(self, sender: Node, event: message.Send, size: int) -> None:
        node = self._by_address.get(event.address)
        if node is not None and not (node.cut or sender.cut):
            node.bytes_in += size
            node.post(event.message)

    def _commit(self, node: Node, event: consensus_messages.Propose) -> None:
        applied = consensus_messages.Applied(
            group=GROUP,
            index=len(self.log) + 1,
            term=1,
            command=event.command,
            machine=event.machine,
        )
        self.log.append(applied)
        for control in self.controls:
            control.post(applied)
        node.post(
            consensus_messages.ProposeResult(
                proposal_id=event.proposal_id,
                group=GROUP,
                committed=True,
                index=applied.index,
                term=1,
            )
        )
