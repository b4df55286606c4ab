"""Tracks the capacity of the known upstreams by service and zone."""

from __future__ import annotations

import collections
import collections.abc

from fulmarbarrow.membership import messages as membership_messages


class Capacity:
    """The known upstreams, and the reported load of those owned here."""

    def __init__(self) -> None:
        self.upstreams: dict[str, membership_messages.Upstream] = {}
        self._owned_loads: dict[str, int] = {}

    def update_upstream(self, upstream: membership_messages.Upstream) -> None:
        """Add or replace an upstream's record."""
        self.upstreams[upstream.upstream_id] = upstream

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self.upstreams.pop(upstream_id, None)
        self._owned_loads.pop(upstream_id, None)

    def set_owned(self, upstream_id: str, is_owned: bool) -> None:
        """Record whether this daemon owns an upstream."""
        if is_owned:
            self._owned_loads.setdefault(upstream_id, 0)
        else:
            self._owned_loads.pop(upstream_id, None)

    def update_load(
        self, upstream_id: str, load: membership_messages.Load
    ) -> None:
        """Store the reported load of an upstream, if it is owned here."""
        if upstream_id in self._owned_loads:
            self._owned_loads[upstream_id] = (
                load.running_tokens + load.queued_tokens
            )

    @property
    def reserved_tokens(self) -> int:
        """Running and queued tokens reported by the owned upstreams."""
        return sum(self._owned_loads.values())

    def by_service(
        self, weights: collections.abc.Mapping[str, float]
    ) -> dict[str, float]:
        """Return each service's tokens per second, scaled by zone weight.

        An upstream's rate is split evenly between the services it offers.
        """
        rates: collections.Counter[str] = collections.Counter()
        for upstream in self._serving_upstreams():
            services = {offer.service for offer in upstream.offers}
            weight = weights.get(upstream.zone, 1.0)
            for service in services:
                rate = upstream.tokens_per_second / len(services)
                rates[service] += rate * weight
        return dict(rates)

    def zone_totals(self, zone: str) -> tuple[int, int]:
        """Return the count and total rate of a zone's serving upstreams."""
        rates = [
            upstream.tokens_per_second
            for upstream in self._serving_upstreams()
            if upstream.zone == zone
        ]
        return len(rates), sum(rates)

    def upstream_ids(self, zone: str) -> frozenset[str]:
        """Return the ids of a zone's upstreams."""
        return frozenset(
            upstream.upstream_id
            for upstream in self.upstreams.values()
            if upstream.zone == zone
        )

    def _serving_upstreams(
        self,
    ) -> collections.abc.Iterator[membership_messages.Upstream]:
        for upstream in self.upstreams.values():
            if upstream.state is membership_messages.UpstreamState.SERVING:
                yield upstream
