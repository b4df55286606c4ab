"""The journal on one daemon, in memory."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from fulmarbarrow.journal import messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One action by its key and what is known of its run."""

    digest: str
    standing: messages.EntryStanding
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class JournalCore:
    """Intents and outcomes in, rights to dispatch out."""

    handles = (
        messages.Intend,
        messages.RecordOutcome,
        messages.SealEntry,
        messages.MarkUnknown,
    )

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._entries: dict[tuple[str, str], Entry] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.Intend():
                return [self._intend(event)]
            case messages.RecordOutcome():
                self._entries[event.account, event.key] = dataclasses.replace(
                    self._entries[event.account, event.key],
                    standing=messages.EntryStanding.DONE,
                    status=event.status,
                    content_type=event.content_type,
                    body=event.body,
                )
                return [self._written(event.request_id)]
            case messages.SealEntry():
                return [self._mark(event, messages.EntryStanding.SEALED)]
            case messages.MarkUnknown():
                return [self._mark(event, messages.EntryStanding.UNKNOWN)]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of entries by their standing."""
        standings = [entry.standing for entry in self._entries.values()]
        return {
            standing.value: standings.count(standing)
            for standing in messages.EntryStanding
        }

    def _intend(self, event: messages.Intend) -> message.Message:
        key = (event.account, event.key)
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = Entry(
                digest=event.digest, standing=messages.EntryStanding.RUNNING
            )
            return messages.IntendResult(
                request_id=event.request_id,
                standing=messages.EntryStanding.MAY_DISPATCH,
                dispatch_until=event.deadline,
            )
        standing = entry.standing
        if entry.digest != event.digest:
            standing = messages.EntryStanding.BODY_DIFFERS
        return messages.IntendResult(
            request_id=event.request_id,
            standing=standing,
            status=entry.status,
            content_type=entry.content_type,
            body=entry.body,
        )

    def _mark(
        self,
        event: messages.SealEntry | messages.MarkUnknown,
        standing: messages.EntryStanding,
    ) -> message.Message:
        key = (event.account, event.key)
        self._entries[key] = dataclasses.replace(
            self._entries[key], standing=standing
        )
        return self._written(event.request_id)

    @staticmethod
    def _written(request_id: str) -> message.Message:
        return messages.JournalWritten(request_id=request_id, committed=True)
