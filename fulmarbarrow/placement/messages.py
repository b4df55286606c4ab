"""Messages for selecting upstreams and reserving their capacity."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message

# Cost in tokens of one request at an upstream that reports slots.
PLAIN_REQUEST_COST = 100


class CostClass(enum.StrEnum):
    """Size class of a request; short work never waits behind long work."""

    SHORT = "short"
    LONG = "long"


class WorkOutcome(enum.StrEnum):
    """How an attempt at an upstream ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    SILENT = "silent"
    MISDIRECTED = "misdirected"


# Outcomes that show that an upstream responds, and those that show that it
# does not.
RESPONSE_OUTCOMES = frozenset(
    (WorkOutcome.COMPLETED, WorkOutcome.FAILED, WorkOutcome.REFUSED)
)
LOST_OUTCOMES = frozenset(
    (WorkOutcome.UNREACHABLE, WorkOutcome.CRASHED, WorkOutcome.SILENT)
)


class ServerLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load of an upstream as it stated it in a response.

    ``pace`` is how long work takes there at this moment, in percent of the
    usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: int


class PlaceRequest(message.Message, frozen=True, kw_only=True):
    """Requests an upstream for one attempt of a request.

    ``cost`` is in tokens. ``excluded`` lists the upstreams that have already
    failed this request. ``worth`` is the value of the route to the user and
    decides which requests are shed when capacity is short. ``parts`` lists
    the id and token count of each shareable segment of the prompt. ``once``
    marks a request that must not be executed twice. ``objective`` is the
    target time to the first byte, and ``rank`` 0 is the most urgent. An
    answer that is not under way by ``start_by`` is of no use to its caller.
    During a rollout only upstreams of ``version`` may continue a response.
    """

    request_id: str
    attempt_id: str
    account: str
    service: str
    model: str
    chat: str
    cost: int
    cost_class: CostClass
    worth: float
    deadline: datetime.datetime
    excluded: tuple[str, ...] = ()
    best_effort: bool = False
    parts: tuple[tuple[str, int], ...] = ()
    objective: datetime.timedelta | None = None
    once: bool = False
    rank: int = 0
    start_by: datetime.datetime | None = None
    version: str = ""


class Placed(message.Message, frozen=True, kw_only=True):
    """The attempt may be sent to this upstream now.

    ``priority`` is the engine's scheduling priority; lower values run first.
    ``fetch_from`` is the URL of an engine from which the upstream may copy
    the KV cache of the prompt. ``reserved`` is False if no owner granted it.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    url: str
    version: str
    priority: int = 0
    fetch_from: str = ""
    reserved: bool = True


class NotPlaced(message.Message, frozen=True, kw_only=True):
    """No upstream can accept the attempt; nothing has been sent.

    ``retry_after`` is when the caller may return, None if nothing is known
    of the upstreams' queues.
    """

    request_id: str
    attempt_id: str
    code: str
    retry_after: datetime.timedelta | None = None


class PlaceCancelled(message.Message, frozen=True, kw_only=True):
    """The caller disconnected while the attempt waited for an upstream."""

    request_id: str
    attempt_id: str


class WorkEnded(message.Message, frozen=True, kw_only=True):
    """An attempt ended and its reservation can be released.

    ``reused_tokens`` is the number of prompt tokens that the engine reports
    as served from its cache, None if it does not report any.
    ``refusals_borne`` is the number of refusals a second that the upstream
    says it bears, None if it says nothing of it. ``hold_off`` is the time for
    which it wants no request from this router, None if it named none.
    ``lasted`` is the time from sending the request to the last byte received,
    and ``pace`` what the upstream stated in the head of its response, in
    percent, 0 if nothing.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    outcome: WorkOutcome
    refusals_borne: float | None = None
    first_token: datetime.timedelta | None = None
    prompt_tokens: int = 0
    generated_tokens: int = 0
    reused_tokens: int | None = 0
    hold_off: datetime.timedelta | None = None
    lasted: datetime.timedelta | None = None
    pace: int = 0


class LoadStated(message.Message, frozen=True, kw_only=True):
    """An upstream stated its load in the head of a response."""

    upstream_id: str
    incarnation: int
    load: ServerLoad


class RateLimitNamed(message.Message, frozen=True, kw_only=True):
    """An upstream's answer named a limit, or none any more.

    ``rate`` is the number of requests a second that it takes from all routers
    together, None if an attempt that was sent after the last naming answer
    was answered without a limit.
    """

    upstream_id: str
    incarnation: int
    rate: float | None


class PreemptWork(message.Message, frozen=True, kw_only=True):
    """Effect: cancel a local best-effort attempt; it may resume later."""

    attempt_id: str


class PlacementTick(message.Message, frozen=True, kw_only=True):
    """Timer event of placement; more frequent than the common ``Tick``."""


# Messages between daemons.


class ReserveStage(enum.IntEnum):
    """Stage of the search for an upstream that a reservation belongs to.

    ``HOME`` is the first reservation request, ``NEXT`` any later one, and
    ``LAST`` the one that is sent after every candidate has refused. ``LAST``
    may use the full bound of the upstream.
    """

    HOME = 0
    NEXT = 1
    LAST = 2


class PromptParts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The long parts of a prompt in their order, as hashes.

    ``key`` is the affinity key, which selects the home of the request.
    """

    key: str
    parts: tuple[int, ...]


class Reserve(message.Message, frozen=True, kw_only=True):
    """Requests a reservation for an attempt from the upstream's owner.

    Idempotent by ``attempt_id`` and ``upstream_id``. ``wait_ms`` is how long
    the owner may queue the attempt and ``deadline_ms`` the time left for the
    whole answer, both relative to now. Attempts of a lower ``rank`` leave
    the queue first. ``chat`` is a hash of the chat, 0 if the request does
    not benefit from a cache. ``prompt`` is sent to the owner that keeps the
    directory entries of the prompt's parts, if copies are enabled.
    """

    reply_to: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    owner_epoch: int
    account: str
    service: str
    cost: int
    cost_class: CostClass
    worth: float
    wait_ms: int
    deadline_ms: int
    best_effort: bool = False
    chat: int = 0
    stage: ReserveStage = ReserveStage.NEXT
    rank: int = 0
    prompt: PromptParts | None = None


class PlainState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of a plain upstream that reports a pace.

    ``upstream`` is a hash of its id. ``ahead`` counts the requests that run or
    wait there, ``request_ms`` is the usual time of one, 0 if it is not
    measured. The state was valid ``age_ms`` ago, and its ``pace`` (percent)
    was read ``pace_age_ms`` ago. ``mean_pace`` applies once that is too old.
    """

    upstream: int
    ahead: int
    slots: int
    request_ms: int
    pace: int
    pace_age_ms: int
    mean_pace: int
    age_ms: int = 0


class Reserved(message.Message, frozen=True, kw_only=True):
    """Grants a reservation, which expires ``lease`` after its last renewal.

    ``holders`` are hashes of at most 3 engines that hold the prompt's parts,
    ``states`` describes the plain upstreams of the service.
    """

    attempt_id: str
    upstream_id: str
    incarnation: int
    priority: int
    lease: datetime.timedelta
    holders: tuple[int, ...] = ()
    states: tuple[PlainState, ...] = ()


class ReserveRefused(message.Message, frozen=True, kw_only=True):
    """Refuses a reservation; ``code`` is the reason.

    ``wait_ms`` is the queueing delay that the owner expects for the attempt.
    ``moved_to`` is the upstream that holds the cache of the chat.
    ``holders`` and ``states`` are as in ``Reserved``.
    """

    attempt_id: str
    upstream_id: str
    code: str
    retry_after: datetime.timedelta | None = None
    wait_ms: int = 0
    moved_to: str = ""
    holders: tuple[int, ...] = ()
    states: tuple[PlainState, ...] = ()


class PlainStates(message.Message, frozen=True, kw_only=True):
    """Tells owners of plain upstreams of the same service their states."""

    states: tuple[PlainState, ...]


class LoadReading(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an upstream stated of its load ``age_ms`` ago."""

    upstream_id: str
    incarnation: int
    load: ServerLoad
    age_ms: int


class TimeSample(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Measured times of ``count`` whole responses, at the usual pace.

    ``first_ms`` is the sum of the times to the first event, ``total_ms`` that
    of the whole times.
    """

    upstream_id: str
    incarnation: int
    service: int
    count: int
    first_ms: int
    total_ms: int


class LoadReadings(message.Message, frozen=True, kw_only=True):
    """Tells an owner what a router learnt from responses of its upstreams."""

    readings: tuple[LoadReading, ...]
    times: tuple[TimeSample, ...] = ()


class UpstreamRateLimit(message.Message, frozen=True, kw_only=True):
    """Tells an upstream's owner the limit that the upstream named.

    ``rate`` is in requests a second, None if it names none any more.
    """

    upstream_id: str
    incarnation: int
    rate: float | None


class ChatMoved(message.Message, frozen=True, kw_only=True):
    """A chat whose home is ``upstream_id`` was placed at ``moved_to``."""

    upstream_id: str
    chat: int
    moved_to: str


class PartsPlaced(message.Message, frozen=True, kw_only=True):
    """Tells a directory owner which engine prefills parts of a prompt.

    ``upstream_id`` is the engine whose owner gets the message, ``holder`` the
    hash of the engine that holds the parts, or does not if ``holds`` is False.
    """

    upstream_id: str
    service: str
    prompt: PromptParts
    holder: int
    incarnation: int
    holds: bool = True


class PartHolder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether an engine held a part ``age_ms`` ago."""

    holder: int
    incarnation: int
    age_ms: int
    holds: bool = True


class PartEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The directory entry of a part and the affinity keys used with it."""

    part: int
    keys: tuple[str, ...]
    holders: tuple[PartHolder, ...]


class PartsCopied(message.Message, frozen=True, kw_only=True):
    """Copies directory entries of one pool to another owner."""

    service: str
    model: str
    version: str
    entries: tuple[PartEntry, ...]


class CacheLost(message.Message, frozen=True, kw_only=True):
    """An engine's owner found that the engine has lost its cache."""

    upstream_id: str
    incarnation: int


class Release(message.Message, frozen=True, kw_only=True):
    """Releases the reservations of ended attempts at their owner.

    An empty ``upstream_id`` releases the attempts at every upstream. The
    other fields are bit sets; bit ``n`` describes the ``n``-th attempt:

    - ``hits``: a part of the prompt was found in the cache;
    - ``misses``: no part of the prompt was found in the cache;
    - ``answered``: the upstream responded;
    - ``lost``: the upstream was unreachable, crashed or stopped responding;
    - ``misdirected``: another upstream uses the address.

    A message releases at most 32 attempts.
    """

    attempt_ids: tuple[str, ...]
    upstream_id: str = ""
    hits: int = 0
    misses: int = 0
    answered: int = 0
    lost: int = 0
    misdirected: int = 0


class HeldWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A running attempt whose reservation an entry host renews.

    ``left_ms`` is the time until its deadline.
    """

    attempt_id: str
    left_ms: int
    cost: int
    cost_class: CostClass
    account: str
    best_effort: bool = False


class Renew(message.Message, frozen=True, kw_only=True):
    """Renews reservations; the owner adds those that it does not know."""

    reply_to: str
    upstream_id: str
    incarnation: int
    owner_epoch: int
    held: tuple[HeldWork, ...]


class Preempt(message.Message, frozen=True, kw_only=True):
    """Asks an entry host to cancel some of its best-effort attempts."""

    attempt_ids: tuple[str, ...]


class PoolWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reserved work and capacity in tokens of one owner's part of a pool.

    ``pool`` is a hash of service, model and version. ``placed`` is the work
    that was placed within the recent window. ``requests`` counts the
    reservations at the ``members`` that are serving, including those in zones
    that get no work. Each service has an entry of its own for these two.
    """

    pool: int
    work: int
    capacity: int
    placed: int
    requests: int = 0
    members: int = 0


class OwnerSummary(message.Message, frozen=True, kw_only=True):
    """Load of an owner's upstreams by pool, for routers of the region."""

    owner: str
    sequence: int
    pools: tuple[PoolWork, ...]
    states: tuple[PlainState, ...] = ()


PEER_MESSAGES = (
    Reserve,
    Reserved,
    ReserveRefused,
    Release,
    ChatMoved,
    Renew,
    Preempt,
    OwnerSummary,
    UpstreamRateLimit,
    PartsPlaced,
    PartsCopied,
    CacheLost,
    LoadReadings,
    PlainStates,
)
