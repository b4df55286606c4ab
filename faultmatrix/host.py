"""One host of the fake fleet: a daemon's real cores with fake edges."""

from __future__ import annotations

import dataclasses
import datetime
import random
import typing

from benchmarks import consensus_explorer
from faultmatrix import network as networks
from faultmatrix import sabotage as sabotages
from faultmatrix import world
from fulmarbarrow import bus as buses
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state as consensus_state
from fulmarbarrow.daemon import cores
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import messages as placement_messages

ZONES = ("a", "b", "c")
SYNC = datetime.timedelta(milliseconds=2)
FLEET_KEY = "a fleet key of tests"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostPlan:
    """Who a host is, whatever incarnation of it runs."""

    daemon_id: str
    zone: str
    port: int
    roles: tuple[defaults.Role, ...]

    @property
    def address(self) -> str:
        """The address for messages between daemons."""
        return f"127.0.0.1:{self.port}"


class HostDisk:
    """The disk of a control host: what was synced stays after a crash."""

    def __init__(self, *, identity: str) -> None:
        self._identity = identity
        self._groups = {
            group: consensus_explorer.Disk() for group in records.Group
        }
        self.full = False

    @property
    def host_identity(self) -> str:
        """The identity of this disk."""
        return self._identity

    def open(self, group: records.Group) -> consensus_state.StoredState:
        """Return what is stored of a group's log."""
        return self._groups[group].stored()

    def write(self, persist: consensus_messages.Persist) -> None:
        """Write and sync."""
        self._groups[persist.group].write(persist)


class Host:
    """A running incarnation of a daemon."""

    def __init__(
        self,
        *,
        plan: HostPlan,
        members: tuple[HostPlan, ...],
        seeds: tuple[str, ...],
        disk: HostDisk | None,
        timeline: world.Timeline,
        network: networks.Network,
        edges: typing.Any,
        snapshot_entries: int = defaults.ControlSection.snapshot_entries,
    ) -> None:
        self.plan = plan
        self.zone = plan.zone
        self.address = plan.address
        self.alive = True
        self.leaving = False
        self.started_at = timeline.now
        self.disk = disk
        self._timeline = timeline
        self._network = network
        self._edges = edges
        self._unsynced: list[consensus_messages.Persist] = []
        self.bus = buses.Bus(clock=timeline.clock, strict=True)
        self.metrics = metrics.Metrics()
        self.record = membership_messages.Daemon(
            daemon_id=plan.daemon_id,
            incarnation=int(timeline.now.timestamp() * 1000),
            zone=plan.zone,
            region="attica",
            address=plan.address,
            roles=tuple(role.value for role in plan.roles),
        )
        self._join_edges()
        self.cores = cores.Cores(
            settings=self._settings(members, seeds, snapshot_entries),
            record=self.record,
            bus=self.bus,
            metrics=self.metrics,
            rng=random.Random(f"{plan.daemon_id}{self.record.incarnation}"),
            now=timeline.now,
            logs=disk,
        )
        if edges.sabotage.tamper is not None:
            self._tamper(edges.sabotage.tamper)
        network.join(self)
        self._tick(cores.TICK, message.Tick())
        if self.is_router:
            self._tick(
                cores.PLACEMENT_TICK, placement_messages.PlacementTick()
            )

    @property
    def is_router(self) -> bool:
        """Whether callers may come to this host."""
        return defaults.Role.ROUTER in self.plan.roles

    def take(self, item: message.Message) -> None:
        """Take a message from another host, an upstream or a caller."""
        if self.alive:
            self.bus.post(item)

    def crash(self) -> None:
        """End at once; only what was synced stays."""
        self.alive = False

    def begin_stop(self) -> None:
        """Begin a graceful shutdown."""
        self.leaving = True
        self.take(membership_messages.LeaveStarted())

    def sync_again(self) -> None:
        """Write what waited while the disk was full."""
        for persist in self._unsynced:
            self._timeline.after(SYNC, self._sync, persist)
        self._unsynced = []

    def _tamper(self, tamper: sabotages.Tamper) -> None:
        """Let the sabotage see each message before a core does."""
        for name, core in self.cores.by_name.items():
            self.bus.detach(core)
            self.bus.attach(_Tampered(core, self.plan.daemon_id, name, tamper))

    def _settings(
        self,
        members: tuple[HostPlan, ...],
        seeds: tuple[str, ...],
        snapshot_entries: int,
    ) -> defaults.Settings:
        parse = options.parse_address
        return defaults.Settings(
            daemon=defaults.DaemonSection(
                id=self.plan.daemon_id,
                zone=self.plan.zone,
                region="attica",
                roles=self.plan.roles,
                fleet_key=FLEET_KEY,
                data_dir="data" if self.disk else "",
            ),
            listen=defaults.ListenSection(
                admin=parse("127.0.0.1:1"),
                peers=parse(self.address),
            ),
            peers=defaults.PeersSection(
                seeds=tuple(parse(seed) for seed in seeds)
            ),
            control=defaults.ControlSection(
                members=tuple(
                    defaults.Member(
                        id=member.daemon_id, address=parse(member.address)
                    )
                    for member in members
                ),
                snapshot_entries=snapshot_entries,
            ),
        )

    def _join_edges(self) -> None:
        """Connect the effects of the cores to the fake edges."""
        subscribe = self.bus.subscribe
        subscribe(message.Send, self._send)
        subscribe(consensus_messages.Persist, self._persist)
        subscribe(delivery_messages.WakeRequested, self._wake)
        self._edges.attach(self)

    def _send(self, event: message.Send, now: datetime.datetime) -> None:
        self._network.send(self, event)

    def _wake(
        self, event: delivery_messages.WakeRequested, now: datetime.datetime
    ) -> None:
        delay = max(datetime.timedelta(), event.at - now)
        self._timeline.after(delay, self.take, delivery_messages.Wake())

    def _persist(
        self, event: consensus_messages.Persist, now: datetime.datetime
    ) -> None:
        if self.disk.full:
            self._unsynced.append(event)
            return
        self._timeline.after(SYNC, self._sync, event)

    def _sync(self, persist: consensus_messages.Persist) -> None:
        """Make a write durable, unless the host crashed before."""
        if not self.alive:
            return
        self.disk.write(persist)
        self.take(
            consensus_messages.Persisted(
                group=persist.group, write_id=persist.write_id
            )
        )

    def _tick(
        self, interval: datetime.timedelta, tick: message.Message
    ) -> None:
        """Post ``tick`` at every interval while the host is alive."""
        if not self.alive:
            return
        self.take(tick)
        self._timeline.after(interval, self._tick, interval, tick)


class _Tampered:
    """A core whose messages a sabotage sees first."""

    def __init__(
        self,
        core: buses.Core,
        host_id: str,
        name: str,
        tamper: sabotages.Tamper,
    ) -> None:
        self._core = core
        self._host_id = host_id
        self._name = name
        self._tamper = tamper
        self.handles = core.handles
        self.dump = core.dump

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> typing.Iterable[message.Message]:
        """Give the core what the sabotage leaves of a message."""
        left = self._tamper(self._host_id, self._name, event, now)
        return [] if left is None else self._core.handle(left, now)
