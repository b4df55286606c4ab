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


class Interface(enum.StrEnum):
    """Which HTTP interface a daemon offers to all outside the system."""

    OWN = "own"
    PLATFORM = "platform"


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSection:
    """Who this daemon is.

    ``grace`` is how long new requests are still taken after a stop began, so
    that the balancer can notice ``/healthz``. ``stop_within`` bounds the
    whole shutdown, open requests included; 0 waits for them. ``admin_key`` is
    the operators' bearer key to the admin port; only a loopback address goes
    without.
    """

    id: str
    zone: str
    region: str
    roles: tuple[Role, ...]
    fleet_key: str
    data_dir: str = ""
    grace: datetime.timedelta = datetime.timedelta(seconds=5)
    admin_key: str = ""
    interface: Interface = Interface.OWN
    stop_within: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListenSection:
    """Where this daemon listens.

    ``metrics`` gives the metrics alone, to anyone; ``ready`` the readiness to
    the platform's balancer, and ``operators`` takes the platform's operators'
    calls and its upstreams' registrations.
    """

    peers: options.Address
    admin: options.Address | None = None
    callers: options.Address | None = None
    upstreams: options.Address | None = None
    metrics: options.Address | None = None
    ready: options.Address | None = None
    operators: options.Address | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersSection:
    """Peer addresses through which a daemon joins the fleet.

    ``port``, unless 0, replaces the ports of ``seeds``, for a platform that
    names its hosts by another port of theirs.
    """

    seeds: tuple[options.Address, ...] = ()
    port: int = 0

    @property
    def addresses(self) -> tuple[options.Address, ...]:
        """The seeds' peer addresses."""
        if not self.port:
            return self.seeds
        return tuple(
            options.Address(host=seed.host, port=self.port)
            for seed in self.seeds
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A control host of the first configuration."""

    id: str
    address: options.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSection:
    """The control hosts that keep the durable state.

    Without ``members`` the seeds are the first ones, each with its IP number
    as id. ``form`` says that a fleet may begin here; a host that replaces
    another must not begin a second history. ``losses`` hosts may be lost at
    once: the log has up to twice as many voting members and one. ``journal``
    says whether actions with an idempotency key are recorded. After each
    ``snapshot_entries`` changes the log begins anew from its state, which a
    restart reads at once.
    """

    members: tuple[Member, ...] = ()
    from_seeds: bool = False
    form: bool = True
    losses: int = 0
    journal: bool = True
    snapshot_entries: int = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamsSection:
    """How upstreams prove themselves; an empty key lets all announce.

    ``names_owner`` says that an upstream itself names the daemon that keeps
    its reservations; else the daemon that takes its announcement does.
    """

    key: str = ""
    lease: datetime.timedelta = datetime.timedelta(seconds=3)
    names_owner: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementSection:
    """How much work an upstream may carry, in parts of its full batch.

    ``mean_factor`` is the multiple of the pool's mean load above which no
    upstream gets more, but ``floor`` batches are always allowed.
    ``requests_factor``, unless 0, bounds the number of requests likewise,
    with ``requests_slack`` above that, and never to below
    ``least_requests``. ``ceiling`` bounds all work. Owners tell what they
    carry each ``summary_interval``. For ``home_wait`` a chat waits for room
    where its cache is; to queue there rather than elsewhere is worth
    ``cache_worth``. After ``queue_wait`` in one queue a request looks again
    for the shortest. With ``fetches`` an engine that a prompt is new to gets
    the prompt's memory from one that has probably read it.
    ``placed_factor`` is the multiple of the pool's mean above which the work
    of the last seconds may not rise; 0 sets no such bound. A chat that is
    not in the cache of its home may use ``uncached_part`` of the bounds
    there and ``stranger_part`` elsewhere. ``ramp`` is the time in which a
    fresh upstream comes to bear its full work.
    """

    mean_factor: float = 1.25
    floor: float = 1.0
    requests_factor: float = 0.0
    requests_slack: float = 0.0
    least_requests: int = 0
    ceiling: float = 1.25
    placed_factor: float = 1.22
    uncached_part: float = 0.88
    stranger_part: float = 0.84
    ramp: datetime.timedelta = datetime.timedelta(seconds=30)
    summary_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    home_wait: datetime.timedelta = datetime.timedelta(milliseconds=300)
    cache_worth: datetime.timedelta = datetime.timedelta(milliseconds=400)
    queue_wait: datetime.timedelta = datetime.timedelta(seconds=5)
    fetches: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZonesSection:
    """How an availability zone comes back.

    For ``warm_up`` it gets nothing, while the hottest chats' caches return
    and its upstreams tell whether they are cold; then its work climbs within
    ``ramp``.
    """

    warm_up: datetime.timedelta = datetime.timedelta(seconds=8)
    ramp: datetime.timedelta = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeoutsSection:
    """How long an upstream's connection may show no progress.

    ``connect`` bounds the opening of one, ``first_event`` the wait for the
    first event of a stream that may run elsewhere, ``between_events`` any
    later one. ``resume_grace`` is the time that a stream which has begun has
    after its deadline.
    """

    connect: datetime.timedelta = datetime.timedelta(seconds=2)
    first_event: datetime.timedelta = datetime.timedelta(seconds=5)
    between_events: datetime.timedelta = datetime.timedelta(seconds=2)
    resume_grace: datetime.timedelta = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetriesSection:
    """How many attempts beyond the first a service may get.

    ``ratio`` is a part of the requests, ``slack`` the further attempts that
    all routers together may make within ``window``. With
    ``isolate_suspects`` a request that may have crashed an upstream runs
    apart from others like it; after ``crashes`` it is held back. With
    ``unsent_are_free`` an attempt of which no byte was sent does not count.
    """

    ratio: float = 0.07
    slack: float = 0.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)
    isolate_suspects: bool = True
    crashes: int = 2
    unsent_are_free: bool = False


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
    placement: PlacementSection = PlacementSection()
    zones: ZonesSection = ZonesSection()
    timeouts: TimeoutsSection = TimeoutsSection()
    retries: RetriesSection = RetriesSection()
    log: LogSection = LogSection()
    trace: TraceSection = TraceSection()
