"""An upstream that is leaving gets no new work after a few seconds."""

from __future__ import annotations

import datetime

from faultmatrix.checks import base
from faultmatrix import upstream as upstreams

LIMIT = datetime.timedelta(seconds=2)
ACKNOWLEDGED_LIMIT = datetime.timedelta(seconds=1)


class Leaving(base.Check):
    """Counts dispatches to an upstream two seconds after its word.

    Also those one second after the word was acknowledged. A router in a zone
    that is cut off from the upstream's cannot hear it.
    """

    name = "leaving"

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare with the time since the upstream announced it."""
        now = self.fleet.timeline.now
        for since, limit in (
            (upstream.leaving_since, LIMIT),
            (upstream.leave_acknowledged_at, ACKNOWLEDGED_LIMIT),
        ):
            if since is not None and now - since > limit:
                self.breach(f"{upstream.upstream_id} got work while leaving")
                return
