"""The product's own HTTP interface of one daemon."""

from __future__ import annotations

from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import interfaces
from fulmarbarrow.daemon import listeners
from fulmarbarrow.edge import callers
from fulmarbarrow.edge import client
from fulmarbarrow.edge import own_routes
from fulmarbarrow.edge import site as sites
from fulmarbarrow.edge import upstreams


class OwnInterface:
    """Serves callers and announcements, and orders engines about."""

    def __init__(self, *, parts: interfaces.Parts) -> None:
        self._parts = parts
        self.callers: callers.CallersEdge | None = None
        roles = parts.settings.daemon.roles
        if defaults.Role.CONTROL in roles:
            self._add_orders()
        if defaults.Role.ROUTER in roles:
            self._add_router()

    def listen(self, made: listeners.Listeners) -> None:
        """Add the ports of the daemon's roles."""
        if self.callers is None:
            return
        listen = self._parts.settings.listen
        made.add("callers", listen.callers, self.callers.site)
        site = sites.BoundedSite(
            resource=self._upstreams_edge.app.resource(),
            max_body_bytes=interfaces.MAX_OWN_BODY_BYTES,
            metrics=self._parts.metrics,
            guard=self._parts.guard,
        )
        made.add("upstreams", listen.upstreams, site)

    def _add_orders(self) -> None:
        # Its HTTP client is large, and only these hosts have use for it.
        from fulmarbarrow.edge import orders

        self._orders = orders.OrdersClient(
            reactor=self._parts.reactor,
            bus=self._parts.bus,
            key=self._parts.settings.upstreams.key,
        )

    def _add_router(self) -> None:
        parts = self._parts
        self.callers = callers.CallersEdge(
            daemon_id=parts.record.daemon_id,
            incarnation=parts.record.incarnation,
            bus=parts.bus,
            clock=parts.clock,
            metrics=parts.metrics,
            exchanges=parts.exchanges,
            limits=parts.settings.limits,
            guard=parts.guard,
        )
        self.callers.serve_fixed(own_routes.OwnRoutes(callers=self.callers))
        self._upstreams_edge = upstreams.UpstreamsEdge(
            bus=parts.bus, key=parts.settings.upstreams.key
        )
        self._client = client.UpstreamClient(
            reactor=parts.reactor,
            bus=parts.bus,
            clock=parts.clock,
            exchanges=parts.exchanges,
            connect_timeout=parts.settings.timeouts.connect,
            dialer=parts.dialer,
        )
