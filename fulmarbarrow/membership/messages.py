"""Messages about daemons and upstreams that are alive."""

from __future__ import annotations

import datetime
import enum

import msgspec

from fulmarbarrow import message


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
    being named by the upstream, two daemons never both own it.
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


class Daemon(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One incarnation of a daemon as the others know it."""

    daemon_id: str
    incarnation: int
    zone: str
    region: str
    address: str
    roles: tuple[str, ...]
    state: DaemonState = DaemonState.ALIVE
    revision: int = 0


# Events and effects within a daemon.


class Announced(message.Message, frozen=True, kw_only=True):
    """An upstream announced itself or renewed its lease here over HTTP."""

    upstream: Upstream
    load: Load


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


class LeaveStarted(message.Message, frozen=True, kw_only=True):
    """This daemon began its graceful shutdown."""


# Messages between daemons.


class Gossip(message.Message, frozen=True, kw_only=True):
    """News of daemons and upstreams, changes of state first."""

    sender: Daemon
    upstreams: tuple[Upstream, ...] = ()
    daemons: tuple[Daemon, ...] = ()
    gone: tuple[tuple[str, int], ...] = ()
    loads: tuple[tuple[str, int, Load], ...] = ()
    reply_wanted: bool = False


PEER_MESSAGES = (Gossip,)
