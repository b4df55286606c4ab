"""Gives the shares of a model's versions."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow import message
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages


class VersionsCore:
    """The configuration in, the shares of versions out."""

    handles = (publishing_messages.ConfigurationChanged,)

    def __init__(self) -> None:
        self._shares: list[messages.VersionShares] = []

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        self._shares = [
            messages.VersionShares(
                service=service.name,
                model=model.name,
                shares=((model.version, 1.0),),
            )
            for service in event.bundle.service
            for model in service.models
        ]
        return list(self._shares)

    def dump(self) -> dict[str, typing.Any]:
        """Return each model's shares by version."""
        return {
            f"{item.service}/{item.model}": dict(item.shares)
            for item in self._shares
        }
