"""Membership cores of a whole fleet on a made-up network."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random
import time
import typing

import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow.membership import core as membership_core
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import ranking
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.wire import codec

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TICK = datetime.timedelta(milliseconds=250)
ANNOUNCE_PERIOD = datetime.timedelta(seconds=1)
LEASE = datetime.timedelta(seconds=3)
LATENCY = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


Others = collections.abc.Callable[
    [messages.Daemon, random.Random], tuple[buses.Core, ...]
]


@dataclasses.dataclass(kw_only=True)
class Node:
    """One daemon's core, its counters and what it told the other cores."""

    daemon: messages.Daemon
    core: membership_core.MembershipCore
    codec: codec.Codec
    others: tuple[buses.Core, ...] = ()
    running: bool = True
    sent_bytes: int = 0
    sent_frames: int = 0
    cpu_seconds: float = 0.0
    by_type: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    live: dict[str, messages.Upstream] = dataclasses.field(
        default_factory=dict
    )
    owners: dict[str, messages.OwnerChanged] = dataclasses.field(
        default_factory=dict
    )
    dead: set[str] = dataclasses.field(default_factory=set)
    heard: list[tuple[datetime.datetime, message.Message]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(kw_only=True)
class FakeUpstream:
    """An upstream that announces itself and repeats suggested owners."""

    record: messages.Upstream
    region: str
    running: bool = True
    echoes: bool = True
    accepted: int = 0
    last_code: str = ""


class Fleet:
    """Daemons and upstreams whose messages are delivered in time order.

    ``cut`` holds the zones that others don't hear, ``loss`` is the part of
    frames that is lost. Upstreams announce themselves at ``registrars``, or
    in their zone if there are none. Frames are really encoded to count bytes.
    """

    def __init__(
        self,
        *,
        seed: int,
        loss: float = 0.0,
        others: Others | None = None,
        node_type: type[Node] = Node,
        registrars: tuple[str, ...] = (),
        names_owner: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self._registrars = registrars
        self._names_owner = names_owner
        self._node_type = node_type
        self._others = others
        self.loss = loss
        self.now = START
        self.nodes: dict[str, Node] = {}
        self.upstreams: dict[str, FakeUpstream] = {}
        self.cut: set[str] = set()
        self._by_address: dict[str, Node] = {}
        self._heap: list[tuple[typing.Any, ...]] = []
        self._lost_senders: set[str] = set()
        self._order = itertools.count()

    def add_daemon(
        self,
        daemon_id: str,
        *,
        zone: str,
        region: str,
        seeds: tuple[str, ...] = (),
        incarnation: int | None = None,
    ) -> Node:
        """Start a daemon; one that ran before starts anew."""
        old = self.nodes.get(daemon_id)
        self._lost_senders.discard(daemon_id)
        address = old.daemon.address if old else _address(len(self.nodes))
        daemon = messages.Daemon(
            daemon_id=daemon_id,
            incarnation=incarnation or int(self.now.timestamp() * 1000),
            zone=zone,
            region=region,
            address=address,
            roles=("router",),
        )
        node = self._node_type(
            daemon=daemon,
            core=membership_core.MembershipCore(
                daemon=daemon,
                seeds=tuple(self.address(name) for name in seeds),
                lease=LEASE,
                metrics=metrics.Metrics(),
                rng=random.Random(self.rng.random()),
                names_owner=self._names_owner,
            ),
            codec=codec.Codec(
                fleet_key="f" * 16,
                sender=daemon_id,
                address=address,
                incarnation=daemon.incarnation,
            ),
        )
        if self._others is not None:
            rng = random.Random(self.rng.random())
            node.others = self._others(daemon, rng)
        self.nodes[daemon_id] = node
        self._by_address[address] = node
        self._at(self.now + self.rng.random() * TICK, self._tick, node)
        return node

    def add_upstream(
        self,
        upstream_id: str,
        *,
        zone: str,
        region: str,
        incarnation: int = 1,
        sequence: int = 0,
        **fields: typing.Any,
    ) -> FakeUpstream:
        """Start an upstream; one that ran before starts anew."""
        record = messages.Upstream(
            upstream_id=upstream_id,
            incarnation=incarnation,
            sequence=sequence,
            zone=zone,
            url="http://10.1.200.100:8000",
            offers=(
                messages.Offer(
                    service="consultations", model="lacework", version="1"
                ),
            ),
            batch_tokens=4000,
            tokens_per_second=2000,
            state=messages.UpstreamState.SERVING,
            started_at=self.now,
        )
        record = msgspec.structs.replace(record, **fields)
        upstream = FakeUpstream(record=record, region=region)
        self.upstreams[upstream_id] = upstream
        first = self.now + self.rng.random() * ANNOUNCE_PERIOD
        self._at(first, self._announce, upstream)
        return upstream

    def preload(self) -> None:
        """Let every daemon know all others and its region's upstreams.

        Each upstream already names the owner that it would be given, so
        that a measurement can begin with a fleet that has settled.
        """
        everyone = tuple(node.daemon for node in self.nodes.values())
        by_zone: dict[str, list[str]] = {}
        for daemon in everyone:
            by_zone.setdefault(daemon.zone, []).append(daemon.daemon_id)
        by_region: dict[str, list[messages.Upstream]] = {}
        for upstream in self.upstreams.values():
            record = upstream.record
            owner = ranking.best(record.upstream_id, by_zone[record.zone])
            upstream.record = msgspec.structs.replace(
                record, sequence=1, owner=owner, owner_epoch=1
            )
            by_region.setdefault(upstream.region, []).append(upstream.record)
        for node in self.nodes.values():
            known = messages.Gossip(
                daemons=tuple(
                    item for item in everyone if item != node.daemon
                ),
                upstreams=tuple(by_region.get(node.daemon.region, ())),
                syncs=True,
            )
            self.post(node, known)
        for node in self.nodes.values():
            node.sent_bytes = 0
            node.cpu_seconds = 0.0
            node.by_type.clear()
            node.bytes_by_second.clear()

    def address(self, daemon_id: str) -> str:
        """Return a daemon's address; that of a registrar before its start.

        The registrars are added first, in their order.
        """
        if daemon_id in self.nodes:
            return self.nodes[daemon_id].daemon.address
        return _address(self._registrars.index(daemon_id))

    def stop(self, daemon_id: str, *, lose_frames: bool = False) -> None:
        """End a daemon at once, as a crash does.

        With ``lose_frames`` what it sent and nobody has received is lost, as
        by a loss of power.
        """
        self.nodes[daemon_id].running = False
        if lose_frames:
            self._lost_senders.add(daemon_id)

    def run(self, duration: datetime.timedelta) -> None:
        """Deliver everything that happens within a duration."""
        until = self.now + duration
        while self._heap and self._heap[0][0] <= until:
            at, _, action, argument = heapq.heappop(self._heap)
            self.now = at
            action(argument)
        self.now = until

    def run_until(
        self,
        check: collections.abc.Callable[[], bool],
        *,
        within: datetime.timedelta,
        step: datetime.timedelta = datetime.timedelta(milliseconds=50),
    ) -> datetime.timedelta | None:
        """Run until ``check`` holds; return the time, or None if never."""
        start = self.now
        while not check():
            if self.now - start >= within:
                return None
            self.run(step)
        return self.now - start

    def post(self, node: Node, event: message.Message) -> None:
        """Give an event to a daemon's core and carry out its effects."""
        frames: dict[str, list[message.Message]] = {}
        queue = collections.deque((event,))
        while queue:
            for effect in self._handle(node, queue.popleft()):
                if isinstance(effect, message.Send):
                    bodies = frames.setdefault(effect.address, [])
                    bodies.append(effect.message)
                    continue
                self._observe(node, effect)
                if node.others:
                    queue.append(effect)
        for address, bodies in frames.items():
            self._send(node, address, tuple(bodies))

    def announce(
        self, upstream: FakeUpstream, node: Node, *, renew: bool = True
    ) -> None:
        """Announce an upstream at one daemon."""
        if renew:
            upstream.record = msgspec.structs.replace(
                upstream.record, sequence=upstream.record.sequence + 1
            )
        load = messages.Load(
            running_tokens=self.rng.randrange(4000),
            queued_tokens=self.rng.randrange(1000),
            running_requests=self.rng.randrange(40),
            queued_requests=self.rng.randrange(9),
            measured_at=self.now,
        )
        self.post(
            node, messages.Announced(upstream=upstream.record, load=load)
        )

    def region_nodes(self, region: str) -> list[Node]:
        """Return the running daemons of a region."""
        return [
            node
            for node in self.nodes.values()
            if node.running and node.daemon.region == region
        ]

    def hears(self, left: str, right: str) -> bool:
        """Return whether two zones hear each other."""
        return left == right or not ({left, right} & self.cut)

    def _at(self, at: datetime.datetime, action: typing.Any, arg: typing.Any):
        heapq.heappush(self._heap, (at, next(self._order), action, arg))

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        self.post(node, message.Tick())
        self._at(self.now + TICK, self._tick, node)

    def _announce(self, upstream: FakeUpstream) -> None:
        if not upstream.running:
            return
        record = upstream.record
        if self.upstreams[record.upstream_id] is not upstream:
            return
        nodes = (
            [
                self.nodes[name]
                for name in self._registrars
                if self.nodes[name].running
            ]
            or [
                node
                for node in self.region_nodes(upstream.region)
                if node.daemon.zone == record.zone
            ]
            or [
                node
                for node in self.region_nodes(upstream.region)
                if self.hears(node.daemon.zone, record.zone)
            ]
        )
        if nodes:
            self.announce(upstream, self.rng.choice(nodes))
        self._at(self.now + ANNOUNCE_PERIOD, self._announce, upstream)

    def _observe(self, node: Node, effect: message.Message) -> None:
        match effect:
            case messages.AnnounceAccepted():
                self._accepted(effect)
            case messages.AnnounceRefused():
                self.upstreams[effect.upstream_id].last_code = effect.code
            case messages.UpstreamChanged():
                node.live[effect.upstream.upstream_id] = effect.upstream
            case messages.UpstreamGone():
                node.live.pop(effect.upstream_id, None)
                node.owners.pop(effect.upstream_id, None)
            case messages.OwnerChanged():
                node.owners[effect.upstream_id] = effect
            case messages.DaemonGone():
                node.dead.add(effect.daemon_id)
            case messages.DaemonChanged():
                node.dead.discard(effect.daemon.daemon_id)
        if not isinstance(effect, messages.LoadReported):
            node.heard.append((self.now, effect))

    def _handle(
        self, node: Node, event: message.Message
    ) -> list[message.Message]:
        """Give an event to every core of a daemon that handles it."""
        started = time.perf_counter()
        effects: list[message.Message] = []
        for core in (node.core, *node.others):
            if type(event) in core.handles:
                effects.extend(core.handle(event, self.now))
        node.cpu_seconds += time.perf_counter() - started
        return effects

    def _accepted(self, event: messages.AnnounceAccepted) -> None:
        upstream = self.upstreams[event.upstream_id]
        if upstream.record.incarnation != event.incarnation:
            return
        upstream.accepted += 1
        if upstream.echoes and event.owner_epoch > upstream.record.owner_epoch:
            upstream.record = msgspec.structs.replace(
                upstream.record,
                owner=event.owner,
                owner_epoch=event.owner_epoch,
            )

    def _send(
        self, node: Node, address: str, bodies: tuple[message.Message, ...]
    ) -> None:
        frame = node.codec.encode(address, bodies)
        node.sent_bytes += len(frame)
        node.sent_frames += 1
        second = int((self.now - START) / SECOND)
        node.bytes_by_second[second] += len(frame)
        for body in bodies:
            size = len(frame) // len(bodies)
            node.by_type[message.tag(body)] += size
        target = self._by_address.get(address)
        if target is None or not target.running:
            return
        if not self.hears(node.daemon.zone, target.daemon.zone):
            return
        if self.loss and self.rng.random() < self.loss:
            return
        self._at(self.now + LATENCY, self._deliver, (node, target, bodies))

    def _deliver(
        self, arrived: tuple[Node, Node, tuple[message.Message, ...]]
    ) -> None:
        sender, target, bodies = arrived
        if sender.daemon.daemon_id in self._lost_senders:
            return
        if target.running:
            for body in bodies:
                self.post(target, body)


def _address(number: int) -> str:
    """Return the address of the daemon that was added as the given one."""
    return f"10.0.{number // 250}.{number % 250}:7004"
