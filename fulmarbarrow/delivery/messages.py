"""Messages for requests and the attempts that carry them upstream."""

from __future__ import annotations

import collections.abc
import datetime
import enum

import msgspec

from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages


class Ran(enum.StrEnum):
    """Whether a request without a complete response ran at an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class FailureKind(enum.StrEnum):
    """How an attempt at an upstream failed.

    ``CONNECT``: before any byte of the request was sent. ``REFUSED``: the
    upstream stated that it did not run the request, or a lookup failed.
    ``CRASHED``: the connection failed after the request was sent and before
    the response headers. ``CUT``: the response ended early or skipped events.
    ``SILENT``: there was no progress within the timeout. ``WRONG_ATTEMPT``:
    the response belongs to another attempt. ``SERVER_ERROR``: an error
    response that is not forwarded to the caller. ``MISDIRECTED``: status 421.
    ``LEASE_PASSED``: the dispatch lease ended before the first byte was sent.
    ``RELAY_LOST``: the peer that relayed the attempt has ended, which tells
    nothing about the upstream.
    """

    CONNECT = "connect"
    REFUSED = "refused"
    CRASHED = "crashed"
    CUT = "cut"
    SILENT = "silent"
    WRONG_ATTEMPT = "wrong_attempt"
    SERVER_ERROR = "server_error"
    MISDIRECTED = "misdirected"
    LEASE_PASSED = "lease_passed"
    RELAY_LOST = "relay_lost"


class BodyFraming(enum.StrEnum):
    """How the end of a response body is marked.

    ``LENGTH``: by a declared length, which may be 0. ``CHUNKED``: by a last
    chunk. ``CONNECTION``: only by the end of the connection.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


class RequestArrived(message.Message, frozen=True, kw_only=True):
    """A validated, authenticated request entered this daemon.

    ``digest`` is a hash of the method, path and body; ``key`` is the
    idempotency key. ``stream`` is set if the response is a stream of
    server-sent events; the caller already has the events before
    ``resumed_from``. ``parts`` lists the shared prompt prefixes as pairs of
    id and token count; the last one belongs to the session. ``attempts``
    limits how many attempts may run the request; 0 means the default limit.
    ``rank`` 0 is the most urgent. ``objective`` is the target time to the
    first byte. ``caller_id`` is the request id that the caller chose. An
    answer that has not been requested of an upstream by ``start_by`` would
    come too late for its caller; None is no such limit before the deadline.
    """

    request_id: str
    account: str
    service: str
    model: str
    chat: str
    route: str
    method: str
    path: str
    digest: str
    idempotent: bool
    key: str
    stream: bool
    cost: int
    cost_class: placement_messages.CostClass
    worth: float
    best_effort: bool
    deadline: datetime.datetime
    lookup_path: str = ""
    resumed_from: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    attempts: int = 0
    rank: int | None = None
    objective: datetime.timedelta | None = None
    caller_id: str = ""
    start_by: datetime.datetime | None = None


class RequestBegan(message.Message, frozen=True, kw_only=True):
    """A request of ``account`` began to run at an upstream.

    Told once for a request, whatever its attempts, and only if usage is
    reported.
    """

    account: str


class StartAttempt(message.Message, frozen=True, kw_only=True):
    """Effect: send the request to an upstream.

    The caller already has the response events before ``resume_offset``. If
    ``lookup`` is set, the attempt queries ``lookup_path`` for the outcome of
    an earlier run and runs nothing. No byte may be sent at or after
    ``dispatch_until``.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    url: str
    priority: int
    deadline: datetime.datetime
    version: str = ""
    resume_offset: int = 0
    lookup: bool = False
    dispatch_until: datetime.datetime | None = None
    lookup_path: str = ""
    rank: int | None = None
    fetch_from: str = ""


class AttemptSent(message.Message, frozen=True, kw_only=True):
    """The first byte of the attempt may have left this host.

    ``peer`` is the address of the peer that relays it, if one does.
    """

    attempt_id: str
    peer: str = ""


class AttemptHeaders(message.Message, frozen=True, kw_only=True):
    """The upstream sent the status and headers of its response.

    ``echoed_attempt`` is the attempt id that the upstream echoed.
    ``not_run`` is set if the upstream states that it rejected the request
    before running it. ``length`` is the declared body length, or None for a
    stream. ``resume_offset`` is the event index at which the engine says it
    resumes. ``fields`` are the header fields to forward to the caller.
    ``framing`` tells how the end of the body is marked.
    ``ends_with_body`` is set if a stream is complete at the end of the body
    and has no end marker. ``rate_limit`` is the number of requests a second
    that the upstream takes from all routers together, None if it names none;
    ``rate_limit_unreadable`` is set if it names one that can't be read.
    ``refusals_borne`` is the number of requests a second, from all routers
    together, that the upstream can refuse for want of room without failing,
    None if it says nothing of it. ``leaving`` is set if the upstream says that
    it leaves, and ``hold_off`` is for how long it wants no request from here.
    ``load`` is what it states of its load, None unless it states its pace.
    """

    attempt_id: str
    status: int
    echoed_attempt: str
    content_type: str = ""
    length: int | None = None
    not_run: bool = False
    resume_offset: int = 0
    fields: tuple[tuple[str, str], ...] = ()
    ends_with_body: bool = False
    framing: BodyFraming = BodyFraming.LENGTH
    rate_limit: float | None = None
    rate_limit_unreadable: bool = False
    refusals_borne: float | None = None
    leaving: bool = False
    hold_off: datetime.timedelta | None = None
    load: placement_messages.ServerLoad | None = None


class AttemptData(message.Message, frozen=True, kw_only=True):
    """A part of the response: complete stream events, or body bytes.

    ``first_event`` is the index of the first event in ``data``. ``echoed``
    holds the distinct attempt ids that the events carry. ``reused_tokens``
    is None if the engine's protocol does not report it. Where the protocol
    gives events ids that only increase, ``ids`` has them in the place of
    indices.
    """

    attempt_id: str
    data: bytes
    events: int = 0
    first_event: int = 0
    end_marker: bool = False
    tokens: int = 0
    reused_tokens: int | None = 0
    echoed: tuple[str, ...] = ()
    ids: tuple[int, ...] = ()

    @property
    def positions(self) -> collections.abc.Sequence[int]:
        """The places of the events in their stream, in increasing order."""
        if self.ids:
            return self.ids
        return range(self.first_event, self.first_event + self.events)


class AttemptPaused(message.Message, frozen=True, kw_only=True):
    """Backpressure from the caller paused or resumed reading the response."""

    attempt_id: str
    paused: bool


class AttemptEnded(message.Message, frozen=True, kw_only=True):
    """The upstream ended the response without a protocol error.

    ``unfinished_bytes`` is the size of an event in which a stream ended.
    """

    attempt_id: str
    unfinished_bytes: int = 0


class AttemptFailed(message.Message, frozen=True, kw_only=True):
    """The attempt failed; ``sent`` is False if no byte can have been sent."""

    attempt_id: str
    kind: FailureKind
    sent: bool


class CancelAttempt(message.Message, frozen=True, kw_only=True):
    """Effect: abort the attempt and tell the engine to stop its work.

    ``kind`` is how it failed, None if its response is not needed any more.
    """

    attempt_id: str
    upstream_id: str
    kind: FailureKind | None = None


class RetireConnections(
    message.Message, frozen=True, kw_only=True, tag="SuspectConnections"
):
    """Effect: stop reusing pooled connections to this upstream."""

    upstream_id: str
    url: str


class ResponseStarted(
    message.Message, frozen=True, kw_only=True, tag="AnswerStarted"
):
    """Effect: send status and headers to the caller."""

    request_id: str
    status: int
    content_type: str
    length: int | None = None
    replayed: bool = False
    fields: tuple[tuple[str, str], ...] = ()


class ResponseData(
    message.Message, frozen=True, kw_only=True, tag="AnswerData"
):
    """Effect: send a part of the response body to the caller."""

    request_id: str
    data: bytes


class ResponseEnded(
    message.Message, frozen=True, kw_only=True, tag="AnswerEnded"
):
    """Effect: the response is complete; end it.

    ``events`` is the number of stream events that were forwarded,
    ``last_event`` the position of the last one that the caller has.
    """

    request_id: str
    events: int = 0
    last_event: int | None = None


class ResponseAborted(
    message.Message, frozen=True, kw_only=True, tag="AnswerBroken"
):
    """Effect: end a started response with an error event.

    ``events`` is the number of stream events that were forwarded,
    ``no_retry`` why no further attempt was made, if that was ruled out, and
    ``last_event`` the position of the last one that the caller has.
    """

    request_id: str
    code: str
    ran: Ran
    events: int = 0
    no_retry: str = ""
    last_event: int | None = None


class RequestRefused(message.Message, frozen=True, kw_only=True):
    """Effect: send an error response; no response has started yet.

    ``no_retry`` is why no further attempt was made, if that was ruled out.
    """

    request_id: str
    code: str
    ran: Ran
    status: int
    retry_after: datetime.timedelta | None = None
    no_retry: str = ""


class RequestRejected(message.Message, frozen=True, kw_only=True):
    """A request was rejected on arrival by the active configuration.

    ``caller_id`` is the request id that the caller chose, if any.
    """

    caller_id: str
    code: str
    retry_after: datetime.timedelta | None = None


class CallerDisconnected(
    message.Message, frozen=True, kw_only=True, tag="CallerGone"
):
    """The caller disconnected before the end of the response."""

    request_id: str


class WakeRequested(
    message.Message, frozen=True, kw_only=True, tag="WakeWanted"
):
    """Effect: post a ``Wake`` at the given time."""

    at: datetime.datetime


class Wake(message.Message, frozen=True, kw_only=True):
    """The time requested by a ``WakeRequested`` was reached."""


class StopDue(message.Message, frozen=True, kw_only=True):
    """The process ends in a moment: answer every request that is open."""


class AttemptObserved(message.Message, frozen=True, kw_only=True):
    """Effect: report the outcome and latency of one finished attempt.

    ``between_tokens`` is the mean time between tokens. ``reused`` is set if
    the engine found a prefix of the prompt in its cache. ``whole`` is the
    time from sending the request to the end of a complete response, and
    ``status`` that of the response, 0 if there was none.
    """

    account: str
    service: str
    model: str
    version: str
    route: str
    upstream_id: str
    incarnation: int
    outcome: placement_messages.WorkOutcome
    first_token: datetime.timedelta | None = None
    between_tokens: datetime.timedelta | None = None
    reused: bool = False
    whole: datetime.timedelta | None = None
    status: int = 0


class PartQuarantined(message.Message, frozen=True, kw_only=True):
    """Effect: tell that requests with a prompt part are refused from now on.

    ``part`` is the part's key in hexadecimal digits, ``upstreams`` are those
    that crashed under it.
    """

    part: str
    upstreams: tuple[str, ...]


class PartReleased(message.Message, frozen=True, kw_only=True):
    """Effect: tell that requests with a prompt part are served again."""

    part: str


class RequestQuarantined(message.Message, frozen=True, kw_only=True):
    """Effect: tell that requests with a digest are refused from now on.

    ``key`` is the request's in hexadecimal digits, ``upstreams`` are those
    that crashed under it.
    """

    key: str
    upstreams: tuple[str, ...]


class RequestReleased(message.Message, frozen=True, kw_only=True):
    """Effect: tell that requests with a digest are served again."""

    key: str


# Messages sent to other routers.


class PoisonSuspected(message.Message, frozen=True, kw_only=True):
    """An upstream crashed while running a request with this digest."""

    digest: str
    upstream_id: str
    incarnation: int
    at: datetime.datetime


class SuspectStarted(message.Message, frozen=True, kw_only=True):
    """A router runs a suspect request; the record expires after ``lease``."""

    digest: str
    attempt_id: str
    upstream_id: str
    lease: datetime.timedelta


class SuspectEnded(message.Message, frozen=True, kw_only=True):
    """The isolated run of a suspect request ended.

    ``harmless`` is set if the run completed without a crash.
    """

    digest: str
    attempt_id: str
    harmless: bool


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A suspected crash of an upstream incarnation, ``age`` ago.

    ``keys`` are those of prompt parts, or of requests, that ran there and have
    not completed since; see ``prompt_parts.part_keys`` and
    ``evidence_exchange.request_key``.
    """

    upstream_id: str
    incarnation: int
    age: datetime.timedelta
    keys: tuple[int, ...]


class UpstreamsCrashed(message.Message, frozen=True, kw_only=True):
    """A router saw requests fail as they do when their upstream crashes."""

    crashes: tuple[CrashReport, ...]


class PartsServed(message.Message, frozen=True, kw_only=True):
    """Runs with prompt parts completed; pairs of a part's key and the age.

    Ages, not times, as the clocks of hosts may differ.
    """

    parts: tuple[tuple[int, datetime.timedelta], ...]


class RequestsCrashed(message.Message, frozen=True, kw_only=True):
    """A daemon knows of crashes while requests ran, by the requests' keys."""

    crashes: tuple[CrashReport, ...]


class RequestsServed(message.Message, frozen=True, kw_only=True):
    """Runs of requests completed; pairs of a request's key and the age."""

    requests: tuple[tuple[int, datetime.timedelta], ...]


PEER_MESSAGES = (
    PoisonSuspected,
    SuspectStarted,
    SuspectEnded,
    UpstreamsCrashed,
    PartsServed,
    RequestsCrashed,
    RequestsServed,
)
