"""The in-memory part of the replicated log."""

from __future__ import annotations

import collections.abc

import msgspec

from fulmarbarrow.consensus import records


class Log:
    """Entries after a base index and the configurations they contain."""

    def __init__(
        self,
        *,
        snapshot: records.Snapshot,
        entries: collections.abc.Iterable[records.Entry] = (),
    ) -> None:
        self._reset(snapshot)
        for entry in entries:
            self.append(entry)
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def base_index(self) -> int:
        """The index before the first entry that is still in memory."""
        return self._base_index

    @property
    def configuration(self) -> records.Configuration:
        """The latest configuration, which may not be committed yet."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the latest configuration."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> records.Configuration:
        """Return the configuration in force at ``index``."""
        found = self._configurations[0][1]
        for since, configuration in self._configurations:
            if since <= index:
                found = configuration
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self._base_index:
            return self._base_term
        entry = self.entry(index)
        return entry.term if entry else None

    def entry(self, index: int) -> records.Entry | None:
        """Return an entry, or None if it is not in memory."""
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1]
        return None

    def entries_after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[records.Entry, ...]:
        """Return entries after ``index`` within the limits.

        An entry larger than ``max_bytes`` is returned alone.
        """
        start = index - self._base_index
        batch: list[records.Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def first_index_of_same_term(self, index: int) -> int:
        """Return the first index in memory with the same term as ``index``."""
        term = self.term_at(index)
        while index - 1 > self._base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int) -> int | None:
        """Return the last index with this term, or None."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return None

    def append(self, entry: records.Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind is records.EntryKind.CONFIGURATION:
            configuration = msgspec.msgpack.decode(
                entry.data, type=records.Configuration
            )
            self._configurations.append((entry.index, configuration))

    def truncate(self, index: int) -> None:
        """Remove all entries from ``index`` on."""
        del self._entries[index - self._base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)
        while self._configurations[-1][0] >= index:
            self._configurations.pop()

    def mark_synced(self, index: int, term: int) -> None:
        """Record that the entry with this index and term is on disk."""
        if self.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)

    def compact(self, snapshot: records.Snapshot, keep: int) -> None:
        """Set a newer snapshot and drop the entries before it.

        The last ``keep`` entries stay for followers that lag behind.
        """
        self.snapshot = snapshot
        base = max(self._base_index, snapshot.index - keep)
        term = self.term_at(base)
        if base == self._base_index or term is None:
            return
        configuration = self.configuration_at(base)
        del self._entries[: base - self._base_index]
        self._base_index, self._base_term = base, term
        later = [item for item in self._configurations if item[0] > base]
        self._configurations = [(base, configuration), *later]

    def replace(self, snapshot: records.Snapshot) -> bool:
        """Install a leader's snapshot; returns whether the log was dropped."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.synced_index = max(self.synced_index, snapshot.index)
            self.compact(snapshot, keep=0)
            return False
        self._reset(snapshot)
        return True

    def _reset(self, snapshot: records.Snapshot) -> None:
        self.snapshot = snapshot
        self.synced_index = snapshot.index
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[records.Entry] = []
        self._configurations: list[tuple[int, records.Configuration]] = [
            (snapshot.index, snapshot.configuration)
        ]
