"""Finds daemons that this one does not hear of, and lets them find it."""

from __future__ import annotations

import datetime
import random

from fulmarbarrow.membership import broadcast
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes

CONTACT_PERIOD = datetime.timedelta(seconds=5)
LONELY_PERIOD = datetime.timedelta(seconds=1)
JOIN_REPLY_DAEMONS = 64  # under 1 KB once packed


class Contacts:
    """Presents this daemon to seeds and to daemons believed dead.

    A daemon that hears of no other asks every seed each second. Later one
    address is tried at a time, which finds the other side of a partition
    once it has healed.
    """

    def __init__(
        self,
        *,
        table: daemons.DaemonTable,
        outbox: outboxes.Outbox,
        rng: random.Random,
        seeds: tuple[str, ...],
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._rng = rng
        self._seeds = seeds
        self._next: datetime.datetime | None = None

    def hurry(self) -> None:
        """Try the next address with the next tick."""
        self._next = None

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds, and try them soon."""
        self._seeds = seeds
        self.hurry()

    def tick(self, now: datetime.datetime) -> None:
        """Try one address, or all of them while no other is known."""
        if self._next is not None and now < self._next:
            return
        lonely = not self._table.peers()
        self._next = now + (LONELY_PERIOD if lonely else CONTACT_PERIOD)
        addresses = self._unheard()
        if addresses and not lonely:
            addresses = [self._rng.choice(addresses)]
        join = messages.Join(daemon=self._table.own, lonely=lonely)
        for address in addresses:
            self._outbox.send(address, join)

    def answer(self, event: messages.Join) -> None:
        """Tell a daemon what is said of it; name others to a lonely one."""
        told = []
        known = self._table.get(event.daemon.daemon_id)
        if known is not None and _newer(known.daemon, event.daemon):
            told.append(known.daemon)
        if event.lonely:
            told.extend(self._introduce(event.daemon))
        if told or event.lonely:
            self._outbox.send(
                event.daemon.address,
                broadcast.pack([self._table.own, *told], syncs=True),
                rare=True,
            )

    def _unheard(self) -> list[str]:
        """Return addresses at which a daemon may live unheard."""
        reachable = set()
        dead = set()
        for known in self._table.others:
            found = reachable if known.reachable else dead
            found.add(known.daemon.address)
        return sorted((dead | set(self._seeds)) - reachable)

    def _introduce(self, newcomer: messages.Daemon) -> list[messages.Daemon]:
        """Return some daemons for a newcomer, those of its zone first."""
        known = [
            item.daemon
            for item in self._table.others
            if item.reachable and item.daemon.daemon_id != newcomer.daemon_id
        ]
        self._rng.shuffle(known)
        known.sort(
            key=lambda daemon: (
                daemon.region != newcomer.region,
                daemon.zone != newcomer.zone,
            )
        )
        return known[:JOIN_REPLY_DAEMONS]


def _newer(left: messages.Daemon, right: messages.Daemon) -> bool:
    return daemons.version_of(left) > daemons.version_of(right)
