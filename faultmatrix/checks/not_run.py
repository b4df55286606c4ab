"""A refusal that says "not run" is true."""

from __future__ import annotations

from faultmatrix.checks import base
from fulmarbarrow.delivery import messages


class NotRun(base.Check):
    """Looks for refused requests that ran, before or after the refusal.

    For a request with an idempotency key the action counts, not the one
    sending of it.
    """

    name = "not run"

    def finish(self) -> None:
        """Compare refusals with what the upstreams ran."""
        ran: dict[str, int] = {}
        for upstream in self.fleet.upstreams.values():
            for request_id, times in upstream.ran.items():
                ran[request_id] = ran.get(request_id, 0) + times
        for call in self.fleet.callers.calls.values():
            if call.ran is not messages.Ran.NO:
                continue
            if ran.get(call.request.request_id):
                self.breach(
                    f"{call.request.request_id} was refused with "
                    f"{call.code}, not run, but ran"
                )
