"""Validates upstream responses and forwards them to callers."""

from __future__ import annotations

import bisect
import datetime

from fulmarbarrow.delivery import attempt as attempt_machine
from fulmarbarrow.delivery import effects as effects_module
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import named_limits
from fulmarbarrow.delivery import open_requests
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import recovery as recoveries
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import request as request_machine
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import suspects as suspects_module
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

Effects = list[message.Message]

EVENT_SEPARATOR = b"\n\n"
STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_MISDIRECTED = 421

_CRASH_KINDS = (messages.FailureKind.CRASHED, messages.FailureKind.CUT)
_WORK_OUTCOMES = {
    messages.FailureKind.REFUSED: placement_messages.WorkOutcome.REFUSED,
    messages.FailureKind.SILENT: placement_messages.WorkOutcome.SILENT,
    messages.FailureKind.MISDIRECTED: (
        placement_messages.WorkOutcome.MISDIRECTED
    ),
    # The router gave the upstream no chance to answer.
    messages.FailureKind.RELAY_LOST: placement_messages.WorkOutcome.CANCELLED,
}
_SUSPICIOUS_KINDS = (
    messages.FailureKind.SILENT,
    messages.FailureKind.WRONG_ATTEMPT,
)


class ResponseHandler:
    """Handles the events of open attempts."""

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        suspects: suspects_module.SuspectTracker,
        recovery: recoveries.Recovery,
        mechanisms: policy.Mechanisms,
        tells_began: bool = False,
    ) -> None:
        self._tells_began = tells_began
        self._metrics = metrics
        self._suspects = suspects
        self._recovery = recovery
        self._mechanisms = mechanisms
        self._named_limits = named_limits.NamedLimits()
        # Incarnations of upstreams that said in an answer that they leave.
        self._departed: dict[str, int] = {}

    def forget_upstream(self, upstream_id: str) -> None:
        """Forget what an upstream that is gone has named."""
        self._named_limits.forget(upstream_id)
        self._departed.pop(upstream_id, None)

    def handle_event(
        self,
        entry: open_requests.OpenRequest,
        event: message.Message,
        now: datetime.datetime,
    ) -> Effects:
        """Handle an attempt event; drop one of an ended attempt."""
        attempt = entry.request.attempts.get(event.attempt_id)
        if attempt is None:
            self._metrics.count("late_answers_dropped")
            return []
        match event:
            case messages.AttemptHeaders():
                return self._handle_headers(entry, attempt, event, now)
            case messages.AttemptData():
                return self._handle_data(entry, attempt, event, now)
            case messages.AttemptPaused():
                attempt.paused = event.paused
                attempt.progress_at = now
                return []
            case messages.AttemptEnded():
                self._metrics.count(
                    "attempts_ended",
                    framing=attempt.framing.value,
                    inside_event="yes" if event.unfinished_bytes else "no",
                )
                attempt.unfinished_bytes = event.unfinished_bytes
                if attempt.complete or not self._mechanisms.completeness:
                    return self._complete(entry, attempt, now)
                return self._fail_truncated(entry, attempt, now)
            case messages.AttemptFailed():
                crashed = []
                if event.sent:
                    crashed = self._report_crash(
                        entry.request, attempt, event.kind, now
                    )
                return [
                    *crashed,
                    *self._fail(
                        entry, attempt, event.kind, now, sent=event.sent
                    ),
                ]
        return []

    def fail_silent(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> Effects:
        """Fail an attempt that made no progress in time."""
        self._metrics.count("silent_attempts")
        return self._fail(entry, attempt, messages.FailureKind.SILENT, now)

    def expire(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Give up a request whose deadline has passed.

        A started stream continues for as long as an upstream sends it, if a
        grace period is configured.
        """
        request = entry.request
        if request.response_started and request.attempts and request.grace:
            return []
        if not request.admitted or request.response is not None:
            return []
        if request.refusal_code:
            return []
        return self._abandon(entry, "deadline_exceeded", now)

    def end_for_stop(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Answer a request whose work can't end before the process does.

        A stream that has begun can't be answered any more.
        """
        request = entry.request
        if request.response_started or request.response is not None:
            return []
        if request.refusal_code:
            return []
        if not request.admitted:
            return self._recovery.refuse(entry, "stopping", now)
        return self._abandon(entry, "stopping", now)

    def stop_unanswered(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Give up a quarantined request that upstreams may not have begun."""
        request = entry.request
        if request.response_started or not request.attempts:
            return []
        return self._abandon(entry, "quarantined", now)

    def _abandon(
        self,
        entry: open_requests.OpenRequest,
        code: str,
        now: datetime.datetime,
    ) -> Effects:
        """Cancel all attempts of a request and give it up."""
        request = entry.request
        request.may_have_run = request.may_have_run or bool(request.attempts)
        effects: Effects = []
        for attempt in list(request.attempts.values()):
            effects.extend(self._discard(entry, attempt))
            effects.extend(effects_module.cancel_attempt(request, attempt))
        return [
            *effects,
            *self._recovery.give_up(entry, code, now),
        ]

    def end_suspect_runs(self, entry: open_requests.OpenRequest) -> Effects:
        """End the suspect runs of a request whose caller disconnected."""
        effects: Effects = []
        for attempt in entry.request.attempts.values():
            effects.extend(
                self._suspects.end_run(entry.request, attempt, False)
            )
        return effects

    def _handle_headers(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        event: messages.AttemptHeaders,
        now: datetime.datetime,
    ) -> Effects:
        if self._echo_differs(attempt, event):
            kind = messages.FailureKind.WRONG_ATTEMPT
            if not event.echoed_attempt and event.status >= (
                STATUS_SERVER_ERROR
            ):
                kind = messages.FailureKind.SERVER_ERROR
            return self._fail(entry, attempt, kind, now)
        if not entry.attempts[attempt.attempt_id].start(event, now):
            return []
        told: Effects = []
        if event.status != STATUS_MISDIRECTED:
            told = self._named_limits.read(attempt, event, now)
            told.extend(effects_module.load_stated(attempt, event))
            if event.leaving:
                told.extend(self._depart(attempt))
        if self._tells_began and not event.not_run and not attempt.streamed:
            told.extend(self._begin(entry.request, attempt))
        return [*told, *self._handle_status(entry, attempt, event, now)]

    @staticmethod
    def _begin(request: state.Request, attempt: state.Attempt) -> Effects:
        """Tell once that a request began to run.

        A stream begins with its first event, any other response with its
        head. A look-up runs nothing.
        """
        account = request.arrival.account
        if request.began or attempt.purpose is state.Purpose.LOOKUP:
            return []
        request.began = True
        return [messages.RequestBegan(account=account)] if account else []

    def _depart(self, attempt: state.Attempt) -> Effects:
        """Tell once that an upstream says in its answers that it leaves."""
        placed = attempt.placed
        if self._departed.get(placed.upstream_id) == placed.incarnation:
            return []
        self._departed[placed.upstream_id] = placed.incarnation
        return [
            membership_messages.Withdrawn(
                upstream_id=placed.upstream_id, incarnation=placed.incarnation
            )
        ]

    def _handle_status(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        event: messages.AttemptHeaders,
        now: datetime.datetime,
    ) -> Effects:
        """Fail an attempt whose status can't be passed on to the caller."""
        request = entry.request
        if event.not_run:
            return self._handle_not_run(entry, attempt, event, now)
        if attempt.purpose is state.Purpose.LOOKUP:
            if event.status != STATUS_OK:
                kind = messages.FailureKind.REFUSED
                return self._fail(entry, attempt, kind, now)
            return []
        if event.status in refusals.NOT_RUN_STATUSES:
            # The upstream may have run the request: it does not say otherwise.
            self._metrics.count("statuses_withheld", status=str(event.status))
            kind = messages.FailureKind.SERVER_ERROR
            return self._fail(entry, attempt, kind, now)
        if request.response_started and (
            event.status != STATUS_OK or not attempt.streamed
        ):
            kind = messages.FailureKind.SERVER_ERROR
            return self._fail(entry, attempt, kind, now)
        is_server_error = event.status >= STATUS_SERVER_ERROR
        if is_server_error and self._recovery.may_retry_error_response(
            request, now
        ):
            kind = messages.FailureKind.SERVER_ERROR
            return self._fail(entry, attempt, kind, now)
        return []

    def _echo_differs(
        self, attempt: state.Attempt, event: messages.AttemptHeaders
    ) -> bool:
        if not self._mechanisms.echo_check:
            return False
        return event.echoed_attempt != attempt.attempt_id

    def _handle_not_run(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        event: messages.AttemptHeaders,
        now: datetime.datetime,
    ) -> Effects:
        """Handle a response that states that the request was not run."""
        if attempt.purpose is state.Purpose.LOOKUP:
            effects = self._discard(entry, attempt)
            effects.extend(
                effects_module.cancel_attempt(entry.request, attempt)
            )
            until = now + policy.JOURNAL_TIMEOUT
            sealed = entry.inputs.seal("outcome_unknown", until, True)
            return [*effects, *sealed]
        kind = messages.FailureKind.REFUSED
        if event.status == STATUS_MISDIRECTED:
            kind = messages.FailureKind.MISDIRECTED
        return self._fail(entry, attempt, kind, now, not_run=True)

    def _handle_data(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        event: messages.AttemptData,
        now: datetime.datetime,
    ) -> Effects:
        mismatched = any(echo != attempt.attempt_id for echo in event.echoed)
        if mismatched and self._mechanisms.echo_check:
            kind = messages.FailureKind.WRONG_ATTEMPT
            return self._fail(entry, attempt, kind, now)
        known = 0
        if attempt.streamed and self._mechanisms.resume_check:
            if _lacks_event(entry.request, event):
                self._metrics.count("stream_gaps")
                kind = messages.FailureKind.CUT
                return self._fail(entry, attempt, kind, now)
            known = self._count_known(entry.request, attempt, event)
        if attempt.time_to_first_token is None:
            self._suspects.record_life(attempt, now)
        if not attempt_machine.receive_data(attempt, event, now):
            self._metrics.count("late_answers_dropped")
            return []
        new_data = _skip_events(event.data, known)
        effects = self._forward(entry, attempt, new_data)
        if attempt.streamed and known < event.events:
            entry.request.delivered_events += event.events - known
            entry.request.next_event = attempt.next_event
        if self._tells_began and event.events and not entry.request.began:
            effects.extend(self._begin(entry.request, attempt))
        if attempt.streamed and attempt.end_marker:
            effects.extend(self._complete(entry, attempt, now))
        return effects

    def _count_known(
        self,
        request: state.Request,
        attempt: state.Attempt,
        event: messages.AttemptData,
    ) -> int:
        """Return how many events of a part the caller has already."""
        known = bisect.bisect_left(event.positions, request.next_event)
        if known:
            self._metrics.count(
                "stream_events_dropped",
                resumed="yes" if attempt.resume_offset else "no",
            )
        return known

    def _forward(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        data: bytes,
    ) -> Effects:
        """Relay a stream; buffer any other response up to a limit."""
        request = entry.request
        if attempt.streamed:
            return self._relay(request, attempt, data)
        if not attempt.relayed:
            attempt.body += data
            if len(attempt.body) <= policy.MAX_BUFFERED_BYTES:
                return []
            data = bytes(attempt.body)
            attempt.body.clear()
            attempt.relayed = True
        return self._relay(request, attempt, data)

    def _relay(
        self, request: state.Request, attempt: state.Attempt, data: bytes
    ) -> Effects:
        if request.dispatch_granted and (
            attempt.received_bytes <= request_machine.MAX_RECORDED_BYTES
        ):
            attempt.body += data
        if not data:
            return []
        effects: Effects = []
        if not request.response_started:
            request.response_started = True
            self._metrics.record(
                "first_token",
                attempt.time_to_first_token or datetime.timedelta(0),
                service=request.arrival.service,
            )
            length = None if attempt.streamed else attempt.headers.length
            effects.append(
                effects_module.start_response(request, attempt, length)
            )
        effects.append(
            messages.ResponseData(request_id=request.request_id, data=data)
        )
        return effects

    def _complete(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> Effects:
        request = entry.request
        if not entry.attempts[attempt.attempt_id].complete():
            return []
        attempt.progress_at = now
        del request.attempts[attempt.attempt_id]
        request.response = attempt
        self._recovery.record_response_time(request, attempt)
        effects = effects_module.work_ended(
            request, attempt, placement_messages.WorkOutcome.COMPLETED
        )
        effects.extend(self._suspects.end_run(request, attempt, True))
        looked_up = attempt.purpose is state.Purpose.LOOKUP
        if attempt.headers.status < state.STATUS_ERROR and not looked_up:
            self._suspects.record_served(request, now)
        for other in list(request.attempts.values()):
            effects.extend(self._discard(entry, other))
            effects.extend(effects_module.cancel_attempt(request, other))
        if request.dispatch_granted:
            until = now + policy.JOURNAL_TIMEOUT
            return [*effects, *entry.inputs.record(until)]
        return [*effects, *entry.inputs.finish()]

    def _fail(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        kind: messages.FailureKind,
        now: datetime.datetime,
        *,
        sent: bool = True,
        not_run: bool = False,
    ) -> Effects:
        if not entry.attempts[attempt.attempt_id].fail():
            return []
        effects = self._end_failed(entry, attempt, kind, sent=sent)
        proven_not_run = (
            not sent or not_run or not self._mechanisms.proof_of_not_run
        )
        effects.extend(
            self._recovery.handle_failure(
                entry, attempt, proven_not_run, now, sent=sent
            )
        )
        return effects

    def discard_failed(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        kind: messages.FailureKind,
        now: datetime.datetime,
    ) -> Effects:
        """End a failed attempt whose successor has been found already."""
        entry.attempts[attempt.attempt_id].fail()
        effects = self._end_failed(entry, attempt, kind, sent=True)
        self._recovery.record_failure(entry.request, attempt, not_run=False)
        return effects

    def _end_failed(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        kind: messages.FailureKind,
        *,
        sent: bool,
    ) -> Effects:
        """Close a failed attempt's connection and report its outcome."""
        request = entry.request
        self._metrics.count("attempts_failed", kind=kind.value)
        effects = self._suspects.end_run(request, attempt, False)
        effects.extend(self._close_connection(request, attempt, kind))
        effects.extend(
            effects_module.work_ended(request, attempt, _outcome(kind, sent))
        )
        del request.attempts[attempt.attempt_id]
        del entry.attempts[attempt.attempt_id]
        return effects

    def _fail_truncated(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> Effects:
        """Fail an attempt whose response ended early without an error.

        The end of the connection may be that of the upstream's process; an
        upstream that marked the end of the body is alive.
        """
        kind = messages.FailureKind.CUT
        crashed: Effects = []
        if attempt.framing is messages.BodyFraming.CONNECTION:
            crashed = self._report_crash(entry.request, attempt, kind, now)
        return [*crashed, *self._fail(entry, attempt, kind, now)]

    def _report_crash(
        self,
        request: state.Request,
        attempt: state.Attempt,
        kind: messages.FailureKind,
        now: datetime.datetime,
    ) -> Effects:
        """Make the request a suspect if its upstream crashed."""
        if kind not in _CRASH_KINDS:
            return []
        if attempt.purpose is state.Purpose.LOOKUP:
            return []
        self._metrics.count("crashes_reported", by="self")
        return self._suspects.report_crash(request, attempt, now)

    @staticmethod
    def _close_connection(
        request: state.Request,
        attempt: state.Attempt,
        kind: messages.FailureKind,
    ) -> Effects:
        """Close the connection; stop reuse of others if it is suspicious."""
        effects: Effects = [
            messages.CancelAttempt(
                attempt_id=attempt.attempt_id,
                upstream_id=attempt.placed.upstream_id,
                kind=kind,
            )
        ]
        if kind in _SUSPICIOUS_KINDS:
            effects.append(
                messages.RetireConnections(
                    upstream_id=attempt.placed.upstream_id,
                    url=attempt.placed.url,
                )
            )
        return effects

    @staticmethod
    def _discard(
        entry: open_requests.OpenRequest, attempt: state.Attempt
    ) -> Effects:
        """Remove an attempt whose response is no longer needed."""
        entry.attempts.pop(attempt.attempt_id).cancel()
        del entry.request.attempts[attempt.attempt_id]
        return []


def _lacks_event(request: state.Request, event: messages.AttemptData) -> bool:
    """Return whether an event before this part is missing.

    Ids need not follow each other, so only counted events show that.
    """
    counted = event.events and not event.ids
    return bool(counted) and event.first_event > request.next_event


def _skip_events(data: bytes, count: int) -> bytes:
    """Return the data without the first ``count`` events."""
    if not count:
        return data
    return EVENT_SEPARATOR.join(data.split(EVENT_SEPARATOR)[count:])


def _outcome(
    kind: messages.FailureKind, sent: bool
) -> placement_messages.WorkOutcome:
    if kind is messages.FailureKind.CONNECT:
        return placement_messages.WorkOutcome.UNREACHABLE
    if not sent:
        return placement_messages.WorkOutcome.NOT_SENT
    if kind in _CRASH_KINDS:
        return placement_messages.WorkOutcome.CRASHED
    return _WORK_OUTCOMES.get(kind, placement_messages.WorkOutcome.FAILED)
