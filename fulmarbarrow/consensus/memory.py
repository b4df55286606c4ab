"""Replicated logs without a disk, for replays and the fault matrix."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import message

MEMORY_IDENTITY = "memory"


class Logs(typing.Protocol):
    """Where a control host's logs are kept."""

    @property
    def host_identity(self) -> str:
        """The identity of this host's disk."""

    def open(self, group: records.Group) -> state.Stored:
        """Return what is stored of a group's log."""


class MemoryLogs:
    """Takes every write as synced at once; attach it to the bus."""

    handles = (messages.Persist,)

    @property
    def host_identity(self) -> str:
        """The same identity for every host."""
        return MEMORY_IDENTITY

    def open(self, group: records.Group) -> state.Stored:
        """Return an empty disk."""
        return state.Stored(ballot=records.Ballot(), snapshot=None)

    def handle(
        self, event: messages.Persist, now: datetime.datetime
    ) -> list[message.Message]:
        """Answer a write."""
        return [messages.Persisted(group=event.group, write_id=event.write_id)]

    def dump(self) -> dict[str, typing.Any]:
        """Return nothing, as nothing is kept."""
        return {}
