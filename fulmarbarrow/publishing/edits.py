"""What turns one document into the next, for documents of many records.

Load pattern: changes in quick succession to a document of a thousand routes.
A control host's link carries the edits to all others at once; whole
documents would queue there for seconds.
"""

from __future__ import annotations

import msgspec

from fulmarbarrow.publishing import packing

# Between two records of a list in JSON.
SEPARATOR = b"},{"


class Copy(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Records ``first`` up to, not including, ``end`` of the base."""

    first: int
    end: int


class Insert(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """New records."""

    records: tuple[bytes, ...]


Steps = tuple[Copy | Insert, ...]


def edit(base: bytes, data: bytes) -> bytes:
    """Return the packed steps that make ``data`` from ``base``."""
    return packing.pack(msgspec.msgpack.encode(steps(base, data)))


def apply(base: bytes, packed: bytes) -> bytes:
    """Return the document that packed steps make from ``base``."""
    decoded = msgspec.msgpack.decode(packing.unpack(packed), type=Steps)
    before = base.split(SEPARATOR)
    records: list[bytes] = []
    for step in decoded:
        if isinstance(step, Copy):
            records.extend(before[step.first : step.end])
        else:
            records.extend(step.records)
    return SEPARATOR.join(records)


def steps(base: bytes, data: bytes) -> Steps:
    """Return the steps that make ``data`` from ``base``.

    They need not be the fewest: the time is linear in the records, where the
    standard library's matcher takes a second for 1,700 that are much alike.
    """
    before = base.split(SEPARATOR)
    places = {record: i for i, record in reversed(list(enumerate(before)))}
    found: list[Copy | Insert] = []
    next_place = 0
    for record in data.split(SEPARATOR):
        place = _place(record, before, places, next_place)
        _add(found, record, place)
        if place is not None:
            next_place = place + 1
    return tuple(found)


def _place(
    record: bytes, before: list[bytes], places: dict[bytes, int], near: int
) -> int | None:
    """Return where the base has a record: near ``near``, else anywhere.

    The record after a changed one follows one place later.
    """
    for place in (near, near + 1):
        if before[place : place + 1] == [record]:
            return place
    return places.get(record)


def _add(steps: list[Copy | Insert], record: bytes, place: int | None) -> None:
    """Add a record to the steps, to the last one where it continues that."""
    last = steps[-1] if steps else None
    if place is None and isinstance(last, Insert):
        steps[-1] = Insert((*last.records, record))
    elif place is None:
        steps.append(Insert((record,)))
    elif isinstance(last, Copy) and last.end == place:
        steps[-1] = Copy(last.first, place + 1)
    else:
        steps.append(Copy(place, place + 1))
