"""Event-driven core that carries each request to its response."""

from __future__ import annotations

import datetime
import random
import typing

from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import effects as effects_module
from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import open_requests
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import prompt_parts
from fulmarbarrow.delivery import recovery as recoveries
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import replacement
from fulmarbarrow.delivery import responses
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import suspects as suspects_module
from fulmarbarrow.delivery import timers
from fulmarbarrow.delivery import upstreams
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

Effects = list[message.Message]

# Default start time: past the startup period of ``refusals.STARTUP_TIME``.
DEFAULT_START = datetime.datetime.fromtimestamp(0, datetime.UTC)

_CODES_BY_STANDING = {
    journal_messages.EntryStanding.RUNNING: "action_running",
    journal_messages.EntryStanding.UNKNOWN: "outcome_unknown",
    journal_messages.EntryStanding.SEALED: "not_run",
    journal_messages.EntryStanding.BODY_DIFFERS: "key_reused",
    journal_messages.EntryStanding.UNAVAILABLE: "journal_unavailable",
}


_ATTEMPT_EVENTS = (
    messages.AttemptData,
    messages.AttemptHeaders,
    messages.AttemptPaused,
    messages.AttemptEnded,
    messages.AttemptFailed,
)


class DeliveryCore:
    """Turns requests and attempt events into attempts and responses."""

    handles = (
        messages.RequestArrived,
        *_ATTEMPT_EVENTS,
        messages.CallerDisconnected,
        messages.PoisonSuspected,
        messages.SuspectStarted,
        messages.SuspectEnded,
        messages.UpstreamsCrashed,
        messages.PartsServed,
        messages.RequestsCrashed,
        messages.RequestsServed,
        messages.StopDue,
        messages.Wake,
        message.Tick,
        limits_messages.Admitted,
        limits_messages.NotAdmitted,
        journal_messages.IntendResult,
        journal_messages.JournalWritten,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.LoadReported,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        placement_messages.Placed,
        placement_messages.NotPlaced,
        placement_messages.PreemptWork,
    )

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        timeouts: policy.Timeouts | None = None,
        mechanisms: policy.Mechanisms | None = None,
        retries: defaults.RetriesSection | None = None,
        started: datetime.datetime = DEFAULT_START,
        tells_began: bool = False,
    ) -> None:
        mechanisms = mechanisms or policy.Mechanisms()
        self._metrics = metrics
        self._mechanisms = mechanisms
        self._timeouts = timeouts or policy.Timeouts()
        self._open_requests = open_requests.OpenRequests()
        self._timers = timers.TimerQueue()
        self._pools = upstreams.UpstreamPools()
        retries = retries or defaults.RetriesSection()
        self._suspects = suspects_module.SuspectTracker(
            pools=self._pools,
            rng=rng,
            enabled=mechanisms.quarantine,
            isolate=retries.isolate_suspects,
            crash_limit=retries.crashes,
        )
        self._recovery = recoveries.Recovery(
            metrics=metrics,
            rng=rng,
            suspects=self._suspects,
            mechanisms=mechanisms,
            retries=retries,
            retry_delays=refusals.RetryDelays(rng=rng, started=started),
        )
        self._responses = responses.ResponseHandler(
            metrics=metrics,
            suspects=self._suspects,
            recovery=self._recovery,
            mechanisms=mechanisms,
            tells_began=tells_began,
        )
        self._replacements = replacement.Replacements(
            metrics=metrics,
            recovery=self._recovery,
            handler=self._responses,
            suspects=self._suspects,
        )

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return its effects."""
        if isinstance(event, _ATTEMPT_EVENTS):
            effects = self._handle_attempt_event(event, now)
            return [*effects, *self._timers.arm_wake()]
        match event:
            case messages.RequestArrived():
                effects = self._handle_arrival(event, now)
            case message.Tick() | messages.Wake():
                effects = [
                    *self._exchange_evidence(now),
                    *self._handle_due_timers(now),
                ]
            case messages.StopDue():
                effects = self._end_all(now)
            case membership_messages.UpstreamChanged():
                self._pools.update(event)
                return []
            case membership_messages.UpstreamGone():
                self._pools.remove(event)
                self._responses.forget_upstream(event.upstream_id)
                return []
            case membership_messages.LoadReported():
                self._suspects.handle_load_report(event, now)
                return []
            case membership_messages.DaemonChanged():
                self._recovery.update_daemon(event.daemon)
                return self._suspects.update_daemon(event, now)
            case membership_messages.DaemonGone():
                self._suspects.remove_daemon(event)
                return []
            case messages.SuspectStarted() | messages.SuspectEnded():
                self._suspects.handle_peer_message(event, now)
                return []
            case (
                messages.PoisonSuspected()
                | messages.UpstreamsCrashed()
                | messages.PartsServed()
                | messages.RequestsCrashed()
                | messages.RequestsServed()
            ):
                self._count_evidence(event)
                self._suspects.handle_peer_message(event, now)
                return []
            case _:
                effects = self._handle_request_event(event, now)
        return [*effects, *self._timers.arm_wake()]

    def _count_evidence(self, event: message.Message) -> None:
        if isinstance(event, messages.PoisonSuspected):
            self._metrics.count("crashes_reported", by="peer")
        kind = evidence_exchange.kind(event)
        self._metrics.count("crash_evidence_received", of=kind)

    def dump(self) -> dict[str, typing.Any]:
        """Return open requests, suspects and retry budgets as plain data."""
        return {
            "open": {
                entry.request.request_id: {
                    "state": entry.request.stage,
                    "attempts": {
                        attempt.attempt_id: attempt.stage
                        for attempt in entry.request.attempts.values()
                    },
                    "started": entry.request.response_started,
                    "events": entry.request.delivered_events,
                    "may_have_run": entry.request.may_have_run,
                }
                for entry in self._open_requests
            },
            "suspects": self._suspects.dump(),
            **self._suspects.dump_evidence(),
            "retry_budgets": self._recovery.dump(),
        }

    def _handle_arrival(
        self, event: messages.RequestArrived, now: datetime.datetime
    ) -> Effects:
        self._open_requests.add(
            state.Request(
                arrival=event,
                next_event=event.resumed_from,
                grace=self._timeouts.resume_grace,
                key=evidence_exchange.request_key(event.digest),
                part_keys=prompt_parts.part_keys(event),
            )
        )
        self._timers.add(event.deadline, event.request_id)
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

    def _handle_attempt_event(
        self, event: typing.Any, now: datetime.datetime
    ) -> Effects:
        entry = self._open_requests.find(attempt_id=event.attempt_id)
        if entry is None:
            return self._drop_late_event(event)
        effects = self._responses.handle_event(entry, event, now)
        request = entry.request
        attempt = request.attempts.get(event.attempt_id)
        if attempt is not None and attempt.resumed_by_itself:
            effects += self._replacements.progressed(request, attempt)
        self._remove_or_schedule(entry, now)
        return effects

    def _handle_request_event(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        entry = self._open_requests.find(
            getattr(event, "request_id", ""), getattr(event, "attempt_id", "")
        )
        if entry is None:
            return self._drop_late_event(event)
        effects = list(self._apply_request_event(entry, event, now))
        self._remove_or_schedule(entry, now)
        return effects

    def _drop_late_event(self, event: message.Message) -> Effects:
        """Discard an event of a request that is closed."""
        if isinstance(event, placement_messages.Placed):
            return [effects_module.release_placement(event)]
        if isinstance(event, messages.AttemptHeaders | messages.AttemptData):
            self._metrics.count("late_answers_dropped")
        return []

    def _remove_or_schedule(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> None:
        """Remove a closed request; schedule the timers of an open one."""
        request = entry.request
        if request.closed:
            self._open_requests.remove(entry)
            return
        if request.wait_until not in (None, request.timer_at):
            request.timer_at = request.wait_until
            self._timers.add(request.wait_until, request.request_id)
        if request.response_started and not request.grace_timer_set:
            request.grace_timer_set = True
            self._timers.add(request.deadline, request.request_id)
        for attempt in request.attempts.values():
            self._schedule_silence_timeout(request, attempt)

    def _schedule_silence_timeout(
        self, request: state.Request, attempt: state.Attempt
    ) -> None:
        limit = policy.silence_timeout(request, attempt, self._timeouts)
        if limit is None or not self._mechanisms.silence:
            return
        due = replacement.due_at(attempt, limit)
        if attempt.timer_at is None or due < attempt.timer_at:
            attempt.timer_at = due
            self._timers.add(due, request.request_id)

    def _apply_request_event(
        self,
        entry: open_requests.OpenRequest,
        event: message.Message,
        now: datetime.datetime,
    ) -> typing.Iterable[message.Message]:
        match event:
            case limits_messages.Admitted():
                return self._handle_admitted(entry, now)
            case limits_messages.NotAdmitted():
                entry.request.retry_after = event.retry_after
                return self._recovery.refuse(entry, event.code, now)
            case journal_messages.IntendResult():
                return self._handle_intend_result(entry, event, now)
            case journal_messages.JournalWritten():
                return entry.inputs.journal_written(event.committed)
            case placement_messages.Placed():
                return self._handle_placed(entry, event, now)
            case placement_messages.NotPlaced():
                return self._handle_not_placed(entry, event, now)
            case placement_messages.PreemptWork():
                return self._recovery.preempt(entry, event.attempt_id, now)
            case messages.CallerDisconnected():
                return self._handle_caller_gone(entry)
        return []

    def _handle_admitted(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        request = entry.request
        request.admitted = True
        self._recovery.count_request(request, now)
        decision = self._suspects.decide_dispatch(request, now)
        if decision is suspects_module.DispatchDecision.QUARANTINED:
            return self._recovery.refuse(entry, "quarantined", now)
        if request.action and request.arrival.key and self._mechanisms.journal:
            return list(entry.inputs.intend())
        return [*entry.inputs.admit(), *self._recovery.place(entry, now)]

    def _handle_intend_result(
        self,
        entry: open_requests.OpenRequest,
        event: journal_messages.IntendResult,
        now: datetime.datetime,
    ) -> Effects:
        request = entry.request
        standing = event.standing
        if not request.intending:
            return []
        if standing is journal_messages.EntryStanding.MAY_DISPATCH:
            request.dispatch_granted = True
            request.dispatch_until = event.dispatch_until
            return [
                *entry.inputs.dispatch(),
                *self._recovery.place(entry, now),
            ]
        if standing is journal_messages.EntryStanding.DONE:
            if not event.kept:
                return self._recovery.refuse(entry, "answer_not_kept", now)
            if event.status in refusals.NOT_RUN_STATUSES:
                # Recorded by a build that passed such a status on.
                return self._recovery.refuse(entry, "upstream_failed", now)
            return list(entry.inputs.replay(event))
        if event.may_look_up and request.arrival.lookup_path:
            return [
                *entry.inputs.look_up(),
                *self._recovery.place(entry, now),
            ]
        return self._recovery.refuse(entry, _CODES_BY_STANDING[standing], now)

    def _handle_placed(
        self,
        entry: open_requests.OpenRequest,
        event: placement_messages.Placed,
        now: datetime.datetime,
    ) -> Effects:
        request = entry.request
        if event.attempt_id == request.hedge_id and request.replaced_id:
            return self._replacements.take(entry, event, now)
        if event.attempt_id == request.hedge_id:
            return self._recovery.send_hedge(entry, event, now)
        if event.attempt_id != request.placing_id:
            return [effects_module.release_placement(event)]
        effects = self._recovery.send(entry, event, now)
        hedge_at = self._recovery.hedge_due(request, now)
        if hedge_at is not None:
            self._timers.add(hedge_at, request.request_id)
        return effects

    def _handle_not_placed(
        self,
        entry: open_requests.OpenRequest,
        event: placement_messages.NotPlaced,
        now: datetime.datetime,
    ) -> Effects:
        request = entry.request
        if event.attempt_id == request.hedge_id and request.replaced_id:
            self._replacements.refused(request)
            return []
        if event.attempt_id == request.hedge_id:
            request.hedge_id = ""
            return []
        if event.attempt_id != request.placing_id:
            return []
        request.placing_id = ""
        request.retry_after = event.retry_after
        return self._recovery.give_up(entry, event.code, now)

    def _handle_caller_gone(self, entry: open_requests.OpenRequest) -> Effects:
        """Cancel the work; let an action that was sent run to its end."""
        request = entry.request
        request.caller_gone = True
        runs_to_end = request.action and not request.arrival.stream
        if runs_to_end and request.attempts:
            return []
        effects = self._responses.end_suspect_runs(entry)
        return [*effects, *entry.inputs.disconnect()]

    def _exchange_evidence(self, now: datetime.datetime) -> Effects:
        """Tell of crashes; end attempts with parts quarantined just now."""
        effects, quarantined = self._suspects.exchange_evidence(now)
        if not quarantined:
            return effects
        for entry in list(self._open_requests):
            if quarantined.isdisjoint(entry.request.part_keys):
                continue
            effects.extend(self._responses.stop_unanswered(entry, now))
            self._remove_or_schedule(entry, now)
        return effects

    def _end_all(self, now: datetime.datetime) -> Effects:
        effects: Effects = []
        for entry in list(self._open_requests):
            effects.extend(self._responses.end_for_stop(entry, now))
            self._remove_or_schedule(entry, now)
        return effects

    def _handle_silence(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        limit: datetime.timedelta,
        silent: dict[str, policy.SilentUpstreams],
        now: datetime.datetime,
    ) -> Effects:
        """Replace a silent attempt if possible; end one that has stalled.

        ``silent`` keeps what is known of each service's upstreams, as many
        attempts go silent at once.
        """
        request = entry.request
        stalled = now - attempt.progress_at >= self._timeouts.stalled
        if stalled or not self._replacements.applies(request):
            return self._responses.fail_silent(entry, attempt, now)
        service = request.arrival.service
        if service not in silent:
            silent[service] = policy.silent_upstreams(
                (item.request for item in self._open_requests),
                service,
                self._timeouts,
                now,
            )
        return self._replacements.ask(
            entry, attempt, limit, silent[service], now
        )

    def _handle_due_timers(self, now: datetime.datetime) -> Effects:
        effects: Effects = []
        silent: dict[str, policy.SilentUpstreams] = {}
        for request_id in list(self._timers.pop_due(now)):
            entry = self._open_requests.find(request_id)
            if entry is None:
                continue
            effects.extend(self._handle_timeouts(entry, silent, now))
            self._remove_or_schedule(entry, now)
        return effects

    def _handle_timeouts(
        self,
        entry: open_requests.OpenRequest,
        silent: dict[str, policy.SilentUpstreams],
        now: datetime.datetime,
    ) -> Effects:
        """Act on every expired timeout of a request."""
        request = entry.request
        effects: Effects = []
        for attempt in list(request.attempts.values()):
            if attempt.timer_at is not None and attempt.timer_at <= now:
                attempt.timer_at = None
            limit = policy.silence_timeout(request, attempt, self._timeouts)
            if limit is None or not self._mechanisms.silence:
                continue
            if replacement.due_at(attempt, limit) <= now:
                effects.extend(
                    self._handle_silence(entry, attempt, limit, silent, now)
                )
        if request.wait_until is not None and request.wait_until <= now:
            request.wait_until = None
            effects.extend(entry.inputs.journal_timed_out())
            effects.extend(self._recovery.place(entry, now))
        if request.deadline <= now and not request.closed:
            effects.extend(self._responses.expire(entry, now))
        elif not request.closed:
            effects.extend(self._recovery.request_hedge(entry, now))
        return effects
