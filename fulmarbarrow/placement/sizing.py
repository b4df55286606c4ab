"""Derives capacity in tokens for upstreams that report slots."""

from __future__ import annotations

import collections.abc

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages

# Typical time that a request spends at an upstream, for wait estimates.
ENGINE_SERVICE_SECONDS = 2.0
PLAIN_SERVICE_SECONDS = 0.1


class Sizing:
    """Computes the capacity of upstreams from the configured pools."""

    def __init__(self) -> None:
        self._pools: dict[str, bundles.Pool] = {}

    def configure(self, bundle: bundles.Bundle) -> bool:
        """Apply a configuration; return whether a pool has changed."""
        pools = {service.name: service.pool for service in bundle.service}
        changed = pools != self._pools
        self._pools = pools
        return changed

    def pool(self, upstream: membership_messages.Upstream) -> bundles.Pool:
        """Return the configured pool of an upstream."""
        for offer in upstream.offers:
            pool = self._pools.get(offer.service)
            if pool is not None:
                return pool
        return bundles.Pool()

    def with_capacity(
        self, upstream: membership_messages.Upstream
    ) -> membership_messages.Upstream:
        """Return an upstream's record with its capacity in tokens."""
        if not upstream.slots:
            return upstream
        pool = self.pool(upstream)
        capacity = (
            pool.kv_tokens or upstream.slots * messages.PLAIN_REQUEST_COST
        )
        service_seconds = (
            ENGINE_SERVICE_SECONDS if pool.kv_tokens else PLAIN_SERVICE_SECONDS
        )
        return msgspec.structs.replace(
            upstream,
            batch_tokens=capacity,
            tokens_per_second=int(capacity / service_seconds),
        )

    def with_capacities(
        self,
        upstreams: collections.abc.Iterable[membership_messages.Upstream],
    ) -> list[membership_messages.Upstream]:
        """Return the records with their capacities in tokens."""
        return [self.with_capacity(upstream) for upstream in upstreams]
