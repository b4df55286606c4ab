"""Counts the tokens of attempts that wait for an upstream."""

from __future__ import annotations

import collections
import collections.abc

from fulmarbarrow.zones import messages

MAX_ATTEMPTS = 4_000


class Backlog:
    """Attempts that are not placed on an upstream yet, with their cost.

    Keeps at most ``MAX_ATTEMPTS`` attempts and drops the oldest beyond that.
    """

    def __init__(self) -> None:
        self._attempts: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )

    def add_attempt(self, attempt_id: str, service: str, cost: int) -> None:
        """Add an attempt that waits for placement."""
        self._attempts[attempt_id] = (service, cost)
        if len(self._attempts) > MAX_ATTEMPTS:
            self._attempts.popitem(last=False)

    def remove_attempt(self, attempt_id: str) -> None:
        """Remove an attempt that was placed, refused or cancelled."""
        self._attempts.pop(attempt_id, None)

    def by_service(self) -> tuple[messages.ServiceBacklog, ...]:
        """Return the number of waiting tokens of each service."""
        total: collections.Counter[str] = collections.Counter()
        for service, cost in self._attempts.values():
            total[service] += cost
        return encode(total)


def sum_by_service(
    parts: collections.abc.Iterable[messages.ServiceBacklog],
) -> collections.Counter[str]:
    """Return the sum of several backlogs by service."""
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total[part.service] += part.tokens
    return total


def encode(
    total: collections.abc.Mapping[str, int],
) -> tuple[messages.ServiceBacklog, ...]:
    """Return a backlog in the form used in messages."""
    return tuple(
        messages.ServiceBacklog(service=service, tokens=tokens)
        for service, tokens in sorted(total.items())
    )
