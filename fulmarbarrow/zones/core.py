"""Gives the weight of each availability zone."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import messages


class ZonesCore:
    """The configuration in, weights of availability zones out."""

    handles = (publishing_messages.ConfigurationChanged,)

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        self._weights = {
            zone.name: 0.0 if zone.state is bundles.ZoneState.OUT else 1.0
            for zone in event.bundle.zone
        }
        return [
            messages.ZoneWeights(
                revision=event.revision,
                weights=tuple(sorted(self._weights.items())),
            )
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return the weight of each availability zone."""
        return {"weights": dict(self._weights)}
