"""Index of record versions with digests, for anti-entropy between daemons."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import struct

import xxhash

from fulmarbarrow.membership import messages

DAEMON_BUCKETS = 8
UPSTREAM_BUCKETS = 64
BUCKET_COUNT = DAEMON_BUCKETS + UPSTREAM_BUCKETS

_DIGEST_INPUT = struct.Struct("<QQQQ")

Version = tuple[int, int, int]


class Kind(enum.StrEnum):
    """The kind of member that a record describes."""

    DAEMON = "d"
    UPSTREAM = "u"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IndexedRecord:
    """The version of a member's record; a tombstone is not ``live``."""

    kind: Kind
    member_id: str
    version: Version
    live: bool


def member_key(kind: Kind, member_id: str) -> int:
    """Return the 64-bit key of a member."""
    return xxhash.xxh3_64_intdigest(f"{kind.value}\0{member_id}".encode())


def bucket_for(kind: Kind, key: int) -> int:
    """Return the bucket of a key; daemon buckets precede upstream buckets."""
    if kind is Kind.DAEMON:
        return key % DAEMON_BUCKETS
    return DAEMON_BUCKETS + key % UPSTREAM_BUCKETS


class RecordIndex:
    """Record versions, partitioned into buckets with a digest each.

    A digest is the XOR of the hashes of its records. It covers live records
    only: daemons drop tombstones at different times, which must not trigger a
    synchronization.
    """

    def __init__(self) -> None:
        self._buckets: list[dict[int, IndexedRecord]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._bucket_digests = [0] * BUCKET_COUNT
        self._root_digest = 0

    @property
    def root_digest(self) -> int:
        """The digest of all live records."""
        return self._root_digest

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """The digest of the live records of each bucket."""
        return tuple(self._bucket_digests)

    def put(
        self, kind: Kind, member_id: str, version: Version, *, live: bool
    ) -> None:
        """Set the version of a member's record."""
        key = member_key(kind, member_id)
        bucket = bucket_for(kind, key)
        self._discard(bucket, key)
        record = IndexedRecord(
            kind=kind, member_id=member_id, version=version, live=live
        )
        self._buckets[bucket][key] = record
        if live:
            self._toggle_digest(bucket, key, version)

    def remove(self, kind: Kind, member_id: str) -> None:
        """Remove the record of a member."""
        key = member_key(kind, member_id)
        self._discard(bucket_for(kind, key), key)

    def find(self, key: int) -> IndexedRecord | None:
        """Return the record with the given key, or None."""
        for kind in Kind:
            record = self._buckets[bucket_for(kind, key)].get(key)
            if record is not None:
                return record
        return None

    def record_versions(
        self, bucket: int
    ) -> tuple[messages.RecordVersion, ...]:
        """Return the key and version of every record in a bucket."""
        return tuple(
            messages.RecordVersion(key=key, version=record.version)
            for key, record in self._buckets[bucket].items()
        )

    def compare(
        self,
        bucket: int,
        remote: collections.abc.Iterable[messages.RecordVersion],
    ) -> tuple[list[IndexedRecord], list[int]]:
        """Compare a bucket with a peer's versions of it.

        Returns the local records that are newer, and the keys of which the
        peer has a newer version. A tombstone does not count as newer if the
        peer never had the record.
        """
        local = self._buckets[bucket]
        versions = {entry.key: entry.version for entry in remote}
        newer = [
            record
            for key, record in local.items()
            if _is_newer(record, versions.get(key))
        ]
        wanted = [
            key
            for key, version in versions.items()
            if key not in local or local[key].version < version
        ]
        return newer, wanted

    def _discard(self, bucket: int, key: int) -> None:
        record = self._buckets[bucket].pop(key, None)
        if record is not None and record.live:
            self._toggle_digest(bucket, key, record.version)

    def _toggle_digest(self, bucket: int, key: int, version: Version) -> None:
        record_hash = xxhash.xxh3_64_intdigest(
            _DIGEST_INPUT.pack(key, *version)
        )
        self._bucket_digests[bucket] ^= record_hash
        self._root_digest ^= record_hash


def _is_newer(record: IndexedRecord, version: Version | None) -> bool:
    if version is None:
        return record.live
    return record.version > version
