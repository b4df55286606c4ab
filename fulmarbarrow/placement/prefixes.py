"""Derives the affinity key of a request from the segments of its prompt.

Requests that share a long prompt prefix have one home upstream, so that the
prefix is cached there. A prefix with a large share of the traffic gets
several homes. The last segment is ignored if it is unique to the request; it
becomes the key once last segments recur, as in sessions of several requests.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import math

import xxhash

from fulmarbarrow.placement import messages

WINDOW = datetime.timedelta(seconds=10)
MAX_RECENT = 4096  # recent requests that a router remembers
# A prefix gets another home when one home would take more than this fraction
# of an upstream's even share of the work.
MAX_HOME_SHARE = 0.5
MIN_REQUESTS = 5  # requests with a prefix before its share is significant
# Requests are keyed by their last segment when at least this fraction of the
# requests with the same prefix have a last segment that occurred before.
MIN_RECURRING_SHARE = 0.3
MIN_SESSION_REQUESTS = 8  # requests before that fraction is significant


@dataclasses.dataclass(kw_only=True, slots=True)
class _PrefixStats:
    """Recent requests with a prefix: their number and work in tokens.

    ``recurring`` counts those whose last segment had occurred before.
    """

    count: int = 0
    work: int = 0
    recurring: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RecentRequest:
    arrived_at: datetime.datetime
    pool: str
    prefix: str
    last_segment: str
    work: int
    recurring: bool


def prefix_of(key: str) -> str:
    """Return the prefix of a key, without the number of its home."""
    return key.partition("#")[0]


class Prefixes:
    """Prompt prefixes of this router's recent requests, by pool."""

    def __init__(self) -> None:
        self._recent: collections.deque[_RecentRequest] = collections.deque()
        self._prefixes: dict[tuple[str, str], _PrefixStats] = {}
        self._last_segments: collections.Counter[str] = collections.Counter()
        self._pool_work: collections.Counter[str] = collections.Counter()

    def affinity_key(
        self,
        request: messages.PlaceRequest,
        upstreams: int,
        now: datetime.datetime,
    ) -> str:
        """Record a request and return the key that selects its home."""
        if not request.parts:
            return request.chat
        pool = f"{request.service}/{request.model}"
        last_segment = request.parts[-1][0]
        if len(request.parts) == 1:
            return last_segment
        prefix = request.parts[-2][0]
        stats = self._record(pool, prefix, last_segment, request.cost, now)
        if stats.count >= MIN_SESSION_REQUESTS and (
            stats.recurring >= MIN_RECURRING_SHARE * stats.count
        ):
            return last_segment
        homes = self._home_count(pool, stats, upstreams)
        if homes == 1:
            return prefix
        home = xxhash.xxh3_64_intdigest(request.attempt_id.encode()) % homes
        return f"{prefix}#{home}" if home else prefix

    def _home_count(
        self, pool: str, stats: _PrefixStats, upstreams: int
    ) -> int:
        """Return the number of homes for a prefix's share of the work."""
        if stats.count < MIN_REQUESTS:
            return 1
        share = stats.work / max(1, self._pool_work[pool])
        needed = math.ceil(share * upstreams / MAX_HOME_SHARE)
        return max(1, min(needed, upstreams))

    def _record(
        self,
        pool: str,
        prefix: str,
        last_segment: str,
        work: int,
        now: datetime.datetime,
    ) -> _PrefixStats:
        self._expire(now)
        recorded = _RecentRequest(
            arrived_at=now,
            pool=pool,
            prefix=prefix,
            last_segment=last_segment,
            work=work,
            recurring=self._last_segments[last_segment] > 0,
        )
        self._recent.append(recorded)
        self._last_segments[last_segment] += 1
        self._pool_work[pool] += work
        stats = self._prefixes.setdefault((pool, prefix), _PrefixStats())
        stats.count += 1
        stats.work += work
        stats.recurring += recorded.recurring
        return stats

    def _expire(self, now: datetime.datetime) -> None:
        while self._recent and (
            now - self._recent[0].arrived_at > WINDOW
            or len(self._recent) > MAX_RECENT
        ):
            self._remove(self._recent.popleft())

    def _remove(self, recorded: _RecentRequest) -> None:
        self._pool_work[recorded.pool] -= recorded.work
        self._last_segments[recorded.last_segment] -= 1
        if self._last_segments[recorded.last_segment] <= 0:
            del self._last_segments[recorded.last_segment]
        stats = self._prefixes[recorded.pool, recorded.prefix]
        stats.count -= 1
        stats.work -= recorded.work
        stats.recurring -= recorded.recurring
        if not stats.count:
            del self._prefixes[recorded.pool, recorded.prefix]
