"""Anti-entropy: finds and mends differences between two daemons."""

from __future__ import annotations

import collections
import collections.abc
import datetime
import random

from fulmarbarrow.membership import broadcast
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import records

SYNC_PERIOD = datetime.timedelta(seconds=1)
BUSY_SYNC_PERIOD = datetime.timedelta(seconds=3)
FAR_PERIOD = datetime.timedelta(seconds=10)
JOIN_SLICES = 16
PACKET_BYTES = 4_000  # some 40 records, a quarter of it once packed
# With more differing buckets than that the records themselves are sent: many
# of them packed take fewer bytes than a listing of their versions.
LISTED_BUCKETS = 4
DIRECT_RECORDS = 256  # at most, in one answer
# Where many daemons start at once, nobody that a newcomer finds knows much
# yet; each asks another one every period until its fleet has settled.
START_PHASE = datetime.timedelta(seconds=10)
START_PERIOD = datetime.timedelta(seconds=1)
MAX_WAITING = 20_000

Fetch = collections.abc.Callable[[records.Record], broadcast.Body | None]


class Sync:
    """Compares digests with peers and exchanges what differs.

    Probes carry the digest of all records. Where it differs while no change
    is on its way, the digests of the buckets are compared, then the versions
    in differing buckets, and only newer records are sent; where many differ,
    the records of some. Records wait until the byte rate has room, so that a
    healed partition makes no burst.
    """

    def __init__(
        self,
        *,
        table: daemons.DaemonTable,
        index: records.RecordIndex,
        outbox: outboxes.Outbox,
        rng: random.Random,
        fetch: Fetch,
    ) -> None:
        self._table = table
        self._index = index
        self._outbox = outbox
        self._rng = rng
        self._fetch = fetch
        self._last_sync: datetime.datetime | None = None
        self._next_far: datetime.datetime | None = None
        self._started_at: datetime.datetime | None = None
        self._next_start: datetime.datetime | None = None
        self._settled = False
        self._waiting: collections.OrderedDict[
            tuple[str, str], records.Record
        ] = collections.OrderedDict()
        self._listings: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @property
    def waiting(self) -> int:
        """The number of records that wait to be sent."""
        return len(self._waiting)

    def seen(
        self, address: str, digest: int, now: datetime.datetime, *, busy: bool
    ) -> None:
        """Compare with a peer whose digest of all records is known."""
        self._settled = digest == self._index.root
        if self._settled or self._outbox.room <= 0:
            return
        period = BUSY_SYNC_PERIOD if busy else SYNC_PERIOD
        if self._last_sync is None:
            self._last_sync = now
        if now - self._last_sync < period:
            return
        self._last_sync = now
        self._send_digests(address, 0, self._index.digests)

    def tick(self, now: datetime.datetime) -> None:
        """Send what waits and compare daemons with another region."""
        self._drain()
        self._compare_at_start(now)
        if self._next_far is None:
            self._next_far = now + self._rng.random() * FAR_PERIOD
        if now < self._next_far:
            return
        self._next_far = now + FAR_PERIOD
        far = [
            known
            for known in self._table.others
            if known.reachable
            and known.daemon.region != self._table.own.region
        ]
        if far:
            daemon = self._rng.choice(far).daemon
            digests = self._index.digests[: records.DAEMON_BUCKETS]
            self._send_digests(daemon.address, 0, digests)

    def _compare_at_start(self, now: datetime.datetime) -> None:
        """Compare with a random peer now and then soon after the start."""
        if self._started_at is None or self._next_start is None:
            self._started_at = now
            self._next_start = now + self._rng.random() * START_PERIOD
        started = now - self._started_at < START_PHASE
        if self._settled or not started or self._outbox.room <= 0:
            return
        if now < self._next_start:
            return
        peers = self._table.peers()
        if peers:
            self._next_start = now + START_PERIOD
            address = self._rng.choice(peers).daemon.address
            self._send_digests(address, 0, self._index.digests)

    def bootstrap(self, addresses: list[str]) -> None:
        """Get all records from several peers, a slice from each."""
        count = min(JOIN_SLICES, len(addresses))
        if not count:
            return
        digests = self._index.digests
        size = -(-len(digests) // count)
        for number, address in enumerate(addresses[:count]):
            first = number * size
            part = digests[first : first + size]
            if part:
                self._send_digests(address, first, part)

    def digest(self, event: messages.SyncDigest) -> None:
        """Answer with records or versions of buckets that differ."""
        end = event.first + len(event.digests)
        mine = self._index.digests[event.first : end]
        differing = [
            event.first + place
            for place, (ours, theirs) in enumerate(
                zip(mine, event.digests, strict=False)
            )
            if ours != theirs
        ]
        empty = [
            bucket
            for bucket in differing
            if event.digests[bucket - event.first] == 0
        ]
        for bucket in empty:
            newer, _ = self._index.compare(bucket, ())
            self._enqueue(event.reply_to, newer)
        others = [bucket for bucket in differing if bucket not in empty]
        self._rng.shuffle(others)
        others.sort(key=lambda bucket: bucket >= records.DAEMON_BUCKETS)
        if len(others) > LISTED_BUCKETS:
            self._enqueue_buckets(event.reply_to, others)
            if not event.answers:
                self._send_digests(
                    event.reply_to, event.first, tuple(mine), answers=True
                )
        else:
            for bucket in others:
                self._listings[event.reply_to, bucket] = None
        self._drain()

    def listing(self, event: messages.SyncListing) -> None:
        """Send what is newer here and ask for what is newer there."""
        newer, wanted = self._index.compare(event.bucket, event.entries)
        self._enqueue(event.reply_to, newer)
        if wanted:
            self._outbox.send(
                event.reply_to,
                messages.SyncWanted(
                    reply_to=self._table.own.address, keys=tuple(wanted)
                ),
            )
        self._drain()

    def wanted(self, event: messages.SyncWanted) -> None:
        """Send the records that a peer asked for."""
        found = [self._index.find(key) for key in event.keys]
        self._enqueue(
            event.reply_to, [record for record in found if record is not None]
        )
        self._drain()

    def ask(self, address: str, upstream_id: str) -> None:
        """Ask a peer for an upstream's record."""
        key = records.key_of(records.Kind.UPSTREAM, upstream_id)
        self._outbox.send(
            address,
            messages.SyncWanted(reply_to=self._table.own.address, keys=(key,)),
        )

    def _send_digests(
        self,
        address: str,
        first: int,
        digests: tuple[int, ...],
        *,
        answers: bool = False,
    ) -> None:
        self._outbox.send(
            address,
            messages.SyncDigest(
                reply_to=self._table.own.address,
                first=first,
                digests=digests,
                answers=answers,
            ),
        )

    def _enqueue_buckets(self, address: str, buckets: list[int]) -> None:
        """Send all records of some buckets, up to a number of records."""
        count = 0
        for bucket in buckets:
            found, _ = self._index.compare(bucket, ())
            self._enqueue(address, found)
            count += len(found)
            if count >= DIRECT_RECORDS:
                return

    def _enqueue(self, address: str, found: list[records.Record]) -> None:
        for record in found:
            if len(self._waiting) >= MAX_WAITING:
                return
            name = f"{record.kind.value}{record.member_id}"
            self._waiting[address, name] = record

    def _drain(self) -> None:
        while self._outbox.room > 0 and self._listings:
            (address, bucket), _ = self._listings.popitem(last=False)
            self._outbox.send(
                address,
                messages.SyncListing(
                    reply_to=self._table.own.address,
                    bucket=bucket,
                    entries=self._index.entries(bucket),
                ),
            )
        while self._outbox.room > 0 and self._waiting:
            self._send_packet()

    def _send_packet(self) -> None:
        """Send one packet to the peer that waits longest."""
        target = next(iter(self._waiting))[0]
        size = 0
        bodies = []
        for address, name in list(self._waiting):
            if address != target:
                continue
            record = self._waiting.pop((address, name))
            body = self._fetch(record)
            if body is None:
                continue
            bodies.append(body)
            size += self._outbox.size(body)
            if size >= PACKET_BYTES:
                break
        if bodies:
            self._outbox.send(target, broadcast.pack(bodies, syncs=True))
