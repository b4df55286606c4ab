"""Constructors of the effects of request state transitions."""

from __future__ import annotations

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import state
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages

Effects = list[message.Message]


def intend(request: state.Request) -> message.Message:
    """Request permission to dispatch from the journal."""
    arrival = request.arrival
    return journal_messages.Intend(
        request_id=arrival.request_id,
        account=arrival.account,
        key=arrival.key,
        digest=arrival.digest,
        service=arrival.service,
        attempt_id=request.attempt_id,
        deadline=arrival.deadline,
    )


def request_placement(
    request: state.Request, attempt_id: str
) -> message.Message:
    """Request an upstream from placement."""
    arrival = request.arrival
    return placement_messages.PlaceRequest(
        request_id=arrival.request_id,
        attempt_id=attempt_id,
        account=arrival.account,
        service=arrival.service,
        model=arrival.model,
        chat=arrival.chat,
        cost=arrival.cost,
        cost_class=arrival.cost_class,
        worth=arrival.worth,
        deadline=request.deadline,
        excluded=request.excluded,
        best_effort=arrival.best_effort,
        parts=arrival.parts,
        objective=arrival.objective,
        once=not arrival.idempotent,
        rank=arrival.rank or 0,
        # A caller that has a part of its answer waits for the rest.
        start_by=None if request.response_started else arrival.start_by,
        version=request.version if request.response_started else "",
    )


def cancel_placements(request: state.Request) -> Effects:
    """Cancel all pending placements of a request."""
    attempt_ids = [request.placing_id, request.hedge_id]
    request.placing_id = request.hedge_id = request.replaced_id = ""
    return [
        placement_messages.PlaceCancelled(
            request_id=request.request_id, attempt_id=attempt_id
        )
        for attempt_id in attempt_ids
        if attempt_id
    ]


def start_attempt(
    request: state.Request, attempt: state.Attempt
) -> message.Message:
    """Send an attempt to its upstream."""
    placed = attempt.placed
    lookup = attempt.purpose is state.Purpose.LOOKUP
    return messages.StartAttempt(
        request_id=request.request_id,
        attempt_id=attempt.attempt_id,
        upstream_id=placed.upstream_id,
        incarnation=placed.incarnation,
        url=placed.url,
        priority=placed.priority,
        deadline=request.deadline,
        version=placed.version,
        resume_offset=attempt.resume_offset,
        lookup=lookup,
        dispatch_until=None if lookup else request.dispatch_until,
        lookup_path=request.arrival.lookup_path if lookup else "",
        rank=request.arrival.rank,
        fetch_from=placed.fetch_from,
    )


def release_placement(placed: placement_messages.Placed) -> message.Message:
    """Release a placement that is no longer needed."""
    return placement_messages.WorkEnded(
        request_id=placed.request_id,
        attempt_id=placed.attempt_id,
        upstream_id=placed.upstream_id,
        incarnation=placed.incarnation,
        outcome=placement_messages.WorkOutcome.NOT_SENT,
    )


def work_ended(
    request: state.Request,
    attempt: state.Attempt,
    outcome: placement_messages.WorkOutcome,
) -> Effects:
    """Report the outcome of an attempt to placement and versions."""
    placed = attempt.placed
    load = attempt.headers.load if attempt.headers else None
    mean_token_gap = None
    if attempt.time_to_first_token is not None and attempt.tokens > 1:
        streaming_time = (
            attempt.progress_at - attempt.sent_at - attempt.time_to_first_token
        )
        mean_token_gap = streaming_time / (attempt.tokens - 1)
    return [
        placement_messages.WorkEnded(
            request_id=request.request_id,
            attempt_id=attempt.attempt_id,
            upstream_id=placed.upstream_id,
            incarnation=placed.incarnation,
            outcome=outcome,
            refusals_borne=(
                attempt.headers.refusals_borne if attempt.headers else None
            ),
            hold_off=attempt.headers.hold_off if attempt.headers else None,
            first_token=attempt.time_to_first_token,
            generated_tokens=attempt.tokens,
            reused_tokens=attempt.reused_tokens,
            lasted=attempt.progress_at - attempt.sent_at if load else None,
            pace=load.pace if load else 0,
        ),
        messages.AttemptObserved(
            account=request.arrival.account,
            service=request.arrival.service,
            model=request.arrival.model,
            version=placed.version,
            route=request.arrival.route,
            upstream_id=placed.upstream_id,
            incarnation=placed.incarnation,
            outcome=outcome,
            first_token=attempt.time_to_first_token,
            between_tokens=mean_token_gap,
            reused=bool(attempt.reused_tokens),
            whole=(
                attempt.progress_at - attempt.sent_at
                if outcome is placement_messages.WorkOutcome.COMPLETED
                else None
            ),
            status=attempt.headers.status if attempt.headers else 0,
        ),
    ]


def load_stated(
    attempt: state.Attempt, event: messages.AttemptHeaders
) -> Effects:
    """Report the load that an upstream states in a response."""
    if event.load is None:
        return []
    return [
        placement_messages.LoadStated(
            upstream_id=attempt.placed.upstream_id,
            incarnation=attempt.placed.incarnation,
            load=event.load,
        )
    ]


def cancel_attempt(request: state.Request, attempt: state.Attempt) -> Effects:
    """Cancel an attempt whose response is no longer needed."""
    return [
        messages.CancelAttempt(
            attempt_id=attempt.attempt_id,
            upstream_id=attempt.placed.upstream_id,
        ),
        *work_ended(
            request, attempt, placement_messages.WorkOutcome.CANCELLED
        ),
    ]


def start_response(
    request: state.Request, attempt: state.Attempt, length: int | None
) -> message.Message:
    """Send status and headers to the caller."""
    request.version = attempt.placed.version
    return messages.ResponseStarted(
        request_id=request.request_id,
        status=attempt.headers.status,
        content_type=attempt.headers.content_type,
        length=length,
        fields=attempt.headers.fields,
    )


def send_response(request: state.Request) -> Effects:
    """Send the rest of a complete response to the caller."""
    attempt = request.response
    request_id = request.request_id
    effects: Effects = []
    if not request.response_started:
        request.response_started = True
        length = None if attempt.streamed else len(attempt.body)
        effects.append(start_response(request, attempt, length))
        if attempt.body:
            effects.append(
                messages.ResponseData(
                    request_id=request_id, data=bytes(attempt.body)
                )
            )
    ended = messages.ResponseEnded(
        request_id=request_id,
        events=request.delivered_events,
        last_event=request.last_event,
    )
    return [*effects, ended]


def replay(
    request: state.Request, event: journal_messages.IntendResult
) -> Effects:
    """Send a recorded response to the caller."""
    request_id = request.request_id
    return [
        messages.ResponseStarted(
            request_id=request_id,
            status=event.status,
            content_type=event.content_type,
            length=len(event.body),
            replayed=True,
        ),
        messages.ResponseData(request_id=request_id, data=event.body),
        messages.ResponseEnded(request_id=request_id),
    ]


def send_error(request: state.Request, code: str) -> message.Message:
    """Send an error to the caller, in-stream if the response has started."""
    refusal = refusals.REFUSALS[code]
    if request.response_started:
        return messages.ResponseAborted(
            request_id=request.request_id,
            code=code,
            ran=refusal.ran,
            events=request.delivered_events,
            last_event=request.last_event,
            no_retry=request.no_retry,
        )
    return messages.RequestRefused(
        request_id=request.request_id,
        code=code,
        ran=refusal.ran,
        status=refusal.status,
        retry_after=request.retry_after,
        no_retry=request.no_retry,
    )


def record(request: state.Request, limit_bytes: int) -> message.Message:
    """Record the response of an action; one above the limit without body."""
    attempt = request.response
    within_limit = attempt.received_bytes <= limit_bytes
    return journal_messages.RecordOutcome(
        request_id=request.request_id,
        account=request.arrival.account,
        key=request.arrival.key,
        attempt_id=attempt.attempt_id,
        status=attempt.headers.status,
        content_type=attempt.headers.content_type,
        body=bytes(attempt.body) if within_limit else b"",
        kept=within_limit,
        lookup=attempt.purpose is state.Purpose.LOOKUP,
    )


def seal(request: state.Request, lookup: bool = False) -> message.Message:
    """Record that an action did not run and never will."""
    return journal_messages.SealEntry(
        request_id=request.request_id,
        account=request.arrival.account,
        key=request.arrival.key,
        attempt_id=request.attempt_id,
        lookup=lookup,
    )


def mark_unknown(request: state.Request) -> message.Message:
    """Record that an action may have run."""
    return journal_messages.MarkUnknown(
        request_id=request.request_id,
        account=request.arrival.account,
        key=request.arrival.key,
        attempt_id=request.attempt_id,
    )


def close(request: state.Request) -> Effects:
    """Cancel all open work of a request and close it."""
    effects = cancel_placements(request)
    for attempt in request.attempts.values():
        effects.extend(cancel_attempt(request, attempt))
    request.attempts.clear()
    request.closed = True
    request.ready = False
    if request.admitted:
        effects.append(
            limits_messages.RequestFinished(
                request_id=request.request_id, account=request.arrival.account
            )
        )
    return effects
