"""Messages about the number of upstreams of a service."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow import message

MACHINE = "scaling"  # name of the state machine on the replicated log
SEPARATOR = "/"


def subject(service: str, zone: str) -> str:
    """Return the subject of the scaling duty for a service in a zone."""
    return f"{service}{SEPARATOR}{zone}"


class OrderUpstreams(message.Message, frozen=True, kw_only=True):
    """Effect: order a number of upstreams from the platform.

    No byte may be sent at or after ``valid_until``.
    """

    call_id: str
    holder: str
    number: int
    service: str
    zone: str
    wanted: int
    valid_until: datetime.datetime


class RolloutChanged(message.Message, frozen=True, kw_only=True):
    """A rollout of a service began or ended.

    While it is in progress, the number of upstreams is not lowered.
    """

    service: str
    in_progress: bool


class OrderDecided(message.Message, frozen=True, kw_only=True):
    """Replicated command: a number of upstreams that is to be ordered.

    ``number`` is the fencing number of the holder that decided it; commands
    with a lower number than the stored one are ignored. ``raised_at`` is the
    time of the last increase.
    """

    subject: str
    number: int
    wanted: int
    at: datetime.datetime
    raised_at: datetime.datetime | None = None


class OrderSettled(message.Message, frozen=True, kw_only=True):
    """Replicated command: the platform has accepted the order at ``index``.

    No earlier call can be carried out after it.
    """

    subject: str
    index: int


# Messages between daemons.


class ServiceWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Offered work of a service at one router.

    ``arrived``, ``refused`` for lack of capacity and ``served`` are numbers
    of requests within the span of the report. ``busy_ms`` is the time that
    the served ones took at upstreams. ``running`` and ``waiting`` are the
    numbers of requests at its end.
    """

    service: str
    arrived: int
    running: int = 0
    waiting: int = 0
    refused: int = 0
    served: int = 0
    busy_ms: int = 0


class OfferedWork(message.Message, frozen=True, kw_only=True):
    """A router's offered work within ``span_ms``.

    It holds until the next report, for at most ``valid_ms``. Services without
    work are left out.
    """

    daemon_id: str
    incarnation: int
    sequence: int
    span_ms: int
    valid_ms: int
    services: tuple[ServiceWork, ...]


PEER_MESSAGES: tuple[type[message.Message], ...] = (OfferedWork,)
