"""Messages between hosts, with latency, loss and partitions."""

from __future__ import annotations

import collections
import datetime
import typing

from faultmatrix import world
from fulmarbarrow import message

LATENCY = datetime.timedelta(milliseconds=1)


class Receiver(typing.Protocol):
    """A host that the network delivers to."""

    zone: str
    address: str
    alive: bool

    def take(self, item: message.Message) -> None:
        """Take a message that arrived."""


class Network:
    """Delivers messages by address unless a fault is in the way."""

    def __init__(self, *, timeline: world.Timeline) -> None:
        self._timeline = timeline
        self._hosts: dict[str, Receiver] = {}
        self._cut_zones: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._separated: set[frozenset[str]] = set()
        self._zones_healed: dict[frozenset[str], datetime.datetime] = {}
        self._hosts_healed: dict[str, datetime.datetime] = {}
        self._doubled = False
        self.loss = 0.0
        self.extra: datetime.timedelta = datetime.timedelta()
        self.counts: collections.Counter[str] = collections.Counter()

    def join(self, host: Receiver) -> None:
        """Deliver to this host under its address from now on."""
        self._hosts[host.address] = host

    def send(self, sender: Receiver, send: message.Send) -> None:
        """Send a message; it may be lost, doubled or overtaken."""
        target = self._hosts.get(send.address)
        if target is None or not self.connected(sender, target):
            self.counts["cut"] += 1
            return
        rng = self._timeline.rng
        if self.loss and rng.random() < self.loss:
            self.counts["lost"] += 1
            return
        times = 2 if self._doubled and rng.random() < 0.5 else 1
        for _ in range(times):
            delay = LATENCY + self.extra * rng.random()
            self._timeline.after(
                delay, self._deliver, sender, target, send.message
            )

    def connected(self, one: Receiver, other: Receiver) -> bool:
        """Whether a message can pass between two hosts now."""
        if not self.reaches(one.zone, other.zone):
            return False
        if frozenset((one.address, other.address)) in self._separated:
            return False
        return not self._isolated & {one.address, other.address}

    def connected_since(
        self, one: Receiver, other: Receiver
    ) -> datetime.datetime | None:
        """Return when two connected hosts were so again, None if always."""
        healed = (
            self._zones_healed.get(frozenset((one.zone, other.zone))),
            self._hosts_healed.get(one.address),
            self._hosts_healed.get(other.address),
        )
        return max((at for at in healed if at is not None), default=None)

    def reaches(self, zone: str, other: str) -> bool:
        """Whether two availability zones are connected."""
        return frozenset((zone, other)) not in self._cut_zones

    def cut(self, zone: str, zones: tuple[str, ...]) -> None:
        """Separate an availability zone from the others."""
        for other in zones:
            if other != zone:
                self._cut_zones.add(frozenset((zone, other)))

    def isolate(self, address: str) -> None:
        """Drop every message from and to one host."""
        self._isolated.add(address)

    def separate(self, one: str, other: str) -> None:
        """Drop every message between two hosts."""
        self._separated.add(frozenset((one, other)))

    def double(self, on: bool) -> None:
        """Deliver half of the messages twice and out of their order."""
        self._doubled = on
        self.extra = 5 * LATENCY if on else datetime.timedelta()

    def heal(self) -> None:
        """Let every message pass again."""
        now = self._timeline.now
        self._zones_healed.update(dict.fromkeys(self._cut_zones, now))
        self._hosts_healed.update(dict.fromkeys(self._isolated, now))
        self._cut_zones.clear()
        self._isolated.clear()
        self._separated.clear()
        self.loss = 0.0
        self.double(False)

    def _deliver(
        self, sender: Receiver, target: Receiver, item: message.Message
    ) -> None:
        present = self._hosts.get(target.address)
        there = present is target and target.alive
        if there and self.connected(sender, target):
            target.take(item)
