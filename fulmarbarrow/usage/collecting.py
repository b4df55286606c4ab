"""Counts of all routers, as the collector has them."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from fulmarbarrow.usage import limits

_Router = tuple[str, int]  # daemon id and incarnation


@dataclasses.dataclass(kw_only=True)
class _Window:
    counts: dict[_Router, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    confirmed: set[_Router] = dataclasses.field(default_factory=set)


class Collection:
    """Merges counts by router, incarnation, window and account.

    A count only grows, so the highest number is the newest: messages that are
    repeated or arrive in another order change nothing.
    """

    def __init__(self) -> None:
        self._windows: dict[int, _Window] = {}

    @property
    def lowest(self) -> int | None:
        """The first window with counts."""
        return min(self._windows, default=None)

    def add(
        self, key: _Router, number: int, counts: dict[str, int], final: bool
    ) -> bool:
        """Merge counts of a router; return False if there are too many."""
        window = self._windows.setdefault(number, _Window())
        if key not in window.counts and (
            len(window.counts) >= limits.MAX_ROUTERS
        ):
            return False
        known = window.counts.setdefault(key, {})
        for account, count in counts.items():
            if account not in known and len(known) >= limits.MAX_ACCOUNTS:
                return False
            known[account] = max(count, known.get(account, 0))
        if final:
            window.confirmed.add(key)
        return True

    def unconfirmed(
        self, number: int, routers: collections.abc.Iterable[_Router]
    ) -> list[str]:
        """Return the routers that have not sent their final counts."""
        window = self._windows.get(number, _Window())
        return [key[0] for key in routers if key not in window.confirmed]

    def totals(self, number: int) -> dict[str, int]:
        """Return the sums of a window by account, in a fixed order."""
        window = self._windows.get(number, _Window())
        totals: collections.Counter[str] = collections.Counter()
        for counts in window.counts.values():
            totals.update(counts)
        return {
            account: totals[account]
            for account in sorted(totals)[: limits.MAX_ACCOUNTS]
        }

    def drop_before(self, number: int) -> None:
        """Forget the windows before ``number``."""
        for old in [n for n in self._windows if n < number]:
            del self._windows[old]

    def dump(self) -> dict[int, dict[str, int]]:
        """Return the number of routers of each window."""
        return {
            number: {
                "routers": len(window.counts),
                "confirmed": len(window.confirmed),
            }
            for number, window in self._windows.items()
        }
