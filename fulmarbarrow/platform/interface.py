"""The platform's HTTP interface of one daemon."""

from __future__ import annotations

from twisted.web import http
from twisted.web import resource as resources

from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import interfaces
from fulmarbarrow.daemon import listeners
from fulmarbarrow.edge import site as sites
from fulmarbarrow.platform import calls

MAX_DOCUMENT_BYTES = 16 << 20


class PlatformInterface:
    """Serves clients and readiness, or operators and registrations."""

    def __init__(self, *, parts: interfaces.Parts) -> None:
        self._parts = parts
        self.callers = None
        if defaults.Role.ROUTER in parts.settings.daemon.roles:
            self._add_router()
        is_control = defaults.Role.CONTROL in parts.settings.daemon.roles
        if is_control and parts.settings.duties.address is not None:
            self._add_cloud()

    def listen(self, made: listeners.Listeners) -> None:
        """Add the ports of the daemon's roles."""
        listen = self._parts.settings.listen
        if self.callers is not None:
            made.add("callers", listen.callers, self.callers.site)
            ready = calls.CallResource(calls={b"GET": self._ready})
            root = _below_v1(b"ready", ready)
            made.add("ready", listen.ready, self._site(root))
        if defaults.Role.CONTROL in self._parts.settings.daemon.roles:
            made.add("operators", listen.operators, self._control_site())

    def _add_router(self) -> None:
        # Only routers import what speaks to clients and workers.
        from fulmarbarrow.edge import callers
        from fulmarbarrow.edge import client
        from fulmarbarrow.platform import clients
        from fulmarbarrow.platform import workers

        parts = self._parts
        self.callers = callers.CallersEdge(
            daemon_id=parts.record.daemon_id,
            incarnation=parts.record.incarnation,
            bus=parts.bus,
            clock=parts.clock,
            metrics=parts.metrics,
            exchanges=parts.exchanges,
            limits=parts.settings.limits,
            dialect=clients.Clients(),
            guard=parts.guard,
        )
        self._client = client.UpstreamClient(
            reactor=parts.reactor,
            bus=parts.bus,
            clock=parts.clock,
            exchanges=parts.exchanges,
            dialect=workers.Workers(),
            connect_timeout=parts.settings.timeouts.connect,
            dialer=parts.dialer,
        )

    def _add_cloud(self) -> None:
        from fulmarbarrow.platform import cloud

        parts = self._parts
        self._cloud = cloud.CloudClient(
            reactor=parts.reactor,
            bus=parts.bus,
            clock=parts.clock,
            metrics=parts.metrics,
            settings=parts.settings.duties,
            daemon_id=parts.settings.daemon.id,
        )

    def _control_site(self) -> sites.BoundedSite:
        from fulmarbarrow.platform import operators
        from fulmarbarrow.platform import registrations

        parts = self._parts
        version = resources.Resource()
        watch = calls.CallerWatch(bus=parts.bus, clock=parts.clock)
        operators.Operators(
            root=version,
            bus=parts.bus,
            clock=parts.clock,
            watch=watch,
            rollouts=parts.settings.rollouts.enabled,
        )
        registrations.Registrations(
            root=version, bus=parts.bus, clock=parts.clock, watch=watch
        )
        root = resources.Resource()
        root.putChild(b"v1", version)
        return self._site(root)

    def _site(self, root: resources.Resource) -> sites.BoundedSite:
        return sites.BoundedSite(
            resource=root,
            max_body_bytes=MAX_DOCUMENT_BYTES,
            metrics=self._parts.metrics,
            guard=self._parts.guard,
        )

    def _ready(self, request: http.Request) -> bytes:
        """Tell the balancer whether to send connections here."""
        if not self.callers.healthy or not self.callers.configured:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"{}"
        return b"{}"


def _below_v1(name: bytes, leaf: resources.Resource) -> resources.Resource:
    version = resources.Resource()
    version.putChild(name, leaf)
    root = resources.Resource()
    root.putChild(b"v1", version)
    return root
