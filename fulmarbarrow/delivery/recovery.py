"""Retries, hedges and the end of requests without a response."""

from __future__ import annotations

import datetime
import random

from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import attempt as attempt_machine
from fulmarbarrow.delivery import budget
from fulmarbarrow.delivery import effects as effects_module
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import open_requests
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import suspects as suspects_module
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

Effects = list[message.Message]

FALLBACK_CODE = "internal_error"


class Recovery:
    """Decides on the next attempt of a request or on its final error."""

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        suspects: suspects_module.SuspectTracker,
        mechanisms: policy.Mechanisms,
        retries: defaults.RetriesSection,
        retry_delays: refusals.RetryDelays,
    ) -> None:
        self._metrics = metrics
        self._rng = rng
        self._retries = retries
        self._retry_delays = retry_delays
        self._routers: set[str] = set()
        self._suspects = suspects
        self._mechanisms = mechanisms
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._response_times: dict[str, policy.ResponseTimeAverage] = {}

    def dump(self) -> dict[str, float]:
        """Return the retries available to each service."""
        return {
            service: round(retry_budget.available(self._slack_share), 2)
            for service, retry_budget in self._budgets.items()
        }

    def update_daemon(self, daemon: membership_messages.Daemon) -> None:
        """Count a router, which shares the slack of the retry budgets.

        A lost router keeps its share, as it may be running behind a network
        partition.
        """
        if suspects_module.ROUTER_ROLE in daemon.roles:
            self._routers.add(daemon.daemon_id)

    def count_request(
        self, request: state.Request, now: datetime.datetime
    ) -> None:
        """Add a new request to the retry budget of its service."""
        self._budget(request).deposit(now)

    def record_response_time(
        self, request: state.Request, attempt: state.Attempt
    ) -> None:
        """Add the time of a complete response to the hedging average."""
        if policy.may_hedge(request):
            duration = attempt.progress_at - attempt.sent_at
            self._response_times_of(request).add(duration)

    def place(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Request an upstream if the request is ready for an attempt."""
        request = entry.request
        if not request.ready or request.wait_until is not None:
            return []
        if request.purpose is state.Purpose.LOOKUP:
            return list(entry.inputs.place())
        match self._suspects.decide_dispatch(request, now):
            case suspects_module.DispatchDecision.QUARANTINED:
                return self.give_up(entry, "quarantined", now)
            case suspects_module.DispatchDecision.LAST_UPSTREAM if (
                request.attempt_number == 1
            ):
                return self.give_up(entry, "quarantined", now)
            case (
                suspects_module.DispatchDecision.LAST_UPSTREAM
                | suspects_module.DispatchDecision.WAIT
            ):
                return list(
                    entry.inputs.delay(now + policy.SUSPECT_RETRY_DELAY)
                )
        request.excluded = self._suspects.excluded_upstreams(request, now)
        return list(entry.inputs.place())

    def send(
        self,
        entry: open_requests.OpenRequest,
        placed: placement_messages.Placed,
        now: datetime.datetime,
    ) -> Effects:
        """Send the attempt for which placement chose an upstream."""
        request = entry.request
        decision = suspects_module.DispatchDecision.ALLOWED
        if request.purpose is state.Purpose.RUN:
            decision = self._suspects.decide_dispatch(request, now)
        if decision is not suspects_module.DispatchDecision.ALLOWED:
            request.placing_id = ""
            delayed = entry.inputs.delay(now + policy.SUSPECT_RETRY_DELAY)
            return [effects_module.release_placement(placed), *delayed]
        attempt = self._create_attempt(entry, placed, request.purpose, now)
        return [
            *self._suspects.start_run(request, attempt),
            *entry.inputs.send(attempt),
        ]

    def request_hedge(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Request a second upstream for a short lookup that takes long."""
        request = entry.request
        if (
            len(request.attempts) != 1
            or request.hedge_id
            or request.response_started
        ):
            return []
        (attempt,) = request.attempts.values()
        if attempt.purpose is not state.Purpose.RUN:
            return []
        due = attempt.sent_at + self._response_times_of(request).hedge_delay
        if not policy.may_hedge(request) or now < due:
            return []
        single_attempt = request.arrival.attempts == 1
        if (
            request.attempt_number > 1
            or single_attempt
            or not self.withdraw_retry(request, now)
        ):
            return []
        self._metrics.count("hedges", service=request.arrival.service)
        request.attempt_number += 1
        request.hedge_id = request.attempt_id
        request.excluded = (
            *request.excluded,
            attempt.placed.upstream_id,
        )
        return [effects_module.request_placement(request, request.hedge_id)]

    def hedge_due(
        self, request: state.Request, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return when to send a hedge, None for never."""
        if request.attempt_number > 1 or not policy.may_hedge(request):
            return None
        return now + self._response_times_of(request).hedge_delay

    def send_hedge(
        self,
        entry: open_requests.OpenRequest,
        placed: placement_messages.Placed,
        now: datetime.datetime,
    ) -> Effects:
        """Send the hedge if another attempt is still open."""
        request = entry.request
        request.hedge_id = ""
        if not request.attempts:
            return [effects_module.release_placement(placed)]
        attempt = self._create_attempt(entry, placed, state.Purpose.HEDGE, now)
        request.attempts[attempt.attempt_id] = attempt
        return [effects_module.start_attempt(request, attempt)]

    def resume(
        self,
        entry: open_requests.OpenRequest,
        placed: placement_messages.Placed,
        now: datetime.datetime,
    ) -> Effects:
        """Send the attempt that replaces a silent one."""
        request = entry.request
        self._metrics.count("retries", service=request.arrival.service)
        attempt = self._create_attempt(entry, placed, state.Purpose.RUN, now)
        request.attempts[attempt.attempt_id] = attempt
        return [
            *self._suspects.start_run(request, attempt),
            effects_module.start_attempt(request, attempt),
        ]

    def preempt(
        self,
        entry: open_requests.OpenRequest,
        attempt_id: str,
        now: datetime.datetime,
    ) -> Effects:
        """Cancel a best-effort attempt and resume the request later."""
        request = entry.request
        attempt = request.attempts.get(attempt_id)
        if attempt is None or request.action or attempt.relayed:
            return []
        entry.attempts.pop(attempt_id).cancel()
        del request.attempts[attempt_id]
        self._metrics.count("attempts_preempted")
        request.attempt_number += 1
        return [
            *effects_module.cancel_attempt(request, attempt),
            *self._suspects.end_run(request, attempt, False),
            *entry.inputs.delay(now + policy.PREEMPT_RETRY_DELAY),
        ]

    def refuse(
        self,
        entry: open_requests.OpenRequest,
        code: str,
        now: datetime.datetime,
    ) -> Effects:
        """Give up without a journal record."""
        request = entry.request
        code = accurate_code(request, code)
        if request.retry_after is None:
            request.retry_after = self._retry_delays.for_code(code, now)
        self._metrics.count("requests_refused", code=code)
        return list(entry.inputs.refuse(code))

    def give_up(
        self,
        entry: open_requests.OpenRequest,
        code: str,
        now: datetime.datetime,
    ) -> Effects:
        """Give up; record the outcome of an action in the journal first."""
        request = entry.request
        if not request.dispatch_granted:
            return self.refuse(entry, code, now)
        until = now + policy.JOURNAL_TIMEOUT
        if request.may_have_run:
            self._metrics.count("actions_unknown")
            return list(entry.inputs.mark_unknown("outcome_unknown", until))
        code = accurate_code(request, code)
        self._metrics.count("actions_sealed", code=code)
        return list(entry.inputs.seal(code, until, False))

    def handle_failure(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        not_run: bool,
        now: datetime.datetime,
        *,
        sent: bool = True,
    ) -> Effects:
        """Decide what follows a failed attempt."""
        request = entry.request
        self.record_failure(request, attempt, not_run=not_run)
        if request.attempts:
            return []
        if request.replaced_id:
            # What was asked for on its silence has not been found yet.
            effects = effects_module.cancel_placements(request)
            return [
                *effects,
                *self._follow(entry, attempt, not_run, now, sent),
            ]
        if request.hedge_id:
            return list(entry.inputs.promote_hedge())
        return self._follow(entry, attempt, not_run, now, sent)

    @staticmethod
    def record_failure(
        request: state.Request, attempt: state.Attempt, *, not_run: bool
    ) -> None:
        """Keep what a failed attempt means for those that follow."""
        request.excluded = tuple(
            sorted({*request.excluded, attempt.placed.upstream_id})
        )
        if not not_run and attempt.purpose is not state.Purpose.LOOKUP:
            request.may_have_run = True
            request.possible_runs += 1

    def _follow(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        not_run: bool,
        now: datetime.datetime,
        sent: bool,
    ) -> Effects:
        request = entry.request
        if attempt.purpose is state.Purpose.LOOKUP:
            return self.give_up(entry, "outcome_unknown", now)
        if request.action and not not_run:
            return self._resolve_action(entry, now)
        return self._retry(entry, attempt, now, sent=sent)

    def _resolve_action(
        self, entry: open_requests.OpenRequest, now: datetime.datetime
    ) -> Effects:
        """Look up the outcome of an action that may have run."""
        request = entry.request
        before_deadline = request.arrival.deadline > now
        if (
            request.arrival.lookup_path
            and before_deadline
            and not request.response_started
        ):
            self._metrics.count("actions_looked_up")
            return [*entry.inputs.look_up(), *self.place(entry, now)]
        return self.give_up(entry, "outcome_unknown", now)

    def _retry(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        now: datetime.datetime,
        *,
        sent: bool,
    ) -> Effects:
        request = entry.request
        progressed = attempt.progressed and attempt.streamed
        request.attempts_without_progress += 1
        if progressed:
            request.attempts_without_progress = 0
        if sent or not self._retries.unsent_are_free:
            may_retry = self._may_retry(request, attempt, progressed, now)
        else:
            may_retry = self._may_retry_unsent(request, now)
        if not may_retry:
            code = "upstream_failed"
            if not request.may_have_run:
                refused = attempt.headers is not None
                code = "upstream_refused" if refused else "no_upstream"
            return self.give_up(entry, code, now)
        self._metrics.count("retries", service=request.arrival.service)
        request.attempt_number += 1
        wait = budget.backoff(request.attempts_without_progress, self._rng)
        return list(entry.inputs.delay(now + wait))

    @staticmethod
    def _may_retry_unsent(
        request: state.Request, now: datetime.datetime
    ) -> bool:
        """Return whether to retry an attempt of which nothing was sent.

        Such an attempt put no load on any upstream, so it takes nothing from
        the retry budget.
        """
        if request.caller_gone or now >= request.deadline:
            return False
        until = request.dispatch_until
        if until is not None and now >= until:
            return False
        return request.attempt_number < policy.MAX_PLACEMENTS

    def _may_retry(
        self,
        request: state.Request,
        attempt: state.Attempt,
        progressed: bool,
        now: datetime.datetime,
    ) -> bool:
        request.no_retry = self._retry_obstacle(request, attempt, now)
        if request.no_retry:
            return False
        if progressed and not self._retries.slack:
            self._budget(request).charge(now)
            return True
        if self.withdraw_retry(request, now):
            return True
        request.no_retry = "budget"
        return False

    @staticmethod
    def _retry_obstacle(
        request: state.Request, attempt: state.Attempt, now: datetime.datetime
    ) -> str:
        """Return what rules a retry out, "" if only the budget decides."""
        if request.caller_gone:
            return "caller_gone"
        if attempt.relayed:
            return "part_sent"
        if request.attempts_without_progress >= policy.MAX_ATTEMPTS:
            return "no_progress"
        if request.arrival.attempts and (
            request.possible_runs >= request.arrival.attempts
        ):
            return "attempts"
        until = request.dispatch_until or request.deadline
        return "deadline" if now >= until else ""

    def has_retry(
        self, request: state.Request, now: datetime.datetime
    ) -> bool:
        """Return whether the retry budget of the service has room."""
        if not self._mechanisms.retry_budget:
            return True
        return self._budget(request).has_retry(now, self._slack_share)

    def may_retry_error_response(
        self, request: state.Request, now: datetime.datetime
    ) -> bool:
        """Return whether an error response of an upstream may be retried."""
        if request.action or now >= request.arrival.deadline:
            return False
        if request.attempts_without_progress + 1 >= policy.MAX_ATTEMPTS:
            return False
        if request.arrival.attempts and (
            request.possible_runs + 1 >= request.arrival.attempts
        ):
            return False
        return self.has_retry(request, now)

    def _create_attempt(
        self,
        entry: open_requests.OpenRequest,
        placed: placement_messages.Placed,
        purpose: state.Purpose,
        now: datetime.datetime,
    ) -> state.Attempt:
        request = entry.request
        attempt = state.Attempt(
            attempt_id=placed.attempt_id,
            purpose=purpose,
            placed=placed,
            sent_at=now,
            progress_at=now,
            resume_offset=request.next_event,
        )
        entry.attempts[attempt.attempt_id] = attempt_machine.make_attempt(
            attempt
        )
        self._metrics.count("attempts", service=request.arrival.service)
        return attempt

    def withdraw_retry(
        self, request: state.Request, now: datetime.datetime
    ) -> bool:
        """Take a retry from the budget; return whether there was one."""
        if not self._mechanisms.retry_budget:
            return True
        if self._budget(request).withdraw(now, self._slack_share):
            return True
        self._metrics.count(
            "retries_over_budget", service=request.arrival.service
        )
        return False

    @property
    def _slack_share(self) -> float:
        """This router's share of the retries allowed without requests."""
        if not self._retries.slack:
            return budget.RETRY_RESERVE
        return self._retries.slack / (len(self._routers) + 1)

    def _budget(self, request: state.Request) -> budget.RetryBudget:
        service = request.arrival.service
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = budget.RetryBudget(
                ratio=self._retries.ratio, window=self._retries.window
            )
        return retry_budget

    def _response_times_of(
        self, request: state.Request
    ) -> policy.ResponseTimeAverage:
        return self._response_times.setdefault(
            request.arrival.service, policy.ResponseTimeAverage()
        )


def accurate_code(request: state.Request, code: str) -> str:
    """Return the code, or one whose ``ran`` value is true of the request."""
    refusal = refusals.REFUSALS.get(code)
    if refusal is None:
        return FALLBACK_CODE
    if request.purpose is state.Purpose.LOOKUP:
        return "outcome_unknown"
    if refusal.ran is not messages.Ran.NO or not request.may_have_run:
        return code
    return "timeout" if code == "deadline_exceeded" else "upstream_failed"
