"""Chooses from which engine another one fetches a prompt's memory.

Load patterns: a new engine, or one of a zone that returns, becomes the home
of sessions that another one has read; a request is placed away from its home
because that is full; a part with much traffic gets a further home.
"""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes

# A shorter prompt is read faster than a transfer waits for its turn.
LEAST_TOKENS = 3000
# After so long at its place a home has read the prompts that come to it.
LOOKED_AT = 3  # engines in the order of homes
SETTLED = datetime.timedelta(seconds=20)
# Engines that came together have read nothing of each other's prompts.
LATER = datetime.timedelta(seconds=3)


class Sources:
    """Placed requests in, engines that probably hold their prompts out."""

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
        """Take note of zones that have come back."""
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
        """Return the URL of the engine to fetch from, "" for none."""
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
        """Return since when an engine has had its place."""
        returned = self._returned.get(upstream.zone)
        if returned is None:
            return upstream.started_at
        return max(upstream.started_at, returned)
