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
from fulmarbarrow.consensus import shell as consensus_shell
from fulmarbarrow.daemon import cores
from fulmarbarrow.daemon import lifecycle
from fulmarbarrow.daemon import listeners
from fulmarbarrow.delivery import shell as delivery_shell
from fulmarbarrow.edge import admin
from fulmarbarrow.edge import callers
from fulmarbarrow.edge import client
from fulmarbarrow.edge import exchange
from fulmarbarrow.edge import guarded
from fulmarbarrow.edge import orders
from fulmarbarrow.edge import site as sites
from fulmarbarrow.edge import upstreams
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.wire import codec
from fulmarbarrow.wire import transport

log = logging.getLogger(__name__)

DRAIN_CHECK = datetime.timedelta(milliseconds=50)
MAX_OWN_BODY_BYTES = 16 << 20  # bundles and announcements


class Daemon:
    """One daemon with its roles, listeners and state."""

    def __init__(
        self,
        *,
        settings: defaults.Settings,
        reactor: typing.Any,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
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
        self._record = self._describe()
        self._transport = self._make_transport()
        self._bus.subscribe(
            message.Send, lambda event, _: self._transport.send(event)
        )
        self._callers: callers.CallersEdge | None = None
        self._placement_ticks: task.LoopingCall | None = None
        self._consensus: consensus_shell.ConsensusShell | None = None
        if defaults.Role.CONTROL in settings.daemon.roles:
            self._add_control_edges()
        if defaults.Role.ROUTER in settings.daemon.roles:
            self._add_router_edges()
        self._cores = cores.Cores(
            settings=settings,
            record=self._record,
            bus=self._bus,
            metrics=self._metrics,
            rng=random.Random(self._record.incarnation),
            now=clock.now(),
            logs=self._consensus,
        ).by_name
        self._admin = admin.AdminEdge(
            bus=self._bus, metrics=self._metrics, dump=self.dump
        )
        self._ticks = task.LoopingCall(self._bus.post, message.Tick())
        self._drain = task.LoopingCall(self._check_drained)
        self._listeners = self._make_listeners()
        self._lifecycle = lifecycle.make_lifecycle(self)

    def bind(self) -> dict[str, str]:
        """Bind every port; return what failed by setting."""
        return self._listeners.bind()

    def start(self) -> None:
        """Start to serve."""
        self._lifecycle.start()

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends at once."""
        self._lifecycle.stop()

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
            "disk": self._consensus.dump() if self._consensus else None,
            "cores": {name: core.dump() for name, core in self._cores.items()},
            "metrics": self._metrics.dump(),
        }

    # Actions of the lifecycle.

    def begin_serving(self) -> None:
        """Start the clockwork; the ports are bound already."""
        self._ticks.start(cores.TICK.total_seconds())
        if self._placement_ticks is not None:
            self._placement_ticks.start(cores.PLACEMENT_TICK.total_seconds())
        log.info("daemon %s serves", self._settings.daemon.id)

    def announce_stop(self) -> None:
        """Turn the health check to 503 and tell the other daemons."""
        log.info("daemon %s is leaving", self._settings.daemon.id)
        if self._callers is not None:
            self._callers.begin_stop()
        self._bus.post(membership_messages.LeaveStarted())
        self._reactor.callLater(
            self._settings.daemon.grace.total_seconds(),
            self._lifecycle.grace_over,
        )

    def refuse_new(self) -> None:
        """Refuse new requests and wait for the open ones."""
        if self._callers is not None:
            self._callers.refuse_new()
        self._drain.start(DRAIN_CHECK.total_seconds())

    def close(self) -> None:
        """Close everything and end the process."""
        log.info("daemon %s stops", self._settings.daemon.id)
        if self._drain.running:
            self._drain.stop()
        for ticks in (self._ticks, self._placement_ticks):
            if ticks is not None and ticks.running:
                ticks.stop()
        if self._consensus is not None:
            self._consensus.close()
        self._listeners.close()
        self._reactor.callLater(0, self._reactor.stop)

    def _check_drained(self) -> None:
        if len(self._exchanges) == 0:
            self._lifecycle.drained()

    def _describe(self) -> membership_messages.Daemon:
        settings = self._settings
        started = self._clock.now().timestamp()
        return membership_messages.Daemon(
            daemon_id=settings.daemon.id,
            incarnation=int(started * 1000),
            zone=settings.daemon.zone,
            region=settings.daemon.region,
            address=str(settings.listen.peers),
            roles=tuple(role.value for role in settings.daemon.roles),
        )

    def _make_transport(self) -> transport.Transport:
        return transport.Transport(
            address=self._record.address,
            codec=codec.Codec(
                fleet_key=self._settings.daemon.fleet_key,
                sender=self._record.daemon_id,
                address=self._record.address,
                incarnation=self._record.incarnation,
            ),
            metrics=self._metrics,
            received=self._bus.post,
        )

    def _add_control_edges(self) -> None:
        self._consensus = consensus_shell.ConsensusShell(
            data_folder=pathlib.Path(self._settings.daemon.data_dir),
            bus=self._bus,
            reactor=self._reactor,
            metrics=self._metrics,
        )
        self._orders = orders.OrdersClient(
            reactor=self._reactor,
            bus=self._bus,
            key=self._settings.upstreams.key,
        )

    def _add_router_edges(self) -> None:
        self._callers = callers.CallersEdge(
            daemon_id=self._record.daemon_id,
            incarnation=self._record.incarnation,
            bus=self._bus,
            clock=self._clock,
            metrics=self._metrics,
            exchanges=self._exchanges,
            limits=self._settings.limits,
        )
        self._upstreams_edge = upstreams.UpstreamsEdge(
            bus=self._bus, key=self._settings.upstreams.key
        )
        self._client = client.UpstreamClient(
            reactor=self._reactor,
            bus=self._bus,
            clock=self._clock,
            exchanges=self._exchanges,
        )
        self._placement_ticks = task.LoopingCall(
            self._bus.post, placement_messages.PlacementTick()
        )
        delivery_shell.Alarm(reactor=self._reactor, bus=self._bus)

    def _make_listeners(self) -> listeners.Listeners:
        listen = self._settings.listen
        made = listeners.Listeners(
            reactor=self._reactor, transport=self._transport
        )
        admin_resource = guarded.GuardedResource(
            app=self._admin.app, key=self._settings.daemon.admin_key
        )
        made.add("admin", listen.admin, self._site(admin_resource))
        if self._callers is not None:
            made.add("callers", listen.callers, self._callers.site)
            announcements = self._upstreams_edge.app.resource()
            made.add("upstreams", listen.upstreams, self._site(announcements))
        return made

    def _site(self, resource: resources.IResource) -> sites.BoundedSite:
        return sites.BoundedSite(
            resource=resource,
            max_body_bytes=MAX_OWN_BODY_BYTES,
            metrics=self._metrics,
        )
