"""Messages of version moves."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message

MACHINE = "versions"  # name of the state machine on the replicated log


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


PEER_MESSAGES = (SharesPush, SharesRequest, VersionStopped, VersionEvidence)
