"""Gives operators the newest document, if this host can be sure of it."""

from __future__ import annotations

import datetime

from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state as states
from fulmarbarrow.publishing import status as status_module

UNSURE = "not_current"
# Below the second after which callers ask another daemon.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=800)


class DocumentDesk:
    """Asks the leader for its revision, and waits until it is applied here."""

    def __init__(
        self,
        *,
        state: states.PublishedState,
        status: status_module.StatusDesk,
    ) -> None:
        self._state = state
        self._status = status
        self._asked: dict[str, datetime.datetime] = {}
        self._behind: dict[str, int] = {}

    def requested(
        self, event: messages.DocumentRequested, now: datetime.datetime
    ) -> list[message.Message]:
        """Ask the leader, which may be this host."""
        self._asked[event.read_id] = now + ANSWER_TIMEOUT
        wanted = messages.StatusRequested(status_id=event.read_id)
        return self._status.requested(wanted, now)

    def confirmed(
        self, event: messages.StatusGiven, now: datetime.datetime
    ) -> list[message.Message]:
        """Take the leader's revision."""
        if event.status_id not in self._asked:
            return []
        if not event.status.current:
            return [self._refuse(event.status_id)]
        if self._state.revision < event.status.revision:
            self._behind[event.status_id] = event.status.revision
            return []
        return [self._give(event.status_id)]

    def applied(self) -> list[message.Message]:
        """Answer what waited for a revision that is applied now."""
        return [
            self._give(read_id)
            for read_id, revision in list(self._behind.items())
            if revision <= self._state.revision
        ]

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Refuse what could not be answered in time."""
        return [
            self._refuse(read_id)
            for read_id, until in list(self._asked.items())
            if until <= now
        ]

    def _give(self, read_id: str) -> message.Message:
        self._forget(read_id)
        document = self._state.document
        return messages.DocumentGiven(
            read_id=read_id,
            number=self._state.number,
            document=packing.unpack(document) if document else b"",
        )

    def _refuse(self, read_id: str) -> message.Message:
        self._forget(read_id)
        return messages.DocumentGiven(read_id=read_id, code=UNSURE)

    def _forget(self, read_id: str) -> None:
        self._asked.pop(read_id, None)
        self._behind.pop(read_id, None)
