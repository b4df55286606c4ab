"""Admission control for requests that arrive at this router."""

from __future__ import annotations

import collections
import datetime
import typing

from fulmarbarrow.limits import messages
from fulmarbarrow.limits import policy as policies
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import messages as zones_messages


class LimitsCore:
    """Answers each AdmitRequest with Admitted or NotAdmitted.

    Keeps the number of open requests of each account and the latest
    admission threshold of each service whose capacity is short.
    """

    handles = (
        messages.AdmitRequest,
        messages.RequestFinished,
        publishing_messages.ConfigurationChanged,
        zones_messages.AdmissionThreshold,
    )

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        policy: policies.Policy | None = None,
    ) -> None:
        self._metrics = metrics
        self._policy = policy or policies.Policy()
        self._open_requests: collections.Counter[str] = collections.Counter()
        self._thresholds: dict[str, zones_messages.AdmissionThreshold] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Process one event and return the resulting messages."""
        match event:
            case publishing_messages.ConfigurationChanged():
                self._policy.configure(event.bundle)
            case zones_messages.AdmissionThreshold():
                self._thresholds[event.service] = event
            case messages.AdmitRequest():
                return [self._admit(event, now)]
            case messages.RequestFinished():
                self._release(event.account)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of open requests per account."""
        return {"open": dict(self._open_requests)}

    def _admit(
        self, event: messages.AdmitRequest, now: datetime.datetime
    ) -> message.Message:
        if event.deadline <= now:
            return self._refuse(event, "deadline_exceeded")
        if event.account and self._open_requests[event.account] >= (
            self._policy.max_open_requests(event.account)
        ):
            return self._refuse(event, "too_many_open_requests")
        if not self._passes_threshold(event):
            return self._refuse(event, "capacity_short")
        self._open_requests[event.account] += 1
        return messages.Admitted(request_id=event.request_id)

    def _passes_threshold(self, event: messages.AdmitRequest) -> bool:
        """Return whether the service's admission threshold lets a request in.

        Accounts with a reserved share are exempt from the threshold.
        """
        threshold = self._thresholds.get(event.service)
        if (
            threshold is None
            or self._policy.account_policy(event.account).reserved_share
        ):
            return True
        return threshold.admits(
            worth=event.worth, cost=event.cost, request_id=event.request_id
        )

    def _refuse(
        self, event: messages.AdmitRequest, code: str
    ) -> messages.NotAdmitted:
        self._metrics.count("admissions_refused", code=code)
        return messages.NotAdmitted(request_id=event.request_id, code=code)

    def _release(self, account: str) -> None:
        self._open_requests[account] -= 1
        if self._open_requests[account] <= 0:
            del self._open_requests[account]
