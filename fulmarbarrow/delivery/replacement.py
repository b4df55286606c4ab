"""Replacement of attempts that have gone silent."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.delivery import effects as effects_module
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import open_requests
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import recovery as recoveries
from fulmarbarrow.delivery import responses
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import suspects as suspects_module
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

Effects = list[message.Message]

# Time after which another upstream is asked for again.
ASK_AGAIN = datetime.timedelta(milliseconds=300)
# Factor on the time limit of a silence that several upstreams share.
SHARED_SILENCE_FACTOR = 1.25


class Replacements:
    """Moves requests away from silent upstreams once others can take them.

    A sound upstream may be silent for a while. Its attempt goes on until
    placement has found another upstream, and is kept if it makes progress
    before that or if there is none. So silence ends no response that might
    have gone on.
    """

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        recovery: recoveries.Recovery,
        handler: responses.ResponseHandler,
        suspects: suspects_module.SuspectTracker,
    ) -> None:
        self._metrics = metrics
        self._recovery = recovery
        self._handler = handler
        self._suspects = suspects

    @staticmethod
    def applies(request: state.Request) -> bool:
        """Return whether the only attempt of a request can be replaced."""
        return len(request.attempts) == 1 and (
            request.purpose is state.Purpose.RUN
        )

    def ask(
        self,
        entry: open_requests.OpenRequest,
        attempt: state.Attempt,
        limit: datetime.timedelta,
        peers: policy.SilentUpstreams,
        now: datetime.datetime,
    ) -> Effects:
        """Ask for another upstream, unless the silence is a shared one.

        If every upstream that the service's responses come from is silent,
        another one is unlikely to do better, and a response that moves is
        read in again there.
        """
        request = entry.request
        shared_until = attempt.progress_at + limit * SHARED_SILENCE_FACTOR
        if peers.all_silent and now < shared_until:
            attempt.look_again_at = shared_until
            return []
        attempt.look_again_at = now + ASK_AGAIN
        if request.hedge_id or not self._may_replace(request, attempt, now):
            return []
        attempt.asked_at = now
        request.attempt_number += 1
        request.hedge_id = request.attempt_id
        request.replaced_id = attempt.attempt_id
        excluded = self._suspects.excluded_upstreams(request, now)
        placing = effects_module.request_placement(request, request.hedge_id)
        return [
            msgspec.structs.replace(
                placing,
                excluded=tuple(
                    sorted(
                        {
                            *excluded,
                            *peers.silent,
                            attempt.placed.upstream_id,
                        }
                    )
                ),
            )
        ]

    def take(
        self,
        entry: open_requests.OpenRequest,
        placed: placement_messages.Placed,
        now: datetime.datetime,
    ) -> Effects:
        """Move the request to the upstream that placement has found."""
        request = entry.request
        attempt = request.attempts.get(request.replaced_id)
        self._forget(request)
        if (
            attempt is None
            or attempt.resumed_by_itself
            or not self._recovery.withdraw_retry(request, now)
        ):
            return [effects_module.release_placement(placed)]
        self._metrics.count("silent_attempts")
        request.attempts_without_progress += 1
        if attempt.progressed:
            request.attempts_without_progress = 0
        effects = self._handler.discard_failed(
            entry, attempt, messages.FailureKind.SILENT, now
        )
        return [*effects, *self._recovery.resume(entry, placed, now)]

    def refused(self, request: state.Request) -> None:
        """Keep the attempt, as no other upstream takes the request."""
        self._forget(request)

    def progressed(
        self, request: state.Request, attempt: state.Attempt
    ) -> Effects:
        """Keep an attempt that goes on by itself."""
        attempt.asked_at = None
        if request.replaced_id != attempt.attempt_id:
            return []
        hedge_id = request.hedge_id
        self._forget(request)
        return [
            placement_messages.PlaceCancelled(
                request_id=request.request_id, attempt_id=hedge_id
            )
        ]

    def _may_replace(
        self,
        request: state.Request,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> bool:
        if request.caller_gone or attempt.relayed or now >= request.deadline:
            return False
        if request.attempts_without_progress + 1 >= policy.MAX_ATTEMPTS:
            return False
        if not self._recovery.has_retry(request, now):
            return False
        decision = self._suspects.decide_dispatch(request, now)
        return decision is suspects_module.DispatchDecision.ALLOWED

    @staticmethod
    def _forget(request: state.Request) -> None:
        request.hedge_id = request.replaced_id = ""


def due_at(
    attempt: state.Attempt, limit: datetime.timedelta
) -> datetime.datetime:
    """Return when to act on an attempt's silence."""
    due = attempt.progress_at + limit
    if attempt.look_again_at is None:
        return due
    return max(due, attempt.look_again_at)
