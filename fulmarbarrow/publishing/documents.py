"""Linearizable reads of the newest document for operators."""

from __future__ import annotations

import datetime

from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state as states
from fulmarbarrow.publishing import status as status_module

UNSURE = "not_current"
# Callers try another daemon after one second.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=800)


class DocumentDesk:
    """Reads the document once the leader's revision is applied locally."""

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
        """Ask the leader, which may be this host, for its revision."""
        self._asked[event.read_id] = now + ANSWER_TIMEOUT
        wanted = messages.StatusRequested(status_id=event.read_id)
        return self._status.requested(wanted, now)

    def confirmed(
        self, event: messages.StatusGiven, now: datetime.datetime
    ) -> list[message.Message]:
        """Answer a read, or hold it until the leader's revision is applied."""
        if event.status_id not in self._asked:
            return []
        if not event.status.current:
            return [self._refuse(event.status_id)]
        if self._state.revision < event.status.revision:
            self._behind[event.status_id] = event.status.revision
            return []
        return [self._give(event.status_id)]

    def applied(self) -> list[message.Message]:
        """Answer the reads whose revision has now been applied."""
        return [
            self._give(read_id)
            for read_id, revision in list(self._behind.items())
            if revision <= self._state.revision
        ]

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Reject the reads that timed out."""
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
