"""The routers and control hosts that the zones' messages go to."""

from __future__ import annotations

import math
import random

from fulmarbarrow.membership import messages as membership_messages

ROUTER = "router"
CONTROL = "control"

_LIVE = (
    membership_messages.DaemonState.ALIVE,
    membership_messages.DaemonState.SUSPECT,
)


class Peers:
    """Live daemons by id, this one included."""

    def __init__(self, *, own: membership_messages.Daemon) -> None:
        self._own = own
        self._daemons = {own.daemon_id: own}

    def changed(self, daemon: membership_messages.Daemon) -> None:
        """Take a daemon's record."""
        if daemon.daemon_id == self._own.daemon_id:
            return
        if daemon.state in _LIVE:
            self._daemons[daemon.daemon_id] = daemon
        else:
            self._daemons.pop(daemon.daemon_id, None)

    def gone(self, daemon_id: str) -> None:
        """Forget a daemon."""
        if daemon_id != self._own.daemon_id:
            self._daemons.pop(daemon_id, None)

    def routers(self, zone: str) -> list[membership_messages.Daemon]:
        """Return the routers of a zone in the order of their ids."""
        return sorted(
            (
                daemon
                for daemon in self._daemons.values()
                if daemon.zone == zone and ROUTER in daemon.roles
            ),
            key=lambda daemon: daemon.daemon_id,
        )

    def speaker(self) -> membership_messages.Daemon:
        """Return the router that sums up this daemon's zone."""
        routers = self.routers(self._own.zone)
        return routers[0] if routers else self._own

    def control(self, rng: random.Random) -> membership_messages.Daemon | None:
        """Return a control host, or None."""
        found = sorted(
            (
                daemon
                for daemon in self._daemons.values()
                if CONTROL in daemon.roles
            ),
            key=lambda daemon: daemon.daemon_id,
        )
        return rng.choice(found) if found else None

    def one_per_other_zone(
        self, rng: random.Random, *, far: bool
    ) -> list[membership_messages.Daemon]:
        """Return a router of each other zone of the region, or beyond."""
        zones: dict[str, list[membership_messages.Daemon]] = {}
        for daemon in self._daemons.values():
            if daemon.zone == self._own.zone or ROUTER not in daemon.roles:
                continue
            if (daemon.region != self._own.region) is far:
                zones.setdefault(daemon.zone, []).append(daemon)
        return [rng.choice(found) for _, found in sorted(zones.items())]

    def chunks(self) -> list[list[membership_messages.Daemon]]:
        """Return this zone's routers in about as many parts as members."""
        routers = self.routers(self._own.zone)
        size = max(1, math.ceil(math.sqrt(len(routers))))
        return [
            routers[start : start + size]
            for start in range(0, len(routers), size)
        ]
