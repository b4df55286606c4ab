"""Definition of the daemon settings and their default values."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from fulmarbarrow.config import options


class Role(enum.StrEnum):
    """Function of a daemon in the fleet."""

    ROUTER = "router"
    CONTROL = "control"


class Interface(enum.StrEnum):
    """HTTP interface that a daemon provides to external clients."""

    OWN = "own"
    PLATFORM = "platform"


class LogFormat(enum.StrEnum):
    """Output format of log lines."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSection:
    """Identity and lifecycle of this daemon.

    During a shutdown, new requests are accepted for ``grace``, so that the
    load balancer can see the changed status of ``/healthz``. ``stop_within``
    limits the duration of the whole shutdown, including open requests; 0
    waits for all of them. ``admin_key`` is the bearer key of operators for
    the admin port; it is optional only if that port listens on a loopback
    address.
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
    """Addresses on which this daemon listens.

    ``metrics`` serves only the metrics and needs no key. ``ready`` serves the
    readiness check of the platform's load balancer. ``operators`` serves the
    requests of the platform's operators and the registration of its
    upstreams.
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

    ``port``, unless it is 0, replaces the ports of ``seeds``, for platforms
    that list their hosts with the port of another service.
    """

    seeds: tuple[options.Address, ...] = ()
    port: int = 0

    @property
    def addresses(self) -> tuple[options.Address, ...]:
        """Addresses of the seeds, with ``port`` in place of their own."""
        if not self.port:
            return self.seeds
        return tuple(
            options.Address(host=seed.host, port=self.port)
            for seed in self.seeds
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A control host in the initial configuration of the log."""

    id: str
    address: options.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSection:
    """The control hosts that store the replicated state.

    ``members`` lists the initial members of the log; with ``from_seeds``
    these are the seeds instead, each with its IP address as id. ``form``
    allows this host to create a new log; it must be false on a host that
    replaces another, which would otherwise start a second, diverging log.
    ``losses`` is the number of simultaneous host failures to tolerate: the
    log has up to ``2 * losses + 1`` voting members. ``journal`` enables the
    recording of actions that have an idempotency key. After every
    ``snapshot_entries`` entries the log is compacted into a snapshot, which
    keeps restarts short.
    """

    members: tuple[Member, ...] = ()
    from_seeds: bool = False
    form: bool = True
    losses: int = 0
    journal: bool = True
    snapshot_entries: int = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamsSection:
    """Registration of upstreams.

    Upstreams authenticate with ``key``; if it is empty, any client can
    register as an upstream. With ``names_owner`` an upstream chooses the
    daemon that manages its reservations; otherwise the daemon that receives
    its registration does.
    """

    key: str = ""
    lease: datetime.timedelta = datetime.timedelta(seconds=3)
    names_owner: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementSection:
    """Limits on the work of an upstream, as fractions of its full batch.

    An upstream gets no more work above ``mean_factor`` times the mean load of
    its pool, but ``floor`` batches are always allowed. ``requests_factor``
    limits the number of requests in the same way, plus ``requests_slack``; 0
    disables this limit, and ``least_requests`` are always allowed.
    ``ceiling`` limits all work. ``placed_factor`` is the multiple of the
    pool's mean that the work placed in the last seconds may not exceed; 0
    disables this limit. A chat without a cached prefix may use the fraction
    ``uncached_part`` of these limits at its home upstream and
    ``stranger_part`` at others. A newly started upstream reaches its full
    limit within ``ramp``.

    Owners report the load of their upstreams every ``summary_interval``. A
    chat waits up to ``home_wait`` for capacity at its home upstream, where
    its KV cache is. When queues are compared, ``cache_worth`` is added to the
    expected wait at upstreams without the chat's cache. After ``queue_wait``
    in one queue a request searches again for the shortest queue. With
    ``fetches`` an engine to which a prompt is new fetches the KV cache of the
    prompt from an engine that has processed it according to the owners'
    directory, or else has probably processed it.
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
    """Return of an availability zone to service.

    A returning zone gets no requests for ``warm_up``, while the KV caches of
    the most active chats are moved back and its upstreams report whether they
    are cold. Its share then rises to the full value within ``ramp``.
    """

    warm_up: datetime.timedelta = datetime.timedelta(seconds=8)
    ramp: datetime.timedelta = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeoutsSection:
    """How long a connection to an upstream may make no progress.

    ``connect`` limits the time to open a connection, ``first_event`` the wait
    for the first event of a stream that can be retried at another upstream,
    and ``between_events`` the wait for each later event. ``stalled`` limits
    both where no other attempt may follow. ``resume_grace`` is how long a
    started stream may continue after its deadline.
    """

    connect: datetime.timedelta = datetime.timedelta(seconds=2)
    first_event: datetime.timedelta = datetime.timedelta(seconds=5)
    between_events: datetime.timedelta = datetime.timedelta(seconds=2)
    stalled: datetime.timedelta = datetime.timedelta(seconds=10)
    resume_grace: datetime.timedelta = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetriesSection:
    """Retry budget of a service.

    Within ``window``, the number of retries is limited to the fraction
    ``ratio`` of the requests plus ``slack``, which all routers share. With
    ``isolate_suspects`` a request that may have crashed an upstream runs
    isolated from similar requests; after ``crashes`` crashes it is
    quarantined. With ``unsent_are_free`` an attempt of which no byte was sent
    does not count towards the budget.
    """

    ratio: float = 0.07
    slack: float = 0.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)
    isolate_suspects: bool = True
    crashes: int = 2
    unsent_are_free: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsSection:
    """Resource limits for callers and their connections.

    ``memory_bytes`` is the memory that the process may use and
    ``max_connections`` the number of connections that it accepts; 0 derives
    them from the memory of the host and from the limit on open files.
    """

    memory_bytes: int = 0
    max_connections: int = 0
    max_body_bytes: int = 1 << 20
    max_answer_buffer_bytes: int = 1 << 18
    max_waiting_requests: int = 2000
    progress_timeout: datetime.timedelta = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DutiesSection:
    """Duties at the platform that one control host at a time performs.

    The holder of a duty calls the platform's API at ``address``; without an
    address no host holds a duty. ``name`` is the name of this host in its
    calls; by default it is the daemon's id. ``calls_per_second``, at least
    0.01, is what the platform accepts from the whole fleet. A duty is lost
    ``lease`` after its last renewal. The platform refuses outdated fencing
    numbers if it is ``fenced``. A call is given up after ``call_timeout``; the
    platform may carry it out as late as ``late_execution`` after it was sent.
    """

    address: options.Address | None = None
    name: str = ""
    calls_per_second: float = 5.0
    lease: datetime.timedelta = datetime.timedelta(seconds=3)
    fenced: bool = False
    call_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    late_execution: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageSection:
    """Reports of the requests of each client account to the platform.

    A report covers one ``window`` and is due ``report_within`` after its end;
    with a window of 0 nothing is counted.
    """

    window: datetime.timedelta = datetime.timedelta(0)
    report_within: datetime.timedelta = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScalingSection:
    """Orders for upstreams of services whose number the platform changes.

    If ``enabled``, the number is decided every ``interval``.
    """

    enabled: bool = False
    interval: datetime.timedelta = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutsSection:
    """Rollouts of upstream versions that operators order by call.

    Until a version is proven, at most the fraction ``share`` of the requests
    since the order, plus ``slack`` requests, may reach it. A version found
    faulty gets nothing ``rollback_within`` later.
    """

    enabled: bool = False
    share: float = 0.1
    slack: int = 50
    rollback_within: datetime.timedelta = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSection:
    """Logging of this daemon."""

    format: LogFormat = LogFormat.TEXT
    level: str = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceSection:
    """Trace of the messages of this daemon, recorded from its start.

    ``path`` is relative to ``daemon.data_dir`` and must lie below it; if it
    is empty, no trace is recorded. Recording stops at ``max_bytes``.
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
    duties: DutiesSection = DutiesSection()
    usage: UsageSection = UsageSection()
    scaling: ScalingSection = ScalingSection()
    rollouts: RolloutsSection = RolloutsSection()
    log: LogSection = LogSection()
    trace: TraceSection = TraceSection()
