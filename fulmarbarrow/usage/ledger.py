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
    collector, and ``confirmed`` whether the collector has them. ``version``
    increases with each change. ``late`` is set if counts were added after the
    window was final.
    """

    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: set[str] = dataclasses.field(default_factory=set)
    final: bool = False
    sendings: int = 0
    sent_at: datetime.datetime | None = None
    confirmed: bool = False
    version: int = 0
    late: bool = False

    def set(self, account: str, number: int) -> bool:
        """Raise a count; return False if there are too many accounts."""
        known = self.counts.get(account, 0)
        if not known and len(self.counts) >= limits.MAX_ACCOUNTS:
            return False
        if number > known:
            self.counts[account] = number
            self.changed.add(account)
            self.late = self.late or self.final
            self.touch()
        return True

    def touch(self) -> None:
        """Send the whole counts again."""
        self.sent_at = None
        self.sendings = 0
        self.confirmed = False
        self.version += 1

    def resend(self) -> None:
        """Send everything again, also while the window is open."""
        self.changed = set(self.counts)
        self.touch()


class Ledger:
    """Windows of this router, ``own``, and of others."""

    def __init__(self, *, own: Source) -> None:
        self._own = own
        self.sources: dict[Source, dict[int, Window]] = {own: {}}

    def window(self, source: Source, number: int) -> Window | None:
        """Return a window, a new one if needed; None beyond a bound."""
        windows = self.sources.get(source)
        if windows is None:
            if len(self.sources) > limits.MAX_SOURCES:
                return None
            windows = self.sources[source] = {}
        return windows.setdefault(number, Window())

    def resend(self) -> None:
        """Send everything again, to another collector."""
        for windows in self.sources.values():
            for window in windows.values():
                window.resend()

    def confirm(
        self, source: Source, number: int, version: int | None
    ) -> bool:
        """Record that the collector has a version of a window.

        ``version`` is None if the router that forwards the counts says so;
        then it has those that were final first. Returns whether everything
        that the router has counted is confirmed: only then may it be told,
        because otherwise its last counts are still missing here.
        """
        window = self.sources.get(source, {}).get(number)
        if window is None or window.sent_at is None:
            return False
        if window.late if version is None else window.version != version:
            return False
        window.confirmed = True
        return window.final

    def drop_before(self, number: int) -> int:
        """Forget earlier windows; return how many were not confirmed."""
        lost = 0
        for source, windows in list(self.sources.items()):
            for old in [n for n in windows if n < number]:
                lost += not windows[old].confirmed
                del windows[old]
            if not windows and source != self._own:
                del self.sources[source]
        return lost
