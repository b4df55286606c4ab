"""Counts of routers by window, and which of them are still to be sent."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.usage import limits

Source = tuple[str, int]  # daemon id and incarnation of a router


@dataclasses.dataclass(kw_only=True)
class Window:
    """Counts of one window at one router.

    ``changed`` are accounts that were not sent yet. ``sent_at`` is when the
    whole counts were sent, for the last of ``sendings`` times to the
    collector, and ``confirmed`` whether the collector has them.
    """

    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: set[str] = dataclasses.field(default_factory=set)
    final: bool = False
    sendings: int = 0
    sent_at: datetime.datetime | None = None
    confirmed: bool = False

    def set(self, account: str, number: int) -> bool:
        """Raise a count; return False if there are too many accounts."""
        known = self.counts.get(account, 0)
        if not known and len(self.counts) >= limits.MAX_ACCOUNTS:
            return False
        if number > known:
            self.counts[account] = number
            self.changed.add(account)
            self.touch()
        return True

    def touch(self) -> None:
        """Send the whole counts again."""
        self.sent_at = None
        self.sendings = 0
        self.confirmed = False

    def resend(self) -> None:
        """Send everything again, also while the window is open."""
        self.changed = set(self.counts)
        self.touch()


class Ledger:
    """Windows of several routers."""

    def __init__(self) -> None:
        self.sources: dict[Source, dict[int, Window]] = {}

    def window(self, source: Source, number: int) -> Window | None:
        """Return a window, a new one if needed; None beyond a bound."""
        windows = self.sources.get(source)
        if windows is None:
            if len(self.sources) >= limits.MAX_SOURCES:
                return None
            windows = self.sources[source] = {}
        return windows.setdefault(number, Window())

    def resend(self) -> None:
        """Send everything again, to another collector."""
        for windows in self.sources.values():
            for window in windows.values():
                window.resend()

    def confirm(self, source: Source, number: int) -> None:
        """Record that the collector has what was sent last of a window."""
        window = self.sources.get(source, {}).get(number)
        if window is not None and window.sent_at is not None:
            window.confirmed = True

    def final(
        self, source: Source, numbers: tuple[int, ...]
    ) -> tuple[int, ...]:
        """Return those windows in which a router has counted everything.

        Only they may be confirmed to a router whose counts are forwarded: of
        another one its last counts are still missing here.
        """
        windows = self.sources.get(source, {})
        return tuple(
            number
            for number in numbers
            if number in windows and windows[number].final
        )

    def drop_before(self, number: int) -> int:
        """Forget earlier windows; return how many were not confirmed."""
        lost = 0
        for source, windows in list(self.sources.items()):
            for old in [n for n in windows if n < number]:
                lost += not windows[old].confirmed
                del windows[old]
            if not windows:
                del self.sources[source]
        return lost
