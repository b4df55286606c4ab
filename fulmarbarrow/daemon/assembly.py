"""Joins the slices to one daemon."""

from __future__ import annotations

import datetime
import logging
import random
import typing

from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import server

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.daemon import lifecycle
from fulmarbarrow.delivery import core as delivery_core
from fulmarbarrow.edge import admin
from fulmarbarrow.edge import callers
from fulmarbarrow.edge import client
from fulmarbarrow.edge import exchange
from fulmarbarrow.edge import upstreams
from fulmarbarrow.journal import core as journal_core
from fulmarbarrow.limits import core as limits_core
from fulmarbarrow.membership import core as membership_core
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import follower
from fulmarbarrow.versions import core as versions_core
from fulmarbarrow.wire import codec
from fulmarbarrow.wire import transport
from fulmarbarrow.zones import core as zones_core

log = logging.getLogger(__name__)

TICK = datetime.timedelta(milliseconds=250)
DRAIN_CHECK = datetime.timedelta(milliseconds=50)


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
        self._metrics = metrics_module.Metrics()
        self._bus = buses.Bus(clock=clock)
        self._exchanges = exchange.Exchanges()
        self._cores: dict[str, buses.Core] = {}
        self._ports: list[interfaces.IListeningPort] = []
        self._record = self._describe()
        self._transport = self._make_transport()
        self._bus.subscribe(
            message.Send, lambda event, _: self._transport.send(event)
        )
        self._callers: callers.CallersEdge | None = None
        self._add_common()
        if defaults.Role.CONTROL in settings.daemon.roles:
            self._add_control()
        if defaults.Role.ROUTER in settings.daemon.roles:
            self._add_router()
        self._admin = admin.AdminEdge(
            bus=self._bus, metrics=self._metrics, dump=self.dump
        )
        self._ticks = task.LoopingCall(self._bus.post, message.Tick())
        self._drain = task.LoopingCall(self._check_drained)
        self._lifecycle = lifecycle.make_lifecycle(self)

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
            "unhandled": dict(self._bus.unhandled),
            "errors": dict(self._bus.errors),
            "cores": {name: core.dump() for name, core in self._cores.items()},
            "metrics": self._metrics.dump(),
        }

    # Actions of the lifecycle.

    def open_listeners(self) -> None:
        """Start to listen."""
        self._transport.start()
        self._listen(self._settings.listen.admin, self._admin.app)
        if self._callers is not None:
            self._listen(self._settings.listen.callers, self._callers.app)
            self._listen(
                self._settings.listen.upstreams, self._upstreams_edge.app
            )
        self._ticks.start(TICK.total_seconds())
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
        if self._ticks.running:
            self._ticks.stop()
        for port in self._ports:
            port.stopListening()
        self._transport.stop()
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

    def _add(self, name: str, core: buses.Core) -> None:
        self._cores[name] = core
        self._bus.attach(core)

    def _add_common(self) -> None:
        self._add(
            "membership",
            membership_core.MembershipCore(
                daemon=self._record,
                seeds=tuple(map(str, self._settings.peers.seeds)),
                lease=self._settings.upstreams.lease,
                metrics=self._metrics,
                rng=random.Random(),
            ),
        )
        self._add(
            "publishing",
            follower.PublishingFollower(
                daemon_id=self._record.daemon_id, address=self._record.address
            ),
        )

    def _add_control(self) -> None:
        self._add(
            "consensus",
            consensus_core.ConsensusCore(
                group=consensus_messages.Group.CONFIGURATION
            ),
        )
        self._add("control", control.PublishingControl(daemon=self._record))

    def _add_router(self) -> None:
        metrics = self._metrics
        self._callers = callers.CallersEdge(
            daemon_id=self._record.daemon_id,
            incarnation=self._record.incarnation,
            bus=self._bus,
            clock=self._clock,
            metrics=metrics,
            exchanges=self._exchanges,
        )
        self._upstreams_edge = upstreams.UpstreamsEdge(
            bus=self._bus, key=self._settings.upstreams.key
        )
        self._client = client.UpstreamClient(
            reactor=self._reactor, bus=self._bus, exchanges=self._exchanges
        )
        self._add("versions", versions_core.VersionsCore())
        self._add("zones", zones_core.ZonesCore())
        self._add("limits", limits_core.LimitsCore(metrics=metrics))
        self._add(
            "placement",
            placement_core.PlacementCore(
                address=self._record.address, metrics=metrics
            ),
        )
        self._add("journal", journal_core.JournalCore(metrics=metrics))
        self._add("delivery", delivery_core.DeliveryCore(metrics=metrics))

    def _listen(self, address: typing.Any, app: typing.Any) -> None:
        site = server.Site(app.resource())
        port = self._reactor.listenTCP(
            address.port, site, interface=address.host
        )
        self._ports.append(port)
