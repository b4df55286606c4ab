"""Messages about daemons and upstreams that are alive."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message
from fulmarbarrow.zones import messages as zones_messages


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class DaemonState(enum.StrEnum):
    """What is believed of a daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Offer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A service, with its model and version, that an upstream runs.

    ``model`` and ``version`` are empty for a plain service.
    """

    service: str
    model: str = ""
    version: str = ""


class Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Work that an upstream reports, in tokens; late by its nature."""

    running_tokens: int = 0
    queued_tokens: int = 0
    running_requests: int = 0
    queued_requests: int = 0
    measured_at: datetime.datetime | None = None


class Upstream(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One incarnation of an upstream as every router of its region knows it.

    ``batch_tokens`` is the work of one full batch; ``tokens_per_second`` the
    work it does with a full batch. A higher ``incarnation`` replaces a lower
    one; within an incarnation a higher ``sequence`` replaces a lower one.
    ``owner`` is the daemon that the upstream itself names as the keeper of
    its reservations, with an ``owner_epoch`` that grows with each new owner;
    being named by the upstream, two daemons never both own it. Until
    ``cold_until`` it bears few requests. ``slots`` is how many requests it
    runs at once, 0 if it does not tell; then the tokens say what it bears.
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
    """One incarnation of a daemon as the others know it.

    ``incarnation`` is new with every start of the process; ``refutation``
    grows when the daemon contradicts a suspicion against itself.
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


class Gone(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tombstone of an upstream's incarnation whose lease ended.

    It holds against every record of the incarnation up to ``sequence``, and
    against all of them if the upstream itself ``left``.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    at: datetime.datetime
    left: bool = False


class Change(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A change of an upstream's state or owner alone; small and thus quick.

    It leads from the record with the sequence ``base`` to ``sequence``.
    """

    upstream_id: str
    incarnation: int
    base: int
    sequence: int
    state: UpstreamState
    owner: str = ""
    owner_epoch: int = 0


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The key of a member and the version of its record, without the record.

    ``key`` is a hash of the member's kind and id.
    """

    key: int
    version: tuple[int, int, int]


# Events and effects within a daemon.


class Announced(message.Message, frozen=True, kw_only=True):
    """An upstream announced itself or renewed its lease here over HTTP."""

    upstream: Upstream
    load: Load


class Withdrawn(message.Message, frozen=True, kw_only=True):
    """An upstream said here, without its record, that it leaves."""

    upstream_id: str


class AnnounceAccepted(message.Message, frozen=True, kw_only=True):
    """The announcement holds; renew it before ``lease`` has passed.

    ``owner`` is the daemon that the upstream should name as its owner from
    its next announcement on, with ``owner_epoch``.
    """

    upstream_id: str
    incarnation: int
    lease: datetime.timedelta
    owner: str = ""
    owner_epoch: int = 0


class AnnounceRefused(message.Message, frozen=True, kw_only=True):
    """The announcement does not hold; ``code`` says why."""

    upstream_id: str
    incarnation: int
    code: str


class CacheEvents(message.Message, frozen=True, kw_only=True):
    """A batch of an engine's cache events; a gap in ``sequence`` shows loss.

    ``stored`` and ``evicted`` are chat ids, ``chats`` their number in cache.
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
    """An upstream's lease ended, or it left."""

    upstream_id: str
    incarnation: int
    reason: str


class OwnerChanged(message.Message, frozen=True, kw_only=True):
    """An upstream's reservations are kept by another daemon from now on.

    ``owner`` and ``address`` are empty while no owner can be reached; then
    each router follows the sliver rules.
    """

    upstream_id: str
    incarnation: int
    owner: str
    address: str
    owner_epoch: int


class LoadReported(message.Message, frozen=True, kw_only=True):
    """A load report of an upstream reached this daemon."""

    upstream_id: str
    incarnation: int
    load: Load


class DaemonChanged(message.Message, frozen=True, kw_only=True):
    """A daemon joined, or its state or revision changed."""

    daemon: Daemon


class DaemonGone(message.Message, frozen=True, kw_only=True):
    """A daemon is believed dead or has left."""

    daemon_id: str
    incarnation: int


class SeedsChanged(message.Message, frozen=True, kw_only=True):
    """The settings name other seeds from now on."""

    addresses: tuple[str, ...]


class LeaveStarted(message.Message, frozen=True, kw_only=True):
    """This daemon began its graceful shutdown."""


# Messages between daemons.


class Gossip(message.Message, frozen=True, kw_only=True):
    """News of daemons, upstreams and availability zones.

    The receiver passes its news on to the daemons of ``span``, a part of
    the ring of hashed daemon ids. With ``syncs`` it mends a difference
    between the two daemons.
    """

    daemons: tuple[Daemon, ...] = ()
    gone: tuple[Gone, ...] = ()
    changes: tuple[Change, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    zones: tuple[zones_messages.ZoneNotice, ...] = ()
    syncs: bool = False
    span: tuple[int, int] | None = None


class PackedGossip(message.Message, frozen=True, kw_only=True):
    """Gossip with many records, compressed; see ``packing``."""

    data: bytes


class LeaseRenewal(message.Message, frozen=True, kw_only=True):
    """An announcement, passed on to the daemon that holds the lease.

    ``upstream`` is set when the record itself is news to the holder;
    ``load`` is None in the answer to a doubt.
    """

    reply_to: str
    upstream_id: str
    incarnation: int
    sequence: int
    load: Load | None = None
    upstream: Upstream | None = None


class LeaseDoubt(message.Message, frozen=True, kw_only=True):
    """Asks the routers of a zone whether they still hear of upstreams.

    ``upstreams`` are ids with the last incarnation and sequence known.
    """

    reply_to: str
    upstreams: tuple[tuple[str, int, int], ...]


class Probe(message.Message, frozen=True, kw_only=True):
    """Asks a daemon for a sign of life; ``nonce`` returns in the answer.

    ``digest`` covers all records that the sender holds, ``view`` the live
    routers of its zone.
    """

    daemon_id: str
    reply_to: str
    nonce: int
    digest: int
    view: int


class ProbeAck(message.Message, frozen=True, kw_only=True):
    """The sign of life of the daemon ``daemon_id``."""

    daemon_id: str
    reply_to: str
    incarnation: int
    nonce: int
    digest: int
    view: int


class ProbeRequest(message.Message, frozen=True, kw_only=True):
    """Asks for a probe of another daemon on behalf of the sender."""

    reply_to: str
    nonce: int
    address: str


class ZoneView(message.Message, frozen=True, kw_only=True):
    """Digest of the live routers of its zone as a daemon sees them."""

    daemon_id: str
    view: int


class Join(message.Message, frozen=True, kw_only=True):
    """A daemon presents itself to one that may not know it.

    A ``lonely`` one asks for some of the daemons known there.
    """

    daemon: Daemon
    lonely: bool = False


class SyncDigest(message.Message, frozen=True, kw_only=True):
    """Digests of consecutive buckets of the sender's records.

    ``answers`` another one, for the records that the sender lacks.
    """

    reply_to: str
    first: int
    digests: tuple[int, ...]
    answers: bool = False


class SyncListing(message.Message, frozen=True, kw_only=True):
    """The entries of a bucket whose digests differ."""

    reply_to: str
    bucket: int
    entries: tuple[Entry, ...]


class SyncWanted(message.Message, frozen=True, kw_only=True):
    """Asks for the records behind these keys."""

    reply_to: str
    keys: tuple[int, ...]


PEER_MESSAGES = (
    Gossip,
    PackedGossip,
    LeaseRenewal,
    LeaseDoubt,
    Probe,
    ProbeAck,
    ProbeRequest,
    ZoneView,
    Join,
    SyncDigest,
    SyncListing,
    SyncWanted,
)
