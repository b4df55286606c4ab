"""Messages about moves between versions of a model."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message

MACHINE = "versions"  # this slice's state machine on the replicated log


class OrderKind(enum.StrEnum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"


class Phase(enum.StrEnum):
    """How far a version move has come."""

    LOADING = "loading"
    CANARY = "canary"
    EXPANDING = "expanding"
    WATCHING = "watching"
    COMPLETING = "completing"
    COMPLETED = "completed"
    TAKING_BACK = "taking_back"
    TAKEN_BACK = "taken_back"


class VersionShares(message.Message, frozen=True, kw_only=True):
    """Effect: the share of new requests that each version gets here."""

    service: str
    model: str
    shares: tuple[tuple[str, float], ...]


class SharesPush(message.Message, frozen=True, kw_only=True):
    """The new version's share in a move, decided by a control host.

    A higher ``sequence`` replaces a lower one for the same move.
    ``incarnation`` is the receiver's, so that a push that was under way
    while the receiver restarted is not taken.
    """

    move_id: str
    sequence: int
    share: float
    incarnation: int


class SharesWanted(message.Message, frozen=True, kw_only=True):
    """A router that restarted asks what is known of these moves."""

    reply_to: str
    incarnation: int
    move_ids: tuple[str, ...]


class VersionStopped(message.Message, frozen=True, kw_only=True):
    """A move's new version showed its fault; it gets no new request."""

    move_id: str
    reason: str


class RouteEvidence(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What one router saw of one route since its last report.

    Slow counts are of attempts of the new version that were slow beside the
    old version's on the same router; ``judged`` counts those compared.
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
    """A router's evidence on a version move, for the control hosts."""

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
    """Effect: a step was committed; told to operators."""

    step: MoveStep


class Order(message.Message, frozen=True, kw_only=True):
    """Effect: give an order to an engine with a fencing number.

    ``subject`` is the model, adapter, role or chat, ``version`` its version
    and ``argument`` the peer engine's URL for a KV move.
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
    """What became of an order; ``code`` is empty when it was taken."""

    order_id: str
    upstream_id: str
    code: str


PEER_MESSAGES = (SharesPush, SharesWanted, VersionStopped, VersionEvidence)
