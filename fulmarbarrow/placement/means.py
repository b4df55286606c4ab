"""Computes the mean load of each pool from the owners' summaries."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import xxhash

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages

SUMMARY_AGE = datetime.timedelta(seconds=5)
MAX_OWNERS = 512


def pool_hash(service: str, model: str, version: str) -> int:
    """Return the hash that identifies a pool on the wire."""
    name = f"{service}\0{model}\0{version}"
    return xxhash.xxh32_intdigest(name.encode())


def pools_of(upstream: membership_messages.Upstream) -> set[int]:
    """Return the hashes of the pools that an upstream belongs to."""
    return {
        pool_hash(item.service, item.model, item.version)
        for item in upstream.offers
    }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Heard:
    summary: messages.OwnerSummary
    at: datetime.datetime


class PoolMeans:
    """Mean work of each pool in full batches, that is work over capacity.

    Each owner sends its summaries to a few randomly chosen routers. The
    summaries that a router received within ``SUMMARY_AGE`` are a sample that
    is large enough for a mean.
    """

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._own: tuple[messages.PoolWork, ...] = ()
        self._load: dict[int, float] = {}
        self._placed: dict[int, float] = {}
        self._requests: dict[int, float] = {}

    def hear(
        self, summary: messages.OwnerSummary, now: datetime.datetime
    ) -> None:
        """Record another owner's summary unless a newer one is known."""
        known = self._heard.get(summary.owner)
        if known is not None and known.summary.sequence >= summary.sequence:
            return
        if known is None and len(self._heard) >= MAX_OWNERS:
            return
        self._heard[summary.owner] = _Heard(summary=summary, at=now)

    def update(
        self,
        own: collections.abc.Iterable[messages.PoolWork],
        now: datetime.datetime,
    ) -> None:
        """Recompute the means, including this daemon's own upstreams."""
        self._own = tuple(own)
        for owner, heard in list(self._heard.items()):
            if now - heard.at > SUMMARY_AGE:
                del self._heard[owner]
        sums: dict[int, list[int]] = {}
        for pool in self._pools():
            total = sums.setdefault(pool.pool, [0, 0, 0, 0, 0])
            total[0] += pool.work
            total[1] += pool.capacity
            total[2] += pool.placed
            total[3] += pool.requests
            total[4] += pool.members
        self._load = {k: v[0] / max(1, v[1]) for k, v in sums.items()}
        self._placed = {k: v[2] / max(1, v[1]) for k, v in sums.items()}
        self._requests = {k: v[3] / max(1, v[4]) for k, v in sums.items()}

    def load(self, upstream: membership_messages.Upstream) -> float:
        """Return the mean load of the upstream's busiest pool."""
        return max(
            (self._load.get(pool, 0.0) for pool in pools_of(upstream)),
            default=0.0,
        )

    def placed(self, upstream: membership_messages.Upstream) -> float:
        """Return the mean of recently placed work, in full batches."""
        return max(
            (self._placed.get(pool, 0.0) for pool in pools_of(upstream)),
            default=0.0,
        )

    def requests(self, upstream: membership_messages.Upstream) -> float:
        """Return the mean number of requests at an upstream of the pool."""
        return max(
            (self._requests.get(pool, 0.0) for pool in pools_of(upstream)),
            default=0.0,
        )

    def dump(self) -> dict[str, float]:
        """Return the mean load of each pool."""
        return {f"{pool:08x}": load for pool, load in self._load.items()}

    def _pools(self) -> collections.abc.Iterator[messages.PoolWork]:
        yield from self._own
        for heard in self._heard.values():
            yield from heard.summary.pools
