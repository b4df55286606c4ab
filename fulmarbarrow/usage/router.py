"""Counts the requests of each client account on a router."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import typing

from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.usage import fleet_time
from fulmarbarrow.usage import limits
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing

# A killed router loses what it counted since its last message. With a tick
# of 250 ms this keeps the loss within a second.
SEND_INTERVAL = datetime.timedelta(milliseconds=750)
# Final counts are repeated until the collector has confirmed them.
REPEAT_INTERVAL = datetime.timedelta(seconds=1)
MAX_UNPLACED = 50_000  # requests before the time of the fleet is known
CONTROL_ROLE = "control"


@dataclasses.dataclass(kw_only=True)
class _Window:
    """Counts of one window; ``changed`` are accounts not sent yet."""

    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    changed: set[str] = dataclasses.field(default_factory=set)
    final_sent_at: datetime.datetime | None = None
    confirmed: bool = False

    def forget_sending(self) -> None:
        """Send everything again."""
        self.changed = set(self.counts)
        self.final_sent_at = None
        self.confirmed = False


class UsageRouter:
    """Counts by window and account and sends the counts to the collector.

    Numbers are absolute, so that a repeated or reordered message changes
    nothing at the collector. Counts are kept until the totals of their
    window are committed or too old, and sent again to each new collector.
    """

    handles = (
        delivery_messages.RequestBegan,
        duties_messages.HolderAnnounced,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.LeaveStarted,
        messages.ClockTold,
        messages.CountsTaken,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
        window: datetime.timedelta,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._window = window
        self._time = fleet_time.FleetTime()
        self._control_hosts: set[str] = set()
        self._unplaced: list[tuple[datetime.datetime, str]] = []
        self._windows: dict[int, _Window] = {}
        self._next_window: int | None = None
        self._collector: duties_messages.HolderAnnounced | None = None
        self._next_send_at: datetime.datetime | None = None
        self._leaving = False

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case delivery_messages.RequestBegan():
                self._count(event.account, now)
            case message.Tick():
                return self._on_tick(now)
            case messages.ClockTold():
                self._time.add(event, now)
            case messages.CountsTaken():
                self._on_taken(event)
            case duties_messages.HolderAnnounced(
                duty=duties_messages.Duty.USAGE
            ):
                self._on_announced(event)
            case membership_messages.DaemonChanged():
                if CONTROL_ROLE in event.daemon.roles:
                    self._control_hosts.add(event.daemon.daemon_id)
            case membership_messages.DaemonGone():
                self._control_hosts.discard(event.daemon_id)
            case membership_messages.LeaveStarted():
                self._leaving = True
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the windows that are kept as plain data."""
        collector = self._collector
        return {
            "collector": collector.holder if collector else "",
            "number": collector.number if collector else 0,
            "clock": self._time.dump(),
            "unplaced": len(self._unplaced),
            "windows": {
                number: {
                    "requests": window.counts.total(),
                    "accounts": len(window.counts),
                    "unsent": len(window.changed),
                    "confirmed": window.confirmed,
                }
                for number, window in self._windows.items()
            },
        }

    def _count(self, account: str, now: datetime.datetime) -> None:
        if self._next_window is not None:
            self._place(account, now)
        elif len(self._unplaced) < MAX_UNPLACED:
            self._unplaced.append((now, account))
        else:
            self._metrics.count("usage_uncounted", reason="no_clock")

    def _place(self, account: str, at: datetime.datetime) -> None:
        """Count a request in the window of the time at which it began."""
        number = fleet_time.window_at(self._time.at(at), self._window)
        window = self._windows.setdefault(number, _Window())
        if account not in window.counts and (
            len(window.counts) >= limits.MAX_ACCOUNTS
        ):
            self._metrics.count("usage_uncounted", reason="too_many_accounts")
            return
        window.counts[account] += 1
        window.changed.add(account)
        window.confirmed = False
        window.final_sent_at = None

    def _on_announced(self, event: duties_messages.HolderAnnounced) -> None:
        """Send all counts again to a collector with a higher number."""
        known = self._collector
        if known is not None and event.number <= known.number:
            return
        self._collector = event
        self._next_send_at = None
        for window in self._windows.values():
            window.forget_sending()

    def _on_taken(self, event: messages.CountsTaken) -> None:
        collector = self._collector
        if event.router != self._daemon.daemon_id or (
            event.incarnation != self._daemon.incarnation
        ):
            return
        if collector is None or event.holder_number != collector.number:
            return
        for number in event.windows:
            window = self._windows.get(number)
            if window is not None and not window.changed:
                window.confirmed = True
        for number in [n for n in self._windows if n < event.settled_before]:
            del self._windows[number]

    def _on_tick(self, now: datetime.datetime) -> list[message.Message]:
        if not self._time.known(len(self._control_hosts), now):
            return []
        self._open_windows(now)
        collector = self._collector
        due = self._next_send_at is None or now >= self._next_send_at
        if collector is None or not (due or self._leaving):
            return []
        entries = self._entries(now)
        if not entries:
            return []
        self._next_send_at = now + SEND_INTERVAL
        counts = messages.UsageCounts(
            router=self._daemon.daemon_id,
            incarnation=self._daemon.incarnation,
            reply_to=self._daemon.address,
            holder_number=collector.number,
            packed=packing.pack(entries),
        )
        if collector.address == self._daemon.address:
            return [counts]
        return [message.Send(address=collector.address, message=counts)]

    def _open_windows(self, now: datetime.datetime) -> None:
        """Open the windows up to now, also those without requests."""
        current = fleet_time.window_at(self._time.at(now), self._window)
        if self._next_window is None:
            self._next_window = current
            unplaced, self._unplaced = self._unplaced, []
            for at, account in unplaced:
                self._place(account, at)
        oldest = current - limits.kept_windows(self._window)
        for number in range(max(self._next_window, oldest), current + 1):
            self._windows.setdefault(number, _Window())
        self._next_window = max(self._next_window, current + 1)
        for number in [n for n in self._windows if n < oldest]:
            if not self._windows[number].confirmed:
                self._metrics.count("usage_windows_expired")
            del self._windows[number]

    def _entries(self, now: datetime.datetime) -> list[messages.WindowCounts]:
        """Return the changes, and all counts of windows that have ended."""
        at = self._time.at(now)
        entries = []
        for number in sorted(self._windows):
            window = self._windows[number]
            final = at >= fleet_time.end_of(number, self._window)
            if final and not self._final_due(window, now):
                continue
            if not final and not window.changed:
                continue
            accounts = sorted(window.counts if final else window.changed)
            window.changed.clear()
            if final:
                window.final_sent_at = now
            entries.append(
                messages.WindowCounts(
                    window=number,
                    final=final,
                    counts=tuple(
                        (account, window.counts[account])
                        for account in accounts
                    ),
                )
            )
        return entries

    @staticmethod
    def _final_due(window: _Window, now: datetime.datetime) -> bool:
        if window.confirmed:
            return False
        sent_at = window.final_sent_at
        return sent_at is None or now - sent_at >= REPEAT_INTERVAL
