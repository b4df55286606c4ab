"""Runs consensus cores through random faults and checks what must hold.

A schedule is a seed: it chooses which message is delivered, lost or doubled,
which host syncs, crashes, restarts or loses its disk, who is cut off, and how
time passes on each host's own clock.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import random
import typing

import msgspec

from benchmarks import consensus_checks
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TICK = datetime.timedelta(milliseconds=100)
MAX_CLOCK_RATE_ERROR = 0.005
SLOW_CLOCK_RATE = 0.1
SNAPSHOT_ENTRIES = 12
MAX_IN_FLIGHT = 300
SETTLE_ROUNDS = 3
MAX_COMMIT_STEPS = 2_000  # of a schedule, until a commit is acknowledged


class Sabotage(enum.StrEnum):
    """A fault that the system must not have; the checks must notice it."""

    NONE = "none"
    SYNC_SKIPPED = "sync skipped"
    BALLOT_FORGOTTEN = "ballot forgotten"
    IDENTITY_KEPT = "identity kept on an empty disk"
    CLOCKS_APART = "clocks beyond the drift bound"


@dataclasses.dataclass
class Disk:
    """What has been synced on one host."""

    ballot: records.Ballot = records.Ballot()
    snapshot: records.Snapshot | None = None
    entries: list[records.Entry] = dataclasses.field(default_factory=list)

    def write(self, persist: messages.Persist) -> None:
        """Take one write as a whole."""
        if persist.ballot is not None:
            self.ballot = persist.ballot
        if persist.snapshot is not None:
            self.snapshot = persist.snapshot
            if persist.reset:
                self.entries = []
        if persist.entries:
            first = persist.entries[0].index
            self.entries = [e for e in self.entries if e.index < first]
            self.entries.extend(persist.entries)

    def stored(self) -> state.StoredState:
        """Return what a restarted host finds."""
        base = self.snapshot.index if self.snapshot else 0
        entries = tuple(e for e in self.entries if e.index > base)
        return state.StoredState(
            ballot=self.ballot, snapshot=self.snapshot, entries=entries
        )


class Host:
    """One host with its disk, clock and state machine."""

    def __init__(
        self, *, daemon_id: str, source: random.Random, rate: float
    ) -> None:
        self.daemon_id = daemon_id
        self.source = source
        self.rate = rate
        self.clock = datetime.timedelta(seconds=source.uniform(0, 1000))
        self.generation = 0
        self.disk = Disk()
        self.pending: list[messages.Persist] = []
        self.core: consensus_core.ConsensusCore | None = None
        self.machine: list[bytes] = []
        self.lease_until: datetime.datetime | None = None
        self.leaving = False

    @property
    def me(self) -> records.Member:
        """The member that this host is now."""
        return records.Member(
            daemon_id=self.daemon_id,
            identity=str(self.generation),
            address=self.daemon_id,
        )


class Explorer:
    """One schedule over three or five hosts."""

    def __init__(
        self,
        *,
        seed: int,
        hosts: int = 3,
        sabotage: Sabotage = Sabotage.NONE,
    ) -> None:
        self.source = random.Random(seed)
        self._sabotage = sabotage
        self.time = datetime.timedelta()
        self.checks = consensus_checks.Checks()
        names = [f"control-{number}" for number in range(hosts)]
        self._addresses = {name: name for name in names}
        self.hosts = {
            name: Host(
                daemon_id=name,
                source=random.Random(self.source.random()),
                rate=self._clock_rate(),
            )
            for name in names
        }
        self._network: list[tuple[str, message.Send]] = []
        self._cut: set[frozenset[str]] = set()
        self._next_proposal = 0
        self.counts: collections.Counter[str] = collections.Counter()
        for host in self.hosts.values():
            self.start(host)

    def _clock_rate(self) -> float:
        error = MAX_CLOCK_RATE_ERROR
        return 1 + self.source.uniform(-error, error)

    def run(self, steps: int) -> None:
        """Run a schedule, then heal everything and check convergence."""
        self._calm_until(self._leader, 200)
        for _ in range(steps):
            self._step()
            self.checks.leases(self._lease_holders(), self.time)
        self.settle()

    def lose_power_and_disks(self, disks: int) -> None:
        """Lose the power of all hosts, and some disks, after a commit.

        The commit was acknowledged just now; which hosts besides the quorum
        have it, and which of their last writes survive, is random.
        """
        self._cut.clear()
        self._repair(next(iter(self.hosts.values())))
        self._calm_until(self._whole, 400)
        acknowledged = self.counts["acknowledged"]
        for _ in range(MAX_COMMIT_STEPS):
            if self.counts["acknowledged"] > acknowledged:
                break
            host = self.source.choice(list(self.hosts.values()))
            leader = self._leader()
            if leader is not None and self.source.random() < 0.1:
                self.propose(leader)
            self._deliver_one()
            self.sync(host, self.source.randint(1, 2))
            if self.source.random() < 0.1:
                self._pass_time(host)
        else:
            return
        self.counts["power losses"] += 1
        for host in self.hosts.values():
            self.crash(host)
        for host in self.source.sample(list(self.hosts.values()), disks):
            self.counts["lost disks"] += 1
            host.disk = Disk()
            if self._sabotage is not Sabotage.IDENTITY_KEPT:
                host.generation += 1
        self._network.clear()
        self.settle()

    def settle(self) -> None:
        """Heal all faults; the group must become whole again."""
        self._cut.clear()
        for host in self.hosts.values():
            if host.leaving:
                self.crash(host)
            if host.core is None:
                self.start(host)
        for _ in range(SETTLE_ROUNDS):
            self._calm_until(self._whole, 150)
            self.propose(self._leader() or next(iter(self.hosts.values())))
            self._calm_until(self._last_proposal_applied, 60)
            if self._last_proposal_applied():
                break
        machines = [host.machine for host in self.hosts.values()]
        self.checks.converged(machines, self._leader() is not None)
        self.counts["leaders"] = self.checks.leaders

    def start(self, host: Host) -> None:
        """Start a host from its disk."""
        host.machine = []
        host.pending = []
        host.leaving = False
        host.lease_until = None
        host.core = consensus_core.ConsensusCore(
            group=records.Group.JOURNAL,
            me=host.me,
            addresses=self._addresses,
            stored=host.disk.stored(),
            rng=host.source,
            metrics=metrics_module.Metrics(),
            now=self.now(host),
            snapshot_entries=SNAPSHOT_ENTRIES,
        )
        self.post(host, message.Tick())

    def crash(self, host: Host) -> None:
        """End a host; some of its last writes may have reached the disk."""
        if host.core is None:
            return
        survived = self.source.randint(0, len(host.pending))
        for persist in host.pending[:survived]:
            self._write(host, persist)
        host.core = None
        host.lease_until = None
        self.counts["crashes"] += 1

    def lose_disk(self, host: Host) -> None:
        """Replace a host by a new one with an empty disk."""
        self.crash(host)
        self.counts["lost disks"] += 1
        host.disk = Disk()
        if self._sabotage is not Sabotage.IDENTITY_KEPT:
            host.generation += 1
        self.start(host)

    def now(self, host: Host) -> datetime.datetime:
        """Return the time on a host's own clock."""
        return EPOCH + host.clock

    def propose(self, host: Host) -> None:
        """Propose a new command on a host."""
        self._next_proposal += 1
        name = f"p{self._next_proposal}"
        proposal = messages.Propose(
            proposal_id=name,
            group=records.Group.JOURNAL,
            command=name.encode(),
        )
        self.post(host, proposal)

    def post(self, host: Host, event: message.Message) -> None:
        """Give a host an event and carry out its effects."""
        if host.core is None:
            return
        for effect in host.core.handle(event, self.now(host)):
            self._carry_out(host, effect)
        if host.core is not None:
            self.checks.host(host.daemon_id, host.core.inspect())

    def _carry_out(self, host: Host, effect: message.Message) -> None:
        match effect:
            case message.Send():
                self.checks.sent(effect)
                self._network.append((host.daemon_id, effect))
            case messages.Persist():
                host.pending.append(effect)
                if self._sabotage is Sabotage.SYNC_SKIPPED:
                    self._lie(host, effect)
            case messages.Applied():
                host.machine.append(effect.command)
                self.checks.applied(host.daemon_id, effect)
            case messages.SnapshotWanted():
                taken = messages.SnapshotTaken(
                    group=effect.group,
                    index=effect.index,
                    state=msgspec.msgpack.encode(host.machine),
                )
                self.post(host, taken)
            case messages.SnapshotRestored():
                host.machine = msgspec.msgpack.decode(
                    effect.state, type=list[bytes]
                )
            case messages.ProposeResult():
                if effect.committed:
                    self.counts["acknowledged"] += 1
                    self.checks.acknowledged(effect)
            case messages.LeaderChanged():
                host.lease_until = effect.lease_until
                if effect.lease_until is not None:
                    self.checks.fencing(host.daemon_id, effect)
            case messages.ReadReady():
                applied = host.core.inspect().applied_index
                self.checks.read(effect, applied)
                self.counts["reads"] += effect.ready

    def _lie(self, host: Host, persist: messages.Persist) -> None:
        """Claim a sync that did not happen."""
        persisted = messages.Persisted(
            group=persist.group, write_id=persist.write_id
        )
        self._network.append(
            (
                host.daemon_id,
                message.Send(address=host.daemon_id, message=persisted),
            )
        )

    def sync(self, host: Host, count: int) -> None:
        """Sync a host's oldest writes and tell its core."""
        if not host.pending or host.core is None:
            return
        batch, host.pending = host.pending[:count], host.pending[count:]
        for persist in batch:
            self._write(host, persist)
        if self._sabotage is Sabotage.SYNC_SKIPPED:
            return
        persisted = messages.Persisted(
            group=batch[-1].group, write_id=batch[-1].write_id
        )
        self.post(host, persisted)

    def _write(self, host: Host, persist: messages.Persist) -> None:
        if self._sabotage is Sabotage.BALLOT_FORGOTTEN:
            persist = msgspec.structs.replace(persist, ballot=None)
        host.disk.write(persist)

    def _step(self) -> None:
        choice = self.source.random()
        host = self.source.choice(list(self.hosts.values()))
        if choice < 0.45:
            for _ in range(self.source.randint(1, 6)):
                self._deliver_one()
        elif choice < 0.65:
            self.sync(host, self.source.randint(1, 4))
        elif choice < 0.83:
            self._pass_time(host)
        elif choice < 0.955:
            self.propose(host)
        elif choice < 0.975:
            self._read(host)
        else:
            self._fault(host)

    def _fault(self, host: Host) -> None:
        if self.source.random() < 0.4:
            host = self._leader() or host
        if self._repair(host):
            return
        choice = self.source.random()
        if choice < 0.3:
            self.crash(host)
        elif choice < 0.55:
            self._cut_off(host)
        elif choice < 0.8:
            self._cut.clear()
        elif choice < 0.9:
            self.counts["hand-overs"] += 1
            host.leaving = True
            self.post(host, membership_messages.LeaveStarted())
        elif self._may_lose_disk(host):
            self.lose_disk(host)

    def _repair(self, host: Host) -> bool:
        """Restart hosts that are down or leaving; returns whether any was."""
        down = host.core is None
        for other in self.hosts.values():
            if other.leaving:
                self.crash(other)
                down = True
        if down:
            for other in self.hosts.values():
                if other.core is None:
                    self.start(other)
        return down

    def _may_lose_disk(self, host: Host) -> bool:
        """Return whether a quorum of voters keeps its disk without it."""
        for other in self.hosts.values():
            if other.core is None:
                return False
            seen = other.core.inspect()
            if not seen.voter or len(seen.members) != len(self.hosts):
                return False
            if set(seen.members) != {
                h.me.member_id for h in self.hosts.values()
            }:
                return False
        return True

    def _cut_off(self, host: Host) -> None:
        self.counts["partitions"] += 1
        if self._sabotage is Sabotage.CLOCKS_APART:
            host.rate = SLOW_CLOCK_RATE
        for name in self._addresses:
            if name != host.daemon_id:
                self._cut.add(frozenset((name, host.daemon_id)))

    def _read(self, host: Host) -> None:
        read_id = f"r{self._next_proposal}-{self.source.random()}"
        self.checks.asked(read_id)
        barrier = messages.ReadBarrier(
            read_id=read_id, group=records.Group.JOURNAL
        )
        self.post(host, barrier)

    def _advance(self, step: datetime.timedelta) -> None:
        self.time += step
        for host in self.hosts.values():
            host.clock += step * host.rate

    def _pass_time(self, host: Host) -> None:
        self._advance(TICK * self.source.choice((0.1, 0.5, 1, 1, 1)))
        self.checks.leases(self._lease_holders(), self.time)
        for other in self.hosts.values():
            if other is host or self.source.random() < 0.7:
                self.post(other, message.Tick())

    def _deliver_one(self) -> None:
        if not self._network:
            return
        index = self.source.randrange(min(len(self._network), 8))
        if self.source.random() < 0.1:
            index = self.source.randrange(len(self._network))
        sender, send = self._network.pop(index)
        if sender != send.address:
            if self.source.random() < 0.05:
                return
            if self.source.random() < 0.05:
                self._network.append((sender, send))
        self._deliver(sender, send)
        del self._network[:-MAX_IN_FLIGHT]

    def _deliver(self, sender: str, send: message.Send) -> None:
        if frozenset((sender, send.address)) in self._cut:
            return
        self.post(self.hosts[send.address], send.message)

    def _calm(self) -> None:
        """Let a tick pass without faults, with everything delivered."""
        self._advance(TICK)
        for host in self.hosts.values():
            self.post(host, message.Tick())
        for _ in range(6):
            network, self._network = self._network, []
            for sender, send in network:
                self._deliver(sender, send)
            for host in self.hosts.values():
                self.sync(host, len(host.pending))
        self.checks.leases(self._lease_holders(), self.time)

    def _calm_until(
        self, done: typing.Callable[[], typing.Any], ticks: int
    ) -> None:
        for _ in range(ticks):
            self._calm()
            if done():
                return

    def _whole(self) -> bool:
        """Return whether every host is a voting member and one leads."""
        voters = [host.core.inspect().voter for host in self.hosts.values()]
        return self._leader() is not None and all(voters) and self._equal()

    def _last_proposal_applied(self) -> bool:
        """Return whether every host has applied the last proposal.

        A leader that was cut off may still be about to step down when it
        gets one, so that the proposal is lost and has to be made again.
        """
        last = f"p{self._next_proposal}".encode()
        applied = all(last in host.machine for host in self.hosts.values())
        return applied and self._whole()

    def _equal(self) -> bool:
        """Return whether all hosts have applied the same."""
        seen = {
            host.core.inspect().applied_index for host in self.hosts.values()
        }
        return len(seen) == 1

    def _leader(self) -> Host | None:
        for host in self.hosts.values():
            if host.core is not None:
                seen = host.core.inspect()
                if seen.role is state.Role.LEADER and seen.ready:
                    return host
        return None

    def _lease_holders(self) -> list[str]:
        return [
            host.daemon_id
            for host in self.hosts.values()
            if host.core is not None
            and host.lease_until is not None
            and self.now(host) < host.lease_until
        ]


def run(
    *, seed: int, hosts: int, steps: int, sabotage: Sabotage = Sabotage.NONE
) -> typing.Any:
    """Run one schedule; raises consensus_checks.ViolationError."""
    explorer = Explorer(seed=seed, hosts=hosts, sabotage=sabotage)
    explorer.run(steps)
    return explorer


def run_power_loss(
    *,
    seed: int,
    hosts: int,
    steps: int,
    disks: int,
    sabotage: Sabotage = Sabotage.NONE,
) -> Explorer:
    """Run a schedule that ends with a loss of power and of some disks.

    Raises consensus_checks.ViolationError.
    """
    explorer = Explorer(seed=seed, hosts=hosts, sabotage=sabotage)
    explorer.run(steps)
    explorer.lose_power_and_disks(disks)
    return explorer
