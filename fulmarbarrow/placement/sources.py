"""Selects the engine from which another one copies a prompt's KV cache.

A copy saves computing the prompt again in these cases: a new engine, or one
of a restored zone, becomes the home of sessions that another engine has
processed; a request is placed away from its home because the home is full; a
prefix with much traffic gets another home.
"""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes

# A shorter prompt is processed in less time than a transfer is queued.
LEAST_TOKENS = 3000
LOOKED_AT = 3  # engines considered, in rendezvous order
# After this time a home has cached the prompts that are routed to it.
SETTLED = datetime.timedelta(seconds=20)
# Engines that started within this time of each other have not processed each
# other's prompts.
LATER = datetime.timedelta(seconds=3)


class Sources:
    """Finds engines that probably have the prompts of requests cached."""

    def __init__(
        self, *, directory: directories.Directory, health: healths.Health
    ) -> None:
        self._directory = directory
        self._health = health
        self._returned: dict[str, datetime.datetime] = {}
        self._weights: dict[str, float] = {}

    def set_zone_weights(
        self,
        weights: tuple[tuple[str, float], ...],
        now: datetime.datetime,
    ) -> None:
        """Record when the weight of a zone rises, that is when it returns."""
        for zone, weight in weights:
            if self._weights.get(zone, 1.0) < weight:
                self._returned[zone] = now
        self._weights = dict(weights)

    def source(
        self,
        request: messages.PlaceRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> str:
        """Return the URL of the engine to copy from, "" for none."""
        shared = sum(tokens for _, tokens in request.parts[:-1])
        if not request.model or shared < LEAST_TOKENS:
            return ""
        part = prefixes.base(request.chat)
        ring = self._directory.holders(request.service, request.model)
        order = ring.best(part, LOOKED_AT)
        at_home = bool(order) and order[0] == upstream.upstream_id
        if at_home and now - self._since(upstream) >= SETTLED:
            return ""
        others = [item for item in order if item != upstream.upstream_id]
        for name in self._health.fit(others, now, once=False):
            other = self._directory.upstreams[name]
            if not at_home and now - self._since(other) >= LATER:
                return other.url
            if at_home and self._since(upstream) - self._since(other) >= LATER:
                return other.url
        return ""

    def _since(
        self, upstream: membership_messages.Upstream
    ) -> datetime.datetime:
        """Return when an engine started or its zone was last restored."""
        returned = self._returned.get(upstream.zone)
        if returned is None:
            return upstream.started_at
        return max(upstream.started_at, returned)
