"""Selects the routers and control hosts that receive zone messages."""

from __future__ import annotations

import math
import random

from fulmarbarrow.membership import messages as membership_messages

ROUTER_ROLE = "router"
CONTROL_ROLE = "control"

_LIVE_STATES = (
    membership_messages.DaemonState.ALIVE,
    membership_messages.DaemonState.SUSPECT,
)


class Peers:
    """The live daemons by id, including this one."""

    def __init__(self, *, own: membership_messages.Daemon) -> None:
        self._own = own
        self._daemons = {own.daemon_id: own}

    def update(self, daemon: membership_messages.Daemon) -> None:
        """Add or replace a daemon's record; remove it if it is not live."""
        if daemon.daemon_id == self._own.daemon_id:
            return
        if daemon.state in _LIVE_STATES:
            self._daemons[daemon.daemon_id] = daemon
        else:
            self._daemons.pop(daemon.daemon_id, None)

    def remove(self, daemon_id: str) -> None:
        """Remove a daemon."""
        if daemon_id != self._own.daemon_id:
            self._daemons.pop(daemon_id, None)

    def routers(self, zone: str) -> list[membership_messages.Daemon]:
        """Return the routers of a zone, sorted by id."""
        return sorted(
            (
                daemon
                for daemon in self._daemons.values()
                if daemon.zone == zone and ROUTER_ROLE in daemon.roles
            ),
            key=lambda daemon: daemon.daemon_id,
        )

    def aggregator(self) -> membership_messages.Daemon:
        """Return the router that aggregates the load of this zone.

        It is the zone's router with the lowest id.
        """
        routers = self.routers(self._own.zone)
        return routers[0] if routers else self._own

    def random_control_host(
        self, rng: random.Random
    ) -> membership_messages.Daemon | None:
        """Return a random control host, or None if none is known."""
        hosts = sorted(
            (
                daemon
                for daemon in self._daemons.values()
                if CONTROL_ROLE in daemon.roles
            ),
            key=lambda daemon: daemon.daemon_id,
        )
        return rng.choice(hosts) if hosts else None

    def random_router_per_zone(
        self, rng: random.Random, *, other_regions: bool
    ) -> list[membership_messages.Daemon]:
        """Return a random router of each other zone.

        If ``other_regions`` is set, the zones are those of other regions,
        otherwise those of this region.
        """
        zones: dict[str, list[membership_messages.Daemon]] = {}
        for daemon in self._daemons.values():
            if (
                daemon.zone == self._own.zone
                or ROUTER_ROLE not in daemon.roles
            ):
                continue
            if (daemon.region != self._own.region) is other_regions:
                zones.setdefault(daemon.zone, []).append(daemon)
        return [rng.choice(routers) for _, routers in sorted(zones.items())]

    def router_chunks(self) -> list[list[membership_messages.Daemon]]:
        """Split this zone's routers into chunks.

        The number of chunks is about the size of each, so that two hops
        reach every router with few messages per sender.
        """
        routers = self.routers(self._own.zone)
        size = max(1, math.ceil(math.sqrt(len(routers))))
        return [
            routers[start : start + size]
            for start in range(0, len(routers), size)
        ]
