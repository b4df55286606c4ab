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


class RequestKind(enum.StrEnum):
    """What may be repeated of a request on a route.

    ``IDEMPOTENT`` requests may run again; ``RESUMABLE`` are streams that may
    go on at another upstream after the last event; ``ONCE`` are all others,
    streams among them.
    """

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


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
class Target:
    """A service that takes a part of a route's requests."""

    service: str
    weight: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRoute:
    """A route chosen by the host and the longest prefix of the path.

    ``prefix`` begins and ends with a slash. ``deadline`` bounds the whole
    answer, ``objective`` is the time to the first byte, or event, for which
    it is on time, and ``gap_objective`` that between two events. ``rank`` 0
    is the most urgent. ``attempts`` bounds the upstreams of one request.
    ``public`` routes need no key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    kind: RequestKind = RequestKind.ONCE
    stream: bool = False
    deadline: datetime.timedelta = datetime.timedelta(seconds=30)
    objective: datetime.timedelta = datetime.timedelta(seconds=1)
    gap_objective: datetime.timedelta = datetime.timedelta(0)
    rank: int = 0
    attempts: int = 1
    public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """What the upstreams of a service can bear.

    ``cold_rate`` is how many requests a second a cold upstream takes, 0
    without such a bound; ``kv_tokens`` the memory of a model engine.
    """

    max_connections: int = 0
    health_path: str = ""
    cold_rate: float = 0.0
    cold_period: datetime.timedelta = datetime.timedelta(0)
    slots: int = 0
    kv_tokens: int = 0


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
    routes: tuple[Route, ...] = ()
    models: tuple[Model, ...] = ()
    pool: Pool = Pool()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    ``key_digest`` is the hex BLAKE2b digest of the bearer key under
    ``key_salt``, ``more_digests`` those of further keys. ``rank`` goes before
    that of a route unless it is None. ``reserved_share`` is the part of
    capacity that a priority account has by right.
    """

    name: str
    key_salt: str
    key_digest: str
    weight: float = 1.0
    priority: bool = False
    reserved_share: float = 0.0
    max_open_requests: int = 256
    services: tuple[str, ...] = ()
    more_digests: tuple[str, ...] = ()
    rank: int | None = None


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
    host_route: tuple[HostRoute, ...] = ()


def encode(bundle: Bundle) -> bytes:
    """Return the bundle in the form that is digested and replicated."""
    return msgspec.json.encode(bundle, order="deterministic")


def decode(data: bytes) -> Bundle:
    """Return the bundle in ``data``; raises msgspec.ValidationError."""
    return msgspec.json.decode(data, type=Bundle)
