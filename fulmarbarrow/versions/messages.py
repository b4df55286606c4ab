"""Messages about moves between versions of a model."""

from __future__ import annotations

import enum

from fulmarbarrow import message


class OrderKind(enum.StrEnum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    EXPORT_KV = "export_kv"
    IMPORT_KV = "import_kv"


class VersionShares(message.Message, frozen=True, kw_only=True):
    """The share of new requests that each version of a model gets."""

    service: str
    model: str
    shares: tuple[tuple[str, float], ...]


class VersionStopped(message.Message, frozen=True, kw_only=True):
    """A version showed its fault; it gets no new request anywhere."""

    service: str
    model: str
    version: str
    move_id: str
    reason: str


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


PEER_MESSAGES = (VersionShares, VersionStopped)
