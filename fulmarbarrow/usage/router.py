"""Counts the requests of each client account on a router."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.usage import fleet_time
from fulmarbarrow.usage import grouping
from fulmarbarrow.usage import ledger as ledgers
from fulmarbarrow.usage import limits
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing

# A killed router loses what it counted since its last message. With a tick
# of 250 ms this keeps the loss within a second.
SEND_INTERVAL = datetime.timedelta(milliseconds=750)
# Whole counts are repeated until the collector has confirmed them, at first
# after a second, then after twice as long each time, so that a collector that
# does not answer is not flooded with the windows of a minute.
REPEAT_INTERVAL = datetime.timedelta(seconds=1)
MAX_DOUBLINGS = 3
# After the end of a window: a forwarding router waits for the final counts of
# its group, which come with their next tick. If the collector does not
# confirm its counts in time, a router sends them itself. Both are well before
# the collector closes the window, 4 s after its end.
GROUP_WAIT = datetime.timedelta(milliseconds=600)
DIRECT_AFTER = datetime.timedelta(milliseconds=2200)
MAX_UNPLACED = 50_000  # requests before the time of the fleet is known
MAX_UNANSWERED = 16  # messages to the collector
CONTROL_ROLE = "control"

_Versions = dict[int, int | None]  # of each window


class UsageRouter:
    """Counts by window and account and sends the counts to the collector.

    Numbers are absolute and only grow, so that a repeated or reordered
    message changes nothing at the collector. Counts are kept until the totals
    of their window are committed or too old, and sent again to each new
    collector. In a large fleet a router sends its counts to another one,
    which forwards those of its group once a window.
    """

    handles = (
        delivery_messages.RequestBegan,
        duties_messages.DutyHeld,
        duties_messages.HolderAnnounced,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.LeaveStarted,
        publishing_messages.ConfigurationChanged,
        messages.ClockTold,
        messages.CountsTaken,
        messages.UsageCounts,
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
        self._me = (daemon.daemon_id, daemon.incarnation)
        self._metrics = metrics
        self._window = window
        self._time = fleet_time.FleetTime()
        self._daemons = {daemon.daemon_id: daemon}
        self._forwarder: membership_messages.Daemon | None = None
        self._members_changed = True
        self._names = packing.Names()
        self._names_refused: int | None = None
        self._unplaced: list[tuple[datetime.datetime, str]] = []
        self._ledger = ledgers.Ledger(own=self._me)
        self._group: dict[ledgers.Source, str] = {}
        self._next_window: int | None = None
        self._collector: duties_messages.HolderAnnounced | None = None
        self._next_send_at: datetime.datetime | None = None
        self._leaving = False
        self._sequence = daemon.incarnation
        self._unanswered: dict[int, dict[ledgers.Source, _Versions]] = {}

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
            case messages.UsageCounts(forward=True):
                self._on_copies(event, now)
            case messages.CountsTaken():
                return self._on_taken(event, now)
            case duties_messages.HolderAnnounced(
                duty=duties_messages.Duty.USAGE
            ):
                self._on_announced(event)
            case duties_messages.DutyHeld(duty=duties_messages.Duty.USAGE):
                # This host is a control host as well.
                announced = duties_messages.HolderAnnounced(
                    duty=event.duty,
                    holder=self._daemon.daemon_id,
                    address=self._daemon.address,
                    number=event.number,
                )
                self._on_announced(announced)
            case publishing_messages.ConfigurationChanged():
                self._names = packing.Names(
                    names=(account.name for account in event.bundle.account)
                )
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
                self._members_changed = True
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
                self._members_changed = True
            case membership_messages.LeaveStarted():
                self._leaving = True
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the windows that are kept as plain data."""
        collector = self._collector
        return {
            "collector": collector.holder if collector else "",
            "number": collector.number if collector else 0,
            "forwarder": self._forwarder.daemon_id if self._forwarder else "",
            "clock": self._time.dump(),
            "unplaced": len(self._unplaced),
            "routers": {
                router: {
                    number: {
                        "requests": sum(window.counts.values()),
                        "unsent": len(window.changed),
                        "final": window.final,
                        "confirmed": window.confirmed,
                    }
                    for number, window in windows.items()
                }
                for (router, _), windows in self._ledger.sources.items()
            },
        }

    # Counting.

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
        window = self._ledger.window(self._me, number)
        if window is None or not window.set(
            account, window.counts.get(account, 0) + 1
        ):
            self._metrics.count("usage_uncounted", reason="too_many")

    def _open_windows(self, now: datetime.datetime) -> None:
        """Open the windows up to now, also those without requests."""
        at = self._time.at(now)
        current = fleet_time.window_at(at, self._window)
        if self._next_window is None:
            self._next_window = current
            unplaced, self._unplaced = self._unplaced, []
            for began_at, account in unplaced:
                self._place(account, began_at)
        oldest = current - limits.kept_windows(self._window)
        for number in range(max(self._next_window, oldest), current + 1):
            self._ledger.window(self._me, number)
        self._next_window = max(self._next_window, current + 1)
        lost = self._ledger.drop_before(oldest)
        if lost:
            self._metrics.count("usage_windows_expired", lost)
        for number, window in self._ledger.sources[self._me].items():
            if not window.final and number < current:
                window.final = True
                window.touch()

    # The group.

    def _choose_forwarder(self) -> None:
        """Choose who forwards; a new one gets all counts again."""
        if not self._members_changed:
            return
        self._members_changed = False
        chosen = grouping.forwarder(self._daemon, self._daemons.values())
        known = self._forwarder
        self._forwarder = chosen
        if chosen is None or (
            known is not None
            and (known.daemon_id, known.incarnation)
            == (chosen.daemon_id, chosen.incarnation)
        ):
            return
        for window in self._ledger.sources.get(self._me, {}).values():
            window.changed = set(window.counts)

    def _on_copies(
        self, event: messages.UsageCounts, now: datetime.datetime
    ) -> None:
        """Keep the counts of a router of the group."""
        if event.names != self._names.digest or self._next_window is None:
            return  # it will send them to the collector itself
        current = fleet_time.window_at(self._time.at(now), self._window)
        oldest = current - limits.kept_windows(self._window)
        try:
            routers = packing.unpack_routers(event.routers)
        except ValueError:
            self._metrics.count("usage_counts_dropped")
            return
        for item in routers:
            source = (item.router, item.incarnation)
            if source == self._me:
                continue
            for entry in item.windows:
                if not oldest <= entry.window <= current + 1:
                    continue
                self._keep(source, entry)
            if source in self._ledger.sources:
                self._group[source] = event.reply_to

    def _keep(
        self, source: ledgers.Source, entry: messages.WindowCounts
    ) -> None:
        try:
            counts = self._names.decode(entry.packed, entry.others)
        except ValueError:
            self._metrics.count("usage_counts_dropped")
            return
        window = self._ledger.window(source, entry.window)
        if window is None:
            return
        for account, number in counts.items():
            window.set(account, number)
        if entry.final and not window.final:
            window.final = True
            window.touch()

    # The collector.

    def _on_announced(self, event: duties_messages.HolderAnnounced) -> None:
        """Send all counts again to a collector with a higher number."""
        known = self._collector
        if known is not None and event.number <= known.number:
            return
        self._collector = event
        self._next_send_at = None
        self._names_refused = None
        self._unanswered.clear()
        self._ledger.resend()

    def _on_taken(
        self, event: messages.CountsTaken, now: datetime.datetime
    ) -> list[message.Message]:
        """Record what the collector has; tell the routers of the group."""
        collector = self._collector
        if collector is None or event.holder_number != collector.number:
            return []
        if event.names_unknown is not None:
            self._names_refused = event.names_unknown
            self._ledger.resend()
        effects: list[message.Message] = []
        taken: dict[ledgers.Source, _Versions] = {}
        if event.sequence and event.names_unknown is None:
            taken = self._unanswered.pop(event.sequence, {})
        elif event.incarnation in (0, self._daemon.incarnation):
            taken[self._me] = dict.fromkeys(event.windows)
        for source, versions in taken.items():
            final = tuple(
                number
                for number, version in versions.items()
                if self._ledger.confirm(source, number, version)
            )
            if final and source in self._group:
                told = messages.CountsTaken(
                    holder_number=event.holder_number,
                    sequence=0,
                    settled_before=event.settled_before,
                    windows=final,
                    incarnation=source[1],
                )
                address = self._group[source]
                effects.append(message.Send(address=address, message=told))
        if self._next_window is not None:
            # No window can be committed before it has ended.
            current = fleet_time.window_at(self._time.at(now), self._window)
            self._ledger.drop_before(min(event.settled_before, current))
        for source in [
            s for s in self._group if s not in self._ledger.sources
        ]:
            del self._group[source]
        return effects

    def _on_tick(self, now: datetime.datetime) -> list[message.Message]:
        control_hosts = sum(
            CONTROL_ROLE in daemon.roles for daemon in self._daemons.values()
        )
        if not self._time.known(control_hosts, now):
            return []
        self._open_windows(now)
        self._choose_forwarder()
        due = self._next_send_at is None or now >= self._next_send_at
        if not (due or self._leaving):
            return []
        at = self._time.at(now)
        effects = []
        if self._collector is not None:
            effects.extend(self._send(self._for_collector(at, now), False))
        if self._forwarder is not None:
            effects.extend(self._send(self._for_forwarder(), True))
        if effects:
            self._next_send_at = now + SEND_INTERVAL
        return effects

    def _for_collector(
        self, at: datetime.datetime, now: datetime.datetime
    ) -> list[messages.RouterCounts]:
        """Return whole counts of ended windows, and changes of the others.

        The changes are left out where another router has a copy of them.
        """
        found = []
        for source, windows in self._ledger.sources.items():
            mine = source == self._me
            entries = []
            for number in sorted(windows):
                window = windows[number]
                ended = at - fleet_time.end_of(number, self._window)
                if ended < datetime.timedelta(0):
                    if mine and window.changed and self._forwarder is None:
                        entries.append(self._entry(number, window, False))
                elif self._whole_due(window, mine, ended, now):
                    window.sent_at = now
                    window.sendings += 1
                    entries.append(self._entry(number, window, True))
            if entries:
                found.append(
                    messages.RouterCounts(
                        router=source[0],
                        incarnation=source[1],
                        windows=tuple(entries),
                    )
                )
        return found

    def _whole_due(
        self,
        window: ledgers.Window,
        mine: bool,
        ended: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Whether whole counts have to be sent to the collector."""
        if window.confirmed:
            return False
        if window.sent_at and window.sendings:
            doublings = min(window.sendings - 1, MAX_DOUBLINGS)
            if now - window.sent_at < REPEAT_INTERVAL * 2**doublings:
                return False
        if mine and self._forwarder is not None:
            return ended >= DIRECT_AFTER
        if self._group:
            return ended >= GROUP_WAIT
        return True

    def _for_forwarder(self) -> list[messages.RouterCounts]:
        """Return the changes, and whole counts of windows that have ended."""
        entries = []
        for number, window in sorted(self._ledger.sources[self._me].items()):
            if window.final and window.sent_at is None:
                # Not repeated: the collector gets it directly if it is lost.
                window.sent_at = fleet_time.EPOCH
                entries.append(self._entry(number, window, True))
            elif window.changed and not window.final:
                entries.append(self._entry(number, window, False))
        if not entries:
            return []
        return [
            messages.RouterCounts(
                router=self._me[0],
                incarnation=self._me[1],
                windows=tuple(entries),
            )
        ]

    def _entry(
        self, number: int, window: ledgers.Window, whole: bool
    ) -> messages.WindowCounts:
        """Encode a window; nothing of it is left to be sent."""
        counts = window.counts
        if not whole:
            counts = {account: counts[account] for account in window.changed}
        window.changed = set()
        packed, others = self._names_used.encode(counts)
        return messages.WindowCounts(
            window=number,
            whole=whole,
            final=window.final,
            packed=packed,
            others=others,
        )

    @property
    def _names_used(self) -> packing.Names:
        """The names of the configuration, none if the collector lacks them."""
        if self._names_refused == self._names.digest:
            return packing.Names()
        return self._names

    def _send(
        self, routers: list[messages.RouterCounts], forward: bool
    ) -> list[message.Message]:
        if not routers:
            return []
        collector = self._collector
        self._sequence += 1
        counts = messages.UsageCounts(
            reply_to=self._daemon.address,
            sequence=self._sequence,
            holder_number=collector.number if collector else 0,
            names=self._names_used.digest,
            routers=packing.pack_routers(routers),
            forward=forward,
        )
        if not forward:
            self._remember(routers)
        address = self._forwarder.address if forward else collector.address
        if address == self._daemon.address:
            return [counts]
        return [message.Send(address=address, message=counts)]

    def _remember(self, routers: list[messages.RouterCounts]) -> None:
        """Remember what the next message to the collector has as a whole."""
        taken: dict[ledgers.Source, _Versions] = {}
        for item in routers:
            source = (item.router, item.incarnation)
            windows = self._ledger.sources[source]
            versions = {
                entry.window: windows[entry.window].version
                for entry in item.windows
                if entry.whole
            }
            if versions:
                taken[source] = versions
        self._unanswered[self._sequence] = taken
        if len(self._unanswered) > MAX_UNANSWERED:
            del self._unanswered[next(iter(self._unanswered))]
