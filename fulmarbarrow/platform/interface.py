"""The platform's HTTP interface of one daemon."""

from __future__ import annotations

import typing

import klein
from twisted.python import failure as failures
from twisted.web import http
from werkzeug import exceptions

from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import interfaces
from fulmarbarrow.daemon import listeners
from fulmarbarrow.edge import callers
from fulmarbarrow.edge import client
from fulmarbarrow.edge import site as sites
from fulmarbarrow.platform import clients
from fulmarbarrow.platform import operators
from fulmarbarrow.platform import registrations
from fulmarbarrow.platform import workers

MAX_DOCUMENT_BYTES = 16 << 20


class PlatformInterface:
    """Serves clients and readiness, or operators and registrations."""

    def __init__(self, *, parts: interfaces.Parts) -> None:
        self._parts = parts
        self.callers: callers.CallersEdge | None = None
        roles = parts.settings.daemon.roles
        if defaults.Role.ROUTER in roles:
            self.callers = callers.CallersEdge(
                daemon_id=parts.record.daemon_id,
                incarnation=parts.record.incarnation,
                bus=parts.bus,
                clock=parts.clock,
                metrics=parts.metrics,
                exchanges=parts.exchanges,
                limits=parts.settings.limits,
                dialect=clients.Clients(),
                fixed_routes=False,
            )
            self._client = client.UpstreamClient(
                reactor=parts.reactor,
                bus=parts.bus,
                clock=parts.clock,
                exchanges=parts.exchanges,
                dialect=workers.Workers(),
                connect_timeout=parts.settings.timeouts.connect,
            )

    def listen(self, made: listeners.Listeners) -> None:
        """Add the ports of the daemon's roles."""
        listen = self._parts.settings.listen
        if self.callers is not None:
            made.add("callers", listen.callers, self.callers.site)
            ready = klein.Klein()
            ready.route("/v1/ready", methods=["GET"])(self._ready)
            made.add("ready", listen.ready, self._site(ready))
        if defaults.Role.CONTROL in self._parts.settings.daemon.roles:
            made.add("operators", listen.operators, self._control_site())

    def _control_site(self) -> sites.BoundedSite:
        app = klein.Klein()
        app.handle_errors(exceptions.HTTPException)(_routing_error)
        parts = self._parts
        operators.Operators(app=app, bus=parts.bus)
        registrations.Registrations(app=app, bus=parts.bus, clock=parts.clock)
        return self._site(app)

    def _site(self, app: klein.Klein) -> sites.BoundedSite:
        return sites.BoundedSite(
            resource=app.resource(),
            max_body_bytes=MAX_DOCUMENT_BYTES,
            metrics=self._parts.metrics,
        )

    def _ready(self, request: http.Request) -> bytes:
        """Tell the balancer whether to send connections here."""
        if not self.callers.healthy or not self.callers.configured:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"not ready\n"
        return b"ready\n"


def _routing_error(request: http.Request, failure: failures.Failure) -> bytes:
    error: typing.Any = failure.value
    request.setResponseCode(error.code)
    return b"{}"
