"""Decides whether to connect to an upstream directly or by way of a peer."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import enum
import itertools
import logging
import random
import typing
import urllib.parse

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import messages

log = logging.getLogger(__name__)

# One connection that fails may be a lost packet, two in a row are the path.
FAILURES_TO_CUT = 2
SUCCESSES_TO_RETURN = 2
PROBE_INTERVAL = datetime.timedelta(seconds=1)
# For so long no peer is asked about an upstream that none could reach, and a
# peer that could not relay is asked last.
RETRY_INTERVAL = datetime.timedelta(seconds=1)
# For so long a peer that is cut off as well is asked last.
CUT_OFF_INTERVAL = datetime.timedelta(seconds=3)
MAX_PEERS_ASKED = 3
# So many paths cut and none that works: this host is cut off.
PATHS_TO_CUT_OFF = 2
ROUTER_ROLE = "router"
DEFAULT_PORT = 80

Place = tuple[str, int]


class Way(enum.Enum):
    """How to connect to an upstream."""

    DIRECT = "direct"
    BY_PEER = "by_peer"


@dataclasses.dataclass(kw_only=True)
class _Path:
    """What is known of this host's own path to one upstream."""

    failures: int = 0
    successes: int = 0
    cut: bool = False
    probed_at: datetime.datetime | None = None
    # No peer reached the upstream either.
    unreachable_until: datetime.datetime | None = None


class Paths:
    """This host's paths to upstreams, and the peers that may relay.

    That an upstream refuses connections does not tell whether it or the path
    is at fault. It is the path if a peer connects to the upstream at the same
    time; connections then go by way of peers until probes of the own path
    succeed again.
    """

    handles: tuple[type[message.Message], ...] = (
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        rng: random.Random,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._rng = rng
        self._metrics = metrics
        self._paths: dict[Place, _Path] = {}
        self._places: dict[str, Place] = {}
        self._place_counts: collections.Counter[Place] = collections.Counter()
        self._cut_off = False
        self._connected_at: datetime.datetime | None = None
        self._peers: dict[str, membership_messages.Daemon] = {}
        self._failed_peers: dict[str, datetime.datetime] = {}
        self._able_peers: dict[str, datetime.datetime] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Follow which peers and upstreams there are."""
        match event:
            case membership_messages.DaemonChanged():
                self._daemon_changed(event.daemon)
            case membership_messages.DaemonGone():
                self._remove_peer(event.daemon_id)
            case membership_messages.UpstreamChanged():
                self._upstream_changed(event.upstream)
            case membership_messages.UpstreamGone():
                self._remove(event.upstream_id)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the paths that are cut."""
        return {
            "cut_off": self._cut_off,
            "cut": sorted(
                f"{host}:{port}"
                for (host, port), path in self._paths.items()
                if path.cut
            ),
        }

    def suspects_itself(self, now: datetime.datetime) -> bool:
        """Return whether this host rather than an upstream may be at fault.

        Several upstreams fail and none was connected to meanwhile.
        """
        failing = sum(path.failures > 0 for path in self._paths.values())
        return failing >= PATHS_TO_CUT_OFF and not self._connects(now)

    def is_known(self, place: Place) -> bool:
        """Return whether an upstream is at an address."""
        return self._place_counts[place] > 0

    def way(self, place: Place) -> Way:
        """Return how to connect to an upstream."""
        path = self._paths.get(place)
        cut = self._cut_off or (path is not None and path.cut)
        return Way.BY_PEER if cut else Way.DIRECT

    def probe_due(self, place: Place, now: datetime.datetime) -> bool:
        """Return whether to try the own path, beside the peer's."""
        path = self._paths.setdefault(place, _Path())
        if path.probed_at and now - path.probed_at < PROBE_INTERVAL:
            return False
        path.probed_at = now
        return True

    def candidates(
        self, place: Place, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return the addresses of the peers to ask, in order.

        There are none while no peer reached the upstream; it then counts as
        failed, as without peers.

        While it is open whether the path or the upstream is at fault, a peer
        of another zone comes first, as peers of this zone may be cut off with
        this host. Once the path is cut, a peer of this zone does.
        """
        path = self._paths.get(place)
        if path and path.unreachable_until and now < path.unreachable_until:
            return ()
        peers = list(self._peers.values())
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: self._failed_lately(peer.address, now))
        if self.way(place) is Way.BY_PEER and self._zone_fails(now):
            return tuple(peer.address for peer in peers[:MAX_PEERS_ASKED])
        near = [peer for peer in peers if peer.zone == self._daemon.zone]
        far = [peer for peer in peers if peer.zone != self._daemon.zone]
        if self.way(place) is Way.DIRECT:
            near, far = far, near
        order = [
            peer
            for pair in itertools.zip_longest(near, far)
            for peer in pair
            if peer is not None
        ]
        return tuple(peer.address for peer in order[:MAX_PEERS_ASKED])

    def proves_fault(self, address: str, now: datetime.datetime) -> bool:
        """Return whether a peer's failed attempt proves an upstream's fault.

        It does not if the peer may be cut off with this host: if several
        upstreams fail here, or if the peer is of the same zone and there are
        others.
        """
        if self.suspects_itself(now):
            return False
        zone = self._daemon.zone
        near = {peer.address for peer in self._peers_of(zone)}
        return address not in near or len(near) == len(self._peers)

    def connected(self, place: Place, now: datetime.datetime) -> None:
        """Record that this host connected to an upstream itself."""
        self._connected_at = now
        self._cut_off = False
        path = self._paths.get(place)
        if path is None:
            return
        path.failures = 0
        path.successes += 1
        if path.cut and path.successes < SUCCESSES_TO_RETURN:
            return
        if path.cut:
            log.info("path to upstream is back", extra=_fields(place))
            self._metrics.count("paths_returned")
        del self._paths[place]

    def failed(self, place: Place) -> None:
        """Record that this host could not connect to an upstream itself."""
        path = self._paths.setdefault(place, _Path())
        path.successes = 0
        path.failures += 1

    def relayed(
        self, place: Place, address: str, now: datetime.datetime
    ) -> None:
        """Record that a peer connected to an upstream."""
        self._failed_peers.pop(address, None)
        self._able_peers[address] = now + CUT_OFF_INTERVAL
        path = self._paths.setdefault(place, _Path())
        path.unreachable_until = None
        if path.cut or path.failures < FAILURES_TO_CUT:
            return
        path.cut = True
        self._metrics.count("paths_cut")
        log.warning("path to upstream is cut", extra=_fields(place))
        cut = sum(path.cut for path in self._paths.values())
        if (
            cut >= PATHS_TO_CUT_OFF
            and not self._connects(now)
            and not self._cut_off
        ):
            self._cut_off = True
            log.warning("this host is cut off from upstreams")

    def refused(
        self,
        address: str,
        code: messages.RelayCode | None,
        now: datetime.datetime,
    ) -> None:
        """Record why a peer relays nothing; None if it did not answer."""
        interval = RETRY_INTERVAL
        if code is messages.RelayCode.CUT_OFF:
            interval = CUT_OFF_INTERVAL
        self._failed_peers[address] = now + interval
        self._able_peers.pop(address, None)
        reason = code.value if code is not None else "no_answer"
        self._metrics.count("relays_refused", reason=reason)

    def not_relayed(self, place: Place, now: datetime.datetime) -> None:
        """Record that none of the peers that were asked reached an upstream.

        It counts as failed for a while. A path that was cut before stays so
        until its probes succeed.
        """
        path = self._paths.setdefault(place, _Path())
        path.unreachable_until = now + RETRY_INTERVAL

    def _peers_of(
        self, zone: str
    ) -> collections.abc.Iterator[membership_messages.Daemon]:
        return (peer for peer in self._peers.values() if peer.zone == zone)

    def _failed_lately(self, address: str, now: datetime.datetime) -> bool:
        until = self._failed_peers.get(address)
        return until is not None and now < until

    def _zone_fails(self, now: datetime.datetime) -> bool:
        """Return whether most of the zone's peers asked lately can't relay.

        The others would have to relay for the whole zone.
        """
        failed = able = 0
        for peer in self._peers_of(self._daemon.zone):
            if self._failed_lately(peer.address, now):
                failed += 1
            elif now < self._able_peers.get(peer.address, now):
                able += 1
        return failed > able

    def _connects(self, now: datetime.datetime) -> bool:
        """Return whether a direct connection was made just now."""
        if self._connected_at is None:
            return False
        return now - self._connected_at < PROBE_INTERVAL

    def _upstream_changed(
        self, upstream: membership_messages.Upstream
    ) -> None:
        self._remove(upstream.upstream_id)
        url = urllib.parse.urlsplit(upstream.url)
        try:
            place = url.hostname or "", url.port or DEFAULT_PORT
        except ValueError as error:
            log.warning(
                "upstream has no usable address",
                extra={"upstream": upstream.upstream_id, "reason": str(error)},
            )
            return
        self._places[upstream.upstream_id] = place
        self._place_counts[place] += 1

    def _remove(self, upstream_id: str) -> None:
        place = self._places.pop(upstream_id, None)
        if place is None:
            return
        self._place_counts[place] -= 1
        if self._place_counts[place] <= 0:
            del self._place_counts[place]
            self._paths.pop(place, None)

    def _daemon_changed(self, daemon: membership_messages.Daemon) -> None:
        if daemon.daemon_id == self._daemon.daemon_id:
            return
        serves = (
            ROUTER_ROLE in daemon.roles
            and daemon.region == self._daemon.region
            and daemon.state is membership_messages.DaemonState.ALIVE
        )
        if serves:
            self._peers[daemon.daemon_id] = daemon
        else:
            self._remove_peer(daemon.daemon_id)

    def _remove_peer(self, daemon_id: str) -> None:
        peer = self._peers.pop(daemon_id, None)
        if peer is not None:
            self._failed_peers.pop(peer.address, None)
            self._able_peers.pop(peer.address, None)


def _fields(place: Place) -> dict[str, str]:
    return {"upstream_address": f"{place[0]}:{place[1]}"}
