"""Bounded history of the deltas between revisions."""

from __future__ import annotations

import collections.abc

from fulmarbarrow.publishing import messages

MAX_DELTAS = 64
MAX_BYTES = 256 << 10


class History:
    """Consecutive deltas, the newest last."""

    def __init__(
        self, *, deltas: collections.abc.Iterable[messages.Delta] = ()
    ) -> None:
        self._deltas = list(deltas)
        self._bytes = sum(len(delta.changed) for delta in self._deltas)

    @property
    def deltas(self) -> tuple[messages.Delta, ...]:
        """All retained deltas."""
        return tuple(self._deltas)

    def add(self, delta: messages.Delta) -> None:
        """Append a delta; after a gap, the earlier ones are dropped."""
        if self._deltas and self._deltas[-1].base + 1 != delta.base:
            self._deltas = []
            self._bytes = 0
        self._deltas.append(delta)
        self._bytes += len(delta.changed)
        while self._deltas and (
            len(self._deltas) > MAX_DELTAS or self._bytes > MAX_BYTES
        ):
            self._bytes -= len(self._deltas.pop(0).changed)

    def after(self, revision: int) -> tuple[messages.Delta, ...] | None:
        """Return the deltas after ``revision``, None if any was dropped."""
        if not self._deltas:
            return None
        first = self._deltas[0].base
        if not first <= revision <= self._deltas[-1].base:
            return None
        return tuple(self._deltas[revision - first :])
