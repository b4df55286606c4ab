"""What the owner asks of the accounts' limits."""

from __future__ import annotations

import collections.abc
import datetime
import typing

from fulmarbarrow.limits import messages as limits_messages

Fits = collections.abc.Callable[[limits_messages.QueuedWork], bool]


class AccountPolicy(typing.Protocol):
    """What one account may claim."""

    @property
    def reserved_share(self) -> float:
        """The part of a full batch that the account has by right."""


class Queue(typing.Protocol):
    """Attempts that wait for one upstream."""

    def __len__(self) -> int:
        """Return the number of queued attempts."""

    def get(self, attempt_id: str) -> limits_messages.QueuedWork | None:
        """Return a queued attempt."""

    def charge(self, account: str, cost: int) -> None:
        """Count work that was served without waiting."""

    def add(
        self, work: limits_messages.QueuedWork
    ) -> limits_messages.QueuedWork | None:
        """Queue an attempt; return the one that is refused for it."""

    def take(self, fits: Fits) -> limits_messages.QueuedWork | None:
        """Remove and return the next attempt that fits."""

    def take_oldest(self, fits: Fits) -> limits_messages.QueuedWork | None:
        """Remove and return the oldest attempt that fits."""

    def remove(self, attempt_id: str) -> limits_messages.QueuedWork | None:
        """Remove an attempt."""

    def take_expired(
        self, now: datetime.datetime
    ) -> list[limits_messages.QueuedWork]:
        """Remove and return the attempts that waited long enough."""

    def cost_ahead(self, work: limits_messages.QueuedWork) -> float:
        """Return the work in tokens that would be served before."""


class Policy(typing.Protocol):
    """Rights of accounts and cost classes of services."""

    reserved_share: float

    def account_policy(self, account: str) -> AccountPolicy:
        """Return what an account may claim."""

    def short_share(self, service: str) -> float:
        """Return the part of a full batch that long work never takes."""

    def queue(self) -> Queue:
        """Return an empty queue for one upstream."""
