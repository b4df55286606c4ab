"""Chooses the upstream of each attempt."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import rendezvous


class PlacementCore:
    """Requests for a place in, chosen upstreams out."""

    handles = (
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        messages.PlaceRequest,
        messages.PlaceCancelled,
        messages.WorkEnded,
    )

    def __init__(
        self, *, address: str, metrics: metrics_module.Metrics
    ) -> None:
        self._address = address
        self._metrics = metrics
        self._upstreams: dict[str, membership_messages.Upstream] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
            case messages.PlaceRequest():
                return [self._place(event)]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the known upstreams as plain data."""
        return {"upstreams": sorted(self._upstreams)}

    def _place(self, request: messages.PlaceRequest) -> message.Message:
        weights = {
            upstream.upstream_id: upstream.weight
            for upstream in self._upstreams.values()
            if self._fits(upstream, request)
        }
        chosen = rendezvous.order(request.chat, weights)
        if not chosen:
            return messages.NotPlaced(
                request_id=request.request_id,
                attempt_id=request.attempt_id,
                code="no_upstream",
            )
        upstream = self._upstreams[chosen[0]]
        return messages.Placed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
            url=upstream.url,
            version=self._version(upstream, request),
        )

    @staticmethod
    def _fits(
        upstream: membership_messages.Upstream,
        request: messages.PlaceRequest,
    ) -> bool:
        if upstream.state is not membership_messages.UpstreamState.SERVING:
            return False
        if upstream.upstream_id in request.excluded:
            return False
        return any(
            offer.service == request.service and offer.model == request.model
            for offer in upstream.offers
        )

    @staticmethod
    def _version(
        upstream: membership_messages.Upstream,
        request: messages.PlaceRequest,
    ) -> str:
        for offer in upstream.offers:
            if (offer.service, offer.model) == (
                request.service,
                request.model,
            ):
                return offer.version
        return ""
