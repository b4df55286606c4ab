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
    """Absolute counts of one window at one router.

    If ``final`` is set, ``counts`` has all accounts of the window, which has
    ended; otherwise those that changed since the last message.
    """

    window: int
    final: bool
    counts: Counts


# Commands of the state machine.


class WindowTotals(message.Message, frozen=True, kw_only=True):
    """The totals of a window; the first that are committed are final.

    ``packed`` are the pairs of account and number, encoded by ``packing``.
    """

    window: int
    packed: bytes


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
    """A router sends its counts to the collector with ``holder_number``.

    ``packed`` are ``WindowCounts``, encoded by ``packing``.
    """

    router: str
    incarnation: int
    reply_to: str
    holder_number: int
    packed: bytes


class CountsTaken(message.Message, frozen=True, kw_only=True):
    """The collector has the final counts of ``windows`` of a router.

    Windows before ``settled_before`` are committed or too old to be reported,
    so that their counts need not be kept.
    """

    router: str
    incarnation: int
    holder_number: int
    windows: tuple[int, ...]
    settled_before: int


PEER_MESSAGES: tuple[type[message.Message], ...] = (
    ClockTold,
    UsageCounts,
    CountsTaken,
)
