"""Chooses from which engine another one fetches a prompt's memory.

Load patterns: a new engine, or one of a zone that returns, becomes the home
of sessions that another one has read; a request is placed away from its home
because that is full; a part with much traffic gets a further home.
"""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes

# A shorter prompt is read faster than a transfer waits for its turn.
LEAST_TOKENS = 3000
# After so long at its place a home has read the prompts that come to it.
SETTLED = datetime.timedelta(seconds=20)
# Engines that came together have read nothing of each other's prompts.
LATER = datetime.timedelta(seconds=3)


class Sources:
    """Placed requests in, engines that probably hold their prompts out."""

    def __init__(self, *, directory: directories.Directory) -> None:
        self._directory = directory
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
        order = ring.best(part, 2)
        if not order or order == [upstream.upstream_id]:
            return ""
        if order[0] != upstream.upstream_id:
            return self._url(order[0])
        second = self._directory.upstreams[order[1]]
        since = self._since(upstream)
        settled = now - since >= SETTLED
        if settled or since - self._since(second) < LATER:
            return ""
        return second.url

    def _since(
        self, upstream: membership_messages.Upstream
    ) -> datetime.datetime:
        """Return since when an engine has had its place."""
        returned = self._returned.get(upstream.zone)
        if returned is None:
            return upstream.started_at
        return max(upstream.started_at, returned)

    def _url(self, upstream_id: str) -> str:
        return self._directory.upstreams[upstream_id].url
