"""What turns one document into the next, for documents of many records.

Load pattern: changes in quick succession to a document of a thousand routes.
A control host's link carries the edits to all others at once; whole
documents would queue there for seconds.
"""

from __future__ import annotations

import difflib

import msgspec

# Between two records of a list in JSON.
SEPARATOR = b"},{"


class Copy(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Records ``first`` up to, not including, ``end`` of the base."""

    first: int
    end: int


class Insert(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """New records."""

    records: tuple[bytes, ...]


Edit = tuple[Copy | Insert, ...]


def edit(base: bytes, data: bytes) -> Edit:
    """Return the steps that make ``data`` from ``base``."""
    before, after = base.split(SEPARATOR), data.split(SEPARATOR)
    matcher = difflib.SequenceMatcher(None, before, after, autojunk=False)
    steps: list[Copy | Insert] = []
    for kind, first, end, new_first, new_end in matcher.get_opcodes():
        if kind == "equal":
            steps.append(Copy(first, end))
        elif new_first < new_end:
            steps.append(Insert(tuple(after[new_first:new_end])))
    return tuple(steps)


def apply(base: bytes, steps: Edit) -> bytes:
    """Return the document that ``steps`` make from ``base``."""
    before = base.split(SEPARATOR)
    records: list[bytes] = []
    for step in steps:
        if isinstance(step, Copy):
            records.extend(before[step.first : step.end])
        else:
            records.extend(step.records)
    return SEPARATOR.join(records)
