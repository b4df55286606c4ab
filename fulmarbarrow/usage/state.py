"""Replicated state of the usage reports."""

from __future__ import annotations

import msgspec

from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing

MAX_WINDOWS = 64

Command = messages.NamesKept | messages.WindowTotals | messages.WindowsAccepted


class Committed(msgspec.Struct, kw_only=True):
    """The final totals of a window and whether they were accepted."""

    totals: messages.WindowTotals
    accepted: bool = False

    @property
    def window(self) -> int:
        """The number of the window."""
        return self.totals.window


class Windows:
    """Committed windows; the lowest are evicted beyond a limit.

    All decisions depend on the commands alone, so that every host has the
    same windows. Names are kept as long as a window refers to them.
    """

    def __init__(self) -> None:
        self._windows: dict[int, Committed] = {}
        self._names: dict[int, packing.Names] = {}

    def __contains__(self, number: int) -> bool:
        """Return whether the totals of a window are committed."""
        return number in self._windows

    def __iter__(self):
        """Iterate over the windows in ascending order."""
        return iter([self._windows[key] for key in sorted(self._windows)])

    @property
    def lowest(self) -> int | None:
        """The first window that is kept."""
        return min(self._windows, default=None)

    def has_names(self, digest: int) -> bool:
        """Return whether totals can refer to these names."""
        return digest in self._names

    def counts(self, item: Committed) -> messages.Counts:
        """Return the pairs of account and number of requests."""
        totals = item.totals
        try:
            counts = self._names[totals.names].decode(
                packing.decompress(totals.packed), totals.others
            )
        except ValueError:
            return ()
        return tuple(sorted(counts.items()))

    def apply(self, command: Command) -> None:
        """Apply a command."""
        match command:
            case messages.WindowTotals():
                self._add(command)
            case messages.WindowsAccepted():
                for number in command.windows:
                    if number in self._windows:
                        self._windows[number].accepted = True
            case messages.NamesKept():
                self._keep(command)

    def _keep(self, command: messages.NamesKept) -> None:
        """Keep names, and drop those to which no window refers."""
        try:
            names = packing.unpack_names(command.packed)
        except ValueError:
            return
        used = {item.totals.names for item in self._windows.values()}
        self._names = {
            digest: kept
            for digest, kept in self._names.items()
            if digest in used
        }
        self._names[names.digest] = names

    def _add(self, command: messages.WindowTotals) -> None:
        if command.window in self._windows or (
            command.names not in self._names
        ):
            return
        full = len(self._windows) >= MAX_WINDOWS
        if full and command.window < min(self._windows):
            return
        self._windows[command.window] = Committed(totals=command)
        if full:
            del self._windows[min(self._windows)]

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        state = _Snapshot(
            names=tuple(names.pack() for names in self._names.values()),
            windows=tuple(self),
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = _Snapshot()
        if data:
            state = msgspec.msgpack.decode(data, type=_Snapshot)
        kept = map(packing.unpack_names, state.names)
        self._names = {names.digest: names for names in kept}
        self._windows = {item.window: item for item in state.windows}


class _Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    names: tuple[bytes, ...] = ()
    windows: tuple[Committed, ...] = ()
