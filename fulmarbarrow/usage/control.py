"""Collects counts, commits totals and reports them, on control hosts."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import logging
import typing

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.usage import collecting
from fulmarbarrow.usage import fleet_time
from fulmarbarrow.usage import limits
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing
from fulmarbarrow.usage import reporting
from fulmarbarrow.usage import state

log = logging.getLogger(__name__)

_COMMANDS = msgspec.msgpack.Decoder(state.Command)
# Names that routers may still use after a change of the configuration.
MAX_NAMES = 4
_USAGE = duties_messages.Duty.USAGE

# A window is closed this long after its end even if counts are missing.
CLOSE_WITHIN = datetime.timedelta(seconds=4)
# A new holder waits this long for routers that have not confirmed a window,
# as far as the report stays in time. Its announcement is repeated at the
# latest after 4.5 s, so that a router that missed one is heard before.
GAINED_WAIT = datetime.timedelta(milliseconds=5500)
# Counts of routers that heard the first announcement are there by then. A
# window for which this is too late is late in any case, so it waits longer.
LEAST_WAIT = datetime.timedelta(milliseconds=2500)
# Time for the commit and the call after a window is closed.
REPORT_TIME = datetime.timedelta(milliseconds=500)
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=6)
# Each control host tells its time to all daemons in this time: at 400 daemons
# and 130 bytes a message, 0.9 KB/s. Clocks of processes never step, so that
# an old message is as good as a new one but for the drift.
CLOCK_ROUND = datetime.timedelta(seconds=60)
# Daemons that have started and are told of the time at a tick.
MAX_NEW_PER_TICK = 20
TICK = datetime.timedelta(milliseconds=250)
MAX_UNTOLD = 4096
ROUTER_ROLE = "router"
CONTROL_ROLE = "control"


@dataclasses.dataclass(kw_only=True)
class _Tenure:
    """The time in which this host holds the duty with one number.

    ``caught_up`` is set once all that was committed before it is applied.
    """

    number: int
    until: datetime.datetime
    since: datetime.datetime
    collection: collecting.Collection = dataclasses.field(
        default_factory=collecting.Collection
    )
    caught_up: bool = False


class UsageControl:
    """The replicated totals of windows, and the collector's work.

    Every control host keeps the committed totals and tells its time. The
    holder of the duty collects counts and reports.
    """

    handles = (
        consensus_messages.Applied,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotRestored,
        consensus_messages.SnapshotWanted,
        duties_messages.CallEnded,
        duties_messages.DutyHeld,
        duties_messages.DutyLost,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        publishing_messages.ConfigurationChanged,
        messages.ClockTold,
        messages.UsageCounts,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
        metrics: metrics_module.Metrics,
        window: datetime.timedelta,
        report_within: datetime.timedelta,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._metrics = metrics
        self._window = window
        self._report_within = report_within
        self._windows = state.Windows()
        self._time = fleet_time.FleetTime()
        self._daemons: dict[str, membership_messages.Daemon] = {
            daemon.daemon_id: daemon
        }
        self._untold: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=MAX_UNTOLD
        )
        self._told: collections.deque[str] = collections.deque()
        self._told_share = 0.0
        self._tenure: _Tenure | None = None
        self._reporter = reporting.Reporter(
            daemon_id=daemon.daemon_id, incarnation=daemon.incarnation
        )
        self._tenures = 0  # in the fleet since a report was accepted
        self._proposals: dict[str, tuple[str, datetime.datetime]] = {}
        self._proposal_count = 0
        self._started = False
        self._unreadable = False
        none = packing.Names()
        self._names = none
        self._known_names = {none.digest: none}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case message.Tick():
                return self._on_tick(now)
            case messages.UsageCounts(forward=False):
                return self._on_counts(event, now)
            case messages.ClockTold():
                self._time.add(event, now)
            case duties_messages.DutyHeld(
                duty=duties_messages.Duty.USAGE, subject=""
            ):
                self._on_held(event, now)
            case duties_messages.DutyLost(
                duty=duties_messages.Duty.USAGE, subject=""
            ):
                self._on_lost(event)
            case publishing_messages.ConfigurationChanged():
                self._on_configuration(event)
            case duties_messages.CallEnded():
                return self._on_call_ended(event, now)
            case membership_messages.DaemonChanged():
                self._on_daemon(event.daemon)
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
            case _:
                return self._on_log_event(event)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the windows and the state of the collector."""
        tenure = self._tenure
        return {
            "number": tenure.number if tenure else 0,
            "until": tenure.until if tenure else None,
            "caught_up": bool(tenure and tenure.caught_up),
            "collected": tenure.collection.dump() if tenure else {},
            "clock": self._time.dump(),
            "proposals": len(self._proposals),
            "windows": {
                item.window: {
                    "bytes": len(item.totals.packed),
                    "accepted": item.accepted,
                }
                for item in self._windows
            },
        }

    # The replicated state.

    def _on_log_event(self, event: message.Message) -> list[message.Message]:
        match event:
            case consensus_messages.Applied(
                group=self._group, machine=messages.MACHINE
            ):
                command = _COMMANDS.decode(event.command)
                self._windows.apply(command)
                if isinstance(command, messages.WindowsAccepted):
                    # Each tenure begins with one without windows.
                    succeeded = bool(command.windows)
                    self._tenures = 0 if succeeded else self._tenures + 1
            case consensus_messages.SnapshotWanted(group=self._group):
                return [
                    consensus_messages.SnapshotTaken(
                        group=self._group,
                        index=event.index,
                        state=self._windows.snapshot(),
                        machine=messages.MACHINE,
                    )
                ]
            case consensus_messages.SnapshotRestored(
                group=self._group, machine=messages.MACHINE
            ):
                self._windows.restore(event.state)
            case consensus_messages.ProposeResult(group=self._group):
                self._on_proposal_ended(event)
        return []

    def _propose(
        self,
        key: str,
        command: state.Command,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Propose a command unless one with the same key is in progress."""
        if any(known == key for known, _ in self._proposals.values()):
            return []
        self._proposal_count += 1
        proposal_id = (
            f"usage/{self._daemon.daemon_id}/{self._daemon.incarnation}"
            f"/{self._proposal_count}"
        )
        self._proposals[proposal_id] = (key, now)
        return [
            consensus_messages.Propose(
                proposal_id=proposal_id,
                group=self._group,
                command=msgspec.msgpack.encode(command),
                machine=messages.MACHINE,
            )
        ]

    def _on_proposal_ended(
        self, event: consensus_messages.ProposeResult
    ) -> None:
        key, _ = self._proposals.pop(event.proposal_id, ("", None))
        tenure = self._tenure
        if (
            tenure is not None
            and event.committed
            and (key == f"tenure {tenure.number}")
        ):
            tenure.caught_up = True

    # The clock and the names.

    def _on_configuration(
        self, event: publishing_messages.ConfigurationChanged
    ) -> None:
        names = packing.Names(
            names=(account.name for account in event.bundle.account)
        )
        self._names = names
        self._known_names.pop(names.digest, None)
        self._known_names[names.digest] = names
        while len(self._known_names) > MAX_NAMES:
            del self._known_names[next(iter(self._known_names))]
        none = packing.Names()
        self._known_names[none.digest] = none

    def _on_daemon(self, daemon: membership_messages.Daemon) -> None:
        """Tell the time to a daemon that has started, several times."""
        known = self._daemons.get(daemon.daemon_id)
        self._daemons[daemon.daemon_id] = daemon
        if known is None or known.incarnation != daemon.incarnation:
            self._untold.append((daemon.daemon_id, fleet_time.SAMPLES))

    def _tell_time(self, now: datetime.datetime) -> list[message.Message]:
        """Tell the time to new daemons and to a share of the others."""
        told = messages.ClockTold(
            daemon_id=self._daemon.daemon_id,
            incarnation=self._daemon.incarnation,
            at=now,
        )
        if not self._told:
            self._told.extend(self._daemons)
        self._told_share += len(self._daemons) * (TICK / CLOCK_ROUND)
        chosen: list[str] = []
        for _ in range(min(len(self._untold), MAX_NEW_PER_TICK)):
            daemon_id, samples = self._untold.popleft()
            chosen.append(daemon_id)
            if samples > 1:
                self._untold.append((daemon_id, samples - 1))
        while self._told and self._told_share >= 1:
            self._told_share -= 1
            chosen.append(self._told.popleft())
        self._told_share = min(self._told_share, 1.0)
        addresses = {
            self._daemons[daemon_id].address
            for daemon_id in chosen
            if daemon_id in self._daemons
            and daemon_id != self._daemon.daemon_id
        }
        # The message to itself is for the cores of this host.
        return [
            told,
            *(
                message.Send(address=address, message=told)
                for address in sorted(addresses)
            ),
        ]

    def _knows_time(self, now: datetime.datetime) -> bool:
        control_hosts = sum(
            CONTROL_ROLE in daemon.roles for daemon in self._daemons.values()
        )
        return self._time.known(control_hosts, now)

    # The duty.

    def _on_held(
        self, event: duties_messages.DutyHeld, now: datetime.datetime
    ) -> None:
        tenure = self._tenure
        if tenure is not None and tenure.number == event.number:
            tenure.until = event.until
            return
        self._tenure = _Tenure(
            number=event.number,
            until=event.until,
            since=now,
        )
        self._reporter.begin(event.number)

    def _on_lost(self, event: duties_messages.DutyLost) -> None:
        if self._tenure is not None and self._tenure.number <= event.number:
            self._tenure = None
            self._reporter.end()

    def _on_call_ended(
        self, event: duties_messages.CallEnded, now: datetime.datetime
    ) -> list[message.Message]:
        effects = self._reporter.on_ended(event, self._tenures, now)
        return [*effects, *self._propose_accepted(now)]

    def _propose_accepted(
        self, now: datetime.datetime
    ) -> list[message.Message]:
        """Commit which windows were accepted, also after the tenure."""
        open_windows = {
            item.window for item in self._windows if not item.accepted
        }
        self._reporter.accepted &= open_windows
        if not self._reporter.accepted:
            return []
        accepted = tuple(sorted(self._reporter.accepted))
        return self._propose(
            f"accepted {accepted}",
            messages.WindowsAccepted(windows=accepted),
            now,
        )

    def _on_counts(
        self, event: messages.UsageCounts, now: datetime.datetime
    ) -> list[message.Message]:
        """Merge the counts of a router and confirm its final ones."""
        tenure = self._tenure
        if tenure is None or event.holder_number != tenure.number:
            return []
        if not self._knows_time(now):
            return []  # it can't tell which windows can be reported
        names = self._known_names.get(event.names)
        if names is not None:
            try:
                routers = packing.unpack_routers(event.routers)
            except ValueError as error:
                return self._drop(event.reply_to, str(error))
            merged = [
                self._merge(tenure, item, names, now) for item in routers
            ]
            if not all(merged) or not any(
                entry.whole for item in routers for entry in item.windows
            ):
                return []
        reply = messages.CountsTaken(
            holder_number=tenure.number,
            sequence=event.sequence,
            settled_before=(
                self._first_open(tenure, now) if tenure.caught_up else 0
            ),
            names_unknown=event.names if names is None else None,
        )
        if event.reply_to == self._daemon.address:
            return [reply]
        return [message.Send(address=event.reply_to, message=reply)]

    def _merge(
        self,
        tenure: _Tenure,
        item: messages.RouterCounts,
        names: packing.Names,
        now: datetime.datetime,
    ) -> bool:
        """Merge the counts of a router; return False if some are dropped.

        Counts of a window whose totals are committed are not needed.
        """
        current = fleet_time.window_at(self._time.at(now), self._window)
        oldest = current - limits.kept_windows(self._window)
        key = (item.router, item.incarnation)
        complete = True
        for entry in item.windows:
            if entry.window in self._windows:
                continue
            if not oldest <= entry.window <= current + 1:
                complete = False
                self._drop(item.router, "window out of range")
                continue
            try:
                counts = names.decode(entry.packed, entry.others)
            except ValueError as error:
                complete = False
                self._drop(item.router, str(error))
                continue
            if not tenure.collection.add(
                key, entry.window, counts, entry.final
            ):
                complete = False
                self._drop(item.router, "too many accounts or routers")
        return complete

    def _drop(self, router: str, reason: str) -> list[message.Message]:
        """Count what can't be read, and log the first time."""
        self._metrics.count("usage_counts_dropped")
        if not self._unreadable:
            self._unreadable = True
            log.warning(
                "counts of a router are dropped",
                extra={"router": router, "reason": reason},
            )
        return []

    def _on_tick(self, now: datetime.datetime) -> list[message.Message]:
        effects = self._tell_time(now)
        if not self._started:
            self._started = True
            effects.append(
                duties_messages.SubjectsWanted(duty=_USAGE, subjects=("",))
            )
        for proposal_id, (_, at) in list(self._proposals.items()):
            if now - at >= PROPOSAL_TIMEOUT:
                del self._proposals[proposal_id]
        effects.extend(self._propose_accepted(now))
        tenure = self._tenure
        if tenure is None or now >= tenure.until:
            return effects
        if not self._knows_time(now):
            return effects
        if not tenure.caught_up:
            nothing = messages.WindowsAccepted(windows=())
            key = f"tenure {tenure.number}"
            return [*effects, *self._propose(key, nothing, now)]
        effects.extend(self._close_windows(tenure, now))
        effects.extend(self._report(tenure, now))
        return effects

    def _first_window(self, tenure: _Tenure, now: datetime.datetime) -> int:
        """Return the first window that can be reported.

        Before any window is committed, it is the first one with counts.
        """
        current = fleet_time.window_at(self._time.at(now), self._window)
        oldest = current - limits.kept_windows(self._window)
        while self._too_old(oldest, now):
            oldest += 1
        start = self._windows.lowest
        if start is None:
            start = fleet_time.window_at(
                self._time.at(tenure.since), self._window
            )
            if tenure.collection.lowest is not None:
                start = min(start, tenure.collection.lowest)
        return max(start, oldest)

    def _first_open(self, tenure: _Tenure, now: datetime.datetime) -> int:
        """Return the first window without committed totals."""
        number = self._first_window(tenure, now)
        while number in self._windows:
            number += 1
        return number

    def _too_old(self, number: int, now: datetime.datetime) -> bool:
        end = fleet_time.end_of(number, self._window)
        return self._time.at(now) - end >= limits.REPORT_FOR

    def _close_windows(
        self, tenure: _Tenure, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose the totals of the windows that can be closed."""
        current = fleet_time.window_at(self._time.at(now), self._window)
        tenure.collection.drop_before(self._first_open(tenure, now))
        effects: list[message.Message] = []
        for number in range(self._first_open(tenure, now), current):
            if number not in self._windows:
                effects.extend(self._close(tenure, number, now))
        return effects

    def _due(self, tenure: _Tenure, number: int) -> datetime.datetime:
        """Return when a window is closed even if counts are missing."""
        end = fleet_time.end_of(number, self._window)
        gained = self._time.at(tenure.since)
        latest = end + self._report_within - REPORT_TIME
        if gained + LEAST_WAIT > latest:
            latest = end + limits.REPORT_FOR - REPORT_TIME
        return max(end + CLOSE_WITHIN, min(gained + GAINED_WAIT, latest))

    def _close(
        self, tenure: _Tenure, number: int, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose the totals of a window if it is complete or due."""
        routers = [
            (daemon.daemon_id, daemon.incarnation)
            for daemon in self._daemons.values()
            if ROUTER_ROLE in daemon.roles
            and daemon.state is not membership_messages.DaemonState.DEAD
        ]
        missing = tenure.collection.unconfirmed(number, routers)
        if (missing or not routers) and self._time.at(now) < (
            self._due(tenure, number)
        ):
            return []
        if not self._windows.has_names(self._names.digest):
            names = messages.NamesKept(packed=self._names.pack())
            return self._propose(f"names {self._names.digest}", names, now)
        totals = tenure.collection.totals(number)
        packed, others = self._names.encode(totals)
        proposed = self._propose(
            f"totals {number}",
            messages.WindowTotals(
                window=number,
                names=self._names.digest,
                packed=packing.compress(packed),
                others=others,
            ),
            now,
        )
        if proposed:
            self._metrics.count("usage_windows_closed")
            log.info(
                "usage window is closed",
                extra={
                    "window": number,
                    "requests": sum(totals.values()),
                    "accounts": len(totals),
                    "routers": len(routers),
                    "missing": missing[:8],
                    "number": tenure.number,
                },
            )
        return proposed

    def _report(
        self, tenure: _Tenure, now: datetime.datetime
    ) -> list[message.Message]:
        """Report committed windows that were not accepted."""
        in_time = self._time.at(now) - self._report_within
        open_windows = sorted(
            (
                item
                for item in self._windows
                if not item.accepted and not self._too_old(item.window, now)
            ),
            # First those whose report can still be in time.
            key=lambda item: (
                fleet_time.end_of(item.window, self._window) <= in_time
            ),
        )
        return self._reporter.due(
            open_windows, self._windows, tenure.until, now
        )
