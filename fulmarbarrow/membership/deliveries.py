"""Acknowledged delivery of urgent gossip."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import itertools
import random

import msgspec

from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes

RELAYS = 2
RETRY_AFTER = datetime.timedelta(milliseconds=200)  # doubled each time
MAX_RETRY_AFTER = datetime.timedelta(milliseconds=800)
# Longer than the network may cut a zone off before all consider it dead.
RETRY_PERIOD = datetime.timedelta(seconds=15)
# Ticks after which a change is reported as it stands; a caller that waits for
# the report turns to another daemon after a second.
REPORT_TICKS = 3
# A daemon whose probes were answered within this time is not cut off.
ANSWER_PERIOD = datetime.timedelta(seconds=2)
# The receiver forwards to nobody, or to its own region.
NO_RELAY_SPANS = (None, (0, daemons.RING_END))

Report = collections.abc.Callable[[bool], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Batch:
    """Urgent changes that this daemon sent together to its whole region.

    ``keys`` are those of the changes. ``reports`` are called once: with True
    when each span has a relay that acknowledged them, else after
    ``REPORT_TICKS``. ``receivers`` holds the daemons that they were sent to.
    """

    keys: tuple[str, ...]
    reports: list[Report]
    unconfirmed: int = 0
    acknowledged: bool = False
    ticks: int = 0
    receivers: set[str] = dataclasses.field(default_factory=set)

    def report(self, confirmed: bool) -> None:
        """Call and drop the reports."""
        reports, self.reports = self.reports, []
        for report in reports:
            report(confirmed)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Delivery:
    """Gossip on its way to some daemons.

    It is confirmed after ``needed`` acknowledgements and repeated until it
    has ``wanted`` ones. ``others`` are daemons that may take the place of
    those in ``waiting`` that do not acknowledge it. ``covered`` holds the
    hashes of the daemons that it was sent or forwarded to.
    """

    gossip: messages.Gossip
    waiting: set[str]
    others: list[daemons.KnownDaemon]
    needed: int
    wanted: int
    started_at: datetime.datetime
    sent_at: datetime.datetime
    batch: Batch | None
    acknowledgements: int = 0
    sends: int = 1
    covered: set[int] = dataclasses.field(default_factory=set)


class Deliveries:
    """Sends urgent gossip and repeats it until it is acknowledged.

    A relay that does not acknowledge in time is replaced by others of its
    span, twice as many each time, so that a lost relay delays the span by
    one tick. A change for single daemons is repeated to the same ones, for
    ``RETRY_PERIOD``, so that those that return to the network get it.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        outbox: outboxes.Outbox,
        rng: random.Random,
    ) -> None:
        self._daemon_table = daemon_table
        self._outbox = outbox
        self._rng = rng
        # Acknowledgements to an earlier process at this address match none.
        self._nonces = itertools.count(rng.getrandbits(48) + 1)
        self._open: dict[int, _Delivery] = {}
        self._batches: list[Batch] = []

    def __len__(self) -> int:
        """Return the number of deliveries that are not acknowledged."""
        return len(self._open)

    def batch_of(self, key: str) -> Batch | None:
        """Return the newest batch with a change that is not reported yet."""
        for batch in reversed(self._batches):
            if key in batch.keys:
                return batch
        return None

    def begin(self, batch: Batch) -> None:
        """Follow a batch whose deliveries have been sent."""
        if batch.unconfirmed:
            self._batches.append(batch)
        else:
            batch.report(True)

    def send_to_span(
        self,
        members: list[daemons.KnownDaemon],
        gossip: messages.Gossip,
        now: datetime.datetime,
        batch: Batch | None,
    ) -> int:
        """Send gossip to relays of a span; return how many get it."""
        relays, others = self._select_relays(members)
        if relays:
            self._send_new(
                relays,
                gossip,
                now,
                batch,
                others=others,
                needed=1,
                wanted=len(relays),
            )
        return len(relays)

    def send_to_all(
        self,
        members: list[daemons.KnownDaemon],
        gossip: messages.Gossip,
        now: datetime.datetime,
        batch: Batch | None,
    ) -> int:
        """Send gossip to each of some daemons; return how many get it."""
        if members:
            self._send_new(
                members,
                gossip,
                now,
                batch,
                others=[],
                needed=len(members),
                wanted=len(members),
            )
        return len(members)

    def acknowledge(self, gossip: messages.Gossip) -> None:
        """Acknowledge gossip to the daemon that asks for it."""
        if gossip.nonce:
            members: tuple[int, ...] = ()
            if gossip.span not in NO_RELAY_SPANS:
                members = self._daemon_table.ring_members(gossip.span)
            self._outbox.send(
                gossip.reply_to,
                messages.GossipAck(
                    daemon_id=self._daemon_table.own.daemon_id,
                    nonce=gossip.nonce,
                    members=members,
                ),
                urgent=True,
            )

    def handle_ack(
        self, event: messages.GossipAck, now: datetime.datetime
    ) -> None:
        """Take an acknowledgement; report the batch that it confirms."""
        sender = self._daemon_table.get(event.daemon_id)
        if sender is not None:
            sender.acknowledges = True
        delivery = self._open.get(event.nonce)
        if delivery is None or event.daemon_id not in delivery.waiting:
            return
        delivery.waiting.discard(event.daemon_id)
        delivery.acknowledgements += 1
        if delivery.acknowledgements >= delivery.wanted:
            del self._open[event.nonce]
        self._complement(delivery, event, now)
        batch = delivery.batch
        if batch is None:
            return
        batch.acknowledged = True
        if delivery.acknowledgements == delivery.needed:
            batch.unconfirmed -= 1
            if not batch.unconfirmed:
                self._end(batch, confirmed=True)

    def tick(self, now: datetime.datetime) -> None:
        """Repeat what is not acknowledged and report what is overdue."""
        for nonce, delivery in list(self._open.items()):
            wait = min(
                RETRY_AFTER * 2 ** (delivery.sends - 1), MAX_RETRY_AFTER
            )
            if now - delivery.started_at > RETRY_PERIOD:
                del self._open[nonce]
            elif now - delivery.sent_at >= wait:
                self._retry(delivery, now)
        for batch in list(self._batches):
            batch.ticks += 1
            if batch.ticks >= REPORT_TICKS:
                confirmed = batch.acknowledged or self._lacks_acks(batch, now)
                self._end(batch, confirmed=confirmed)

    def _lacks_acks(self, batch: Batch, now: datetime.datetime) -> bool:
        """Return whether only daemons that acknowledge nothing got a batch.

        Those of an earlier build don't. They have it if this daemon is not
        cut off, which the answers to its probes show.
        """
        for daemon_id in batch.receivers:
            known = self._daemon_table.get(daemon_id)
            if known is not None and known.acknowledges:
                return False
        answered_at = self._daemon_table.last_answer_at
        return answered_at is not None and now - answered_at <= ANSWER_PERIOD

    def _complement(
        self,
        delivery: _Delivery,
        event: messages.GossipAck,
        now: datetime.datetime,
    ) -> None:
        """Send to the daemons of a span that its relay does not know.

        A relay may lack some while a fleet starts.
        """
        span = delivery.gossip.span
        if span in NO_RELAY_SPANS or not event.members:
            return
        covered = {*delivery.covered, *event.members}
        missed = [
            known
            for known in self._daemon_table.ring(span)
            if known.ring_hash not in covered
        ]
        delivery.covered = covered | {known.ring_hash for known in missed}
        gossip = msgspec.structs.replace(delivery.gossip, span=None)
        self.send_to_all(missed, gossip, now, None)

    def _end(self, batch: Batch, *, confirmed: bool) -> None:
        if batch in self._batches:
            self._batches.remove(batch)
            batch.report(confirmed)

    def _select_relays(
        self, members: list[daemons.KnownDaemon]
    ) -> tuple[list[daemons.KnownDaemon], list[daemons.KnownDaemon]]:
        """Return relays, of different zones if possible, and the others."""
        candidates = self._rng.sample(members, len(members))
        candidates.sort(
            key=lambda known: (
                known.daemon.state is not messages.DaemonState.ALIVE
            )
        )
        relays = candidates[:1]
        for zone_differs in (True, False):
            for known in candidates:
                if len(relays) == RELAYS:
                    break
                differs = known.daemon.zone != relays[0].daemon.zone
                if known not in relays and differs is zone_differs:
                    relays.append(known)
        return relays, [known for known in candidates if known not in relays]

    def _send_new(
        self,
        receivers: list[daemons.KnownDaemon],
        gossip: messages.Gossip,
        now: datetime.datetime,
        batch: Batch | None,
        *,
        others: list[daemons.KnownDaemon],
        needed: int,
        wanted: int,
    ) -> None:
        nonce = next(self._nonces)
        gossip = msgspec.structs.replace(
            gossip, reply_to=self._daemon_table.own.address, nonce=nonce
        )
        self._open[nonce] = _Delivery(
            gossip=gossip,
            waiting={known.daemon.daemon_id for known in receivers},
            others=others,
            needed=needed,
            wanted=wanted,
            started_at=now,
            sent_at=now,
            batch=batch,
        )
        if batch is not None:
            batch.unconfirmed += 1
            batch.receivers.update(self._open[nonce].waiting)
        for known in receivers:
            self._send(known.daemon.address, gossip)

    def _retry(self, delivery: _Delivery, now: datetime.datetime) -> None:
        delivery.sends += 1
        delivery.sent_at = now
        if delivery.others:
            count = RELAYS ** (delivery.sends - 1)
            added = delivery.others[:count]
            del delivery.others[:count]
            receivers = [known.daemon.daemon_id for known in added]
            delivery.waiting.update(receivers)
            if delivery.batch is not None:
                delivery.batch.receivers.update(receivers)
        else:
            receivers = sorted(delivery.waiting)
        for daemon_id in receivers:
            known = self._daemon_table.get(daemon_id)
            if known is not None:
                self._send(known.daemon.address, delivery.gossip)

    def _send(self, address: str, gossip: messages.Gossip) -> None:
        self._outbox.send(address, gossip, urgent=True)
