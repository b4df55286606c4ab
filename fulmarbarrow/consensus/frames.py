"""Checksummed frames within a segment file."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import struct

import msgspec
import xxhash

from fulmarbarrow.consensus import records
from fulmarbarrow import exceptions

MAGIC = b"FMB1"
# Magic, payload length, frame number, checksum.
HEADER = struct.Struct(">4sIQQ")
MAX_PAYLOAD_BYTES = 64 << 20


class Write(records.Record, frozen=True, kw_only=True, array_like=True):
    """A stored write of the log.

    ``reset_index`` is set if a snapshot at that index replaced the whole log.
    """

    ballot: records.Ballot | None = None
    entries: tuple[records.Entry, ...] = ()
    reset_index: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Frame:
    """The writes of one sync; ``end`` is the offset after the frame."""

    number: int
    end: int
    writes: tuple[Write, ...]


_DECODER = msgspec.msgpack.Decoder(tuple[Write, ...])


def encode(number: int, writes: tuple[Write, ...]) -> bytes:
    """Return an encoded frame."""
    payload = msgspec.msgpack.encode(writes)
    checksum = _checksum(number, payload)
    return HEADER.pack(MAGIC, len(payload), number, checksum) + payload


def read(
    path: pathlib.Path, data: bytes, *, last: bool
) -> collections.abc.Iterator[Frame]:
    """Yield the frames of a segment.

    A damaged frame at the end of the last segment is a write torn by a crash
    and is ignored. A damaged frame raises CorruptLogError in an earlier
    segment or before a valid frame.
    """
    offset = 0
    while offset < len(data):
        frame = _frame_at(data, offset)
        if frame is None:
            if last and not _has_valid_frame_after(data, offset):
                return
            reason = f"{path} is damaged at offset {offset}"
            raise exceptions.CorruptLogError(reason)
        yield frame
        offset = frame.end


def _frame_at(data: bytes, offset: int) -> Frame | None:
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, number, checksum = HEADER.unpack_from(data, offset)
    end = start + length
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(number, payload) != checksum:
        return None
    try:
        writes = _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None
    return Frame(number=number, end=end, writes=writes)


def _has_valid_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a valid frame starts anywhere after ``offset``."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _frame_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _checksum(number: int, payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(payload, seed=number)
