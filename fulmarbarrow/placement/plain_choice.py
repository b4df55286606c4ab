"""Orders plain upstreams by the time in which a request would be done.

Load pattern: a few upstreams with few slots serve many routers, and demand
differs between zones. Each router sees a small part of the requests, so that
what it knows of an upstream is some hundred milliseconds old.
"""

from __future__ import annotations

import collections.abc
import datetime
import math
import random

from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import plain_states
from fulmarbarrow.placement import sizing

# Between zones each way; 1.4 to 3.9 ms were measured.
ZONE_LATENCY_MS = 2.7
# Routers with the same old state must not all choose the same upstream: the
# work ahead is taken as uncertain by this part of the slots after this time.
UNCERTAIN_PART = 1.0
UNCERTAIN_AFTER = datetime.timedelta(milliseconds=300)
# An upstream that was almost full may be full now: in requests, and as a part
# of the slots that grows with the age of the state.
MIN_SOFTNESS = 0.3
SOFT_PART = 0.25
# Part of the slots taken as busy where nothing is known.
UNKNOWN_PART = 0.5
# An owner sends a request to another upstream only for a gain above this,
# which covers the additional message and the age of what it knows.
LEAST_GAIN_MS = 15.0
# An older state of another upstream is no reason to refuse a request.
MAX_REDIRECT_AGE = datetime.timedelta(milliseconds=300)
# Upstreams of a large service that are compared for one request.
MAX_COMPARED = 8
DEFAULT_REQUEST_MS = sizing.PLAIN_SERVICE_SECONDS * 1000


class PlainChoice:
    """Compares plain upstreams, for routers and for owners."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        states: plain_states.PlainStates,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._states = states
        self._rng = rng

    def active(self, upstream_id: str, now: datetime.datetime) -> bool:
        """Return whether the state of a plain upstream is known."""
        return self._states.get(upstream_id, now) is not None

    def ranked(
        self,
        members: collections.abc.Sequence[str],
        zone: str,
        now: datetime.datetime,
    ) -> list[str] | None:
        """Return the upstreams by expected time, None if no state is known."""
        members = self._some(members, zone)
        if not any(self.active(item, now) for item in members):
            return None
        return self._sorted(members, zone, now)

    def rank_rest(
        self,
        candidates: list[str],
        position: int,
        zone: str,
        now: datetime.datetime,
    ) -> list[str]:
        """Return candidates, those from ``position`` on by expected time."""
        rest = candidates[position:]
        if len(rest) < 2 or not any(self.active(i, now) for i in rest):
            return candidates
        return [*candidates[:position], *self._sorted(rest, zone, now)]

    def latency_ms(self, upstream_id: str, zone: str) -> float:
        """Return the network time to an upstream and back."""
        same = self._directory.zone(upstream_id) == zone
        return 0.0 if same else 2 * ZONE_LATENCY_MS

    def redirects(
        self, event: messages.Reserve, now: datetime.datetime
    ) -> bool:
        """Return whether the first owner asked knows a better idle upstream.

        The request is counted there, so that not all requests of a burst are
        sent to the same upstream.
        """
        if event.stage is not messages.ReserveStage.HOME:
            return False
        own = self._states.get(event.upstream_id, now)
        if own is None:
            return False
        zone = self._directory.zone(event.upstream_id)
        ring = self._directory.pool_ring(event.service, "")
        others = []
        for other_id in self._some(ring.members, zone):
            known = self._states.get(other_id, now)
            if other_id == event.upstream_id or known is None:
                continue
            busy = known.state.ahead + known.added >= known.state.slots
            if busy or now - known.valid_at > MAX_REDIRECT_AGE:
                continue
            expected = self._expected_ms(other_id, known, 0.0, now)
            expected += self.latency_ms(other_id, zone)
            others.append((expected, other_id))
        if not others:
            return False
        best_ms, best_id = min(others)
        if self._expected_ms(event.upstream_id, own, 0.0, now) < (
            best_ms + LEAST_GAIN_MS
        ):
            return False
        self._states.add_placement(best_id, now)
        return True

    def _some(
        self, members: collections.abc.Sequence[str], zone: str
    ) -> collections.abc.Sequence[str]:
        """Return a random part of many upstreams, half of it of the zone."""
        if len(members) <= MAX_COMPARED:
            return members
        near = [i for i in members if self._directory.zone(i) == zone]
        far = [i for i in members if self._directory.zone(i) != zone]
        count = min(len(near), max(MAX_COMPARED // 2, MAX_COMPARED - len(far)))
        return [
            *self._rng.sample(near, count),
            *self._rng.sample(far, min(len(far), MAX_COMPARED - count)),
        ]

    def _sorted(
        self,
        members: collections.abc.Sequence[str],
        zone: str,
        now: datetime.datetime,
    ) -> list[str]:
        def key(upstream_id: str) -> float:
            known = self._states.get(upstream_id, now)
            expected = self._expected_ms(
                upstream_id, known, UNCERTAIN_PART, now
            )
            return expected + self.latency_ms(upstream_id, zone)

        return sorted(members, key=key)

    def _expected_ms(
        self,
        upstream_id: str,
        known: plain_states.KnownState | None,
        uncertain: float,
        now: datetime.datetime,
    ) -> float:
        """Return the time until a request placed now would be done.

        With the age of the state the work ahead approaches a usual value and
        gets more random.
        """
        if known is None:
            upstream = self._directory.upstreams.get(upstream_id)
            slots = max(1, upstream.slots if upstream else 1)
            ahead, trust, pace = 0.0, 0.0, 1.0
            request_ms = DEFAULT_REQUEST_MS
        else:
            slots = known.state.slots
            ahead = float(known.state.ahead + known.added)
            age = max(datetime.timedelta(0), now - known.valid_at)
            trust = UNCERTAIN_AFTER / (UNCERTAIN_AFTER + age)
            pace = known.pace(now)
            request_ms = known.state.request_ms or DEFAULT_REQUEST_MS
        ahead = trust * ahead + (1 - trust) * UNKNOWN_PART * slots
        if uncertain:
            spread = uncertain * (1 - trust) * slots
            ahead += spread * (2 * self._rng.random() - 1)
        softness = MIN_SOFTNESS + SOFT_PART * (1 - trust) * slots
        over = (ahead + 1 - slots) / softness
        waiting = softness * math.log1p(math.exp(min(over, 50.0))) / slots
        if over > 50.0:
            waiting = (ahead + 1 - slots) / slots
        return request_ms * pace * (1.0 + waiting)
