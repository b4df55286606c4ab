"""Computes the mean load of each pool from the owners' summaries."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import xxhash

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages

MAX_SUMMARY_AGE = datetime.timedelta(seconds=5)
MAX_OWNERS = 512  # other owners whose summaries are kept


def pool_hash(service: str, model: str, version: str) -> int:
    """Return the hash that identifies a pool on the wire."""
    name = f"{service}\0{model}\0{version}"
    return xxhash.xxh32_intdigest(name.encode())


def pool_hashes(upstream: membership_messages.Upstream) -> set[int]:
    """Return the hashes of the pools that an upstream belongs to."""
    return {
        pool_hash(item.service, item.model, item.version)
        for item in upstream.offers
    }


def service_hashes(upstream: membership_messages.Upstream) -> set[int]:
    """Return the hashes of the services that an upstream belongs to."""
    return {
        xxhash.xxh32_intdigest(item.service.encode())
        for item in upstream.offers
    }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ReceivedSummary:
    summary: messages.OwnerSummary
    received_at: datetime.datetime


class PoolMeans:
    """Mean work of each pool in full batches, that is work over capacity.

    The mean number of requests is that of a service: the versions of a model
    share its callers, and a pool of few upstreams would be measured against
    its own requests.

    Each owner sends its summaries to a few randomly chosen routers. The
    summaries that a router received within ``MAX_SUMMARY_AGE`` are a sample
    that is large enough for a mean.
    """

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedSummary] = {}
        self._own_pools: tuple[messages.PoolWork, ...] = ()
        self._mean_load: dict[int, float] = {}
        self._mean_recent_work: dict[int, float] = {}
        self._mean_requests: dict[int, float] = {}

    def record_summary(
        self, summary: messages.OwnerSummary, now: datetime.datetime
    ) -> None:
        """Record another owner's summary unless a newer one is known."""
        known = self._received.get(summary.owner)
        if known is not None and known.summary.sequence >= summary.sequence:
            return
        if known is None and len(self._received) >= MAX_OWNERS:
            return
        self._received[summary.owner] = _ReceivedSummary(
            summary=summary, received_at=now
        )

    def update(
        self,
        own_pools: collections.abc.Iterable[messages.PoolWork],
        now: datetime.datetime,
    ) -> None:
        """Recompute the means, including this daemon's own upstreams."""
        self._own_pools = tuple(own_pools)
        for owner, received in list(self._received.items()):
            if now - received.received_at > MAX_SUMMARY_AGE:
                del self._received[owner]
        sums: dict[int, list[int]] = {}
        for pool in self._all_pools():
            total = sums.setdefault(pool.pool, [0, 0, 0, 0, 0])
            total[0] += pool.work
            total[1] += pool.capacity
            total[2] += pool.placed
            total[3] += pool.requests
            total[4] += pool.members
        self._mean_load = {k: v[0] / max(1, v[1]) for k, v in sums.items()}
        self._mean_recent_work = {
            k: v[2] / max(1, v[1]) for k, v in sums.items()
        }
        self._mean_requests = {k: v[3] / max(1, v[4]) for k, v in sums.items()}

    def mean_load(self, upstream: membership_messages.Upstream) -> float:
        """Return the mean load of the upstream's busiest pool."""
        return max(
            (self._mean_load.get(pool, 0.0) for pool in pool_hashes(upstream)),
            default=0.0,
        )

    def mean_recent_work(
        self, upstream: membership_messages.Upstream
    ) -> float:
        """Return the mean of recently placed work, in full batches."""
        return max(
            (
                self._mean_recent_work.get(pool, 0.0)
                for pool in pool_hashes(upstream)
            ),
            default=0.0,
        )

    def mean_requests(self, upstream: membership_messages.Upstream) -> float:
        """Return the mean number of requests at an upstream of the service.

        Of several services the one with the lowest mean counts.
        """
        return min(
            (
                self._mean_requests.get(service, 0.0)
                for service in service_hashes(upstream)
            ),
            default=0.0,
        )

    def dump(self) -> dict[str, float]:
        """Return the mean load of each pool."""
        return {
            f"{pool:08x}": mean_load
            for pool, mean_load in self._mean_load.items()
        }

    def _all_pools(self) -> collections.abc.Iterator[messages.PoolWork]:
        yield from self._own_pools
        for received in self._received.values():
            yield from received.summary.pools
