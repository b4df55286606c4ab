"""Upstreams known from membership, by pool."""

from __future__ import annotations

from fulmarbarrow.membership import messages as membership_messages


class UpstreamPools:
    """Upstreams by the service and model that they offer."""

    def __init__(self) -> None:
        self._upstreams: dict[str, membership_messages.Upstream] = {}

    def update(self, event: membership_messages.UpstreamChanged) -> None:
        """Store the current state of an upstream."""
        self._upstreams[event.upstream.upstream_id] = event.upstream

    def remove(self, event: membership_messages.UpstreamGone) -> None:
        """Remove an upstream, unless a newer incarnation has replaced it."""
        known = self._upstreams.get(event.upstream_id)
        if known is not None and known.incarnation <= event.incarnation:
            del self._upstreams[event.upstream_id]

    def is_registered(self, upstream_id: str, incarnation: int) -> bool:
        """Return whether an incarnation holds a lease, as far as is known."""
        known = self._upstreams.get(upstream_id)
        return known is not None and known.incarnation == incarnation

    def is_leaving(self, upstream_id: str, incarnation: int) -> bool:
        """Return whether an upstream has said that it leaves, or has left."""
        known = self._upstreams.get(upstream_id)
        if known is None:
            return True
        leaving = known.state is membership_messages.UpstreamState.LEAVING
        return leaving and known.incarnation == incarnation

    def serving(self, service: str, model: str) -> dict[str, int]:
        """Return the serving upstreams of a pool with their incarnations."""
        return {
            upstream.upstream_id: upstream.incarnation
            for upstream in self._upstreams.values()
            if upstream.state is membership_messages.UpstreamState.SERVING
            and any(
                (offer.service, offer.model) == (service, model)
                for offer in upstream.offers
            )
        }
