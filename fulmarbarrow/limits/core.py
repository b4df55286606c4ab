"""Admits requests at the entry."""

from __future__ import annotations

import collections
import datetime
import typing

from fulmarbarrow.limits import messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages


class LimitsCore:
    """Requests for admission in, admissions and refusals out."""

    handles = (
        messages.AdmitRequest,
        messages.RequestLeft,
        publishing_messages.ConfigurationChanged,
    )

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._max_open: dict[str, int] = {}
        self._open: collections.Counter[str] = collections.Counter()

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case publishing_messages.ConfigurationChanged():
                self._max_open = {
                    account.name: account.max_open_requests
                    for account in event.bundle.account
                }
            case messages.AdmitRequest():
                return [self._admit(event)]
            case messages.RequestLeft():
                self._open[event.account] -= 1
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the open requests of each account."""
        return {"open": {k: v for k, v in self._open.items() if v}}

    def _admit(self, event: messages.AdmitRequest) -> message.Message:
        if self._open[event.account] >= self._max_open.get(event.account, 0):
            return messages.NotAdmitted(
                request_id=event.request_id, code="too_many_open_requests"
            )
        self._open[event.account] += 1
        return messages.Admitted(request_id=event.request_id)
