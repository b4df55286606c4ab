"""The replicated log of a single member, in memory."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.consensus import messages
from fulmarbarrow import message


class ConsensusCore:
    """Proposals in, commands in one order out."""

    handles = (messages.Propose, messages.ReadBarrier)

    def __init__(self, *, group: messages.Group) -> None:
        self._group = group
        self._index = 0
        self._term = 1

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.Propose(group=self._group):
                return self._propose(event)
            case messages.ReadBarrier(group=self._group):
                return [
                    messages.ReadReady(
                        read_id=event.read_id, group=self._group, ready=True
                    )
                ]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the log's position as plain data."""
        return {"index": self._index, "term": self._term}

    def _propose(self, event: messages.Propose) -> list[message.Message]:
        self._index += 1
        return [
            messages.Applied(
                group=self._group,
                index=self._index,
                term=self._term,
                command=event.command,
            ),
            messages.ProposeResult(
                proposal_id=event.proposal_id,
                group=self._group,
                committed=True,
                index=self._index,
                term=self._term,
            ),
        ]
