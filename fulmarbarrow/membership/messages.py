"""Membership messages: daemon and upstream records, gossip and leases."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message
from fulmarbarrow.zones import messages as zones_messages


class UpstreamState(enum.StrEnum):
    """The lifecycle state that an upstream reports for itself."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class DaemonState(enum.StrEnum):
    """The state that the failure detector assigns to a daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Offer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A service that an upstream provides, with its model and version.

    ``model`` and ``version`` are empty for a plain service.
    """

    service: str
    model: str = ""
    version: str = ""


class Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load reported by an upstream, which may have changed since then."""

    running_tokens: int = 0
    queued_tokens: int = 0
    running_requests: int = 0
    queued_requests: int = 0
    measured_at: datetime.datetime | None = None


class Upstream(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The record of one upstream incarnation, replicated within its region.

    ``batch_tokens`` is the number of tokens in a full batch,
    ``tokens_per_second`` the throughput with a full batch. A higher
    ``incarnation`` replaces a lower one; within an incarnation a higher
    ``sequence`` replaces a lower one. ``owner`` is the daemon that keeps the
    upstream's reservations, ``owner_epoch`` increases with each new owner.
    The upstream itself names the owner, so two daemons never own it at the
    same time. Until ``cold_until`` the upstream takes only few requests.
    ``slots`` is the number of requests that it runs concurrently, 0 if not
    reported; its capacity is then derived from the token fields.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    zone: str
    url: str
    offers: tuple[Offer, ...]
    batch_tokens: int
    tokens_per_second: int
    state: UpstreamState
    started_at: datetime.datetime
    checks_fencing: bool = False
    weight: float = 1.0
    owner: str = ""
    owner_epoch: int = 0
    cold_until: datetime.datetime | None = None
    slots: int = 0


class Daemon(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The record of one daemon incarnation.

    ``incarnation`` changes with every start of the process; ``refutation``
    increases when the daemon refutes a suspicion against itself.
    """

    daemon_id: str
    incarnation: int
    zone: str
    region: str
    address: str
    roles: tuple[str, ...]
    state: DaemonState = DaemonState.ALIVE
    revision: int = 0
    refutation: int = 0


class UpstreamTombstone(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Tombstone of an upstream incarnation whose lease ended.

    It supersedes the records of the incarnation up to ``sequence``, or all of
    them if the upstream deregistered itself (``left``).
    """

    upstream_id: str
    incarnation: int
    sequence: int
    at: datetime.datetime
    left: bool = False


class UpstreamDelta(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A change of only the state or the owner of an upstream.

    It turns the record with sequence ``base`` into the one with ``sequence``.
    It is much smaller than the full record and so spreads faster within the
    byte rate.
    """

    upstream_id: str
    incarnation: int
    base: int
    sequence: int
    state: UpstreamState
    owner: str = ""
    owner_epoch: int = 0


class RecordVersion(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The key of a member and the version of its record.

    ``key`` is a hash of the member's kind and id.
    """

    key: int
    version: tuple[int, int, int]


# Events and effects within a daemon.


class Announced(message.Message, frozen=True, kw_only=True):
    """An upstream registered or renewed its lease at this daemon over HTTP.

    The reply repeats ``call``, which is above 0 where somebody waits for it.
    """

    upstream: Upstream
    load: Load
    call: int = 0


class Withdrawn(message.Message, frozen=True, kw_only=True):
    """An upstream leaves and told this daemon so without sending its record.

    ``incarnation`` is None if it is not known which one did. The reply repeats
    ``call``, which is above 0 where somebody waits for it.
    """

    upstream_id: str
    incarnation: int | None = None
    call: int = 0


class AnnounceAccepted(message.Message, frozen=True, kw_only=True):
    """An announcement was accepted; the lease has to be renewed in time.

    ``lease`` is the duration of the lease. ``owner`` and ``owner_epoch`` are
    to be included in the upstream's next announcements.
    """

    upstream_id: str
    incarnation: int
    lease: datetime.timedelta
    owner: str = ""
    owner_epoch: int = 0
    call: int = 0


class AnnounceDelayed(message.Message, frozen=True, kw_only=True):
    """The reply to a call follows once other daemons know of the leave."""

    upstream_id: str
    call: int


class AnnounceRefused(message.Message, frozen=True, kw_only=True):
    """An announcement was refused; ``code`` is the reason."""

    upstream_id: str
    incarnation: int
    code: str
    call: int = 0


class CacheEvents(message.Message, frozen=True, kw_only=True):
    """A batch of an engine's cache events.

    A gap in ``sequence`` means that a batch was lost. ``stored`` and
    ``evicted`` are chat ids.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class UpstreamChanged(message.Message, frozen=True, kw_only=True):
    """An upstream joined, changed its state or offers, or restarted."""

    upstream: Upstream


class UpstreamGone(message.Message, frozen=True, kw_only=True):
    """An upstream left, its lease ended, or its zone is unreachable."""

    upstream_id: str
    incarnation: int
    reason: str


class OwnerChanged(message.Message, frozen=True, kw_only=True):
    """Another daemon now keeps the reservations of an upstream.

    ``owner`` and ``address`` are empty while no owner is reachable. Each
    router then admits requests within a small share of the upstream's
    capacity of its own, see the ``placement`` package.
    """

    upstream_id: str
    incarnation: int
    owner: str
    address: str
    owner_epoch: int


class LoadReported(message.Message, frozen=True, kw_only=True):
    """This daemon received a load report from an upstream."""

    upstream_id: str
    incarnation: int
    load: Load


class DaemonChanged(message.Message, frozen=True, kw_only=True):
    """A daemon joined, or its state or revision changed."""

    daemon: Daemon


class DaemonGone(message.Message, frozen=True, kw_only=True):
    """A daemon left or was declared dead."""

    daemon_id: str
    incarnation: int


class UrgentChangeQueued(message.Message, frozen=True, kw_only=True):
    """This daemon queued an urgent change for other daemons.

    ``key`` names the member or zone, ``relayed`` whether the change came from
    another daemon. While ``available_bytes`` is negative, the byte limit is
    overdrawn; ``pending`` counts the changes that wait.
    """

    key: str
    relayed: bool
    available_bytes: int
    pending: int


class UrgentChangeSent(message.Message, frozen=True, kw_only=True):
    """This daemon sent an urgent change that it had queued before.

    ``receivers`` counts the daemons that it was sent to.
    """

    key: str
    relayed: bool
    waited: datetime.timedelta
    receivers: int
    available_bytes: int


class UrgentChangesDelayed(message.Message, frozen=True, kw_only=True):
    """Urgent changes wait for the byte limit of this daemon.

    ``sent_bytes`` holds the bytes sent by each type of message since the
    start of the process, ``oldest`` how long the first change has waited.
    """

    keys: tuple[str, ...]
    oldest: datetime.timedelta
    available_bytes: int
    sent_bytes: dict[str, int]


class SeedsChanged(message.Message, frozen=True, kw_only=True):
    """The seed addresses in the settings changed."""

    addresses: tuple[str, ...]


class LeaveStarted(message.Message, frozen=True, kw_only=True):
    """This daemon started its graceful shutdown."""


# Messages between daemons.


class Gossip(message.Message, frozen=True, kw_only=True):
    """Changed records of daemons, upstreams and availability zones.

    ``gone`` and ``changes`` hold tombstones and deltas of upstreams. The
    receiver forwards the changes that are new to it to the daemons in
    ``span``, a range of the ring of hashed daemon ids, or to none if that is
    None. ``syncs`` marks records sent by anti-entropy. A ``nonce`` marks
    urgent changes, which the receiver acknowledges to ``reply_to`` and
    forwards even if it knows them.
    """

    daemons: tuple[Daemon, ...] = ()
    gone: tuple[UpstreamTombstone, ...] = ()
    changes: tuple[UpstreamDelta, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    zones: tuple[zones_messages.ZoneNotice, ...] = ()
    syncs: bool = False
    span: tuple[int, int] | None = None
    reply_to: str = ""
    nonce: int = 0


class GossipAck(message.Message, frozen=True, kw_only=True):
    """Acknowledgement of urgent gossip by the daemon ``daemon_id``.

    ``members`` holds the hashed ids, cut to 32 bits, of the daemons that it
    knows in the span of the gossip, itself included.
    """

    daemon_id: str
    nonce: int
    members: tuple[int, ...] = ()


class PackedGossip(message.Message, frozen=True, kw_only=True):
    """Compressed ``Gossip``; see ``packing``."""

    data: bytes


class LeaseRenewal(message.Message, frozen=True, kw_only=True):
    """An announcement, forwarded to the daemon that holds the lease.

    ``upstream`` is set if the holder may not have the record; ``load`` is
    None in the reply to a lease query.
    """

    reply_to: str
    upstream_id: str
    incarnation: int
    sequence: int
    load: Load | None = None
    upstream: Upstream | None = None


class LeaseQuery(message.Message, frozen=True, kw_only=True, tag="LeaseDoubt"):
    """Asks the routers of a zone whether upstreams still announce to them.

    ``upstreams`` contains ids with the last known incarnation and sequence.
    """

    reply_to: str
    upstreams: tuple[tuple[str, int, int], ...]


class Probe(message.Message, frozen=True, kw_only=True):
    """Liveness probe; the acknowledgement repeats ``nonce``.

    ``digest`` covers all records of the sender, ``view`` the live routers of
    its zone.
    """

    daemon_id: str
    reply_to: str
    nonce: int
    digest: int
    view: int


class ProbeAck(message.Message, frozen=True, kw_only=True):
    """Acknowledgement of a probe by the daemon ``daemon_id``."""

    daemon_id: str
    reply_to: str
    incarnation: int
    nonce: int
    digest: int
    view: int


class ProbeRequest(message.Message, frozen=True, kw_only=True):
    """Asks the receiver to probe another daemon on behalf of the sender."""

    reply_to: str
    nonce: int
    address: str


class ZoneView(message.Message, frozen=True, kw_only=True):
    """Digest of the routers of its zone that a daemon considers live."""

    daemon_id: str
    view: int


class Join(message.Message, frozen=True, kw_only=True):
    """Introduces a daemon to one that may not know it.

    A ``lonely`` sender knows no other daemon of its region and asks for some
    of those that the receiver knows.
    """

    daemon: Daemon
    lonely: bool = False


class SyncDigest(message.Message, frozen=True, kw_only=True):
    """Digests of consecutive record buckets of the sender.

    ``answers`` is set if this replies to another ``SyncDigest``, to request
    the records that the sender lacks. A reply gets no further reply.
    """

    reply_to: str
    first: int
    digests: tuple[int, ...]
    answers: bool = False


class SyncListing(message.Message, frozen=True, kw_only=True):
    """The record versions in a bucket whose digests differ."""

    reply_to: str
    bucket: int
    entries: tuple[RecordVersion, ...]


class SyncWanted(message.Message, frozen=True, kw_only=True):
    """Requests the records with the given keys."""

    reply_to: str
    keys: tuple[int, ...]


PEER_MESSAGES = (
    Gossip,
    GossipAck,
    PackedGossip,
    LeaseRenewal,
    LeaseQuery,
    Probe,
    ProbeAck,
    ProbeRequest,
    ZoneView,
    Join,
    SyncDigest,
    SyncListing,
    SyncWanted,
)
