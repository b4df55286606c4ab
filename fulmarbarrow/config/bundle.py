"""Data model of the fleet configuration that operators publish."""

from __future__ import annotations

import dataclasses
import datetime
import enum

import msgspec

from fulmarbarrow import decoding
from fulmarbarrow.placement import messages as placement_messages

# Longer start times are taken for another unit, such as milliseconds.
MAX_START_TIME = datetime.timedelta(hours=24)


class ServiceKind(enum.StrEnum):
    """Type of back end of a service."""

    MODEL = "model"
    PLAIN = "plain"


class ZoneState(enum.StrEnum):
    """Whether an availability zone is in service."""

    IN = "in"
    OUT = "out"


class RequestKind(enum.StrEnum):
    """Retry semantics of the requests on a route.

    - ``IDEMPOTENT``: the request may run more than once.
    - ``RESUMABLE``: a stream that can continue at another upstream after the
      last received event.
    - ``ONCE``: any other request or stream; it must not run twice.
    """

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


class MoveKind(enum.StrEnum):
    """The part of an upstream that a version move replaces.

    ``SOFTWARE`` moves come from operators' calls. The platform starts the
    upstreams of the new version, and the move covers all models of a service.
    """

    MODEL = "model"
    ADAPTER = "adapter"
    ROLE = "role"
    SOFTWARE = "software"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A path of a service and the properties of its requests.

    ``worth`` is the relative value of a request; when capacity is short,
    requests of low worth are rejected first. ``cost_tokens`` is the assumed
    work of a request if it can't be estimated from its content. On a route
    that is not idempotent, ``lookup_path`` is the path at which the outcome
    of an earlier run can be queried by its idempotency key.
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
    """A service that gets a weighted share of the requests of a route."""

    service: str
    weight: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostRoute:
    """A route that is matched by host and longest path prefix.

    ``prefix`` starts and ends with a slash. ``deadline`` limits the time of
    the whole response. ``objective`` is the target time to the first byte or
    event, and ``gap_objective`` the target time between two events. ``rank``
    is the priority of requests, with 0 as the highest. ``attempts`` limits
    how many upstreams are tried for a request. ``public`` routes need no key.
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
    """Capacity of the upstreams of a service.

    ``cold_rate`` is the number of requests per second that a cold upstream
    accepts; 0 disables this limit. ``kv_tokens`` is the KV cache capacity of
    a model engine in tokens.
    """

    max_connections: int = 0
    health_path: str = ""
    cold_rate: float = 0.0
    cold_period: datetime.timedelta = datetime.timedelta(0)
    slots: int = 0
    kv_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Model:
    """A model of a service and the version that serves its requests."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """Bounds on the number of upstreams of a service in each zone.

    A new upstream serves ``start_time`` after it was ordered.
    """

    least: int = 0
    most: int = 0
    start_time: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service with its routes, its pool and any models that it serves.

    Without ``scaling``, the number of its upstreams is never changed. An
    unset value is left out of the encoding, so that the digest of a bundle
    without it is the same in builds that do not know the field.
    """

    name: str
    kind: ServiceKind
    routes: tuple[Route, ...] = ()
    models: tuple[Model, ...] = ()
    pool: Pool = Pool()
    scaling: Scaling | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    ``key_digest`` is the hexadecimal BLAKE2b digest of the bearer key, salted
    with ``key_salt``; ``more_digests`` are those of additional keys. ``rank``,
    unless it is None, overrides the rank of a route. ``reserved_share`` is
    the fraction of capacity that is reserved for a priority account.
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
    """An availability zone, its region and its state."""

    name: str
    region: str
    state: ZoneState = ZoneState.IN


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionMove:
    """Rollout of a new version of a model, to be completed by a deadline.

    ``share_cap`` limits the share of requests that the new version gets until
    it is proven good.
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
    """The complete configuration of a fleet."""

    service: tuple[Service, ...] = ()
    account: tuple[Account, ...] = ()
    zone: tuple[Zone, ...] = ()
    version_move: tuple[VersionMove, ...] = ()
    host_route: tuple[HostRoute, ...] = ()


def encode(bundle: Bundle) -> bytes:
    """Serialize a bundle deterministically, for digests and replication."""
    return msgspec.json.encode(bundle, order="deterministic")


def decode(data: bytes) -> Bundle:
    """Deserialize a bundle; raises msgspec.DecodeError."""
    return decoding.decode_json(data, Bundle)
