"""The daemon's settings with their defaults."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from fulmarbarrow.config import options


class Role(enum.StrEnum):
    """What a daemon does."""

    ROUTER = "router"
    CONTROL = "control"


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSection:
    """Who this daemon is.

    ``grace`` is how long new requests are still taken after a stop began, so
    that the balancer can notice ``/healthz``. ``admin_key`` is the operators'
    bearer key to the admin port; only a loopback address goes without.
    """

    id: str
    zone: str
    region: str
    roles: tuple[Role, ...]
    fleet_key: str
    data_dir: str = ""
    grace: datetime.timedelta = datetime.timedelta(seconds=5)
    admin_key: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListenSection:
    """Where this daemon listens."""

    admin: options.Address
    peers: options.Address
    callers: options.Address | None = None
    upstreams: options.Address | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersSection:
    """Peer addresses through which a daemon joins the fleet."""

    seeds: tuple[options.Address, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A control host of the first configuration."""

    id: str
    address: options.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSection:
    """The control hosts that keep the durable state."""

    members: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamsSection:
    """How upstreams prove themselves; an empty key lets all announce."""

    key: str = ""
    lease: datetime.timedelta = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsSection:
    """Bounds on what one caller or connection may use of this daemon."""

    max_body_bytes: int = 1 << 20
    max_answer_buffer_bytes: int = 1 << 18
    max_waiting_requests: int = 2000
    progress_timeout: datetime.timedelta = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSection:
    """How this daemon logs."""

    format: LogFormat = LogFormat.TEXT
    level: str = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceSection:
    """Where to record this daemon's messages from its start.

    ``path`` lies below ``daemon.data_dir``; empty records nothing.
    Recording ends at ``max_bytes``.
    """

    path: str = ""
    max_bytes: int = 64 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings of one daemon."""

    daemon: DaemonSection
    listen: ListenSection
    peers: PeersSection = PeersSection()
    control: ControlSection = ControlSection()
    upstreams: UpstreamsSection = UpstreamsSection()
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    trace: TraceSection = TraceSection()
