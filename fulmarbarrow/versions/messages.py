"""Messages of version moves."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message

MACHINE = "versions"  # name of the state machine on the replicated log
ROLLOUTS_MACHINE = "rollouts"  # that of rollouts ordered by call


class OrderKind(enum.StrEnum):
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"


class Phase(enum.StrEnum):
    """Phases of a version move."""

    LOADING = "loading"
    CANARY = "canary"
    EXPANDING = "expanding"
    WATCHING = "watching"
    COMPLETING = "completing"
    COMPLETED = "completed"
    ROLLING_BACK = "taking_back"
    ROLLED_BACK = "taken_back"


class VersionShares(message.Message, frozen=True, kw_only=True):
    """Effect: the share of new requests that each version gets on a router."""

    service: str
    model: str
    shares: tuple[tuple[str, float], ...]


class SharesPush(message.Message, frozen=True, kw_only=True):
    """The new version's share in a move, set by a control host.

    A higher ``sequence`` replaces a lower one for the same move.
    ``incarnation`` is the receiver's, so that a push that was in transit
    when the receiver restarted is ignored. ``term`` is that of the leader
    that sends it, 0 if another daemon does; an earlier release sends None.
    """

    move_id: str
    sequence: int
    share: float
    incarnation: int
    term: int | None = None


class SharesRequest(
    message.Message, frozen=True, kw_only=True, tag="SharesWanted"
):
    """A router asks others for the shares and stops of these moves."""

    reply_to: str
    incarnation: int
    move_ids: tuple[str, ...]


class VersionStopped(message.Message, frozen=True, kw_only=True):
    """A fault was found in a move's new version; it gets no new requests."""

    move_id: str
    reason: str


class RouteEvidence(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """One router's counts for one route since its last report.

    The ``judged`` counts are of attempts of the new version whose latency was
    compared with the old version's on the same router, the ``slow`` counts of
    those that were slower.
    """

    route: str
    attempts: int = 0
    errors: int = 0
    old_attempts: int = 0
    old_errors: int = 0
    judged_first: int = 0
    slow_first: int = 0
    judged_between: int = 0
    slow_between: int = 0


class VersionEvidence(message.Message, frozen=True, kw_only=True):
    """A router's evidence on a version move, sent to control hosts."""

    daemon_id: str
    move_id: str
    routes: tuple[RouteEvidence, ...]


class MoveStep(message.Message, frozen=True, kw_only=True):
    """Replicated command: a version move enters a phase.

    ``share`` is the new version's share of new requests from now on.
    """

    move_id: str
    service: str
    model: str
    phase: Phase
    share: float
    at: datetime.datetime
    reason: str = ""


class MoveChanged(message.Message, frozen=True, kw_only=True):
    """Effect: a step was committed; it is reported to operators."""

    step: MoveStep


class Order(message.Message, frozen=True, kw_only=True):
    """Effect: send an order to an engine with a fencing number.

    ``subject`` is the model, adapter, role or chat, ``version`` its version
    and ``argument`` the URL of the peer engine in a KV move.
    """

    order_id: str
    upstream_id: str
    url: str
    kind: OrderKind
    subject: str
    version: str
    fencing_number: int
    argument: str = ""


class OrderResult(message.Message, frozen=True, kw_only=True):
    """The result of an order; ``code`` is empty if it was accepted."""

    order_id: str
    upstream_id: str
    code: str


# Rollouts of software versions, ordered by call.


MAX_ROLLOUT_DURATION = datetime.timedelta(days=30)


class RolloutState(enum.StrEnum):
    """States of a rollout; each is only followed by a later one."""

    EXPOSING = "exposing"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrdered(message.Message, frozen=True, kw_only=True):
    """An operator's order of a rollout."""

    order_id: str
    service: str
    target: str
    duration: datetime.timedelta


class RolloutOrderResult(message.Message, frozen=True, kw_only=True):
    """The result of an order; ``findings`` tell what is wrong with it.

    ``code`` is empty if the order was committed.
    """

    order_id: str
    code: str = ""
    findings: tuple[str, ...] = ()


class RolloutRequested(message.Message, frozen=True, kw_only=True):
    """An operator asks for the newest rollout of a service."""

    read_id: str
    service: str


class RolloutResponse(message.Message, frozen=True, kw_only=True):
    """The newest rollout of a service; ``target`` is empty without one."""

    read_id: str
    code: str = ""
    state: str = ""
    target: str = ""


class RolloutStep(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command: a rollout enters a state."""

    move_id: str
    state: RolloutState
    at: datetime.datetime
    reason: str = ""


class RolloutRead(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command without effect, which a read waits for."""

    read_id: str


class ServiceVersions(message.Message, frozen=True, kw_only=True):
    """Effect: which versions of a service get requests on this router.

    Without a ``move_id`` only ``barred`` applies. Otherwise requests go to
    ``old`` and ``new``; an empty ``old`` stands for every other version.
    With ``moving`` all requests go to ``new`` where it has capacity;
    otherwise ``new`` gets at most ``share`` of the requests counted for the
    move, plus ``slack``.
    """

    service: str
    move_id: str = ""
    old: str = ""
    new: str = ""
    share: float = 0.0
    slack: int = 0
    moving: bool = False
    barred: tuple[str, ...] = ()


class RolloutPush(message.Message, frozen=True, kw_only=True):
    """The committed state of a rollout, for routers.

    ``incarnation`` is the receiver's, so that a push that was in transit when
    the receiver restarted is ignored. ``term`` is 0 if another daemon than
    the leader sends it; only final states are taken from such a daemon.
    """

    move_id: str
    state: RolloutState
    incarnation: int
    term: int


class RolloutsRequest(message.Message, frozen=True, kw_only=True):
    """A router asks others for the states of these rollouts."""

    reply_to: str
    incarnation: int
    move_ids: tuple[str, ...]


class RolloutStopped(message.Message, frozen=True, kw_only=True):
    """A router found a fault in the new version; it gets no new requests."""

    move_id: str
    reason: str


class RolloutTimes(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Number of attempts by logarithmic class of one measured time."""

    metric: int
    new: bool
    counts: tuple[tuple[int, int], ...]


class RolloutCounts(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A router's counts for one route since its last report."""

    route: str
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0
    times: tuple[RolloutTimes, ...] = ()


class RolloutEvidence(message.Message, frozen=True, kw_only=True):
    """A router's evidence on a rollout, sent to the control hosts.

    ``requests`` and ``old_running`` are absolute: the requests to the service
    since the order, and the attempts at the old version that run now.
    ``crashed`` names the incarnations of upstreams of the new version that
    ended under a request, ``old_crashed`` those of the old version.
    """

    daemon_id: str
    incarnation: int
    move_id: str
    routes: tuple[RolloutCounts, ...] = ()
    requests: int = 0
    old_running: int = 0
    moving: bool = False
    crashed: tuple[tuple[str, int], ...] = ()
    old_crashed: tuple[tuple[str, int], ...] = ()


class RolloutRemaining(message.Message, frozen=True, kw_only=True):
    """The leader tells control hosts the time left for a rollout.

    Their wall clocks may differ by seconds from that of the order's host.
    """

    move_id: str
    remaining: datetime.timedelta


PEER_MESSAGES = (
    SharesPush,
    SharesRequest,
    VersionStopped,
    VersionEvidence,
    RolloutPush,
    RolloutsRequest,
    RolloutStopped,
    RolloutEvidence,
    RolloutRemaining,
)
