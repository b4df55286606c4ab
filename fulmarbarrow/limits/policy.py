"""Account weights, reserved shares and limits from the configuration."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import fair_queue

# Fraction of a full batch kept free of long work, for services with both
# short and long work.
SHORT_WORK_SHARE = 0.1
DEFAULT_WEIGHT = 1.0
# Fraction of a full batch that all priority accounts can reserve together.
MAX_RESERVED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountPolicy:
    """An account's weight and its reserved share of each upstream."""

    weight: float = DEFAULT_WEIGHT
    reserved_share: float = 0.0


class Policy:
    """Account settings and service cost classes of the current revision."""

    def __init__(self) -> None:
        self._accounts: dict[str, AccountPolicy] = {}
        self._mixed_services: frozenset[str] = frozenset()
        self._max_open_requests: dict[str, int] = {}
        self.reserved_share = 0.0

    def configure(self, bundle: bundles.Bundle) -> None:
        """Replace the settings with those of ``bundle``."""
        self._max_open_requests = {
            account.name: account.max_open_requests
            for account in bundle.account
        }
        self._accounts = {
            account.name: AccountPolicy(
                weight=max(account.weight, 1e-6),
                reserved_share=(
                    account.reserved_share if account.priority else 0.0
                ),
            )
            for account in bundle.account
        }
        total = sum(item.reserved_share for item in self._accounts.values())
        self.reserved_share = min(total, MAX_RESERVED_SHARE)
        self._mixed_services = frozenset(
            service.name
            for service in bundle.service
            if len({route.cost_class for route in service.routes}) > 1
        )

    def account_policy(self, account: str) -> AccountPolicy:
        """Return an account's settings; the defaults if it is unknown."""
        return self._accounts.get(account, AccountPolicy())

    def max_open_requests(self, account: str) -> int:
        """Return an account's limit of open requests at each router."""
        return self._max_open_requests.get(account, 0)

    def short_work_share(self, service: str) -> float:
        """Return the fraction of a full batch kept free of long work."""
        return SHORT_WORK_SHARE if service in self._mixed_services else 0.0

    def create_queue(self) -> fair_queue.FairQueue:
        """Create an empty queue for one upstream."""
        return fair_queue.FairQueue(weight=self._weight)

    def _weight(self, account: str) -> float:
        return self.account_policy(account).weight
