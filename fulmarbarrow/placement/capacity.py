"""Decides whether an owned upstream has capacity for more work."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import ledger as ledgers
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import pool_means
from fulmarbarrow.placement import scheduling


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnedUpstream:
    """An owned upstream: its ledger, its queue and the waiting attempts.

    ``reply_addresses`` maps each queued attempt to the address of its router.
    ``short_reserve`` is the fraction of a full batch reserved for short work.
    It is 0 until a service with short work requests a reservation.
    """

    ledger: ledgers.Ledger
    queue: scheduling.Queue
    reply_addresses: dict[str, str]
    short_reserve: float = 0.0


class CapacityChecker:
    """Checks work against the bounds, the pool's means and reserved shares."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        means: pool_means.PoolMeans,
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
        """Return the fraction of its limit that an upstream gets now."""
        share = self._bounds.ramp_share(now - ledger.upstream.started_at)
        if ledger.cold_since is not None:
            cold_share = self._bounds.ramp_share(now - ledger.cold_since)
            share = min(share, cold_share)
        return share * min(
            1.0, self._directory.zone_weight(ledger.upstream.zone)
        )

    def _work_limits(
        self, owned: OwnedUpstream, now: datetime.datetime
    ) -> bounds_module.WorkLimits:
        """Return the work limits of the upstream, by kind of work."""
        ledger = owned.ledger
        upstream = ledger.upstream
        bounds = self._bounds
        share = self.ramp_share(ledger, now)
        ceiling = bounds.ceiling * upstream.batch_tokens
        allowed = bounds.allowed_work(
            upstream, self._means.mean_load(upstream)
        )
        reserved_capacity = self._policy.reserved_share * upstream.batch_tokens
        shared = min(allowed, ceiling - reserved_capacity)
        long_work = min(
            shared, (1.0 - owned.short_reserve) * upstream.batch_tokens
        )
        if not owned.short_reserve:
            long_work = shared
        return bounds_module.WorkLimits(
            all_work=int(share * ceiling),
            shared=int(share * shared),
            long_work=int(share * long_work),
            ramping=share < 1.0,
        )

    def fits(
        self,
        owned: OwnedUpstream,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> bool:
        """Return whether the upstream can accept the work now."""
        ledger = owned.ledger
        limits = self._work_limits(owned, now)
        current_work = ledger.estimated_work(now)
        if now < ledger.grants_start_at:
            return False
        if limits.ramping and ledger.in_handover(now):
            return False
        if ledger.recent_starts(now) + 1 > self.start_rate_limit(ledger, now):
            return False
        if ledger.pacer.wait(now):
            return False
        request_limit = self._bounds.max_requests(
            self._means.mean_requests(ledger.upstream)
        )
        unlimited = not ledger.pacer.limited
        if unlimited and current_work and len(ledger) + 1 > request_limit:
            return False
        if not current_work:
            # An idle upstream accepts any attempt; otherwise an attempt that
            # is larger than the limits of a small engine would never run.
            return True
        if current_work + work.cost > limits.all_work:
            return False
        if self.is_guaranteed(ledger, work.account, work.cost):
            return True
        unreserved = current_work - ledger.reserved
        if (
            ledger.reserved_shared + unreserved + work.cost
            > work.part * limits.shared
        ):
            return False
        if not self.within_placed_bound(ledger, work, now):
            return False
        if work.cost_class is messages.CostClass.SHORT:
            return True
        return (
            ledger.reserved_long + unreserved + work.cost <= limits.long_work
        )

    def start_rate_limit(
        self, ledger: ledgers.Ledger, now: datetime.datetime
    ) -> float:
        """Return the limit on requests started a second at an upstream."""
        upstream = ledger.upstream
        pool = self._directory.pool_config(upstream.upstream_id)
        weight = self._directory.zone_weight(upstream.zone)
        return self._bounds.start_rate_limit(upstream, pool, now, weight)

    def within_placed_bound(
        self,
        ledger: ledgers.Ledger,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> bool:
        """Return whether recently placed work stays near the pool's mean."""
        factor = self._bounds.placed_factor
        if not factor or not work.evenly:
            return True
        mean = self._means.mean_recent_work(ledger.upstream)
        batch = ledger.upstream.batch_tokens
        limit = max(work.part * factor * mean, self._bounds.floor) * batch
        return ledger.recent_work(now) + work.cost <= limit

    def is_guaranteed(
        self, ledger: ledgers.Ledger, account: str, cost: int
    ) -> bool:
        """Return whether the account's reserved share covers the work.

        A single attempt is always covered, regardless of its cost.
        """
        share = self._policy.account_policy(account).reserved_share
        if share <= 0:
            return False
        guaranteed = ledger.guaranteed_work(account)
        return (
            not guaranteed
            or guaranteed + cost <= share * ledger.upstream.batch_tokens
        )

    def priority(
        self,
        ledger: ledgers.Ledger,
        account: str,
        cost: int,
        work: limits_messages.QueuedWork | messages.HeldWork,
    ) -> ledgers.Priority:
        """Return the scheduling priority of an account's work."""
        if self.is_guaranteed(ledger, account, cost):
            return ledgers.Priority.GUARANTEED
        if work.best_effort:
            return ledgers.Priority.BEST_EFFORT
        if work.cost_class is messages.CostClass.SHORT:
            return ledgers.Priority.SHORT
        return ledgers.Priority.LONG
