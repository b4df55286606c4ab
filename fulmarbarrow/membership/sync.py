"""Anti-entropy: finds and repairs differences between two daemons."""

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
CROSS_REGION_PERIOD = datetime.timedelta(seconds=10)
MAX_BOOTSTRAP_PEERS = 16
PACKET_BYTES = 4_000  # about 40 records; compresses to a quarter
# If more buckets differ, the records themselves are sent: many compressed
# records take fewer bytes than the list of their versions.
MAX_LISTED_BUCKETS = 4
MAX_DIRECT_RECORDS = 256  # maximum number of records sent without a listing
# When many daemons start at the same time, the first peers of a new daemon
# have few records themselves. Until its digest matches that of a peer, it
# therefore compares with another peer every period.
STARTUP_PHASE = datetime.timedelta(seconds=10)
STARTUP_SYNC_PERIOD = datetime.timedelta(seconds=1)
MAX_QUEUED_RECORDS = 20_000

FindRecord = collections.abc.Callable[
    [records.IndexedRecord], broadcast.Change | None
]


class AntiEntropy:
    """Compares digests with peers and exchanges the records that differ.

    Probes carry a digest of all records. If it differs and no broadcast is in
    progress, the bucket digests are compared, then the record versions in
    differing buckets, and only newer records are sent. If many buckets
    differ, the records of some of them are sent without comparing versions.
    Records are queued until the byte rate permits them, so that a healed
    partition does not cause a burst of traffic.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        index: records.RecordIndex,
        outbox: outboxes.Outbox,
        rng: random.Random,
        find_record: FindRecord,
    ) -> None:
        self._daemon_table = daemon_table
        self._index = index
        self._outbox = outbox
        self._rng = rng
        self._find_record = find_record
        self._last_sync: datetime.datetime | None = None
        self._next_cross_region: datetime.datetime | None = None
        self._started_at: datetime.datetime | None = None
        self._next_startup_sync: datetime.datetime | None = None
        self._in_sync = False
        self._queued_records: collections.OrderedDict[
            tuple[str, str], records.IndexedRecord
        ] = collections.OrderedDict()
        self._listings: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @property
    def queued_count(self) -> int:
        """The number of queued records."""
        return len(self._queued_records)

    def compare_digest(
        self, address: str, digest: int, now: datetime.datetime, *, busy: bool
    ) -> None:
        """Start a comparison with a peer if its digest differs.

        ``busy`` says that changes are being broadcast, which may explain the
        difference; comparisons are then less frequent.
        """
        self._in_sync = digest == self._index.root_digest
        if self._in_sync or self._outbox.available_bytes <= 0:
            return
        period = BUSY_SYNC_PERIOD if busy else SYNC_PERIOD
        if self._last_sync is None:
            self._last_sync = now
        if now - self._last_sync < period:
            return
        self._last_sync = now
        self._send_digests(address, 0, self._index.bucket_digests)

    def tick(self, now: datetime.datetime) -> None:
        """Send queued records and compare daemons with another region."""
        self._drain()
        self._compare_during_startup(now)
        if self._next_cross_region is None:
            self._next_cross_region = (
                now + self._rng.random() * CROSS_REGION_PERIOD
            )
        if now < self._next_cross_region:
            return
        self._next_cross_region = now + CROSS_REGION_PERIOD
        remote_daemons = [
            known
            for known in self._daemon_table.others
            if known.reachable
            and known.daemon.region != self._daemon_table.own.region
        ]
        if remote_daemons:
            daemon = self._rng.choice(remote_daemons).daemon
            digests = self._index.bucket_digests[: records.DAEMON_BUCKETS]
            self._send_digests(daemon.address, 0, digests)

    def _compare_during_startup(self, now: datetime.datetime) -> None:
        """Compare with a random peer each period during startup."""
        if self._started_at is None or self._next_startup_sync is None:
            self._started_at = now
            self._next_startup_sync = (
                now + self._rng.random() * STARTUP_SYNC_PERIOD
            )
        starting = now - self._started_at < STARTUP_PHASE
        if self._in_sync or not starting or self._outbox.available_bytes <= 0:
            return
        if now < self._next_startup_sync:
            return
        peers = self._daemon_table.peers()
        if peers:
            self._next_startup_sync = now + STARTUP_SYNC_PERIOD
            address = self._rng.choice(peers).daemon.address
            self._send_digests(address, 0, self._index.bucket_digests)

    def bootstrap(self, addresses: list[str]) -> None:
        """Request all records from several peers, some buckets from each."""
        peer_count = min(MAX_BOOTSTRAP_PEERS, len(addresses))
        if not peer_count:
            return
        digests = self._index.bucket_digests
        chunk_size = -(-len(digests) // peer_count)
        for number, address in enumerate(addresses[:peer_count]):
            first = number * chunk_size
            chunk = digests[first : first + chunk_size]
            if chunk:
                self._send_digests(address, first, chunk)

    def handle_digest(self, event: messages.SyncDigest) -> None:
        """Reply with the records or versions in buckets that differ."""
        end = event.first + len(event.digests)
        local = self._index.bucket_digests[event.first : end]
        differing = [
            event.first + offset
            for offset, (local_digest, remote_digest) in enumerate(
                zip(local, event.digests, strict=False)
            )
            if local_digest != remote_digest
        ]
        missing_remotely = [
            bucket
            for bucket in differing
            if event.digests[bucket - event.first] == 0
        ]
        for bucket in missing_remotely:
            newer, _ = self._index.compare(bucket, ())
            self._enqueue(event.reply_to, newer)
        remaining = [
            bucket for bucket in differing if bucket not in missing_remotely
        ]
        self._rng.shuffle(remaining)
        remaining.sort(key=lambda bucket: bucket >= records.DAEMON_BUCKETS)
        if len(remaining) > MAX_LISTED_BUCKETS:
            self._enqueue_buckets(event.reply_to, remaining)
            if not event.answers:
                self._send_digests(
                    event.reply_to, event.first, tuple(local), answers=True
                )
        else:
            for bucket in remaining:
                self._listings[event.reply_to, bucket] = None
        self._drain()

    def handle_listing(self, event: messages.SyncListing) -> None:
        """Send records that are newer here, request those newer there."""
        newer, wanted = self._index.compare(event.bucket, event.entries)
        self._enqueue(event.reply_to, newer)
        if wanted:
            self._outbox.send(
                event.reply_to,
                messages.SyncWanted(
                    reply_to=self._daemon_table.own.address, keys=tuple(wanted)
                ),
            )
        self._drain()

    def handle_request(self, event: messages.SyncWanted) -> None:
        """Send the records that a peer requested."""
        indexed_records = [self._index.find(key) for key in event.keys]
        self._enqueue(
            event.reply_to,
            [record for record in indexed_records if record is not None],
        )
        self._drain()

    def request_upstream(self, address: str, upstream_id: str) -> None:
        """Request an upstream's record from a peer."""
        key = records.member_key(records.Kind.UPSTREAM, upstream_id)
        self._outbox.send(
            address,
            messages.SyncWanted(
                reply_to=self._daemon_table.own.address, keys=(key,)
            ),
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
                reply_to=self._daemon_table.own.address,
                first=first,
                digests=digests,
                answers=answers,
            ),
        )

    def _enqueue_buckets(self, address: str, buckets: list[int]) -> None:
        """Queue the records of buckets, up to ``MAX_DIRECT_RECORDS``."""
        count = 0
        for bucket in buckets:
            indexed_records, _ = self._index.compare(bucket, ())
            self._enqueue(address, indexed_records)
            count += len(indexed_records)
            if count >= MAX_DIRECT_RECORDS:
                return

    def _enqueue(
        self, address: str, indexed_records: list[records.IndexedRecord]
    ) -> None:
        for record in indexed_records:
            if len(self._queued_records) >= MAX_QUEUED_RECORDS:
                return
            record_key = f"{record.kind.value}{record.member_id}"
            self._queued_records[address, record_key] = record

    def _drain(self) -> None:
        while self._outbox.available_bytes > 0 and self._listings:
            (address, bucket), _ = self._listings.popitem(last=False)
            self._outbox.send(
                address,
                messages.SyncListing(
                    reply_to=self._daemon_table.own.address,
                    bucket=bucket,
                    entries=self._index.record_versions(bucket),
                ),
            )
        while self._outbox.available_bytes > 0 and self._queued_records:
            self._send_packet()

    def _send_packet(self) -> None:
        """Send one packet to the peer whose records were queued first."""
        receiver = next(iter(self._queued_records))[0]
        size = 0
        packet_records = []
        for address, record_key in list(self._queued_records):
            if address != receiver:
                continue
            indexed_record = self._queued_records.pop((address, record_key))
            record = self._find_record(indexed_record)
            if record is None:
                continue
            packet_records.append(record)
            size += self._outbox.size(record)
            if size >= PACKET_BYTES:
                break
        if packet_records:
            self._outbox.send(
                receiver, broadcast.build_gossip(packet_records, syncs=True)
            )
