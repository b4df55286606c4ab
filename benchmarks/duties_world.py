"""A model of control hosts, their log and their links, for duties.

As in the log, a leader gets its lease once it has applied all that was
committed before, and what an earlier leader has left uncommitted is committed
then or never. Proposals to a leader that is none any more reach the next one.
"""

from __future__ import annotations

import dataclasses
import datetime
import heapq
import random
import typing

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.duties import core as duties_core
from fulmarbarrow.duties import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

GROUP = consensus_messages.Group.CONFIGURATION
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TICK = 0.25  # seconds
LEADER_LEASE = 1.0
# Of the time that a leader may lead, for the rates of clocks.
LEADER_PART = 0.9
RATE = 0.005  # most by which a clock is fast or slow
WANTED = {
    messages.Duty.USAGE: ("",),
    messages.Duty.SCALING: ("huvo11a/attica-a", "huvo11a/attica-b"),
}

_Subject = tuple[messages.Duty, str]


@dataclasses.dataclass(kw_only=True)
class Hold:
    """A subject that a host holds until a time of the model."""

    host: str
    number: int
    until: float


@dataclasses.dataclass(kw_only=True)
class Host:
    """One control host and its clock."""

    name: str
    zone: str
    offset: float
    rate: float
    lease: float
    core: duties_core.DutiesCore | None = None
    incarnation: int = 0
    applied: int = 0
    frozen_until: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Faults:
    """How often messages are lost or late and proposals stay open."""

    loss: float = 0.0
    late: float = 0.0
    linger: float = 0.0
    pause: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Pending:
    """An entry that is on the log and may be committed."""

    command: bytes
    term: int
    proposer: str
    proposal_id: str


class World:
    """Runs the cores of some hosts and watches who holds what."""

    def __init__(
        self,
        *,
        rng: random.Random,
        hosts: int = 3,
        lease: float = 3.0,
        faults: Faults | None = None,
        rate: float = RATE,
        leases: tuple[float, ...] = (),
    ) -> None:
        self.rng = rng
        self.lease = lease
        self.faults = faults or Faults()
        self.time = 0.0
        self.leader = ""
        self.violations: list[str] = []
        self.holds: dict[_Subject, Hold] = {}
        self.gaps: dict[_Subject, list[tuple[float, float]]] = {}
        self.grants = 0
        self.hosts = {
            f"c{index}": Host(
                name=f"c{index}",
                zone=f"z{index % 3}",
                offset=rng.uniform(-3, 3),
                lease=rng.choice(leases or (lease,)),
                rate=1 + rng.uniform(-rate, rate),
            )
            for index in range(hosts)
        }
        self.cut: set[frozenset[str]] = set()
        self._commands: list[tuple[bytes, int]] = []
        self.pending: list[Pending] = []
        # Whether a new leader finds what the last one left; None: at random.
        self.finds_pending: bool | None = None
        self._is_ready = False
        self._term = 0
        self._leader_until = 0.0
        self._numbers: dict[tuple[_Subject, int], tuple[str, int]] = {}
        self._highest: dict[_Subject, int] = {}
        self._lost_at: dict[tuple[_Subject, str], float] = {}
        self._free_since: dict[_Subject, float] = {}
        self._queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._count = 0
        for host in self.hosts.values():
            self.start(host.name)
        self.at(0.01, self._lead)

    def at(self, delay: float, act: typing.Callable[[], None]) -> None:
        """Do something later."""
        self._count += 1
        heapq.heappush(self._queue, (self.time + delay, self._count, act))

    def run(self, until: float) -> None:
        """Let the time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.time, _, act = heapq.heappop(self._queue)
            act()
        self.time = until

    # What happens to hosts.

    def start(self, name: str) -> None:
        """Start a host whose log has to be read again."""
        host = self.hosts[name]
        host.offset += self.rng.uniform(-2, 2) if host.incarnation else 0
        now = self.now(host)
        host.incarnation = int(now.timestamp() * 1000)
        host.applied = 0
        host.frozen_until = 0.0
        host.core = duties_core.DutiesCore(
            daemon=membership_messages.Daemon(
                daemon_id=name,
                incarnation=host.incarnation,
                zone=host.zone,
                region="r",
                address=name,
                roles=("control",),
            ),
            group=GROUP,
            lease=datetime.timedelta(seconds=host.lease),
            metrics=metrics_module.Metrics(),
            now=now,
        )
        core = host.core
        for duty, subjects in WANTED.items():
            wanted = messages.SubjectsWanted(duty=duty, subjects=subjects)
            self._handle(host, core, wanted)
        self.at(self.rng.uniform(0.02, 0.3), lambda: self._read_log(host))
        self.at(self.rng.uniform(0, TICK), lambda: self._tick(host, core))

    def kill(self, name: str) -> None:
        """End a host at once."""
        host = self.hosts[name]
        host.core = None
        for subject, hold in list(self.holds.items()):
            if hold.host == name:
                self._lose(subject)

    def freeze(self, name: str, seconds: float) -> None:
        """Let a host do nothing for a time."""
        self.hosts[name].frozen_until = self.time + seconds

    def isolate(self, name: str, seconds: float) -> None:
        """Cut a host off from all others for a time."""
        links = {
            frozenset((name, other)) for other in self.hosts if other != name
        }
        self.cut |= links
        self.at(seconds, lambda: self.cut.difference_update(links))

    def post(self, name: str, event: message.Message) -> None:
        """Give a host an event."""
        host = self.hosts[name]
        if host.core is not None:
            self._deliver(host, host.core, event)

    def holder(self, subject: _Subject) -> str:
        """Return the host that holds a subject now."""
        hold = self.holds.get(subject)
        if hold is None or hold.until <= self.time:
            return ""
        return hold.host

    def now(self, host: Host) -> datetime.datetime:
        """Return the time of a host's clock."""
        seconds = 1_000 + host.offset + host.rate * self.time
        return START + datetime.timedelta(seconds=seconds)

    # The log.

    def _lead(self) -> None:
        """Renew the leader's lease, or elect another one after it."""
        self.at(TICK, self._lead)
        leader = self.hosts.get(self.leader)
        if leader is not None and self._can_lead(leader):
            self._leader_until = self.time + LEADER_LEASE
            self._tell_leader(leader)
            return
        if self.time < self._leader_until or self.rng.random() < 0.3:
            return
        able = [host for host in self.hosts.values() if self._can_lead(host)]
        if not able:
            return
        chosen = self.rng.choice(able)
        self.leader = chosen.name
        self._term += 1
        self._leader_until = self.time + LEADER_LEASE
        self._is_ready = False
        self._resolve()
        for host in self.hosts.values():
            self._tell_leader(host)

    def _can_lead(self, host: Host) -> bool:
        others = sum(
            other.core is not None
            and other.frozen_until <= self.time
            and frozenset((host.name, other.name)) not in self.cut
            for other in self.hosts.values()
        )
        able = host.core is not None and host.frozen_until <= self.time
        return able and 2 * others > len(self.hosts)

    def _tell_leader(self, host: Host) -> None:
        if host.core is None:
            return
        if frozenset((host.name, self.leader)) in self.cut:
            return
        until = None
        if host.name == self.leader:
            seconds = LEADER_LEASE * LEADER_PART
            self._read_log(host)
            self._is_ready |= host.applied == len(self._commands)
            if self._is_ready:
                until = self.now(host) + datetime.timedelta(seconds=seconds)
        changed = consensus_messages.LeaderChanged(
            group=GROUP,
            term=self._term,
            leader=self.leader,
            address=self.leader,
            fencing_number=self._term,
            lease_until=until,
        )
        # The state of a leader is told in time: it is known to consensus.
        self._handle(host, host.core, changed)

    def _propose(self, host: Host, event: consensus_messages.Propose) -> None:
        if self.leader != host.name and self.rng.random() < 0.3:
            return  # Not forwarded.
        entry = Pending(
            command=event.command,
            term=self._term,
            proposer=host.name,
            proposal_id=event.proposal_id,
        )
        self.pending.append(entry)
        if self.rng.random() < self.faults.linger:
            delay = self.rng.uniform(0.1, 3 * self.lease)
            unknown = self.rng.uniform(0.1, 2)
            self.at(unknown, lambda: self._tell_result(entry, False))
        else:
            delay = self.rng.uniform(0.002, 0.03)
        self.at(delay, lambda: self._commit(entry))

    def _commit(self, entry: Pending) -> None:
        """Commit an entry, which the hosts apply a little later."""
        if entry not in self.pending:
            return
        self.pending.remove(entry)
        self._commands.append((entry.command, entry.term))
        for each in self.hosts.values():
            delay = self.rng.uniform(0.001, 0.05)
            self.at(delay, lambda each=each: self._read_log(each))
        self._tell_result(entry, True)

    def _resolve(self) -> None:
        """Commit what the new leader has of the last one, drop the rest."""
        for entry in list(self.pending):
            found = self.finds_pending
            if found if found is not None else self.rng.random() < 0.6:
                self._commit(entry)
        self.pending.clear()

    def _tell_result(self, entry: Pending, committed: bool) -> None:
        host = self.hosts[entry.proposer]
        if host.core is None:
            return
        result = consensus_messages.ProposeResult(
            proposal_id=entry.proposal_id,
            group=GROUP,
            committed=committed,
            unknown=not committed,
        )
        self._deliver(host, host.core, result)

    def _read_log(self, host: Host) -> None:
        """Apply what is committed, unless the host can't read it."""
        core = host.core
        if core is None or host.applied >= len(self._commands):
            return
        alone = self.name_is_cut(host.name)
        if host.frozen_until > self.time or alone:
            self.at(0.1, lambda: self._read_log(host))
            return
        if host.applied == 0 and self.rng.random() < 0.3:
            self._install(host, core)
        while host.applied < len(self._commands):
            host.applied += 1
            applied = consensus_messages.Applied(
                group=GROUP,
                index=host.applied,
                term=self._commands[host.applied - 1][1],
                command=self._commands[host.applied - 1][0],
                machine=messages.MACHINE,
            )
            self._handle(host, core, applied)

    def _install(self, host: Host, core: duties_core.DutiesCore) -> None:
        """Give a host the snapshot of another one."""
        givers = [
            other
            for other in self.hosts.values()
            if other.core is not None and other.applied
        ]
        if not givers:
            return
        giver = self.rng.choice(givers)
        wanted = consensus_messages.SnapshotWanted(group=GROUP, index=1)
        taken = giver.core.handle(wanted, self.now(giver))
        self._observe(giver, taken)
        state = next(
            item.state
            for item in taken
            if isinstance(item, consensus_messages.SnapshotTaken)
        )
        host.applied = giver.applied
        restored = consensus_messages.SnapshotRestored(
            group=GROUP,
            index=host.applied,
            state=state,
            machine=messages.MACHINE,
        )
        self._handle(host, core, restored)

    def name_is_cut(self, name: str) -> bool:
        """Return whether a host reaches no other one."""
        return all(
            frozenset((name, other)) in self.cut
            for other in self.hosts
            if other != name
        )

    # Events and effects.

    def _tick(self, host: Host, core: duties_core.DutiesCore) -> None:
        if host.core is not core:
            return
        wait = max(TICK / host.rate, host.frozen_until - self.time)
        self.at(wait, lambda: self._tick(host, core))
        if host.frozen_until <= self.time:
            self._handle(host, core, message.Tick())

    def _deliver(
        self,
        host: Host,
        core: duties_core.DutiesCore,
        event: message.Message,
    ) -> None:
        """Hand over an event once the host runs."""
        if host.core is not core:
            return
        if host.frozen_until > self.time:
            wait = host.frozen_until - self.time + self.rng.uniform(0, 0.01)
            self.at(wait, lambda: self._deliver(host, core, event))
            return
        self._handle(host, core, event)

    def _handle(
        self,
        host: Host,
        core: duties_core.DutiesCore,
        event: message.Message,
    ) -> None:
        effects = core.handle(event, self.now(host))
        self._observe(host, effects)
        out = [
            item
            for item in effects
            if isinstance(item, message.Send | consensus_messages.Propose)
        ]
        if not out:
            return
        if self.rng.random() < self.faults.pause:
            # Frozen between the decision and its effects.
            seconds = self.rng.uniform(0.1, 3 * self.lease)
            self.freeze(host.name, seconds)
            self.at(seconds, lambda: self._emit(host, core, out))
            return
        self._emit(host, core, out)

    def _emit(
        self,
        host: Host,
        core: duties_core.DutiesCore,
        effects: list[message.Message],
    ) -> None:
        if host.core is not core:
            return
        for effect in effects:
            if isinstance(effect, consensus_messages.Propose):
                self._propose(host, effect)
            elif isinstance(effect, message.Send):
                self._send(host, effect)

    def _send(self, host: Host, effect: message.Send) -> None:
        if self.rng.random() < self.faults.loss:
            return
        delay = self.rng.uniform(0.001, 0.01)
        if self.rng.random() < self.faults.late:
            delay += self.rng.uniform(0, 2 * self.lease)

        def arrive() -> None:
            link = frozenset((host.name, effect.address))
            receiver = self.hosts[effect.address]
            if receiver.core is not None and link not in self.cut:
                self._deliver(receiver, receiver.core, effect.message)

        self.at(delay, arrive)

    # Who holds what.

    def _observe(self, host: Host, effects: list[message.Message]) -> None:
        for effect in effects:
            if isinstance(effect, messages.DutyHeld):
                self._on_held(host, effect)
            elif isinstance(effect, messages.DutyLost):
                subject = (effect.duty, effect.subject)
                hold = self.holds.get(subject)
                if hold is not None and hold.host == host.name:
                    self._lose(subject)

    def _on_held(self, host: Host, event: messages.DutyHeld) -> None:
        subject = (event.duty, event.subject)
        left = (event.until - self.now(host)).total_seconds() / host.rate
        hold = self.holds.get(subject)
        if hold is not None and hold.until <= self.time:
            if hold.host == host.name:
                self._fail(f"{host.name} renews what ended", subject)
            self._lose(subject)
            hold = None
        if hold is not None and hold.host != host.name:
            self._fail(f"{hold.host} and {host.name} hold", subject)
        if hold is None:
            self._check_gain(host, subject)
            free = self._free_since.get(subject, 0.0)
            self.gaps.setdefault(subject, []).append((free, self.time))
            self.grants += 1
        owner = (host.name, host.incarnation)
        if self._numbers.setdefault((subject, event.number), owner) != owner:
            self._fail(f"number {event.number} is of two hosts", subject)
        if event.number < self._highest.get(subject, 0):
            self._fail(f"number {event.number} is lower", subject)
        self._highest[subject] = event.number
        if event.number >= 1 << 53:
            self._fail(f"number {event.number} has too many bits", subject)
        self.holds[subject] = Hold(
            host=host.name, number=event.number, until=self.time + left
        )

    def _check_gain(self, host: Host, subject: _Subject) -> None:
        lost_at = self._lost_at.get((subject, host.name))
        shortest = self.lease * (1 - 2 * RATE)
        if lost_at is not None and self.time - lost_at < shortest:
            waited = self.time - lost_at
            self._fail(f"{host.name} returns after {waited:.2f} s", subject)

    def _lose(self, subject: _Subject) -> None:
        hold = self.holds.pop(subject)
        ended = min(self.time, hold.until)
        self._lost_at[subject, hold.host] = ended
        self._free_since[subject] = ended

    def _fail(self, text: str, subject: _Subject) -> None:
        self.violations.append(f"at {self.time:.3f}: {text} {subject}")


def explore(seed: int, lease: float = 1.0, rate: float = RATE) -> World:
    """Run one random schedule of faults."""
    rng = random.Random(seed)
    world = World(
        rng=rng,
        hosts=rng.randint(3, 5),
        lease=lease,
        rate=rate,
        # The settings of hosts differ while a change is rolled out.
        leases=rng.choice(((lease,), (lease, 1.5 * lease))),
        faults=Faults(
            loss=rng.choice((0, 0.05, 0.3)),
            late=rng.choice((0, 0.05, 0.2)),
            linger=rng.choice((0, 0.3)),
            pause=rng.choice((0, 0.02)),
        ),
    )
    span = 9 * lease
    names = list(world.hosts)
    for _ in range(rng.randint(2, 8)):
        name = rng.choice(names)
        act = rng.choice((_restart, _freeze, _isolate, _refuse, _release))
        world.at(
            rng.uniform(0, span),
            lambda act=act, name=name: act(world, name),
        )
    world.run(span)
    return world


def _restart(world: World, name: str) -> None:
    """Kill a host, whose disk may be lost, and start it again."""
    if world.hosts[name].core is None:
        return
    world.kill(name)
    delay = world.rng.uniform(0.05, 2 * world.lease)
    world.at(delay, lambda: world.start(name))


def _freeze(world: World, name: str) -> None:
    name = world.rng.choice((name, world.leader or name))
    world.freeze(name, world.rng.uniform(0.1, 3) * world.lease)


def _isolate(world: World, name: str) -> None:
    world.isolate(name, world.rng.uniform(0.1, 3) * world.lease)


def _refuse(world: World, name: str) -> None:
    for (duty, subject), hold in list(world.holds.items()):
        if hold.until > world.time:
            refused = messages.DutyRefused(
                duty=duty, subject=subject, number=hold.number
            )
            world.post(hold.host, refused)
            return


def _release(world: World, name: str) -> None:
    duty = world.rng.choice(list(messages.Duty))
    for (held, _), hold in list(world.holds.items()):
        if held is duty:
            unreachable = messages.PlatformUnreachable(duty=duty)
            world.post(hold.host, unreachable)
            return
