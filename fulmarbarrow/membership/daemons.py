"""Table of the known daemons, with the live routers of each zone."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from fulmarbarrow.membership import messages
from fulmarbarrow.membership import ranking
from fulmarbarrow.membership import records

ROUTER = "router"
RING_END = 1 << 63
HASH_SHIFT = 31  # from positions in the ring to hashes of 32 bits
TOMBSTONE_RETENTION = datetime.timedelta(minutes=10)
# One that died later may have started again without this daemon's knowledge.
RESTART_PERIOD = datetime.timedelta(seconds=30)

_STATE_RANK = {
    messages.DaemonState.ALIVE: 0,
    messages.DaemonState.SUSPECT: 1,
    messages.DaemonState.LEAVING: 2,
    messages.DaemonState.DEAD: 3,
}


def daemon_version(daemon: messages.Daemon) -> records.Version:
    """Return the version of a daemon's record; the highest version wins."""
    return daemon.incarnation, daemon.refutation, _STATE_RANK[daemon.state]


def as_suspect(daemon: messages.Daemon) -> messages.Daemon:
    """Return the daemon's record, marked as suspect."""
    return msgspec.structs.replace(daemon, state=messages.DaemonState.SUSPECT)


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownDaemon:
    """A daemon's record with the local state kept about it.

    ``acknowledges`` is set once its process has acknowledged urgent changes.
    """

    daemon: messages.Daemon
    changed_at: datetime.datetime
    live_since: datetime.datetime
    last_seen_at: datetime.datetime
    ring_position: int
    zone_view: int = 0
    final_probe_sent: bool = False
    acknowledges: bool = False

    @property
    def ring_hash(self) -> int:
        """The hash by which acknowledgements name the daemon."""
        return self.ring_position >> HASH_SHIFT

    @property
    def reachable(self) -> bool:
        """Whether the daemon has not been declared dead."""
        return self.daemon.state is not messages.DaemonState.DEAD

    @property
    def is_live_router(self) -> bool:
        """Whether the daemon is a router that is neither leaving nor dead."""
        return _is_live_router(self.daemon)


class DaemonTable:
    """All known daemons, this one included.

    ``generation`` increases whenever the record of this daemon changes, or
    another daemon is added, restarts, or becomes or ceases to be a live
    router or reachable. The cached zones, peers, ring and digest of the
    zone's view are rebuilt when it changes.
    """

    def __init__(
        self, *, own: messages.Daemon, index: records.RecordIndex
    ) -> None:
        self._own = own
        self._index = index
        self._entries: dict[str, KnownDaemon] = {}
        self._by_zone: dict[str, tuple[str, ...]] = {}
        self._zones_generation = -1
        self._ring: list[KnownDaemon] = []
        self._ring_generation = -1
        self._peers: tuple[KnownDaemon, ...] = ()
        self._peers_generation = -1
        self._zone_view = 0
        self._zone_view_generation = -1
        self.generation = 0
        # When a probe of this daemon was last acknowledged.
        self.last_answer_at: datetime.datetime | None = None

    @property
    def own(self) -> messages.Daemon:
        """The record of this daemon."""
        return self._own

    @property
    def others(self) -> collections.abc.Iterable[KnownDaemon]:
        """All other known daemons, dead ones included."""
        return self._entries.values()

    def get(self, daemon_id: str) -> KnownDaemon | None:
        """Return the entry of another daemon, or None."""
        return self._entries.get(daemon_id)

    def set_own(
        self, *, state: messages.DaemonState, refutation: int
    ) -> messages.Daemon:
        """Change and return the record of this daemon."""
        self._own = msgspec.structs.replace(
            self._own, state=state, refutation=refutation
        )
        self.index_own()
        return self._own

    def refute(self, daemon: messages.Daemon) -> bool:
        """Refute a record that reports a failure of this daemon.

        Returns whether it was refuted. Records of other incarnations and
        outdated records are ignored.
        """
        own = self._own
        if daemon.incarnation != own.incarnation:
            return False
        if daemon_version(daemon) <= daemon_version(own):
            return False
        self.set_own(state=own.state, refutation=daemon.refutation + 1)
        return True

    def index_own(self) -> None:
        """Store this daemon's record in the index."""
        self._index.put(
            records.Kind.DAEMON,
            self._own.daemon_id,
            daemon_version(self._own),
            live=True,
        )
        self.generation += 1

    def apply(self, daemon: messages.Daemon, now: datetime.datetime) -> bool:
        """Apply a record of another daemon; return whether it was newer."""
        known = self._entries.get(daemon.daemon_id)
        dead = daemon.state is messages.DaemonState.DEAD
        if known is None:
            if dead:
                return False
            self._add(daemon, now)
            return True
        if daemon_version(known.daemon) >= daemon_version(daemon):
            return False
        self._replace(known, daemon, now)
        return True

    def expire_dead(self, now: datetime.datetime) -> None:
        """Drop the records of daemons that died long ago."""
        for known in list(self._entries.values()):
            if (
                not known.reachable
                and now - known.changed_at > TOMBSTONE_RETENTION
            ):
                del self._entries[known.daemon.daemon_id]
                self._index.remove(records.Kind.DAEMON, known.daemon.daemon_id)

    def live_routers(self, zone: str) -> tuple[str, ...]:
        """Return the ids of a zone's live routers, sorted."""
        return self._routers_by_zone().get(zone, ())

    def owner_candidates(self, zone: str) -> tuple[str, ...]:
        """Return the daemons that may own a zone's upstreams.

        These are the live routers of the zone, or of the whole region if the
        zone has none.
        """
        routers = self.live_routers(zone)
        if routers:
            return routers
        return tuple(
            daemon_id
            for daemon_ids in self._routers_by_zone().values()
            for daemon_id in daemon_ids
        )

    def zone_view(self) -> int:
        """Return a digest of the live routers of this daemon's zone."""
        if self._zone_view_generation != self.generation:
            self._zone_view = ranking.digest(
                f"{daemon_id}:{self.incarnation(daemon_id)}"
                for daemon_id in self.live_routers(self._own.zone)
            )
            self._zone_view_generation = self.generation
        return self._zone_view

    def incarnation(self, daemon_id: str) -> int:
        """Return a daemon's incarnation, 0 if it is not known."""
        if daemon_id == self._own.daemon_id:
            return self._own.incarnation
        known = self._entries.get(daemon_id)
        return known.daemon.incarnation if known else 0

    def address(self, daemon_id: str) -> str:
        """Return the address of a daemon, "" if it is not reachable."""
        if daemon_id == self._own.daemon_id:
            return self._own.address
        known = self._entries.get(daemon_id)
        return known.daemon.address if known and known.reachable else ""

    def peers(self) -> tuple[KnownDaemon, ...]:
        """Return the other reachable daemons of the region."""
        if self._peers_generation != self.generation:
            self._peers = tuple(
                known
                for known in self._entries.values()
                if known.reachable and known.daemon.region == self._own.region
            )
            self._peers_generation = self.generation
        return self._peers

    def ring(self, span: tuple[int, int]) -> list[KnownDaemon]:
        """Return the reachable peers in a span of the ring, in ring order."""
        if self._ring_generation != self.generation:
            self._ring = sorted(
                self.peers(), key=lambda known: known.ring_position
            )
            self._ring_generation = self.generation
        low, high = span
        return [
            known for known in self._ring if low <= known.ring_position < high
        ]

    def recently_dead(
        self, span: tuple[int, int], now: datetime.datetime
    ) -> list[KnownDaemon]:
        """Return the peers in a span that died within ``RESTART_PERIOD``."""
        low, high = span
        return [
            known
            for known in self._entries.values()
            if not known.reachable
            and known.daemon.region == self._own.region
            and low <= known.ring_position < high
            and now - known.changed_at <= RESTART_PERIOD
        ]

    def ring_members(self, span: tuple[int, int]) -> tuple[int, ...]:
        """Return the hashes of the daemons in a span, this one included."""
        low, high = span
        positions = [known.ring_position for known in self.ring(span)]
        own_position = _ring_position(self._own.daemon_id)
        if low <= own_position < high:
            positions.append(own_position)
        return tuple(position >> HASH_SHIFT for position in positions)

    def other_regions(self) -> list[list[KnownDaemon]]:
        """Return the reachable daemons of each other region."""
        regions: dict[str, list[KnownDaemon]] = {}
        for known in self._entries.values():
            region = known.daemon.region
            if known.reachable and region != self._own.region:
                regions.setdefault(region, []).append(known)
        return list(regions.values())

    def zone_reachable(self, zone: str) -> bool | None:
        """Return whether a zone has a reachable router; None if unknown."""
        if zone == self._own.zone:
            return True
        routers = [
            known
            for known in self._entries.values()
            if known.daemon.zone == zone and ROUTER in known.daemon.roles
        ]
        if not routers:
            return None
        return any(known.reachable for known in routers)

    def _add(self, daemon: messages.Daemon, now: datetime.datetime) -> None:
        self._entries[daemon.daemon_id] = KnownDaemon(
            daemon=daemon,
            changed_at=now,
            live_since=now,
            last_seen_at=now,
            ring_position=_ring_position(daemon.daemon_id),
        )
        self._update_index(daemon)
        self.generation += 1

    def _replace(
        self,
        known: KnownDaemon,
        daemon: messages.Daemon,
        now: datetime.datetime,
    ) -> None:
        before = known.daemon
        known.daemon = daemon
        known.changed_at = now
        known.final_probe_sent = False
        restarted = daemon.incarnation > before.incarnation
        returned = before.state is messages.DaemonState.DEAD
        if restarted:
            known.acknowledges = False
        if restarted or returned:
            known.live_since = now
            known.last_seen_at = now
        self._update_index(daemon)
        if restarted or _liveness(before) != _liveness(daemon):
            self.generation += 1

    def _update_index(self, daemon: messages.Daemon) -> None:
        self._index.put(
            records.Kind.DAEMON,
            daemon.daemon_id,
            daemon_version(daemon),
            live=daemon.state is not messages.DaemonState.DEAD,
        )

    def _routers_by_zone(self) -> dict[str, tuple[str, ...]]:
        if self._zones_generation != self.generation:
            daemon_ids_by_zone: dict[str, list[str]] = {}
            for daemon in self._all_daemons():
                if (
                    _is_live_router(daemon)
                    and daemon.region == self._own.region
                ):
                    daemon_ids_by_zone.setdefault(daemon.zone, []).append(
                        daemon.daemon_id
                    )
            self._by_zone = {
                zone: tuple(sorted(daemon_ids))
                for zone, daemon_ids in daemon_ids_by_zone.items()
            }
            self._zones_generation = self.generation
        return self._by_zone

    def _all_daemons(self) -> collections.abc.Iterator[messages.Daemon]:
        yield self._own
        for known in self._entries.values():
            yield known.daemon


def _ring_position(daemon_id: str) -> int:
    """Return the position of a daemon in the ring, below ``RING_END``."""
    return ranking.digest((daemon_id,)) >> 1


def _is_live_router(daemon: messages.Daemon) -> bool:
    live = daemon.state in (
        messages.DaemonState.ALIVE,
        messages.DaemonState.SUSPECT,
    )
    return live and ROUTER in daemon.roles


def _liveness(daemon: messages.Daemon) -> tuple[bool, bool]:
    dead = daemon.state is messages.DaemonState.DEAD
    return _is_live_router(daemon), dead
