"""Placement without reservations, while an upstream has no owner."""

from __future__ import annotations

import collections
import dataclasses
import datetime

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import rate_limits
from fulmarbarrow.placement import rendezvous

# Smallest share of an upstream that a router gets, as a fraction of a full
# batch.
MIN_ROUTER_SHARE = 0.125
SECOND = datetime.timedelta(seconds=1)
# An older load report is not used.
MAX_REPORT_AGE = datetime.timedelta(seconds=3)
# A started upstream gets an owner within this time. Nothing is placed there
# without a reservation before.
OWNER_GRACE = datetime.timedelta(seconds=5)
# Own work placed since the last load report is multiplied by this factor, to
# allow for work that other routers have placed since then.
UNREPORTED_WORK_FACTOR = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class _UpstreamLoad:
    """Last load report of an upstream and own work placed since then."""

    work: int = 0
    measured_at: datetime.datetime | None = None
    placements: collections.deque[tuple[datetime.datetime, int]] = (
        dataclasses.field(default_factory=collections.deque)
    )

    def work_placed_since(self) -> int:
        """Return own work in tokens placed after the load was measured."""
        while (
            self.placements
            and self.measured_at
            and self.placements[0][0] <= self.measured_at
        ):
            self.placements.popleft()
        return sum(cost for _, cost in self.placements)

    def is_recent(self, now: datetime.datetime) -> bool:
        """Return whether the report is recent enough to be used."""
        return (
            self.measured_at is not None
            and now - self.measured_at <= MAX_REPORT_AGE
        )


class OwnerlessLimits:
    """Limits own work so that all routers together respect the bounds.

    At a warm upstream the reported load and own work placed since then count
    against the limit. The limit of a ramping upstream, or of one without a
    recent report, is divided equally among the routers that rendezvous
    hashing selects for it. Each share is at least ``MIN_ROUTER_SHARE`` of a
    batch, so only as many routers are selected as the limit allows.
    """

    def __init__(
        self,
        *,
        router: str,
        bounds: bounds_module.Bounds,
        limits: rate_limits.KnownLimits,
    ) -> None:
        self._limits = limits
        self._router = router
        self._bounds = bounds
        self._routers: frozenset[str] = frozenset((router,))
        self._ranks: dict[str, int] = {}
        self._loads: dict[str, _UpstreamLoad] = {}

    @property
    def routers(self) -> frozenset[str]:
        """All routers that may place work, this one included."""
        return self._routers

    def set_routers(self, routers: frozenset[str]) -> None:
        """Set the routers among which each upstream is divided."""
        self._routers = routers | {self._router}
        self._ranks.clear()

    def record_load(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Record an upstream's report of its load, which lags behind."""
        reported = event.load
        known = self._loads.setdefault(event.upstream_id, _UpstreamLoad())
        known.work = reported.running_tokens + reported.queued_tokens
        known.measured_at = reported.measured_at or now

    def record_placement(
        self, upstream_id: str, cost: int, now: datetime.datetime
    ) -> None:
        """Record own work that the last report does not include."""
        load = self._loads.setdefault(upstream_id, _UpstreamLoad())
        load.placements.append((now, cost))
        while now - load.placements[0][0] > MAX_REPORT_AGE:
            load.placements.popleft()

    def record_start(self, upstream_id: str, now: datetime.datetime) -> None:
        """Record an attempt that was placed without an owner."""
        self._limits.record_ownerless_start(upstream_id, now)

    def known_work(self, upstream_id: str) -> int:
        """Return the last reported work plus own work placed since then."""
        load = self._loads.get(upstream_id)
        return load.work + load.work_placed_since() if load else 0

    def remove_upstream(self, upstream_id: str) -> None:
        """Forget an upstream."""
        self._ranks.pop(upstream_id, None)
        self._loads.pop(upstream_id, None)

    def fits(
        self,
        upstream: membership_messages.Upstream,
        own_work: int,
        cost: int,
        now: datetime.datetime,
        zone_weight: float = 1.0,
        pool: bundles.Pool = bundles.Pool(),  # noqa: B008
    ) -> bool:
        """Return whether this router may place more work.

        ``own_work`` is the work in tokens that it already has at the upstream.
        """
        share = self._bounds.ramp_share(now - upstream.started_at)
        share *= min(1.0, zone_weight)
        if now - upstream.started_at < OWNER_GRACE:
            return False
        upstream_id = upstream.upstream_id
        if not self._limits.fits(
            upstream_id, lambda: self._rank(upstream_id), now
        ):
            return False
        start_rate = self._bounds.start_rate_limit(
            upstream, pool, now, zone_weight
        )
        if self._recent_starts(upstream.upstream_id, now) + 1 > (
            start_rate / len(self._routers)
        ):
            return False
        if upstream.slots:
            return own_work + cost <= max(
                cost, self._slot_share(upstream, share)
            )
        limit = share * self._bounds.floor * upstream.batch_tokens
        load = self._loads.get(upstream.upstream_id)
        if load is None or not load.is_recent(now):
            return own_work + cost <= self.router_share(upstream, limit)
        if share < 1.0 and own_work + cost > self.router_share(
            upstream, limit
        ):
            return False
        unreported_work = UNREPORTED_WORK_FACTOR * load.work_placed_since()
        return load.work + unreported_work + cost <= limit

    def _slot_share(
        self, upstream: membership_messages.Upstream, share: float
    ) -> float:
        """Return this router's equal share of all slots, at least one slot.

        An upstream that has slots reports no load. Requests beyond its slots
        are queued there or refused before they run.
        """
        equal_share = share * upstream.batch_tokens / len(self._routers)
        return max(equal_share, upstream.batch_tokens / upstream.slots)

    def _recent_starts(self, upstream_id: str, now: datetime.datetime) -> int:
        """Return how many attempts this router placed in the last second."""
        load = self._loads.get(upstream_id)
        if load is None:
            return 0
        return sum(1 for at, _ in load.placements if now - at < SECOND)

    def router_share(
        self, upstream: membership_messages.Upstream, limit: float
    ) -> float:
        """Return this router's share of an upstream's limit, in tokens."""
        min_share = max(1.0, MIN_ROUTER_SHARE * upstream.batch_tokens)
        router_count = min(len(self._routers), max(1, int(limit / min_share)))
        if self._rank(upstream.upstream_id) >= router_count:
            return 0.0
        return limit / router_count

    def _rank(self, upstream_id: str) -> int:
        """Return this router's rank in the upstream's rendezvous order."""
        rank = self._ranks.get(upstream_id)
        if rank is None:
            weights = dict.fromkeys(self._routers, 1.0)
            order = rendezvous.order(upstream_id, weights)
            rank = order.index(self._router)
            self._ranks[upstream_id] = rank
        return rank
