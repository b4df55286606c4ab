"""A zone taken out gets no new work after a few seconds."""

from __future__ import annotations

import datetime

from faultmatrix.checks import base
from faultmatrix import host as hosts
from faultmatrix import upstream as upstreams
from fulmarbarrow.config import bundle as bundles

LIMIT = datetime.timedelta(seconds=2)


class ZoneOut(base.Check):
    """Counts dispatches into a zone two seconds after its revision holds.

    A router that is cut off from the control hosts and from every router
    that has the revision can't know it. It is counted once it has it, or
    ``LIMIT`` after it was connected again to one that has it.
    """

    name = "zone out"

    def __init__(self) -> None:
        super().__init__()
        self._out_since: dict[str, datetime.datetime] = {}
        self._known: dict[str, int] = {}

    def in_force(
        self, host: hosts.Host, revision: int, bundle: bundles.Bundle
    ) -> None:
        """Note which zones are out from now on."""
        self._known[host.plan.daemon_id] = revision
        if revision < max(self._known.values()):
            return
        now = self.fleet.timeline.now
        for zone in bundle.zone:
            if zone.state is bundles.ZoneState.OUT:
                self._out_since.setdefault(zone.name, now)
            else:
                self._out_since.pop(zone.name, None)

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare with the time since the zone was taken out."""
        since = self._out_since.get(upstream.zone)
        if since is None or self.fleet.timeline.now - since <= LIMIT:
            return
        if self._could_know(run.host):
            self.breach(
                f"{run.host.plan.daemon_id} sent work to "
                f"{upstream.upstream_id} in a zone that is out"
            )

    def _could_know(self, host: hosts.Host) -> bool:
        latest = max(self._known.values())
        if self._known.get(host.plan.daemon_id) == latest:
            return True
        return any(
            other.alive
            and self._known.get(other.plan.daemon_id) == latest
            and self._connected_for_long(host, other)
            for other in self.fleet.hosts.values()
        )

    def _connected_for_long(self, host: hosts.Host, other: hosts.Host) -> bool:
        network = self.fleet.network
        if not network.connected(host, other):
            return False
        since = network.connected_since(host, other)
        return since is None or self.fleet.timeline.now - since > LIMIT
