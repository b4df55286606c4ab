"""A fleet of one control host and many followers without sockets."""

from __future__ import annotations

import collections
import datetime
import random

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import follower
from fulmarbarrow.publishing import messages

TICK = datetime.timedelta(milliseconds=250)
CONTROL = 0


def account(name):
    return bundles.Account(name=name, key_salt="00", key_digest="11" * 32)


class Node:
    """One daemon: follower, disk and, on the control host, control core."""

    def __init__(self, number, zone, roles):
        self.number = number
        self.record = membership_messages.Daemon(
            daemon_id=f"daemon-{number}",
            incarnation=1,
            zone=f"zone-{zone}",
            region="attica",
            address=f"address-{number}",
            roles=roles,
        )
        self.disk = None
        self.disk_full = False
        self.control = None
        self.start()

    def start(self):
        self.follower = follower.PublishingFollower(
            daemon=self.record,
            source=random.Random(self.number),
            metrics=metrics.Metrics(),
            stores=True,
            restored=self.disk,
            seeds=(f"address-{CONTROL}",),
        )

    @property
    def revision(self):
        return self.follower.dump()["revision"]


class Fleet:
    """Delivers messages between connected nodes immediately."""

    def __init__(self, daemons, zones):
        self.clock = clocks.ManualClock()
        self.nodes = [
            Node(
                number,
                number % zones,
                ("control",) if number == CONTROL else ("router",),
            )
            for number in range(daemons)
        ]
        self.by_address = {node.record.address: node for node in self.nodes}
        self.disconnected = set()
        self.drops_relays = False
        # Pairs of hosts whose connection takes bytes and delivers none.
        self.silent = set()
        self.broken_relays = set()
        self.leaving_relay = True
        self.sent = collections.Counter()
        self.polls = collections.Counter()
        self.notices = collections.Counter()
        self.results = []
        self.status = None
        self.published = []
        self.has_leader = True
        self.answers_reads = True
        self.index = 0
        self.committed = []
        self.snapshot = None
        self.start_control()
        for node in self.nodes:
            self.announce(node)
        self.announce_leader()
        self.run(datetime.timedelta(seconds=1))

    def start_control(self):
        node = self.nodes[CONTROL]
        node.control = control.PublishingControl(
            daemon=node.record, now=self.clock.now()
        )

    def announce(self, node):
        for other in self.nodes:
            if other is not node:
                changed = membership_messages.DaemonChanged(daemon=node.record)
                self.post(other, changed)

    def announce_leader(self):
        lease = self.clock.now() + datetime.timedelta(days=1)
        changed = consensus_messages.LeaderChanged(
            group=control.GROUP,
            term=1,
            leader="daemon-0" if self.has_leader else "",
            address="address-0" if self.has_leader else "",
            fencing_number=1,
            lease_until=lease if self.has_leader else None,
        )
        self.post(self.nodes[CONTROL], changed)

    def run(self, duration):
        until = self.clock.now() + duration
        while self.clock.now() < until:
            self.clock.advance(TICK)
            for node in self.nodes:
                self.post(node, message.Tick())

    def post(self, node, event):
        queue = collections.deque([(node, event)])
        while queue:
            at, item = queue.popleft()
            queue.extend(self.handle(at, item))

    def handle(self, node, event):
        now = self.clock.now()
        effects = []
        for core in (node.control, node.follower):
            if core is not None and type(event) in core.handles:
                effects.extend(core.handle(event, now))
        for effect in effects:
            yield from self.apply_effect(node, effect)

    def apply_effect(self, node, effect):
        match effect:
            case message.Send():
                target = self.by_address[effect.address]
                relayed = (
                    isinstance(effect.message, messages.RevisionDeltas)
                    and node.number != CONTROL
                )
                if isinstance(effect.message, messages.RevisionDeltas):
                    self.sent[node.number] += 1
                if isinstance(effect.message, messages.RevisionNotice):
                    self.notices[target.number] += 1
                if isinstance(effect.message, messages.RevisionFetch):
                    self.polls[node.number] += 1
                leaving = membership_messages.DaemonState.LEAVING
                drops = (
                    self.drops_relays
                    or node.number in self.broken_relays
                    or (
                        not self.leaving_relay and node.record.state is leaving
                    )
                )
                if effect.fresh:
                    self.silent.discard((node.number, target.number))
                silent = (node.number, target.number) in self.silent
                lost = silent or (relayed and drops)
                if self.is_connected(node, target) and not lost:
                    yield target, effect.message
            case messages.StoreRevision():
                stored = not node.disk_full
                if stored:
                    node.disk = effect
                yield (
                    node,
                    messages.RevisionStored(
                        revision=effect.revision, stored=stored
                    ),
                )
            case consensus_messages.Propose():
                self.index += 1
                applied = consensus_messages.Applied(
                    group=effect.group,
                    index=self.index,
                    term=1,
                    command=effect.command,
                    machine=effect.machine,
                )
                self.committed.append(applied)
                yield node, applied
            case consensus_messages.ReadBarrier() if not self.answers_reads:
                return
            case consensus_messages.ReadBarrier():
                yield (
                    node,
                    consensus_messages.ReadReady(
                        read_id=effect.read_id,
                        group=effect.group,
                        ready=self.has_leader,
                    ),
                )
            case consensus_messages.ContactsWanted():
                yield (
                    node,
                    consensus_messages.Contacts(
                        group=effect.group, addresses=(node.record.address,)
                    ),
                )
            case messages.PublishResult():
                self.results.append(effect)
            case messages.StatusResponse():
                self.status = effect.status
                yield node, effect
            case _:
                yield node, effect

    def is_connected(self, node, target):
        node_cut, target_cut = (
            node.number in self.disconnected,
            target.number in self.disconnected,
        )
        if not node_cut and not target_cut:
            return True
        same_zone = node.record.zone == target.record.zone
        return node_cut and target_cut and same_zone

    def publish(self, publisher, names, base):
        bundle = bundles.Bundle(account=tuple(map(account, names)))
        data = bundles.encode(bundle)
        request = messages.PublishRequested(
            publish_id=f"publish-{len(self.published)}",
            publisher=publisher,
            base_revision=base,
            digest=deltas.digest(data),
            bundle=data,
        )
        self.published.append(request)
        self.post(self.nodes[CONTROL], request)

    def publish_in_succession(self, interval, count):
        """Publish changes; return by revision when all daemons had it."""
        accepted = {}
        delays = {}
        published = 0
        started = self.clock.now()
        last = started + interval * count + datetime.timedelta(seconds=10)
        while self.clock.now() < last and len(delays) < count:
            now = self.clock.now()
            if published < count and now >= started + interval * published:
                names = [f"account-{item}" for item in range(published + 1)]
                self.publish("amina", names, published)
                published += 1
                accepted[published] = now
            self.run(TICK)
            oldest = min(node.revision for node in self.nodes)
            for revision in range(1, oldest + 1):
                delays.setdefault(
                    revision, self.clock.now() - accepted[revision]
                )
        return delays

    def retry_publish(self, number):
        self.post(self.nodes[CONTROL], self.published[number])

    def write_snapshot(self):
        (self.snapshot,) = self.nodes[CONTROL].control.handle(
            consensus_messages.SnapshotWanted(
                group=control.GROUP, index=self.index
            ),
            self.clock.now(),
        )

    def restart_from_snapshot(self):
        """Restart the control host with what its last snapshot holds."""
        self.start_control()
        restored = consensus_messages.SnapshotRestored(
            group=control.GROUP,
            index=self.snapshot.index,
            state=self.snapshot.state,
            machine=self.snapshot.machine,
        )
        self.post(self.nodes[CONTROL], restored)

    def apply_committed(self):
        """Apply what was committed after the last snapshot."""
        for applied in self.committed:
            if applied.index > self.snapshot.index:
                self.post(self.nodes[CONTROL], applied)

    def restart_control(self):
        self.write_snapshot()
        self.restart_from_snapshot()
        self.announce_leader()
