"""Interfaces of account limits and queues that an owner uses."""

from __future__ import annotations

import collections.abc
import datetime
import typing

from fulmarbarrow.limits import messages as limits_messages

Fits = collections.abc.Callable[[limits_messages.QueuedWork], bool]


class AccountPolicy(typing.Protocol):
    """Guarantees of one account."""

    @property
    def reserved_share(self) -> float:
        """Fraction of a full batch that is reserved for the account."""


class Queue(typing.Protocol):
    """Queue of attempts that wait for one upstream."""

    def __len__(self) -> int:
        """Return the number of queued attempts."""

    def get(self, attempt_id: str) -> limits_messages.QueuedWork | None:
        """Return a queued attempt, None if it is not queued."""

    def charge(self, account: str, cost: int) -> None:
        """Charge an account for work that was served without waiting."""

    def add(
        self, work: limits_messages.QueuedWork
    ) -> limits_messages.QueuedWork | None:
        """Queue an attempt; return the one that is refused instead, if any."""

    def take(self, fits: Fits) -> limits_messages.QueuedWork | None:
        """Remove and return the next attempt that fits."""

    def take_oldest(self, fits: Fits) -> limits_messages.QueuedWork | None:
        """Remove and return the oldest attempt that fits."""

    def remove(self, attempt_id: str) -> limits_messages.QueuedWork | None:
        """Remove an attempt."""

    def take_expired(
        self, now: datetime.datetime
    ) -> list[limits_messages.QueuedWork]:
        """Remove and return the attempts whose waiting time has expired."""

    def cost_ahead(self, work: limits_messages.QueuedWork) -> float:
        """Return the queued work in tokens that would be served before."""


class Policy(typing.Protocol):
    """Guarantees of accounts and capacity reserved for short work."""

    reserved_share: float

    def account_policy(self, account: str) -> AccountPolicy:
        """Return the guarantees of an account."""

    def short_work_share(self, service: str) -> float:
        """Return the fraction of a full batch that long work may not use."""

    def create_queue(self) -> Queue:
        """Return an empty queue for one upstream."""
