"""Stores a replicated log in segment files and a snapshot."""

from __future__ import annotations

import dataclasses
import os
import pathlib

import msgspec
import xxhash

from fulmarbarrow.consensus import files
from fulmarbarrow.consensus import frames
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import exceptions

SEGMENT_BYTES = 4 << 20
CHECKSUM_BYTES = 8
SNAPSHOT_NAME = "snapshot"


@dataclasses.dataclass(kw_only=True)
class Segment:
    """A segment file and the highest entry index in it."""

    path: pathlib.Path
    size: int
    highest_index: int = 0


class LogStorage:
    """The stored log of one group.

    The constructor raises CorruptLogError for damage that is not a write torn
    by a crash.
    """

    def __init__(
        self, *, folder: pathlib.Path, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        files.make_folder(folder)
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._ballot = records.Ballot()
        self._snapshot = self._read_snapshot()
        self._entries: list[records.Entry] = []
        self._segments: list[Segment] = []
        self._next_frame = 1
        self._failed = False
        for path in sorted(folder.glob("*.tmp")):
            path.unlink()
        self._read_segments()
        self._descriptor: int | None = None
        if self._segments:
            self._open_last_segment()

    @property
    def formed(self) -> bool:
        """Whether the folder contains a log."""
        return self._snapshot is not None

    @property
    def _snapshot_index(self) -> int:
        return self._snapshot.index if self._snapshot else 0

    @property
    def size_bytes(self) -> int:
        """The total size of all segments."""
        return sum(segment.size for segment in self._segments)

    def stored(self) -> state.StoredState:
        """Return the stored state and release the entries from memory."""
        entries, self._entries = self._entries, []
        return state.StoredState(
            ballot=self._ballot,
            snapshot=self._snapshot,
            entries=tuple(entries),
        )

    def write(self, batch: list[messages.Persist]) -> None:
        """Write and sync a batch; it is stored as a whole or raises an error.

        After StorageFullError the same batch can be written again. After any
        other StorageError all writes fail until the process restarts, as the
        contents of the disk are unknown after a failed sync.
        """
        if self._failed:
            reason = f"{self._folder}: an earlier write failed"
            raise exceptions.StorageError(reason)
        try:
            self._write(batch)
        except exceptions.StorageFullError:
            raise
        except exceptions.StorageError:
            self._failed = True
            raise

    def close(self) -> None:
        """Close the files."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _write(self, batch: list[messages.Persist]) -> None:
        # The snapshot is synced first, as a crash must not leave a log that
        # was reset, or whose segments were deleted, without it.
        snapshot = None
        for persist in batch:
            snapshot = persist.snapshot or snapshot
        if snapshot is not None:
            self._write_snapshot(snapshot)
        writes = tuple(
            frames.Write(
                ballot=persist.ballot,
                entries=persist.entries,
                reset_index=(
                    persist.snapshot.index
                    if persist.reset and persist.snapshot
                    else None
                ),
            )
            for persist in batch
            if persist.ballot or persist.entries or persist.reset
        )
        if writes:
            self._append(writes)
        if snapshot is not None:
            self._delete_segments(snapshot.index)

    def _append(self, writes: tuple[frames.Write, ...]) -> None:
        if not self._segments or self._segments[-1].size > self._segment_bytes:
            self._start_segment()
        segment = self._segments[-1]
        if not segment.size:
            header = frames.Write(ballot=self._ballot)
            self._write_frame(segment, (header,))
        if writes:
            self._write_frame(segment, writes)
        for write in writes:
            if write.ballot is not None:
                self._ballot = write.ballot
            if write.entries:
                segment.highest_index = max(
                    segment.highest_index, write.entries[-1].index
                )

    def _write_frame(
        self, segment: Segment, writes: tuple[frames.Write, ...]
    ) -> None:
        frame = frames.encode(self._next_frame, writes)
        descriptor = self._descriptor
        if descriptor is None:
            raise exceptions.StorageError(f"{segment.path} is closed")
        try:
            with files.storage_errors(segment.path):
                view = memoryview(frame)
                while view:
                    view = view[os.write(descriptor, view) :]
                os.fdatasync(descriptor)
        except exceptions.StorageFullError:
            # The kernel may mark pages that it failed to write as clean, so
            # that a second sync would not write them; they are written anew.
            with files.storage_errors(segment.path):
                os.ftruncate(descriptor, segment.size)
            raise
        segment.size += len(frame)
        self._next_frame += 1

    def _start_segment(self) -> None:
        """Start a segment.

        Its first frame repeats the ballot, so older segments can be deleted.
        """
        number = self._next_frame
        path = self._folder / f"{number:016d}.log"
        # The last segment stays in use where the disk has no room for another.
        with files.storage_errors(path):
            descriptor = os.open(
                path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600
            )
            try:
                files.sync_folder(self._folder)
            except OSError:
                os.close(descriptor)
                # With a later segment, a torn end of this one is damage.
                path.unlink(missing_ok=True)
                raise
        self.close()
        self._descriptor = descriptor
        segment = Segment(path=path, size=path.stat().st_size)
        if not self._segments or self._segments[-1].path != path:
            self._segments.append(segment)

    def _open_last_segment(self) -> None:
        path = self._segments[-1].path
        with files.storage_errors(path):
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)

    def _delete_segments(self, index: int) -> None:
        if self._segments and self._segments[-1].highest_index <= index:
            self._start_segment()
            self._append(())
        with files.storage_errors(self._folder):
            while (
                len(self._segments) > 1
                and self._segments[0].highest_index <= index
            ):
                self._segments.pop(0).path.unlink()
            files.sync_folder(self._folder)

    def _write_snapshot(self, snapshot: records.Snapshot) -> None:
        data = msgspec.msgpack.encode(snapshot)
        checksum = xxhash.xxh3_64_digest(data)
        files.replace(self._folder / SNAPSHOT_NAME, checksum + data)
        self._snapshot = snapshot

    def _read_snapshot(self) -> records.Snapshot | None:
        path = self._folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        with files.storage_errors(path):
            data = path.read_bytes()
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if xxhash.xxh3_64_digest(body) != checksum:
            reason = f"{path} is damaged at offset 0"
            raise exceptions.CorruptLogError(reason)
        return msgspec.msgpack.decode(body, type=records.Snapshot)

    def _read_segments(self) -> None:
        paths = sorted(self._folder.glob("*.log"))
        for path in paths:
            self._read_segment(path, last=path == paths[-1])
        if self._snapshot is None:
            if self._entries:
                reason = f"{self._folder / SNAPSHOT_NAME} is missing"
                raise exceptions.CorruptLogError(reason)
            return
        self._entries = self._entries_after_snapshot(self._snapshot)

    def _read_segment(self, path: pathlib.Path, *, last: bool) -> None:
        with files.storage_errors(path):
            data = path.read_bytes()
        segment = Segment(path=path, size=0)
        self._segments.append(segment)
        for frame in frames.read(path, data, last=last):
            first = not segment.size and len(self._segments) == 1
            if frame.number != self._next_frame and not first:
                reason = (
                    f"{path} lacks frame {self._next_frame} "
                    f"at offset {segment.size}"
                )
                raise exceptions.CorruptLogError(reason)
            self._next_frame = frame.number + 1
            for write in frame.writes:
                self._replay(write, segment)
            segment.size = frame.end
        if segment.size < len(data):
            with files.storage_errors(path):
                os.truncate(path, segment.size)
                descriptor = os.open(path, os.O_RDWR)
                os.fsync(descriptor)
                os.close(descriptor)

    def _replay(self, write: frames.Write, segment: Segment) -> None:
        if write.ballot is not None:
            self._ballot = write.ballot
        if write.reset_index is not None:
            self._entries = []
        if not write.entries:
            return
        first = write.entries[0].index
        if self._entries:
            retained = first - self._entries[0].index
            if retained > len(self._entries):
                # Entries may be missing only where the snapshot covers them.
                if first > self._snapshot_index + 1:
                    reason = f"{segment.path} lacks entries before {first}"
                    raise exceptions.CorruptLogError(reason)
                retained = 0
            del self._entries[max(0, retained) :]
        self._entries.extend(write.entries)
        segment.highest_index = max(
            segment.highest_index, write.entries[-1].index
        )

    def _entries_after_snapshot(
        self, snapshot: records.Snapshot
    ) -> list[records.Entry]:
        """Return the entries after the snapshot.

        If the entry at the snapshot's index has another term, the host crashed
        after it wrote the snapshot and before it reset the old log; the old
        entries are ignored.
        """
        for entry in self._entries:
            if entry.index == snapshot.index and entry.term != snapshot.term:
                return []
        later = [
            entry for entry in self._entries if entry.index > snapshot.index
        ]
        if later and later[0].index != snapshot.index + 1:
            reason = (
                f"{self._folder} lacks entry {snapshot.index + 1} "
                f"after its snapshot"
            )
            raise exceptions.CorruptLogError(reason)
        return later
