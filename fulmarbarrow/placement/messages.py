"""Messages about the choice of an upstream and its work."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message

# Work of a plain request in tokens, where an upstream states its slots.
PLAIN_COST = 100


class CostClass(enum.StrEnum):
    """Short work never waits behind long work."""

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


# Outcomes by which an upstream shows that it works, or that it doesn't.
ANSWERED = frozenset(
    (WorkOutcome.COMPLETED, WorkOutcome.FAILED, WorkOutcome.REFUSED)
)
LOST = frozenset(
    (WorkOutcome.UNREACHABLE, WorkOutcome.CRASHED, WorkOutcome.SILENT)
)


class PlaceRequest(message.Message, frozen=True, kw_only=True):
    """Asks for an upstream for one attempt of a request.

    ``cost`` is in tokens. ``excluded`` upstreams have failed this request.
    ``worth`` is the route's worth to the user, used when capacity is short.
    ``parts`` are the shared parts of the prompt by id and tokens. What is to
    run ``once`` must not run a second time.
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


class Placed(message.Message, frozen=True, kw_only=True):
    """The attempt may be sent to this upstream now.

    ``priority`` is the engine's scheduling priority; lower runs first. It
    may fetch the prompt's memory from the engine at ``fetch_from``.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    url: str
    version: str
    priority: int = 0
    fetch_from: str = ""


class NotPlaced(message.Message, frozen=True, kw_only=True):
    """No upstream may take the attempt; nothing has been sent."""

    request_id: str
    attempt_id: str
    code: str
    retry_after: datetime.timedelta | None = None


class PlaceCancelled(message.Message, frozen=True, kw_only=True):
    """The caller went away while the attempt waited for its upstream."""

    request_id: str
    attempt_id: str


class WorkEnded(message.Message, frozen=True, kw_only=True):
    """An attempt ended; its reservation is free again.

    ``reused_tokens`` is what the engine says it found in its cache, None if
    it doesn't tell.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    incarnation: int
    outcome: WorkOutcome
    first_token: datetime.timedelta | None = None
    prompt_tokens: int = 0
    generated_tokens: int = 0
    reused_tokens: int | None = 0


class PreemptWork(message.Message, frozen=True, kw_only=True):
    """Effect: cancel a best-effort attempt here; it may resume later."""

    attempt_id: str


class PlacementTick(message.Message, frozen=True, kw_only=True):
    """Time has passed; more frequent than the cores' common tick."""


# Messages between daemons.


class ReserveStage(enum.IntEnum):
    """How far an attempt has walked along its upstreams.

    ``HOME`` is the first ask, ``NEXT`` any other, and ``LAST`` the ask that
    follows when none had room; it may use all that the bound allows.
    """

    HOME = 0
    NEXT = 1
    LAST = 2


class Reserve(message.Message, frozen=True, kw_only=True):
    """Asks an upstream's owner to reserve an attempt's work.

    Idempotent by ``attempt_id`` and ``upstream_id``. ``wait_ms`` is how long
    the owner may queue the attempt, behind all of a lower ``rank``, and
    ``deadline_ms`` the time left for the
    whole answer, both from now. ``chat`` is a hash of the chat, 0 where no
    cache is at stake.
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


class Reserved(message.Message, frozen=True, kw_only=True):
    """The owner reserved the work until ``lease`` has passed unrenewed."""

    attempt_id: str
    upstream_id: str
    incarnation: int
    priority: int
    lease: datetime.timedelta


class ReserveRefused(message.Message, frozen=True, kw_only=True):
    """The owner did not reserve the work; ``code`` says why.

    ``wait_ms`` is the delay that the owner expects for such an attempt;
    ``moved_to`` the upstream that has the chat's cache.
    """

    attempt_id: str
    upstream_id: str
    code: str
    retry_after: datetime.timedelta | None = None
    wait_ms: int = 0
    moved_to: str = ""


class ChatMoved(message.Message, frozen=True, kw_only=True):
    """A chat whose home is ``upstream_id`` was placed elsewhere."""

    upstream_id: str
    chat: int
    moved_to: str


class Release(message.Message, frozen=True, kw_only=True):
    """Reservations whose attempts ended, for their owner.

    An empty ``upstream_id`` releases the attempts at every upstream. Bit
    ``n`` of ``hits`` says that the ``n``-th attempt found a part of its
    prompt in the cache, of ``misses`` that it found none, of ``answered``
    that the upstream answered, of ``lost`` that it was not reached, crashed
    or fell silent, of ``misdirected`` that another upstream has its address;
    at most 32 attempts share a message.
    """

    attempt_ids: tuple[str, ...]
    upstream_id: str = ""
    hits: int = 0
    misses: int = 0
    answered: int = 0
    lost: int = 0
    misdirected: int = 0


class HeldWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt that an entry host still runs at an upstream.

    ``left_ms`` is the time until its deadline.
    """

    attempt_id: str
    left_ms: int
    cost: int
    cost_class: CostClass
    account: str
    best_effort: bool = False


class Renew(message.Message, frozen=True, kw_only=True):
    """Reservations that go on; unknown ones are taken into the ledger."""

    reply_to: str
    upstream_id: str
    incarnation: int
    owner_epoch: int
    held: tuple[HeldWork, ...]


class Preempt(message.Message, frozen=True, kw_only=True):
    """Asks an entry host to cancel best-effort attempts of its own."""

    attempt_ids: tuple[str, ...]


class PoolWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reserved work and full batches of one owner's upstreams in a pool.

    ``pool`` is a hash of service, model and version, ``placed`` the work
    placed of late. ``requests`` run at ``members`` that serve, those of
    zones that are out among them.
    """

    pool: int
    work: int
    capacity: int
    placed: int
    requests: int = 0
    members: int = 0


class OwnerSummary(message.Message, frozen=True, kw_only=True):
    """What an owner's upstreams carry, by pool, for routers of the region."""

    owner: str
    sequence: int
    pools: tuple[PoolWork, ...]


PEER_MESSAGES = (
    Reserve,
    Reserved,
    ReserveRefused,
    Release,
    ChatMoved,
    Renew,
    Preempt,
    OwnerSummary,
)
