"""Linearizable reads of the newest document for operators."""

from __future__ import annotations

import datetime

from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state as states
from fulmarbarrow.publishing import status as status_module

NOT_CURRENT = "not_current"
# Callers try another daemon after one second.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=800)


class DocumentReader:
    """Reads the document once the leader's revision is applied locally."""

    def __init__(
        self,
        *,
        state: states.PublishedState,
        status: status_module.StatusService,
    ) -> None:
        self._state = state
        self._status = status
        self._deadlines: dict[str, datetime.datetime] = {}
        self._awaited_revisions: dict[str, int] = {}

    def on_requested(
        self, event: messages.DocumentRequested, now: datetime.datetime
    ) -> list[message.Message]:
        """Ask the leader, which may be this host, for its revision."""
        self._deadlines[event.read_id] = now + ANSWER_TIMEOUT
        request = messages.StatusRequested(status_id=event.read_id)
        return self._status.on_requested(request, now)

    def on_status(
        self, event: messages.StatusResponse, now: datetime.datetime
    ) -> list[message.Message]:
        """Answer a read, or hold it until the leader's revision is applied."""
        if event.status_id not in self._deadlines:
            return []
        if not event.status.current:
            return [self._reject(event.status_id)]
        if self._state.revision < event.status.revision:
            self._awaited_revisions[event.status_id] = event.status.revision
            return []
        return [self._answer(event.status_id)]

    def on_applied(self) -> list[message.Message]:
        """Answer the reads whose revision has now been applied."""
        return [
            self._answer(read_id)
            for read_id, revision in list(self._awaited_revisions.items())
            if revision <= self._state.revision
        ]

    def on_tick(self, now: datetime.datetime) -> list[message.Message]:
        """Reject the reads that timed out."""
        return [
            self._reject(read_id)
            for read_id, deadline in list(self._deadlines.items())
            if deadline <= now
        ]

    def _answer(self, read_id: str) -> message.Message:
        self._remove(read_id)
        document = self._state.document
        return messages.DocumentResponse(
            read_id=read_id,
            number=self._state.number,
            document=packing.unpack(document) if document else b"",
        )

    def _reject(self, read_id: str) -> message.Message:
        self._remove(read_id)
        return messages.DocumentResponse(read_id=read_id, code=NOT_CURRENT)

    def _remove(self, read_id: str) -> None:
        self._deadlines.pop(read_id, None)
        self._awaited_revisions.pop(read_id, None)
