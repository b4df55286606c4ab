"""Selects the engine from which another one copies a prompt's KV cache.

A copy saves computing the prompt again in these cases: a new engine, or one
of a restored zone, becomes the home of sessions that another engine has
processed; a request is placed away from its home because the home is full; a
prefix with much traffic gets another home.

This is a guess from rendezvous order and ages. It is used for prompts of
which the owners' directory has no entry, see ``part_directory``.
"""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes

# Processing a shorter prompt takes less time than a transfer spends queued.
MIN_TOKENS = 3000
MAX_CANDIDATES = 3  # engines considered, in rendezvous order
# By this time a home has cached the prompts that are routed to it.
SETTLING_TIME = datetime.timedelta(seconds=20)
# Engines that started within this time of each other have not processed each
# other's prompts.
MIN_AGE_DIFFERENCE = datetime.timedelta(seconds=3)


class CacheSources:
    """Finds engines that probably have the prompts of requests cached."""

    def __init__(
        self, *, directory: directories.Directory, health: healths.Health
    ) -> None:
        self._directory = directory
        self._health = health
        self._zone_restored_at: dict[str, datetime.datetime] = {}
        self._weights: dict[str, float] = {}

    def set_zone_weights(
        self,
        weights: tuple[tuple[str, float], ...],
        now: datetime.datetime,
    ) -> None:
        """Record when the weight of a zone rises, that is when it returns."""
        for zone, weight in weights:
            if self._weights.get(zone, 1.0) < weight:
                self._zone_restored_at[zone] = now
        self._weights = dict(weights)

    def find(
        self,
        request: messages.PlaceRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> str:
        """Return the URL of the engine to copy from, "" for none."""
        shared_tokens = sum(tokens for _, tokens in request.parts[:-1])
        if not request.model or shared_tokens < MIN_TOKENS:
            return ""
        prefix = prefixes.prefix_of(request.chat)
        ring = self._directory.model_ring(request.service, request.model)
        ranked = ring.best(prefix, MAX_CANDIDATES)
        at_home = bool(ranked) and ranked[0] == upstream.upstream_id
        if at_home and now - self._available_since(upstream) >= SETTLING_TIME:
            return ""
        others = [
            item
            for item in ranked
            if item != upstream.upstream_id
            and self._directory.same_version(item, request)
        ]
        for other_id in self._health.healthy(others, now, once=False):
            other = self._directory.upstreams[other_id]
            if (
                not at_home
                and now - self._available_since(other) >= MIN_AGE_DIFFERENCE
            ):
                return other.url
            if (
                at_home
                and self._available_since(upstream)
                - self._available_since(other)
                >= MIN_AGE_DIFFERENCE
            ):
                return other.url
        return ""

    def _available_since(
        self, upstream: membership_messages.Upstream
    ) -> datetime.datetime:
        """Return when an engine started or its zone was restored, if later."""
        restored_at = self._zone_restored_at.get(upstream.zone)
        if restored_at is None:
            return upstream.started_at
        return max(upstream.started_at, restored_at)
