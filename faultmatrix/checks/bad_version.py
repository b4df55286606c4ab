"""A bad version gets none of the traffic soon after its fault shows."""

from __future__ import annotations

import datetime

from faultmatrix.checks import base
from faultmatrix import upstream as upstreams
from fulmarbarrow.versions import messages

LIMIT = datetime.timedelta(seconds=2)


class BadVersion(base.Check):
    """Counts dispatches to a version two seconds after it was found bad."""

    name = "bad version"

    def __init__(self) -> None:
        super().__init__()
        self._found: datetime.datetime | None = None

    def stopped(self, event: messages.VersionStopped) -> None:
        """Note when the fault was found first."""
        self._found = self._found or self.fleet.timeline.now

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare with the time since the fault was found."""
        if self._found is None or upstream.offer.version != "2":
            return
        late = self.fleet.timeline.now - self._found > LIMIT
        if late and self.fleet.network.reaches(run.host.zone, "a"):
            self.breach(
                f"{run.host.plan.daemon_id} sent work to the bad version on "
                f"{upstream.upstream_id}"
            )
