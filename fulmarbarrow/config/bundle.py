"""The operators' configuration: what a published bundle holds."""

from __future__ import annotations

import dataclasses
import datetime
import enum

import msgspec

from fulmarbarrow.placement import messages as placement_messages


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class ZoneState(enum.StrEnum):
    """Whether operators have taken an availability zone out."""

    IN = "in"
    OUT = "out"


class MoveKind(enum.StrEnum):
    """What a version move changes on the engines."""

    MODEL = "model"
    ADAPTER = "adapter"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """One kind of request to a service.

    ``worth`` weighs requests against each other when capacity is short.
    ``cost_tokens`` is the work of one request where it can't be estimated
    from the request. ``lookup_path`` tells, for a route that is not
    idempotent, where the outcome of a run can be asked for by its key.
    """

    path: str
    methods: tuple[str, ...] = ("POST",)
    idempotent: bool = True
    worth: float = 1.0
    deadline: datetime.timedelta = datetime.timedelta(seconds=30)
    cost_class: placement_messages.CostClass = (
        placement_messages.CostClass.SHORT
    )
    cost_tokens: int = 100
    best_effort: bool = False
    lookup_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Model:
    """A model of a service and the version that takes its requests."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service with its routes and, for a model pool, its models."""

    name: str
    kind: ServiceKind
    routes: tuple[Route, ...]
    models: tuple[Model, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    ``key_digest`` is the hex BLAKE2b digest of the bearer key under
    ``key_salt``. ``reserved_share`` is the part of capacity that a priority
    account has by right.
    """

    name: str
    key_salt: str
    key_digest: str
    weight: float = 1.0
    priority: bool = False
    reserved_share: float = 0.0
    max_open_requests: int = 256
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Zone:
    """An availability zone and its state."""

    name: str
    region: str
    state: ZoneState = ZoneState.IN


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionMove:
    """A move of a model from one version to another by a deadline.

    ``share_cap`` bounds the new version's share until it is proven good.
    """

    id: str
    service: str
    model: str
    old: str
    new: str
    deadline: datetime.datetime
    kind: MoveKind = MoveKind.MODEL
    share_cap: float = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bundle:
    """The whole configuration of a fleet."""

    service: tuple[Service, ...] = ()
    account: tuple[Account, ...] = ()
    zone: tuple[Zone, ...] = ()
    version_move: tuple[VersionMove, ...] = ()


def encode(bundle: Bundle) -> bytes:
    """Return the bundle in the form that is digested and replicated."""
    return msgspec.json.encode(bundle, order="deterministic")


def decode(data: bytes) -> Bundle:
    """Return the bundle in ``data``; raises msgspec.ValidationError."""
    return msgspec.json.decode(data, type=Bundle)
