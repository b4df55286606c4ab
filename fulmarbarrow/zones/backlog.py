"""Counts the work that waits for its upstream."""

from __future__ import annotations

import collections
import collections.abc

from fulmarbarrow.zones import messages

MAX_OPEN = 4_000


class Backlog:
    """Tokens of admitted requests that have no upstream yet."""

    def __init__(self) -> None:
        self._open: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )

    def asked(self, attempt_id: str, service: str, cost: int) -> None:
        """Note that an attempt waits for its place from now on."""
        self._open[attempt_id] = (service, cost)
        if len(self._open) > MAX_OPEN:
            self._open.popitem(last=False)

    def answered(self, attempt_id: str) -> None:
        """Note that an attempt has its place, or none."""
        self._open.pop(attempt_id, None)

    def services(self) -> tuple[messages.ServiceBacklog, ...]:
        """Return the tokens that wait now, by service."""
        total: collections.Counter[str] = collections.Counter()
        for service, cost in self._open.values():
            total[service] += cost
        return pack(total)


def add(
    parts: collections.abc.Iterable[messages.ServiceBacklog],
) -> collections.Counter[str]:
    """Return the sum of several backlogs, by service."""
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total[part.service] += part.tokens
    return total


def pack(
    total: collections.abc.Mapping[str, int],
) -> tuple[messages.ServiceBacklog, ...]:
    """Return a backlog as it goes into a message."""
    return tuple(
        messages.ServiceBacklog(service=service, tokens=tokens)
        for service, tokens in sorted(total.items())
    )
