"""What the configuration promises to accounts and services."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import fair_queue

SHORT_SHARE = 0.1  # of a full batch, where a service has short and long work
DEFAULT_WEIGHT = 1.0
MAX_RESERVED_SHARE = 0.5  # of a full batch, for all priority accounts together


@dataclasses.dataclass(frozen=True, kw_only=True)
class Right:
    """What one account may claim of each upstream."""

    weight: float = DEFAULT_WEIGHT
    reserved_share: float = 0.0


class Policy:
    """The accounts' rights and the services' cost classes in force."""

    def __init__(self) -> None:
        self._rights: dict[str, Right] = {}
        self._mixed: frozenset[str] = frozenset()
        self._max_open: dict[str, int] = {}
        self.reserved_share = 0.0

    def configure(self, bundle: bundles.Bundle) -> None:
        """Take a configuration into force."""
        self._max_open = {
            account.name: account.max_open_requests
            for account in bundle.account
        }
        self._rights = {
            account.name: Right(
                weight=max(account.weight, 1e-6),
                reserved_share=(
                    account.reserved_share if account.priority else 0.0
                ),
            )
            for account in bundle.account
        }
        total = sum(right.reserved_share for right in self._rights.values())
        self.reserved_share = min(total, MAX_RESERVED_SHARE)
        self._mixed = frozenset(
            service.name
            for service in bundle.service
            if len({route.cost_class for route in service.routes}) > 1
        )

    def right(self, account: str) -> Right:
        """Return what an account may claim; an unknown one the least."""
        return self._rights.get(account, Right())

    def max_open(self, account: str) -> int:
        """Return how many open requests an account may have at an entry."""
        return self._max_open.get(account, 0)

    def short_share(self, service: str) -> float:
        """Return the part of a full batch that long work never takes."""
        return SHORT_SHARE if service in self._mixed else 0.0

    def queue(self) -> fair_queue.FairQueue:
        """Return an empty queue for one upstream."""
        return fair_queue.FairQueue(weight=self._weight)

    def _weight(self, account: str) -> float:
        return self.right(account).weight
