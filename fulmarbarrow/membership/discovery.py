"""Discovery of daemons through seeds, and of those marked dead."""

from __future__ import annotations

import datetime
import random

from fulmarbarrow.membership import broadcast
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes

CONTACT_INTERVAL = datetime.timedelta(seconds=5)
ISOLATED_CONTACT_INTERVAL = datetime.timedelta(seconds=1)
MAX_JOIN_REPLY_DAEMONS = 64  # less than 1 KB when compressed


class PeerDiscovery:
    """Sends join messages to seeds and to daemons that are marked dead.

    While no other daemon of the region is known, every address is contacted
    each second. After that, one random address per ``CONTACT_INTERVAL`` is
    contacted, which reconnects the two sides of a healed partition.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        outbox: outboxes.Outbox,
        rng: random.Random,
        seeds: tuple[str, ...],
    ) -> None:
        self._daemon_table = daemon_table
        self._outbox = outbox
        self._rng = rng
        self._seeds = seeds
        self._next_contact: datetime.datetime | None = None

    def contact_soon(self) -> None:
        """Contact the next address on the next tick."""
        self._next_contact = None

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds and contact one on the next tick."""
        self._seeds = seeds
        self.contact_soon()

    def tick(self, now: datetime.datetime) -> None:
        """Contact one address, or all of them if no peer is known."""
        if self._next_contact is not None and now < self._next_contact:
            return
        isolated = not self._daemon_table.peers()
        self._next_contact = now + (
            ISOLATED_CONTACT_INTERVAL if isolated else CONTACT_INTERVAL
        )
        addresses = self._unreached_addresses()
        if addresses and not isolated:
            addresses = [self._rng.choice(addresses)]
        join = messages.Join(daemon=self._daemon_table.own, lonely=isolated)
        for address in addresses:
            self._outbox.send(address, join)

    def handle_join(self, event: messages.Join) -> None:
        """Reply to a join message.

        The reply contains the newer record of the sender that is known here,
        if there is one, so that it can refute it. A ``lonely`` sender is also
        given a list of daemons.
        """
        records = []
        known = self._daemon_table.get(event.daemon.daemon_id)
        if known is not None and _is_newer(known.daemon, event.daemon):
            records.append(known.daemon)
        if event.lonely:
            records.extend(self._select_introductions(event.daemon))
        if records or event.lonely:
            self._outbox.send(
                event.daemon.address,
                broadcast.build_gossip(
                    [self._daemon_table.own, *records], syncs=True
                ),
                exempt_from_peak=True,
            )

    def _unreached_addresses(self) -> list[str]:
        """Return the addresses of seeds and daemons that are not reachable."""
        reachable = set()
        dead = set()
        for known in self._daemon_table.others:
            addresses = reachable if known.reachable else dead
            addresses.add(known.daemon.address)
        return sorted((dead | set(self._seeds)) - reachable)

    def _select_introductions(
        self, newcomer: messages.Daemon
    ) -> list[messages.Daemon]:
        """Return daemons for a newcomer, its region and zone first."""
        introduced = [
            known.daemon
            for known in self._daemon_table.others
            if known.reachable and known.daemon.daemon_id != newcomer.daemon_id
        ]
        self._rng.shuffle(introduced)
        introduced.sort(
            key=lambda daemon: (
                daemon.region != newcomer.region,
                daemon.zone != newcomer.zone,
            )
        )
        return introduced[:MAX_JOIN_REPLY_DAEMONS]


def _is_newer(left: messages.Daemon, right: messages.Daemon) -> bool:
    return daemons.daemon_version(left) > daemons.daemon_version(right)
