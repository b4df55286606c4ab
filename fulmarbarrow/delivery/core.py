"""Follows each request from its arrival to the end of its answer."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import state
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

_STANDING_CODES = {
    journal_messages.EntryStanding.RUNNING: "action_running",
    journal_messages.EntryStanding.UNKNOWN: "outcome_unknown",
    journal_messages.EntryStanding.SEALED: "not_run",
    journal_messages.EntryStanding.BODY_DIFFERS: "key_reused",
    journal_messages.EntryStanding.UNAVAILABLE: "journal_unavailable",
}


class DeliveryCore:
    """Requests and parts of answers in, attempts and answers out."""

    handles = (
        messages.RequestArrived,
        messages.AttemptHeaders,
        messages.AttemptData,
        messages.AttemptEnded,
        messages.AttemptFailed,
        messages.CallerGone,
        limits_messages.Admitted,
        limits_messages.NotAdmitted,
        journal_messages.IntendResult,
        journal_messages.JournalWritten,
        placement_messages.Placed,
        placement_messages.NotPlaced,
    )

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._requests: dict[str, state.Request] = {}
        self._attempts: dict[str, str] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.RequestArrived():
                return self._arrived(event)
            case limits_messages.NotAdmitted():
                return self._refuse(event.request_id, event.code, False)
        request = self._find(event)
        if request is None:
            self._metrics.count("late_messages_dropped")
            return []
        return self._advance(request, event, now)

    def dump(self) -> dict[str, typing.Any]:
        """Return the open requests as plain data."""
        return {"open": sorted(self._requests)}

    def _arrived(
        self, event: messages.RequestArrived
    ) -> list[message.Message]:
        self._requests[event.request_id] = state.Request(arrived=event)
        return [
            limits_messages.AdmitRequest(
                request_id=event.request_id,
                account=event.account,
                service=event.service,
                cost=event.cost,
                worth=event.worth,
                deadline=event.deadline,
            )
        ]

    def _find(self, event: message.Message) -> state.Request | None:
        request_id = getattr(event, "request_id", None)
        if request_id is None:
            attempt_id = getattr(event, "attempt_id", "")
            request_id = self._attempts.get(attempt_id, "")
        return self._requests.get(request_id)

    def _advance(
        self,
        request: state.Request,
        event: message.Message,
        now: datetime.datetime,
    ) -> list[message.Message]:
        match event:
            case limits_messages.Admitted():
                return self._admitted(request)
            case journal_messages.IntendResult():
                return self._intended(request, event)
            case placement_messages.Placed():
                return self._placed(request, event, now)
            case placement_messages.NotPlaced():
                return self._refuse(request.arrived.request_id, event.code)
            case messages.AttemptHeaders():
                return self._headers(request, event)
            case messages.AttemptData():
                return self._data(request, event, now)
            case messages.AttemptEnded():
                return self._ended(request)
            case messages.AttemptFailed():
                return self._failed(request, event)
            case messages.CallerGone():
                return self._caller_gone(request)
        return []

    def _admitted(self, request: state.Request) -> list[message.Message]:
        arrived = request.arrived
        if arrived.idempotent:
            return [self._place(request)]
        return [
            journal_messages.Intend(
                request_id=arrived.request_id,
                account=arrived.account,
                key=arrived.key,
                digest=arrived.digest,
                service=arrived.service,
                attempt_id=request.attempt_id,
                deadline=arrived.deadline,
            )
        ]

    def _intended(
        self, request: state.Request, event: journal_messages.IntendResult
    ) -> list[message.Message]:
        request_id = request.arrived.request_id
        if event.standing is journal_messages.EntryStanding.MAY_DISPATCH:
            return [self._place(request)]
        if event.standing is journal_messages.EntryStanding.DONE:
            return [
                messages.AnswerStarted(
                    request_id=request_id,
                    status=event.status,
                    content_type=event.content_type,
                    length=len(event.body),
                    replayed=True,
                ),
                messages.AnswerData(request_id=request_id, data=event.body),
                messages.AnswerEnded(request_id=request_id),
                *self._forget(request),
            ]
        return self._refuse(request_id, _STANDING_CODES[event.standing])

    def _place(self, request: state.Request) -> message.Message:
        arrived = request.arrived
        return placement_messages.PlaceRequest(
            request_id=arrived.request_id,
            attempt_id=request.attempt_id,
            account=arrived.account,
            service=arrived.service,
            model=arrived.model,
            chat=arrived.chat,
            cost=arrived.cost,
            cost_class=arrived.cost_class,
            worth=arrived.worth,
            deadline=arrived.deadline,
            best_effort=arrived.best_effort,
        )

    def _placed(
        self,
        request: state.Request,
        event: placement_messages.Placed,
        now: datetime.datetime,
    ) -> list[message.Message]:
        request.placed = event
        request.sent_at = now
        self._attempts[event.attempt_id] = event.request_id
        return [
            messages.StartAttempt(
                request_id=event.request_id,
                attempt_id=event.attempt_id,
                upstream_id=event.upstream_id,
                incarnation=event.incarnation,
                url=event.url,
                priority=event.priority,
                version=event.version,
                deadline=request.arrived.deadline,
            )
        ]

    def _headers(
        self, request: state.Request, event: messages.AttemptHeaders
    ) -> list[message.Message]:
        request.headers = event
        return [
            messages.AnswerStarted(
                request_id=request.arrived.request_id,
                status=event.status,
                content_type=event.content_type,
                length=event.length,
            )
        ]

    def _data(
        self,
        request: state.Request,
        event: messages.AttemptData,
        now: datetime.datetime,
    ) -> list[message.Message]:
        if request.first_token is None and request.sent_at is not None:
            request.first_token = now - request.sent_at
            self._metrics.record("first_token", request.first_token)
        request.tokens += event.tokens
        request.reused_tokens = max(request.reused_tokens, event.reused_tokens)
        if not request.arrived.idempotent:
            request.body += event.data
        return [
            messages.AnswerData(
                request_id=request.arrived.request_id, data=event.data
            )
        ]

    def _ended(self, request: state.Request) -> list[message.Message]:
        arrived = request.arrived
        outcome = placement_messages.WorkOutcome.COMPLETED
        effects: list[message.Message] = [
            messages.AnswerEnded(request_id=arrived.request_id),
            *self._work_ended(request, outcome),
        ]
        if not arrived.idempotent and request.headers is not None:
            effects.append(
                journal_messages.RecordOutcome(
                    request_id=arrived.request_id,
                    account=arrived.account,
                    key=arrived.key,
                    attempt_id=request.attempt_id,
                    status=request.headers.status,
                    content_type=request.headers.content_type,
                    body=request.body,
                )
            )
        return [*effects, *self._forget(request)]

    def _failed(
        self, request: state.Request, event: messages.AttemptFailed
    ) -> list[message.Message]:
        outcome = placement_messages.WorkOutcome.FAILED
        effects = self._work_ended(request, outcome)
        if request.headers is not None:
            broken = messages.AnswerBroken(
                request_id=request.arrived.request_id,
                code="upstream_failed",
                ran=messages.Ran.UNKNOWN,
            )
            return [*effects, broken, *self._forget(request)]
        code = "upstream_failed" if event.sent else "no_upstream"
        return [*effects, *self._refuse(request.arrived.request_id, code)]

    def _caller_gone(self, request: state.Request) -> list[message.Message]:
        effects: list[message.Message] = []
        if request.placed is not None:
            outcome = placement_messages.WorkOutcome.CANCELLED
            effects.append(
                messages.CancelAttempt(
                    attempt_id=request.attempt_id,
                    upstream_id=request.placed.upstream_id,
                )
            )
            effects.extend(self._work_ended(request, outcome))
        return [*effects, *self._forget(request)]

    def _work_ended(
        self,
        request: state.Request,
        outcome: placement_messages.WorkOutcome,
    ) -> list[message.Message]:
        if request.placed is None:
            return []
        return [
            placement_messages.WorkEnded(
                request_id=request.arrived.request_id,
                attempt_id=request.attempt_id,
                upstream_id=request.placed.upstream_id,
                incarnation=request.placed.incarnation,
                outcome=outcome,
                first_token=request.first_token,
                generated_tokens=request.tokens,
                reused_tokens=request.reused_tokens,
            )
        ]

    def _forget(self, request: state.Request) -> list[message.Message]:
        arrived = request.arrived
        self._requests.pop(arrived.request_id, None)
        self._attempts.pop(request.attempt_id, None)
        return [
            limits_messages.RequestLeft(
                request_id=arrived.request_id, account=arrived.account
            )
        ]

    def _refuse(
        self, request_id: str, code: str, admitted: bool = True
    ) -> list[message.Message]:
        refusal = refusals.REFUSALS[code]
        request = self._requests.pop(request_id)
        self._attempts.pop(request.attempt_id, None)
        self._metrics.count("requests_refused", code=code)
        effects: list[message.Message] = [
            messages.RequestRefused(
                request_id=request_id,
                code=code,
                ran=refusal.ran,
                status=refusal.status,
            )
        ]
        if admitted:
            effects.extend(self._forget(request))
        return effects
