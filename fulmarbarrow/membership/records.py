"""Versions and digests of all records, for comparison between daemons."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import struct

import xxhash

from fulmarbarrow.membership import messages

DAEMON_BUCKETS = 8
UPSTREAM_BUCKETS = 64
BUCKETS = DAEMON_BUCKETS + UPSTREAM_BUCKETS

_PACKED = struct.Struct("<QQQQ")

Version = tuple[int, int, int]


class Kind(enum.StrEnum):
    """What a record is about."""

    DAEMON = "d"
    UPSTREAM = "u"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """The version of one member's record; ``live`` False for a tombstone."""

    kind: Kind
    member_id: str
    version: Version
    live: bool


def key_of(kind: Kind, member_id: str) -> int:
    """Return the 64-bit key of a member."""
    return xxhash.xxh3_64_intdigest(f"{kind.value}\0{member_id}".encode())


def bucket_of(kind: Kind, key: int) -> int:
    """Return the bucket of a key; daemons come before upstreams."""
    if kind is Kind.DAEMON:
        return key % DAEMON_BUCKETS
    return DAEMON_BUCKETS + key % UPSTREAM_BUCKETS


class RecordIndex:
    """Buckets of record versions with a digest each.

    Only live records count in the digests: daemons forget their tombstones
    at different times, and that alone is no difference worth a message.
    """

    def __init__(self) -> None:
        self._buckets: list[dict[int, Record]] = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._root = 0

    @property
    def root(self) -> int:
        """Digest of all live records."""
        return self._root

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of the live records of each bucket."""
        return tuple(self._digests)

    def put(
        self, kind: Kind, member_id: str, version: Version, *, live: bool
    ) -> None:
        """Set the version of a member's record."""
        key = key_of(kind, member_id)
        bucket = bucket_of(kind, key)
        self._forget(bucket, key)
        record = Record(
            kind=kind, member_id=member_id, version=version, live=live
        )
        self._buckets[bucket][key] = record
        if live:
            self._toggle(bucket, key, version)

    def remove(self, kind: Kind, member_id: str) -> None:
        """Forget a member."""
        key = key_of(kind, member_id)
        self._forget(bucket_of(kind, key), key)

    def find(self, key: int) -> Record | None:
        """Return the record behind a key."""
        for kind in Kind:
            record = self._buckets[bucket_of(kind, key)].get(key)
            if record is not None:
                return record
        return None

    def entries(self, bucket: int) -> tuple[messages.Entry, ...]:
        """Return key and version of every record in a bucket."""
        return tuple(
            messages.Entry(key=key, version=record.version)
            for key, record in self._buckets[bucket].items()
        )

    def compare(
        self, bucket: int, theirs: collections.abc.Iterable[messages.Entry]
    ) -> tuple[list[Record], list[int]]:
        """Return our records newer than theirs, and keys newer there.

        A tombstone is no news to a daemon that never held the record.
        """
        mine = self._buckets[bucket]
        versions = {entry.key: entry.version for entry in theirs}
        newer = [
            record
            for key, record in mine.items()
            if _news(record, versions.get(key))
        ]
        wanted = [
            key
            for key, version in versions.items()
            if key not in mine or mine[key].version < version
        ]
        return newer, wanted

    def _forget(self, bucket: int, key: int) -> None:
        record = self._buckets[bucket].pop(key, None)
        if record is not None and record.live:
            self._toggle(bucket, key, record.version)

    def _toggle(self, bucket: int, key: int, version: Version) -> None:
        value = xxhash.xxh3_64_intdigest(_PACKED.pack(key, *version))
        self._digests[bucket] ^= value
        self._root ^= value


def _news(record: Record, version: Version | None) -> bool:
    if version is None:
        return record.live
    return record.version > version
