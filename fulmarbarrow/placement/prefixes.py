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
MAX_PARTS = 4096  # recent requests that a router remembers
# A prefix gets another home when one home would take more than this fraction
# of an upstream's even share of the work.
HOME_PART = 0.5
LEAST_COUNT = 5  # requests with a prefix before its share is significant
# Requests are keyed by their last segment when at least this fraction of the
# requests with the same prefix have a last segment that occurred before.
SESSION_PART = 0.3
LEAST_LAST = 8  # requests before that fraction is significant


@dataclasses.dataclass(kw_only=True, slots=True)
class _Seen:
    """Recent requests with a prefix: their number and work in tokens.

    ``returned`` counts those whose last segment had occurred before.
    """

    count: int = 0
    work: int = 0
    returned: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    at: datetime.datetime
    pool: str
    shared: str
    last: str
    work: int
    returned: bool


def base(key: str) -> str:
    """Return the prefix of a key, without the number of its home."""
    return key.partition("#")[0]


class Prefixes:
    """Prompt prefixes of this router's recent requests, by pool."""

    def __init__(self) -> None:
        self._recent: collections.deque[_Entry] = collections.deque()
        self._shared: dict[tuple[str, str], _Seen] = {}
        self._last: collections.Counter[str] = collections.Counter()
        self._work: collections.Counter[str] = collections.Counter()

    def key(
        self,
        request: messages.PlaceRequest,
        upstreams: int,
        now: datetime.datetime,
    ) -> str:
        """Record a request and return the key that selects its home."""
        if not request.parts:
            return request.chat
        pool = f"{request.service}/{request.model}"
        last = request.parts[-1][0]
        if len(request.parts) == 1:
            return last
        shared = request.parts[-2][0]
        seen = self._count(pool, shared, last, request.cost, now)
        if seen.count >= LEAST_LAST and (
            seen.returned >= SESSION_PART * seen.count
        ):
            return last
        homes = self._homes(pool, seen, upstreams)
        if homes == 1:
            return shared
        chosen = xxhash.xxh3_64_intdigest(request.attempt_id.encode()) % homes
        return f"{shared}#{chosen}" if chosen else shared

    def _homes(self, pool: str, seen: _Seen, upstreams: int) -> int:
        """Return the number of homes for a prefix's share of the work."""
        if seen.count < LEAST_COUNT:
            return 1
        share = seen.work / max(1, self._work[pool])
        wanted = math.ceil(share * upstreams / HOME_PART)
        return max(1, min(wanted, upstreams))

    def _count(
        self,
        pool: str,
        shared: str,
        last: str,
        work: int,
        now: datetime.datetime,
    ) -> _Seen:
        self._expire(now)
        entry = _Entry(
            at=now,
            pool=pool,
            shared=shared,
            last=last,
            work=work,
            returned=self._last[last] > 0,
        )
        self._recent.append(entry)
        self._last[last] += 1
        self._work[pool] += work
        seen = self._shared.setdefault((pool, shared), _Seen())
        seen.count += 1
        seen.work += work
        seen.returned += entry.returned
        return seen

    def _expire(self, now: datetime.datetime) -> None:
        while self._recent and (
            now - self._recent[0].at > WINDOW or len(self._recent) > MAX_PARTS
        ):
            self._forget(self._recent.popleft())

    def _forget(self, entry: _Entry) -> None:
        self._work[entry.pool] -= entry.work
        self._last[entry.last] -= 1
        if self._last[entry.last] <= 0:
            del self._last[entry.last]
        seen = self._shared[entry.pool, entry.shared]
        seen.count -= 1
        seen.work -= entry.work
        seen.returned -= entry.returned
        if not seen.count:
            del self._shared[entry.pool, entry.shared]
