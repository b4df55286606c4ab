"""Puts revisions in force on a daemon; a revision never reverts."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message
from fulmarbarrow.publishing import messages


class PublishingFollower:
    """Pushed revisions in, the configuration in force out."""

    handles = (messages.RevisionPush,)

    def __init__(self, *, daemon_id: str, address: str) -> None:
        self._daemon_id = daemon_id
        self._address = address
        self._revision = 0

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        effects: list[message.Message] = []
        if event.revision > self._revision:
            self._revision = event.revision
            effects.append(
                messages.ConfigurationChanged(
                    revision=event.revision,
                    bundle=bundles.decode(event.bundle),
                )
            )
        ack = messages.RevisionAck(
            daemon_id=self._daemon_id,
            address=self._address,
            revision=self._revision,
        )
        if event.sender == self._address:
            return [*effects, ack]
        return [*effects, message.Send(address=event.sender, message=ack)]

    def dump(self) -> dict[str, typing.Any]:
        """Return the revision in force."""
        return {"revision": self._revision}
