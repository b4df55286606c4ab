"""Replicated logs without a disk, for replays and the fault matrix."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import message

MEMORY_IDENTITY = "memory"


class LogStore(typing.Protocol):
    """Storage of a control host's logs."""

    @property
    def host_identity(self) -> str:
        """The identity stored on this host's disk."""

    def open(self, group: records.Group) -> state.StoredState:
        """Return the stored state of a group's log."""


class MemoryLogStore:
    """Confirms every write on the bus at once, without storing it."""

    handles = (messages.Persist,)

    @property
    def host_identity(self) -> str:
        """A fixed identity, the same for every host."""
        return MEMORY_IDENTITY

    def open(self, group: records.Group) -> state.StoredState:
        """Return the state of an empty disk."""
        return state.StoredState(ballot=records.Ballot(), snapshot=None)

    def handle(
        self, event: messages.Persist, now: datetime.datetime
    ) -> list[message.Message]:
        """Confirm a write as synced."""
        return [messages.Persisted(group=event.group, write_id=event.write_id)]

    def dump(self) -> dict[str, typing.Any]:
        """Return no data, as nothing is stored."""
        return {}
