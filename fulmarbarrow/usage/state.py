"""Replicated state of the usage reports."""

from __future__ import annotations

import msgspec

from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing

MAX_WINDOWS = 64


class Committed(msgspec.Struct, kw_only=True):
    """The final totals of a window and whether they were accepted."""

    window: int
    packed: bytes
    accepted: bool = False

    @property
    def counts(self) -> messages.Counts:
        """The pairs of account and number of requests."""
        try:
            return packing.unpack(self.packed, messages.Counts)
        except ValueError:
            return ()


class Windows:
    """Committed windows; the lowest are evicted beyond a limit.

    All decisions depend on the commands alone, so that every host has the
    same windows.
    """

    def __init__(self) -> None:
        self._windows: dict[int, Committed] = {}

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

    def get(self, number: int) -> Committed | None:
        """Return a window."""
        return self._windows.get(number)

    def apply(
        self, command: messages.WindowTotals | messages.WindowsAccepted
    ) -> bool:
        """Apply a command; return whether it changed anything."""
        match command:
            case messages.WindowTotals():
                return self._add(command)
            case messages.WindowsAccepted():
                for number in command.windows:
                    if number in self._windows:
                        self._windows[number].accepted = True
                return bool(command.windows)
        return False

    def _add(self, command: messages.WindowTotals) -> bool:
        if command.window in self._windows:
            return False
        full = len(self._windows) >= MAX_WINDOWS
        if full and command.window < min(self._windows):
            return False
        self._windows[command.window] = Committed(
            window=command.window, packed=command.packed
        )
        if full:
            del self._windows[min(self._windows)]
        return True

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(list(self))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        if not data:
            self._windows = {}
            return
        items = msgspec.msgpack.decode(data, type=list[Committed])
        self._windows = {item.window: item for item in items}
