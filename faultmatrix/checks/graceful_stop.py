"""A planned stop cuts no request."""

from __future__ import annotations

from faultmatrix import callers
from faultmatrix.checks import base


class GracefulStop(base.Check):
    """Looks at requests that were open when their host began to stop.

    Only a planned stop without another fault is judged, because a request
    may well fail for another reason meanwhile.
    """

    name = "graceful stop"

    def __init__(self) -> None:
        super().__init__()
        self.judges = False

    def ended(self, call: callers.Call) -> None:
        """Look at a call that ended without its answer."""
        if not self.judges or call.answered:
            return
        stopping = {
            f"{host.plan.daemon_id}.{host.record.incarnation}"
            for host in self.fleet.hosts.values()
            if host.leaving
        }
        if call.host_id in stopping:
            self.breach(
                f"{call.request.request_id} ended with "
                f"{call.code or 'a lost connection'} on a stopping host"
            )
