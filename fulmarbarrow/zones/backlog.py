"""Counts the tokens of attempts that wait for an upstream."""

from __future__ import annotations

import collections
import collections.abc

from fulmarbarrow.zones import messages

MAX_OPEN = 4_000


class Backlog:
    """Attempts that are not placed on an upstream yet, with their cost.

    Keeps at most ``MAX_OPEN`` attempts and drops the oldest beyond that.
    """

    def __init__(self) -> None:
        self._open: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )

    def asked(self, attempt_id: str, service: str, cost: int) -> None:
        """Add an attempt that waits for placement."""
        self._open[attempt_id] = (service, cost)
        if len(self._open) > MAX_OPEN:
            self._open.popitem(last=False)

    def answered(self, attempt_id: str) -> None:
        """Remove an attempt that was placed, refused or cancelled."""
        self._open.pop(attempt_id, None)

    def services(self) -> tuple[messages.ServiceBacklog, ...]:
        """Return the number of waiting tokens of each service."""
        total: collections.Counter[str] = collections.Counter()
        for service, cost in self._open.values():
            total[service] += cost
        return pack(total)


def add(
    parts: collections.abc.Iterable[messages.ServiceBacklog],
) -> collections.Counter[str]:
    """Return the sum of several backlogs by service."""
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total[part.service] += part.tokens
    return total


def pack(
    total: collections.abc.Mapping[str, int],
) -> tuple[messages.ServiceBacklog, ...]:
    """Return a backlog in the form used in messages."""
    return tuple(
        messages.ServiceBacklog(service=service, tokens=tokens)
        for service, tokens in sorted(total.items())
    )
