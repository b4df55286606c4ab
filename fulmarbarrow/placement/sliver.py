"""Placement by own knowledge alone, while an upstream has no owner."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import rendezvous

PART = 0.125  # of a full batch, the least that a router is given
REPORT_AGE = datetime.timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Report:
    """An upstream's last report and own work placed since."""

    work: int
    at: datetime.datetime
    placed_since: int = 0


class SliverRules:
    """Bounds own work so that all routers together respect the limit.

    The limit is split into equal parts, at least ``PART`` of a batch each,
    among the routers that rendezvous chooses for the upstream. Late reports
    only lower what the part allows.
    """

    def __init__(self, *, router: str, bounds: bounds_module.Bounds) -> None:
        self._router = router
        self._bounds = bounds
        self._routers: frozenset[str] = frozenset((router,))
        self._ranks: dict[str, int] = {}
        self._reports: dict[str, _Report] = {}

    @property
    def routers(self) -> frozenset[str]:
        """All routers that may place work, this one included."""
        return self._routers

    def set_routers(self, routers: frozenset[str]) -> None:
        """Take the routers that share each upstream."""
        self._routers = routers | {self._router}
        self._ranks.clear()

    def report(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Take an upstream's late report of its load."""
        load = event.load
        self._reports[event.upstream_id] = _Report(
            work=load.running_tokens + load.queued_tokens,
            at=load.measured_at or now,
        )

    def placed(self, upstream_id: str, cost: int) -> None:
        """Count own work that the last report may not show yet."""
        report = self._reports.get(upstream_id)
        if report is not None:
            report.placed_since += cost

    def known_work(self, upstream_id: str) -> int:
        """Return the last reported work and what was placed here since."""
        report = self._reports.get(upstream_id)
        return report.work + report.placed_since if report else 0

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream."""
        self._ranks.pop(upstream_id, None)
        self._reports.pop(upstream_id, None)

    def fits(
        self,
        upstream: membership_messages.Upstream,
        own: int,
        cost: int,
        now: datetime.datetime,
        zone_weight: float = 1.0,
    ) -> bool:
        """Return whether this router may add work to its ``own``."""
        share = self._bounds.ramp_share(now - upstream.started_at)
        share *= min(1.0, zone_weight)
        limit = share * self._bounds.floor * upstream.batch_tokens
        if own + cost > self.part(upstream, limit):
            return False
        report = self._reports.get(upstream.upstream_id)
        if report is None or now - report.at > REPORT_AGE:
            return True
        return report.work + report.placed_since + cost <= limit

    def part(
        self, upstream: membership_messages.Upstream, limit: float
    ) -> float:
        """Return this router's part of an upstream's limit, in tokens."""
        smallest = max(1.0, PART * upstream.batch_tokens)
        chosen = min(len(self._routers), max(1, int(limit / smallest)))
        if self._rank(upstream.upstream_id) >= chosen:
            return 0.0
        return limit / chosen

    def _rank(self, upstream_id: str) -> int:
        """Return this router's place in the upstream's order of routers."""
        rank = self._ranks.get(upstream_id)
        if rank is None:
            weights = dict.fromkeys(self._routers, 1.0)
            order = rendezvous.order(upstream_id, weights)
            rank = order.index(self._router)
            self._ranks[upstream_id] = rank
        return rank
