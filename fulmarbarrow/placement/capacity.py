"""Whether an owned upstream has room for more work."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import ledger as ledgers
from fulmarbarrow.placement import means as means_module
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import scheduling


@dataclasses.dataclass(kw_only=True, slots=True)
class Owned:
    """One owned upstream: its ledger, its queue and who waits there."""

    ledger: ledgers.Ledger
    queue: scheduling.Queue
    waiting: dict[str, str]
    mixed: float = 0.0


class Capacity:
    """Weighs work against bounds, the pool's means and accounts' rights."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        means: means_module.PoolMeans,
        policy: scheduling.Policy,
        bounds: bounds_module.Bounds,
    ) -> None:
        self._directory = directory
        self._means = means
        self._policy = policy
        self._bounds = bounds

    def ramp_share(
        self, ledger: ledgers.Ledger, now: datetime.datetime
    ) -> float:
        """Return the part of its limit that an upstream gets now."""
        share = self._bounds.ramp_share(now - ledger.upstream.started_at)
        if ledger.cold_since is not None:
            again = self._bounds.ramp_share(now - ledger.cold_since)
            share = min(share, again)
        return share * min(
            1.0, self._directory.zone_weight(ledger.upstream.zone)
        )

    def _room(
        self, owned: Owned, now: datetime.datetime
    ) -> bounds_module.Room:
        """Return the most work that the upstream may have, by who asks."""
        ledger = owned.ledger
        upstream = ledger.upstream
        bounds = self._bounds
        share = self.ramp_share(ledger, now)
        ceiling = bounds.ceiling * upstream.batch_tokens
        allowed = bounds.allowed(upstream, self._means.load(upstream))
        headroom = self._policy.reserved_share * upstream.batch_tokens
        shared = min(allowed, ceiling - headroom)
        long_work = min(shared, (1.0 - owned.mixed) * upstream.batch_tokens)
        if not owned.mixed:
            long_work = shared
        return bounds_module.Room(
            any_work=int(share * ceiling),
            shared=int(share * shared),
            long_work=int(share * long_work),
            ramping=share < 1.0,
        )

    def fits(
        self,
        owned: Owned,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> bool:
        """Return whether the upstream may take the work now."""
        ledger = owned.ledger
        room = self._room(owned, now)
        carried = ledger.work(now)
        if now < ledger.renewed_from:
            return False
        if room.ramping and ledger.handing_over(now):
            return False
        if ledger.starts(now) + 1 > self.starts(ledger, now):
            return False
        most = self._bounds.most_requests(
            self._means.requests(ledger.upstream)
        )
        if carried and len(ledger) + 1 > most:
            return False
        if not carried:
            # One attempt is always allowed, or a small engine never starts.
            return True
        if carried + work.cost > room.any_work:
            return False
        if self.by_right(ledger, work.account, work.cost):
            return True
        unknown = carried - ledger.reserved
        if ledger.shared + unknown + work.cost > work.part * room.shared:
            return False
        if not self.evenly(ledger, work, now):
            return False
        if work.cost_class is messages.CostClass.SHORT:
            return True
        return ledger.long + unknown + work.cost <= room.long_work

    def starts(self, ledger: ledgers.Ledger, now: datetime.datetime) -> float:
        """Return how many requests a second may start at an upstream."""
        upstream = ledger.upstream
        pool = self._directory.pool_of(upstream.upstream_id)
        weight = self._directory.zone_weight(upstream.zone)
        return self._bounds.starts(upstream, pool, now, weight)

    def evenly(
        self,
        ledger: ledgers.Ledger,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> bool:
        """Return whether work placed of late stays near the pool's mean."""
        factor = self._bounds.placed_factor
        if not factor or not work.evenly:
            return True
        mean = self._means.placed(ledger.upstream)
        batch = ledger.upstream.batch_tokens
        limit = max(work.part * factor * mean, self._bounds.floor) * batch
        return ledger.placed(now) + work.cost <= limit

    def by_right(
        self, ledger: ledgers.Ledger, account: str, cost: int
    ) -> bool:
        """Return whether the account's reserved share covers the work.

        One attempt is always covered, however large it is.
        """
        share = self._policy.account_policy(account).reserved_share
        if share <= 0:
            return False
        held = ledger.by_right(account)
        return not held or held + cost <= share * ledger.upstream.batch_tokens

    def priority(
        self,
        ledger: ledgers.Ledger,
        account: str,
        cost: int,
        work: limits_messages.QueuedWork | messages.HeldWork,
    ) -> ledgers.Priority:
        """Return the priority of an account's work."""
        if self.by_right(ledger, account, cost):
            return ledgers.Priority.BY_RIGHT
        if work.best_effort:
            return ledgers.Priority.BEST_EFFORT
        if work.cost_class is messages.CostClass.SHORT:
            return ledgers.Priority.SHORT
        return ledgers.Priority.LONG
