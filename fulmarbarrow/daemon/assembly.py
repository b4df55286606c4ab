"""Joins the slices to one daemon."""

from __future__ import annotations

import datetime
import logging
import pathlib
import random
import typing

from twisted.internet import task
from twisted.web import resource as resources

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import cores
from fulmarbarrow.daemon import interfaces
from fulmarbarrow.daemon import lifecycle
from fulmarbarrow.daemon import listeners
from fulmarbarrow.daemon import reloading
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.edge import exchange
from fulmarbarrow.edge import exposition
from fulmarbarrow.edge import guard as guards
from fulmarbarrow.edge import site as sites
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import decisions
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import shell as publishing_shell
from fulmarbarrow.relay import dialer
from fulmarbarrow.relay import paths
from fulmarbarrow.relay import server as relay_server
from fulmarbarrow.wire import codec
from fulmarbarrow.wire import transport

if typing.TYPE_CHECKING:
    from fulmarbarrow.consensus import shell as consensus_shell
    from fulmarbarrow.placement import shell as placement_shell
    from fulmarbarrow.tracing import recorder

log = logging.getLogger(__name__)

DRAIN_CHECK = datetime.timedelta(milliseconds=50)
MAX_FLUSH = datetime.timedelta(seconds=30)  # for callers that read slowly
# Of the time that a stop may take; the rest is left to end in good order.
STOP_PART = 0.94


# Time in which the last answers reach their callers.
ANSWERS_BEFORE_END = datetime.timedelta(milliseconds=300)


class Daemon:
    """One daemon with its roles, listeners and state."""

    def __init__(
        self,
        *,
        settings: defaults.Settings,
        reactor: typing.Any,
        clock: clocks.Clock,
        started: datetime.datetime | None = None,
        settings_text: str = "",
        settings_path: pathlib.Path | None = None,
    ) -> None:
        self._settings = settings
        self._settings_text = settings_text
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics_module.Metrics(
            common={
                "daemon": settings.daemon.id,
                "zone": settings.daemon.zone,
            }
        )
        self._bus = buses.Bus(clock=clock)
        self._exchanges = exchange.Exchanges()
        self._cut = 0
        self._flush_until: datetime.datetime | None = None
        self._started = started or clock.now()
        self._record = cores.describe(settings, self._started)
        self._fresh = _is_fresh(settings.daemon.data_dir)
        self._recorder: recorder.Recorder | None = None
        self._codec = codec.Codec(
            fleet_key=settings.daemon.fleet_key,
            sender=self._record.daemon_id,
            address=self._record.address,
            incarnation=self._record.incarnation,
        )
        self._transport = self._make_transport()
        self._bus.subscribe(
            message.Send, lambda event, _: self._transport.send(event)
        )
        self._bus.subscribe(
            membership_messages.DaemonChanged,
            lambda event, _: self._transport.peer_started(
                event.daemon.address, event.daemon.incarnation
            ),
        )
        self._placement_ticks: placement_shell.TickScheduler | None = None
        self._consensus: consensus_shell.ConsensusShell | None = None
        self._revisions: publishing_shell.RevisionFile | None = None
        routes = defaults.Role.ROUTER in settings.daemon.roles
        if settings.daemon.data_dir and routes:
            self._revisions = publishing_shell.RevisionFile(
                data_folder=pathlib.Path(settings.daemon.data_dir),
                bus=self._bus,
                metrics=self._metrics,
            )
        if defaults.Role.CONTROL in settings.daemon.roles:
            self._add_storage()
        self._paths: paths.Paths | None = None
        self._relays: relay_server.RelayServer | None = None
        if routes:
            self._add_timers()
            self._add_relays()
        self._guard = guards.Guard(
            reactor=reactor,
            clock=clock,
            limits=settings.limits,
            metrics=self._metrics,
            largest_body_bytes=max(
                settings.limits.max_body_bytes, interfaces.MAX_OWN_BODY_BYTES
            ),
        )
        self._interface = _make_interface(
            interfaces.Parts(
                settings=settings,
                record=self._record,
                reactor=reactor,
                bus=self._bus,
                clock=clock,
                metrics=self._metrics,
                exchanges=self._exchanges,
                dialer=self._make_dialer(),
                guard=self._guard,
            )
        )
        self._callers = self._interface.callers
        self._decisions = decisions.DecisionLog(bus=self._bus)
        self._cores = cores.Cores(
            settings=settings,
            record=self._record,
            bus=self._bus,
            metrics=self._metrics,
            rng=random.Random(self._record.incarnation),
            now=self._started,
            logs=self._consensus,
            restored=self._revisions.restored if self._revisions else None,
            stores_revisions=self._revisions is not None,
        ).by_name
        if routes:
            self._add_placement_ticks()
        self._reloader = reloading.Reloader(
            path=settings_path, settings=settings, bus=self._bus
        )
        self._reloads = task.LoopingCall(self._reloader.check)
        self._ticks = task.LoopingCall(self._bus.post, message.Tick())
        self._drain = task.LoopingCall(self._check_drained)
        self._listeners = self._make_listeners()
        self._lifecycle = lifecycle.make_lifecycle(self)

    def bind(self) -> dict[str, str]:
        """Bind every port; return what failed by setting.

        If none failed, a trace that the settings ask for begins.
        """
        failed = self._listeners.bind()
        wanted = self._settings.trace
        if not failed and wanted.path:
            self.record(wanted.path, wanted.max_bytes, from_start=self._fresh)
        return failed

    def start(self) -> None:
        """Start to serve."""
        self._lifecycle.start()

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends at once."""
        self._lifecycle.stop()

    def reload(self) -> None:
        """Read the settings again."""
        self._reloader.reload()

    @property
    def exit_code(self) -> int:
        """0 after a graceful shutdown, 1 if it cut open requests."""
        return 1 if self._cut else 0

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every core, as plain data."""
        return {
            "daemon": self._settings.daemon.id,
            "zone": self._settings.daemon.zone,
            "time": self._clock.now(),
            "open_requests": len(self._exchanges),
            "callers": self._callers.dump() if self._callers else None,
            "unhandled": dict(self._bus.unhandled),
            "errors": dict(self._bus.errors),
            "clients": self._guard.dump(),
            "disk": self._consensus.dump() if self._consensus else None,
            "cores": {name: core.dump() for name, core in self._cores.items()},
            "paths": self._paths.dump() if self._paths else None,
            "relays": self._relays.count if self._relays else 0,
            "metrics": self._metrics.dump(),
        }

    def record(
        self, name: str, max_bytes: int, from_start: bool = False
    ) -> pathlib.Path:
        """Record a trace below the data folder; return its path.

        An empty name only ends the one that is being recorded. Raises
        ConfigurationError or StorageError.
        """
        if self._recorder is not None:
            self._recorder.stop()
            self._recorder = None
        if not name:
            return pathlib.Path()
        from fulmarbarrow.tracing import recorder

        made = recorder.Recorder(
            bus=self._bus,
            data_dir=pathlib.Path(self._settings.daemon.data_dir),
            name=name,
            max_bytes=max_bytes,
            settings=self._settings_text,
            started=self._started,
            host_identity=(
                self._consensus.host_identity if self._consensus else ""
            ),
            from_start=from_start,
        )
        made.start()
        self._recorder = made
        return made.path

    # Actions of the lifecycle.

    def begin_serving(self) -> None:
        """Start the clockwork; the ports are bound already."""
        self._ticks.start(cores.TICK.total_seconds())
        self._reloads.start(
            reloading.CHECK_INTERVAL.total_seconds(), now=False
        )
        if self._placement_ticks is not None:
            self._placement_ticks.start()
        log.info(
            "daemon started",
            extra={
                "daemon": self._settings.daemon.id,
                "zone": self._settings.daemon.zone,
                "roles": [role.value for role in self._settings.daemon.roles],
                "incarnation": self._record.incarnation,
                "forms": self._settings.control.form,
            },
        )

    def announce_stop(self) -> None:
        """Turn the health check to 503 and tell the other daemons."""
        log.info(
            "daemon is leaving",
            extra={
                "daemon": self._settings.daemon.id,
                "open_requests": len(self._exchanges),
            },
        )
        if self._callers is not None:
            self._callers.begin_stop()
        self._bus.post(membership_messages.LeaveStarted())
        self._reactor.callLater(
            self._settings.daemon.grace.total_seconds(),
            self._lifecycle.grace_over,
        )
        limit = self._settings.daemon.stop_within * STOP_PART
        if limit:
            self._reactor.callLater(
                limit.total_seconds(), self._lifecycle.time_over
            )
            self._reactor.callLater(
                max(0, (limit - ANSWERS_BEFORE_END).total_seconds()),
                self._bus.post,
                delivery_messages.StopDue(),
            )

    def refuse_new(self) -> None:
        """Refuse new requests and wait for the open ones."""
        if self._callers is not None:
            self._callers.refuse_new()
        self._drain.start(DRAIN_CHECK.total_seconds())

    def close(self) -> None:
        """Close everything and end the process."""
        self._cut = len(self._exchanges)
        log.info(
            "daemon stopped",
            extra={
                "daemon": self._settings.daemon.id,
                "requests_cut": self._cut,
            },
        )
        if self._drain.running:
            self._drain.stop()
        for ticks in (self._ticks, self._reloads):
            if ticks.running:
                ticks.stop()
        if self._placement_ticks is not None:
            self._placement_ticks.stop()
        if self._consensus is not None:
            self._consensus.close()
        self._listeners.close()
        if self._recorder is not None:
            self._recorder.stop()
        self._reactor.callLater(0, self._reactor.stop)

    def _check_drained(self) -> None:
        if self._callers is not None and self._callers.answered():
            self._listeners.stop_accepting("callers")
        if self._relays is not None and self._relays.count:
            return
        if self._callers is None or self._callers.drained():
            self._lifecycle.drained()
            return
        if len(self._exchanges):
            self._flush_until = None
            return
        now = self._clock.now()
        if self._flush_until is None:
            self._flush_until = now + MAX_FLUSH
        elif now > self._flush_until:
            self._lifecycle.drained()

    def _make_transport(self) -> transport.Transport:
        return transport.Transport(
            reactor=self._reactor,
            address=self._record.address,
            codec=self._codec,
            metrics=self._metrics,
            received=self._bus.post,
        )

    def _add_storage(self) -> None:
        from fulmarbarrow.consensus import shell as consensus_shell

        self._consensus = consensus_shell.ConsensusShell(
            data_folder=pathlib.Path(self._settings.daemon.data_dir),
            bus=self._bus,
            reactor=self._reactor,
            metrics=self._metrics,
        )

    def _add_timers(self) -> None:
        from fulmarbarrow.delivery import shell as delivery_shell

        delivery_shell.WakeScheduler(reactor=self._reactor, bus=self._bus)

    def _add_relays(self) -> None:
        """Relay connections to upstreams for peers without a path."""
        connect_timeout = self._settings.timeouts.connect
        self._paths = paths.Paths(
            daemon=self._record,
            rng=random.Random(self._record.daemon_id),
            metrics=self._metrics,
        )
        self._bus.attach(self._paths)
        self._relays = relay_server.RelayServer(
            reactor=self._reactor,
            clock=self._clock,
            paths=self._paths,
            metrics=self._metrics,
            connect_timeout=connect_timeout,
        )
        self._transport.relay_with(self._relays.open)
        self._bus.subscribe(
            membership_messages.LeaveStarted,
            lambda event, now: self._relays.leave(),
        )

    def _make_dialer(self) -> dialer.Dialer | None:
        if self._paths is None:
            return None
        return dialer.Dialer(
            reactor=self._reactor,
            clock=self._clock,
            codec=self._codec,
            paths=self._paths,
            metrics=self._metrics,
            daemon_id=self._record.daemon_id,
            address=self._record.address,
            connect_timeout=self._settings.timeouts.connect,
        )

    def _add_placement_ticks(self) -> None:
        from fulmarbarrow.placement import shell

        self._placement_ticks = shell.TickScheduler(
            reactor=self._reactor,
            bus=self._bus,
            core=self._cores["placement"],
            busy_interval=cores.PLACEMENT_TICK,
            idle_interval=self._settings.placement.summary_interval,
        )

    def _make_listeners(self) -> listeners.Listeners:
        listen = self._settings.listen
        made = listeners.Listeners(
            reactor=self._reactor, transport=self._transport
        )
        if listen.admin is not None:
            made.add("admin", listen.admin, self._site(self._make_admin()))
        if listen.metrics is not None:
            page = exposition.MetricsResource(metrics=self._metrics)
            made.add("metrics", listen.metrics, self._site(page))
        self._interface.listen(made)
        return made

    def _make_admin(self) -> resources.IResource:
        """Return the operators' resource, behind their key."""
        from fulmarbarrow.edge import admin
        from fulmarbarrow.edge import guarded
        from fulmarbarrow.tracing import edge as tracing_edge

        made = admin.AdminEdge(
            bus=self._bus,
            metrics=self._metrics,
            dump=self.dump,
            publishes=self._consensus is not None,
        )
        tracing_edge.TracingEdge(app=made.app, record=self.record)
        return guarded.GuardedResource(
            app=made.app, key=self._settings.daemon.admin_key
        )

    def _site(self, resource: resources.IResource) -> sites.BoundedSite:
        return sites.BoundedSite(
            resource=resource,
            max_body_bytes=interfaces.MAX_OWN_BODY_BYTES,
            metrics=self._metrics,
            guard=self._guard,
        )


def _make_interface(parts: interfaces.Parts) -> interfaces.Interface:
    if parts.settings.daemon.interface is defaults.Interface.PLATFORM:
        from fulmarbarrow.platform import interface

        return interface.PlatformInterface(parts=parts)
    from fulmarbarrow.daemon import own_interface

    return own_interface.OwnInterface(parts=parts)


def _is_fresh(data_dir: str) -> bool:
    """Return whether no earlier run has left anything."""
    folder = pathlib.Path(data_dir)
    return not data_dir or not folder.exists() or not any(folder.iterdir())
