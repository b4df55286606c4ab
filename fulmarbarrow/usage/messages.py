"""Messages about the use of the system by client account."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow import message

MACHINE = "usage"  # name of the state machine on the replicated log

Counts = tuple[tuple[str, int], ...]


class ReportUsage(message.Message, frozen=True, kw_only=True):
    """Effect: report the counts of a window to the platform.

    ``counts`` are pairs of a client account and the number of its requests
    that began to run in ``window``. No byte may be sent at or after
    ``valid_until``.
    """

    call_id: str
    holder: str
    number: int
    window: int
    counts: tuple[tuple[str, int], ...]
    valid_until: datetime.datetime


class WindowCounts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Absolute counts of one window at one router, encoded by ``packing``.

    ``whole`` is set if they have all accounts, not only those that changed;
    ``final`` if the router has counted all requests of the window.
    """

    window: int
    whole: bool
    final: bool
    packed: bytes
    others: Counts = ()


class RouterCounts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one incarnation of a router."""

    router: str
    incarnation: int
    windows: tuple[WindowCounts, ...]


# Commands of the state machine.


class NamesKept(message.Message, frozen=True, kw_only=True):
    """The names of accounts to which totals refer."""

    packed: bytes


class WindowTotals(message.Message, frozen=True, kw_only=True):
    """The totals of a window; the first that are committed are final.

    They are encoded with the committed names with the digest ``names``.
    """

    window: int
    names: int
    packed: bytes
    others: Counts = ()


class WindowsAccepted(message.Message, frozen=True, kw_only=True):
    """The platform has accepted the reports of these windows.

    Without windows it changes nothing: a new holder proposes it to know that
    it has applied all that was committed before.
    """

    windows: tuple[int, ...]


# Messages between daemons.


class ClockTold(message.Message, frozen=True, kw_only=True):
    """A control host tells the time of its own clock."""

    daemon_id: str
    incarnation: int
    at: datetime.datetime


class UsageCounts(message.Message, frozen=True, kw_only=True):
    """Counts for the collector with ``holder_number``, or a router's copy.

    With ``forward`` they are for a router that forwards the counts of
    several. ``names`` is the digest of the names with which they are encoded.
    ``routers`` are compressed ``RouterCounts``. ``sequence`` increases with
    each message of a sender, begins with its incarnation, so that no other
    incarnation uses it, and is repeated in the reply.
    """

    reply_to: str
    sequence: int
    holder_number: int
    names: int
    routers: bytes
    forward: bool = False


class CountsTaken(message.Message, frozen=True, kw_only=True):
    """The collector has all counts of the message with ``sequence``.

    A router that forwards counts tells each router of its group about its own
    ``windows`` with a sequence of 0 and the router's ``incarnation``. Windows
    before ``settled_before`` are committed or too old to be reported, so that
    their counts need not be kept. If ``names_unknown`` is set, the collector
    does not have the names of the message and could not read it.
    """

    holder_number: int
    sequence: int
    settled_before: int
    windows: tuple[int, ...] = ()
    names_unknown: int | None = None
    incarnation: int = 0


PEER_MESSAGES: tuple[type[message.Message], ...] = (
    ClockTold,
    UsageCounts,
    CountsTaken,
)
