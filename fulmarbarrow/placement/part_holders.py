"""Table of the engines that hold long parts of prompts, kept by an owner."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime

import xxhash

# A shorter part is prefilled faster than a copy of it is queued and sent.
MIN_TOKENS = 3000
MAX_ENTRIES = 4096  # of one owner
MAX_HOLDERS = 6  # records of one entry, including those of lost parts
MAX_KEYS = 4  # affinity keys of one entry
MAX_REPLY_HOLDERS = 3
# Prefilling a part of 10,000 tokens takes 120 to 160 ms. An engine is no
# source of a part before it has certainly prefilled it.
PREFILL_TIME = datetime.timedelta(milliseconds=300)
# Within this time after a request an engine counts as holding the part, so
# that no copy is made for it. Afterwards it may have evicted the part.
TRUSTED_TIME = datetime.timedelta(seconds=60)
# A copy that fails costs one round trip, so older records are still used as
# sources. They are dropped at this age.
MAX_AGE = datetime.timedelta(minutes=10)

Pool = tuple[str, str, str]


def part_hash(pool: Pool, part: str) -> int:
    """Return the hash that identifies a part of a prompt on the wire.

    Engines of another model or version can't use each other's cache.
    """
    return xxhash.xxh32_intdigest("\0".join((*pool, part)).encode())


def engine_hash(upstream_id: str) -> int:
    """Return the hash that identifies an engine on the wire."""
    return xxhash.xxh32_intdigest(upstream_id.encode())


class EngineIndex:
    """The known engines by the hash that identifies them on the wire."""

    def __init__(self) -> None:
        self._upstream_ids: dict[int, str] = {}

    def add(self, upstream_id: str) -> None:
        """Add an engine."""
        self._upstream_ids[engine_hash(upstream_id)] = upstream_id

    def get(self, engine: int) -> str:
        """Return the id of an engine, "" if it is not known."""
        return self._upstream_ids.get(engine, "")

    def retain(self, known: collections.abc.Container[str]) -> None:
        """Remove the engines that are not known any more."""
        self._upstream_ids = {
            engine: upstream_id
            for engine, upstream_id in self._upstream_ids.items()
            if upstream_id in known
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Whether an engine held a part when it was last used there.

    A record with ``holds`` False keeps an older copy of the entry from adding
    the engine again. From ``ready_at`` on the part can be copied.
    """

    incarnation: int
    used_at: datetime.datetime
    ready_at: datetime.datetime
    holds: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Entry:
    """What is known of one part.

    ``keys`` are the affinity keys of the requests with the part. They select
    the owners that keep the entry; ``copied_to`` are those that have it.
    """

    pool: Pool
    keys: tuple[str, ...] = ()
    holders: dict[int, Holder] = dataclasses.field(default_factory=dict)
    copied_to: frozenset[str] = frozenset()
    copied_at: datetime.datetime | None = None


class PartHolders:
    """Bounded table of entries; the least recently used one is evicted."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[int, Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __iter__(self) -> collections.abc.Iterator[int]:
        """Iterate over the parts, the least recently used one first."""
        return iter(self._entries)

    def get(self, part: int) -> Entry | None:
        """Return the entry of a part without marking it as used."""
        return self._entries.get(part)

    def remove(self, part: int) -> None:
        """Remove the entry of a part."""
        self._entries.pop(part, None)

    def add_key(self, part: int, pool: Pool, key: str) -> bool:
        """Use or create an entry; return whether the key is new to it.

        A part that many chats share is kept for the first few keys only;
        copies for each of the others would cost more than they save.
        """
        entry = self._entries.get(part)
        if entry is None or entry.pool != pool:
            # Another pool's part with the same hash replaces this one.
            entry = self._entries[part] = Entry(pool=pool)
        self._entries.move_to_end(part)
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
        if key in entry.keys or len(entry.keys) >= MAX_KEYS:
            return False
        entry.keys = (*entry.keys, key)
        return True

    def record(self, part: int, engine: int, holder: Holder) -> bool:
        """Record a holder; return whether this is news for other owners.

        An older record, or one of an older incarnation, changes nothing.
        """
        entry = self._entries.get(part)
        if entry is None:
            return False
        known = entry.holders.get(engine)
        if known is not None:
            if (holder.incarnation, holder.used_at) < (
                known.incarnation,
                known.used_at,
            ):
                return False
            if (
                known.holds
                and holder.holds
                and (known.incarnation == holder.incarnation)
            ):
                holder = dataclasses.replace(
                    holder, ready_at=min(known.ready_at, holder.ready_at)
                )
        crowded = len(entry.holders) >= MAX_HOLDERS
        entry.holders[engine] = holder
        if len(entry.holders) > MAX_HOLDERS:
            oldest = min(
                entry.holders, key=lambda item: entry.holders[item].used_at
            )
            del entry.holders[oldest]
        return (
            not crowded
            if known is None
            else known.holds != holder.holds
            or known.incarnation != holder.incarnation
        )

    def forget_engine(self, engine: int) -> None:
        """Drop an engine from all entries, as it has lost its cache."""
        for entry in self._entries.values():
            entry.holders.pop(engine, None)

    def expire(self, part: int, now: datetime.datetime) -> bool:
        """Drop old records of a part; return whether any record is left."""
        entry = self._entries.get(part)
        if entry is None:
            return False
        for engine, holder in list(entry.holders.items()):
            if now - holder.used_at > MAX_AGE:
                del entry.holders[engine]
        return bool(entry.holders)

    def find(
        self,
        parts: collections.abc.Iterable[int],
        target: int | None,
        usable: collections.abc.Callable[[int, int], bool],
        now: datetime.datetime,
    ) -> tuple[int, ...]:
        """Return engines that hold most of the parts, most recent first.

        ``target`` is the engine that the request is placed at, if known. It
        comes first if it holds the parts, even if it still prefills them.
        """
        counts: collections.Counter[int] = collections.Counter()
        used_at: dict[int, datetime.datetime] = {}
        for part in parts:
            entry = self._entries.get(part)
            if entry is None:
                continue
            for engine, holder in entry.holders.items():
                age = now - holder.used_at
                if not holder.holds or age > MAX_AGE:
                    continue
                if engine == target:
                    if age > TRUSTED_TIME:
                        continue
                elif holder.ready_at > now:
                    continue
                if usable(engine, holder.incarnation):
                    counts[engine] += 1
                    used_at[engine] = max(
                        used_at.get(engine, holder.used_at), holder.used_at
                    )
        if not counts:
            return ()
        most = max(counts.values())
        best = [engine for engine, count in counts.items() if count == most]
        best.sort(
            key=lambda engine: (engine == target, used_at[engine]),
            reverse=True,
        )
        return tuple(best[:MAX_REPLY_HOLDERS])
