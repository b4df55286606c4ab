"""Decodes the operators' configuration document."""

from __future__ import annotations

import collections
import collections.abc
import datetime
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import decoding
from fulmarbarrow.edge import directory as directories

# Larger numbers have no exact form in JSON and none in messages of 64 bits.
MAX_INTEGER = 2**53
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
NonNegative = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
MILLISECOND = datetime.timedelta(milliseconds=1)
# The platform bounds no account's open requests.
MAX_OPEN_REQUESTS = 1 << 30

_KINDS = {"idempotent": bundles.RequestKind.IDEMPOTENT}
_STREAMING = "streaming"


class SplitEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One service's part of a route's requests."""

    service: str = msgspec.field(name="Service")
    weight: NonNegative = msgspec.field(name="Weight")


class RouteEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A route; it names one service, or several with their weights."""

    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    prefix: str = msgspec.field(name="PathPrefix")
    timeout_ms: NonNegative = msgspec.field(name="TimeoutMs")
    service: str = msgspec.field(name="Service", default="")
    split: tuple[SplitEntry, ...] = msgspec.field(
        name="TrafficSplit", default=()
    )
    # What may be repeated, not what is served.
    kind: str = msgspec.field(name="RouteType", default="non_idempotent")
    # To the first event of a stream, to the end of any other answer.
    objective_ms: float = msgspec.field(name="TargetLatencyMs", default=0)
    gap_ms: float = msgspec.field(name="TargetGapMs", default=0)
    # 0 is the most urgent.
    rank: Integer = msgspec.field(name="Priority", default=0)
    # How many workers may run one request of a client.
    attempts: Integer = msgspec.field(name="MaxAttempts", default=1)
    public: bool = msgspec.field(name="SkipAuth", default=False)
    resumable: bool = msgspec.field(name="StreamResume", default=False)


class EngineEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What each model worker of a service can hold."""

    slots: Integer = msgspec.field(name="Slots", default=0)
    kv_tokens: Integer = msgspec.field(name="KvCapacityTokens", default=0)


class ScalingEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the number of a service's workers in each zone."""

    least: Integer = msgspec.field(name="MinReplicas", default=0)
    most: Integer = msgspec.field(name="MaxReplicas", default=0)
    start_seconds: float = msgspec.field(name="BootS", default=0.0)


class ServiceEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A service and the bounds of its workers."""

    name: str = msgspec.field(name="Name")
    health_path: str = msgspec.field(name="HealthPath", default="")
    # Of one worker, from all callers together.
    max_connections: Integer = msgspec.field(name="MaxConnections", default=0)
    cold_seconds: float = msgspec.field(name="ColdStartS", default=0.0)
    cold_rate: float = msgspec.field(name="ColdPerS", default=0.0)
    engine: EngineEntry | None = msgspec.field(name="Engine", default=None)
    scaling: ScalingEntry | None = msgspec.field(name="Scaling", default=None)


class TenantEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, which the product calls a client account."""

    name: str = msgspec.field(name="Name")
    keys: tuple[str, ...] = msgspec.field(name="ApiKeys", default=())
    rank: Integer | None = msgspec.field(name="Priority", default=None)


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration."""

    number: NonNegative = msgspec.field(name="Version")
    routes: tuple[RouteEntry, ...] = msgspec.field(name="Routes")
    services: tuple[ServiceEntry, ...] = msgspec.field(name="Services")
    tenants: tuple[TenantEntry, ...] = msgspec.field(
        name="Tenants", default=()
    )


def decode(data: bytes) -> Document:
    """Return the document; raises msgspec.DecodeError."""
    return decoding.decode_json(data, Document)


def findings(document: Document) -> list[str]:
    """Return what is wrong with a document, each with its place."""
    services = {service.name for service in document.services}
    found = []
    places: collections.Counter[tuple[str, str]] = collections.Counter()
    for number, route in enumerate(document.routes):
        place = f"Routes[{number}]"
        places[route.host, route.prefix] += 1
        if places[route.host, route.prefix] > 1:
            found.append(f"{place}: host and prefix are another route's")
        if not route.timeout_ms:
            found.append(f"{place}.TimeoutMs: must be above 0")
        if sum(target.weight for target in _targets(route)) <= 0:
            found.append(f"{place}: the weights add up to 0")
        found.extend(
            f"{place}: no service is named {target.service!r}"
            for target in _targets(route)
            if target.service not in services
        )
    for number, service in enumerate(document.services):
        found.extend(_scaling_findings(service, f"Services[{number}].Scaling"))
    holders: dict[str, str] = {}
    for number, tenant in enumerate(document.tenants):
        for key in tenant.keys:
            if holders.setdefault(key, tenant.name) != tenant.name:
                found.append(f"Tenants[{number}]: a key is another tenant's")
    return found


def _scaling_findings(
    service: ServiceEntry, place: str
) -> collections.abc.Iterator[str]:
    entry = service.scaling
    if entry is None:
        return
    if entry.least < 0:
        yield f"{place}.MinReplicas: must not be negative"
    if entry.most < entry.least:
        yield f"{place}.MaxReplicas: must not be below MinReplicas"
    limit = bundles.MAX_START_TIME.total_seconds()
    if not 0 <= entry.start_seconds <= limit:
        yield f"{place}.BootS: must be from 0 to {limit:g}"


def check(document: Document) -> tuple[bundles.Bundle | None, list[str]]:
    """Return a valid document's configuration, or None and what is wrong."""
    found = findings(document)
    if found:
        return None, found
    try:
        return bundle(document), []
    except (OverflowError, ValueError) as error:
        return None, [f"a number is out of range: {error}"]


def bundle(document: Document) -> bundles.Bundle:
    """Return the configuration as the product keeps it."""
    return bundles.Bundle(
        service=tuple(map(_service, document.services)),
        account=tuple(map(_account, document.tenants)),
        host_route=tuple(map(_route, document.routes)),
    )


def _targets(route: RouteEntry) -> tuple[bundles.Target, ...]:
    if route.split:
        return tuple(
            bundles.Target(service=entry.service, weight=entry.weight)
            for entry in route.split
        )
    return (bundles.Target(service=route.service),)


def _route(route: RouteEntry) -> bundles.HostRoute:
    stream = route.kind == _STREAMING
    kind = _KINDS.get(route.kind, bundles.RequestKind.ONCE)
    if stream and route.resumable:
        kind = bundles.RequestKind.RESUMABLE
    return bundles.HostRoute(
        name=f"{route.host}{route.prefix}",
        host=route.host,
        prefix=route.prefix,
        targets=_targets(route),
        kind=kind,
        stream=stream,
        deadline=route.timeout_ms * MILLISECOND,
        objective=route.objective_ms * MILLISECOND,
        gap_objective=route.gap_ms * MILLISECOND,
        rank=route.rank,
        attempts=max(1, route.attempts),
        public=route.public,
    )


def _service(service: ServiceEntry) -> bundles.Service:
    engine = service.engine or EngineEntry()
    kind = bundles.ServiceKind.PLAIN
    if service.engine is not None:
        kind = bundles.ServiceKind.MODEL
    return bundles.Service(
        name=service.name,
        kind=kind,
        pool=bundles.Pool(
            max_connections=service.max_connections,
            health_path=service.health_path,
            cold_rate=service.cold_rate,
            cold_period=datetime.timedelta(seconds=service.cold_seconds),
            slots=engine.slots,
            kv_tokens=engine.kv_tokens,
        ),
        scaling=_scaling(service.scaling),
    )


def _scaling(
    entry: ScalingEntry | None,
) -> bundles.Scaling | msgspec.UnsetType:
    if entry is None or entry.most < 1:
        return msgspec.UNSET
    return bundles.Scaling(
        least=entry.least,
        most=entry.most,
        start_time=datetime.timedelta(seconds=entry.start_seconds),
    )


def _account(tenant: TenantEntry) -> bundles.Account:
    digests = [directories.key_digest(key, tenant.name) for key in tenant.keys]
    return bundles.Account(
        name=tenant.name,
        key_salt=tenant.name,
        key_digest=digests[0] if digests else "",
        more_digests=tuple(digests[1:]),
        max_open_requests=MAX_OPEN_REQUESTS,
        rank=tenant.rank,
    )
