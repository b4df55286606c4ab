"""Error codes that callers can receive, and their retry delays.

The error reference in the user guide is generated from this table.
"""

from __future__ import annotations

import dataclasses
import datetime
import random

from fulmarbarrow.delivery import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """An error code with its HTTP status and whether the request ran.

    ``proof`` says why a definite ``ran`` value holds. ``retry_delay_ms`` is
    the range of the retry delay to suggest, or None to suggest none; each
    caller gets a random delay from it, so that they don't all retry at once.
    """

    code: str
    status: int
    ran: messages.Ran
    message: str
    proof: str
    retry_delay_ms: tuple[int, int] | None = None


# Another daemon can take the request at once.
_OTHER_DAEMON_MS = (20, 100)
# An upstream's queue advances within a few responses.
_UPSTREAM_REFUSED_MS = (150, 450)
# Overload persists, so retries are spread over the next responses.
_OVERLOAD_MS = (400, 1_200)
# Time for a control host to restart or for upstreams to register again.
_RECOVERY_MS = (800, 2_000)
# Time from a router's start until its dependencies are available after all
# hosts were stopped: a control host takes 1.5 s to start on a quarter of a
# core, and upstreams register again within the following second.
STARTUP_TIME = datetime.timedelta(milliseconds=2_300)
# Statuses by which callers take a request for one that has not run and never
# will, whoever made them.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_BEFORE_DISPATCH = "refused before any byte went to an upstream"

_TABLE = (
    Refusal(
        code="unauthorized",
        status=401,
        ran=messages.Ran.NO,
        message="the bearer key matches no client account",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="bad_request",
        status=400,
        ran=messages.Ran.NO,
        message="the request is malformed",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="body_too_large",
        status=413,
        ran=messages.Ran.NO,
        message="the request body exceeds the size limit",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="headers_too_large",
        status=431,
        ran=messages.Ran.NO,
        message="the request headers exceed the size limit",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="method_not_allowed",
        status=405,
        ran=messages.Ran.NO,
        message="the method is not allowed on this path; see the Allow header",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="not_allowed",
        status=403,
        ran=messages.Ran.NO,
        message="the client account has no access to this service",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="no_route",
        status=404,
        ran=messages.Ran.NO,
        message="no service has a route for this method and path",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="no_model",
        status=404,
        ran=messages.Ran.NO,
        message="no service offers this model",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="key_required",
        status=400,
        ran=messages.Ran.NO,
        message="this route needs an Idempotency-Key header",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="key_reused",
        status=422,
        ran=messages.Ran.NO,
        message="the Idempotency-Key was used for a different request",
        proof="only the first request with this key can be dispatched",
    ),
    Refusal(
        code="action_running",
        status=409,
        ran=messages.Ran.UNKNOWN,
        message="the action with this Idempotency-Key is still running",
        proof="",
    ),
    Refusal(
        code="too_many_open_requests",
        status=429,
        ran=messages.Ran.NO,
        message="the client account has too many open requests",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_OVERLOAD_MS,
    ),
    Refusal(
        code="overloaded",
        status=503,
        ran=messages.Ran.NO,
        message="capacity is short; no upstream had room in time",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_OVERLOAD_MS,
    ),
    Refusal(
        code="capacity_short",
        status=503,
        ran=messages.Ran.NO,
        message="capacity is short; requests of higher worth come first",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_OVERLOAD_MS,
    ),
    Refusal(
        code="deadline_exceeded",
        status=504,
        ran=messages.Ran.NO,
        message="the deadline can't be met; nothing was dispatched",
        proof=_BEFORE_DISPATCH,
    ),
    Refusal(
        code="no_upstream",
        status=503,
        ran=messages.Ran.NO,
        message="no upstream of the service is reachable",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_RECOVERY_MS,
    ),
    Refusal(
        code="quarantined",
        status=503,
        ran=messages.Ran.NO,
        message="the request, or a part of its prompt, crashed upstreams",
        proof="this copy of the request was not dispatched",
    ),
    Refusal(
        code="journal_unavailable",
        status=503,
        ran=messages.Ran.NO,
        message="without a journal quorum the action is not dispatched",
        proof="without a committed intent nothing is dispatched",
        retry_delay_ms=_RECOVERY_MS,
    ),
    Refusal(
        code="no_configuration",
        status=503,
        ran=messages.Ran.NO,
        message="this daemon has not received a configuration yet",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_RECOVERY_MS,
    ),
    Refusal(
        code="not_run",
        status=503,
        ran=messages.Ran.NO,
        message="the action did not run and will not run under this key",
        proof="the journal entry is sealed",
    ),
    Refusal(
        code="stopping",
        status=503,
        ran=messages.Ran.NO,
        message="this daemon is shutting down",
        proof=_BEFORE_DISPATCH,
        retry_delay_ms=_OTHER_DAEMON_MS,
    ),
    Refusal(
        code="upstream_refused",
        status=503,
        ran=messages.Ran.NO,
        message="every upstream that received the request refused to run it",
        proof="each upstream confirmed that it did not run the request",
        retry_delay_ms=_UPSTREAM_REFUSED_MS,
    ),
    Refusal(
        code="answer_not_kept",
        status=409,
        ran=messages.Ran.YES,
        message="the action ran; its response was too large to be recorded",
        proof="the journal holds the action's outcome",
    ),
    Refusal(
        code="timeout",
        status=504,
        ran=messages.Ran.UNKNOWN,
        message="no response before the deadline; the request may have run",
        proof="",
    ),
    Refusal(
        code="upstream_failed",
        status=502,
        ran=messages.Ran.UNKNOWN,
        message="the upstream failed; the request may have run",
        proof="",
    ),
    Refusal(
        code="outcome_unknown",
        status=502,
        ran=messages.Ran.UNKNOWN,
        message="the action may have run; its outcome is unknown",
        proof="",
    ),
    Refusal(
        code="internal_error",
        status=500,
        ran=messages.Ran.UNKNOWN,
        message="internal error",
        proof="",
    ),
)

REFUSALS = {refusal.code: refusal for refusal in _TABLE}


class RetryDelays:
    """Retry delays for refused callers.

    After a restart of all hosts, routers are up before control hosts and
    upstreams. Requests that are refused in that period would be refused
    again if retried at once, so their delay extends past its end.
    """

    def __init__(
        self, *, rng: random.Random, started: datetime.datetime
    ) -> None:
        self._rng = rng
        self._startup_end = started + STARTUP_TIME

    def for_code(
        self, code: str, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return a random retry delay for an error code, if it has one."""
        delay_ms = REFUSALS[code].retry_delay_ms
        if delay_ms is None:
            return None
        least, most = delay_ms
        if delay_ms is _RECOVERY_MS:
            left = (self._startup_end - now) / datetime.timedelta(
                milliseconds=1
            )
            extension = max(0.0, left - least)
            least, most = least + extension, most + extension
        return datetime.timedelta(milliseconds=self._rng.uniform(least, most))
