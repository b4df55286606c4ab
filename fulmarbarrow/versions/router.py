"""Monitors version moves on a router and stops a faulty version."""

from __future__ import annotations

import collections
import datetime
import logging
import math
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import sequential

log = logging.getLogger(__name__)

CONTROL_ROLE = "control"
REPORT_INTERVAL = datetime.timedelta(seconds=1)
MAX_REPORTS_PER_SECOND = 40  # to one control host, from all routers together
# From this fraction of the detection threshold on, no interval is skipped.
URGENT_EVIDENCE = 0.25
STOP_RESEND_INTERVAL = datetime.timedelta(seconds=10)

_ERROR_OUTCOMES = (
    placement_messages.WorkOutcome.FAILED,
    placement_messages.WorkOutcome.CRASHED,
)


class RouteMonitor:
    """Compares the versions of a move on one route of this router."""

    def __init__(self) -> None:
        self._comparison = sequential.Comparison()
        self._first_token: dict[bool, sequential.LatencyReference] = (
            collections.defaultdict(sequential.LatencyReference)
        )
        self._between_tokens = sequential.LatencyReference()
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def evidence(self) -> float:
        """The strongest evidence of a fault; 1 means that one was detected."""
        return self._comparison.evidence

    def add_old(
        self,
        event: delivery_messages.AttemptObserved,
        now: datetime.datetime,
    ) -> None:
        """Record an attempt at the old version."""
        error = int(event.outcome in _ERROR_OUTCOMES)
        self._add(old_attempts=1, old_errors=error)
        if event.first_token is not None:
            self._first_token[event.reused].add(event.first_token, now)
        if event.between_tokens is not None:
            self._between_tokens.add(event.between_tokens, now)

    def add_new(
        self,
        event: delivery_messages.AttemptObserved,
        now: datetime.datetime,
    ) -> str:
        """Record an attempt at the new version; return the detected fault.

        Times to first token are compared separately for prefix cache hits
        and misses, because the caches of a new version are cold.
        """
        error = int(event.outcome in _ERROR_OUTCOMES)
        first = between = None
        if event.first_token is not None:
            first = self._first_token[event.reused].is_slow(
                event.first_token, now
            )
        if event.between_tokens is not None:
            between = self._between_tokens.is_slow(event.between_tokens, now)
        return self._add(
            attempts=1,
            errors=error,
            judged_first=int(first is not None),
            slow_first=int(bool(first)),
            judged_between=int(between is not None),
            slow_between=int(bool(between)),
        )

    def take_report(self, route: str) -> messages.RouteEvidence | None:
        """Return and reset the counts since the last report, if any."""
        if not self._counts:
            return None
        report = messages.RouteEvidence(route=route, **self._counts)
        self._counts.clear()
        return report

    def _add(self, **amounts: int) -> str:
        for name, amount in amounts.items():
            if amount:
                self._counts[name] += amount
        return self._comparison.add(sequential.Counts(**amounts))


class VersionsRouter:
    """Turns observed attempts and pushed shares into version shares."""

    handles = (
        publishing_messages.ConfigurationChanged,
        publishing_messages.ConfigurationConfirmed,
        delivery_messages.AttemptObserved,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        messages.SharesPush,
        messages.SharesRequest,
        messages.VersionStopped,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._versions: dict[tuple[str, str], str] = {}
        self._moves: dict[str, bundles.VersionMove] = {}
        self._moves_by_model: dict[tuple[str, str], bundles.VersionMove] = {}
        self._pushes: dict[str, messages.SharesPush] = {}
        self._unconfirmed: dict[str, messages.SharesPush] = {}
        self._cut_off = False
        self._stopped: dict[str, messages.VersionStopped] = {}
        self._monitors: dict[str, dict[str, RouteMonitor]] = {}
        self._daemons: dict[str, membership_messages.Daemon] = {}
        self._next_report_at: datetime.datetime | None = None
        self._intervals_since_report = 0
        self._next_resend_at: datetime.datetime | None = None

    @property
    def _shows_fault_signs(self) -> bool:
        """Whether any route shows signs of a fault."""
        return any(
            monitor.evidence >= URGENT_EVIDENCE
            for monitors in self._monitors.values()
            for monitor in monitors.values()
        )

    @property
    def _routine_report_intervals(self) -> int:
        """Report intervals between two reports without signs of a fault.

        Their number grows with the fleet, so that the rate of reports to a
        control host is bounded.
        """
        reports = (len(self._daemons) + 1) * max(1, len(self._monitors))
        return math.ceil(reports / MAX_REPORTS_PER_SECOND)

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case delivery_messages.AttemptObserved():
                return self._observe(event, now)
            case messages.SharesPush():
                return self._apply_push(event)
            case messages.SharesRequest():
                return self._shares_response(event)
            case messages.VersionStopped():
                return self._stop(event)
            case publishing_messages.ConfigurationChanged():
                self._cut_off = event.cut_off
                return self._configure(event.bundle)
            case publishing_messages.ConfigurationConfirmed():
                self._cut_off = False
            case membership_messages.DaemonChanged():
                return self._on_daemon_changed(event.daemon)
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
            case message.Tick():
                return self._report(now)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return shares, stops and evidence for debugging."""
        return {
            "shares": {
                f"{model_key[0]}/{model_key[1]}": dict(
                    self._shares(model_key).shares
                )
                for model_key in self._versions
            },
            "stopped": {
                move_id: stopped.reason
                for move_id, stopped in self._stopped.items()
            },
            "evidence": {
                move_id: {
                    route: round(monitor.evidence, 3)
                    for route, monitor in monitors.items()
                }
                for move_id, monitors in self._monitors.items()
            },
        }

    def _configure(self, bundle: bundles.Bundle) -> list[message.Message]:
        """Replace the moves; drop the state of those that are gone."""
        self._moves = {
            move.id: move
            for move in bundle.version_move
            if move.kind is not bundles.MoveKind.SOFTWARE
        }
        self._moves_by_model = {
            (move.service, move.model): move for move in self._moves.values()
        }
        self._versions = {
            (service.name, model.name): model.version
            for service in bundle.service
            for model in service.models
        }
        for by_move in (
            self._pushes,
            self._unconfirmed,
            self._stopped,
            self._monitors,
        ):
            for move_id in set(by_move) - set(self._moves):
                del by_move[move_id]
        if self._cut_off:
            for move_id, push in self._unconfirmed.items():
                self._pushes.setdefault(move_id, push)
        shares = [self._shares(model_key) for model_key in self._versions]
        return [*shares, *self._request_shares(tuple(self._daemons.values()))]

    def _shares(self, model_key: tuple[str, str]) -> messages.VersionShares:
        """Return the shares of a model's versions.

        Without a pushed share for its move, a model stays on its old
        version, so that a restarted router sends nothing to a version that
        was stopped meanwhile.
        """
        move = self._moves_by_model.get(model_key)
        if move is None:
            shares = ((self._versions[model_key], 1.0),)
        else:
            push = self._pushes.get(move.id)
            new = push.share if push and move.id not in self._stopped else 0.0
            shares = ((move.old, 1.0 - new), (move.new, new))
        return messages.VersionShares(
            service=model_key[0], model=model_key[1], shares=shares
        )

    def _move_shares(self, move: bundles.VersionMove) -> message.Message:
        return self._shares((move.service, move.model))

    def _on_daemon_changed(
        self, daemon: membership_messages.Daemon
    ) -> list[message.Message]:
        previous = self._daemons.get(daemon.daemon_id)
        self._daemons[daemon.daemon_id] = daemon
        if previous is not None and previous.incarnation == daemon.incarnation:
            return []
        return self._request_shares((daemon,))

    def _request_shares(
        self, daemons: tuple[membership_messages.Daemon, ...]
    ) -> list[message.Message]:
        """Ask other daemons about moves without a known share or stop."""
        unknown = tuple(
            move_id
            for move_id in self._moves
            if move_id not in self._pushes and move_id not in self._stopped
        )
        if not unknown:
            return []
        request = messages.SharesRequest(
            reply_to=self._daemon.address,
            incarnation=self._daemon.incarnation,
            move_ids=unknown,
        )
        return [_send(daemon.address, request) for daemon in daemons]

    def _shares_response(
        self, event: messages.SharesRequest
    ) -> list[message.Message]:
        effects: list[message.Message] = []
        for move_id in event.move_ids:
            stopped = self._stopped.get(move_id)
            push = self._pushes.get(move_id)
            if stopped is not None:
                effects.append(_send(event.reply_to, stopped))
            elif push is not None:
                answer = msgspec.structs.replace(
                    push, incarnation=event.incarnation, term=0
                )
                effects.append(_send(event.reply_to, answer))
        return effects

    def _apply_push(self, event: messages.SharesPush) -> list[message.Message]:
        """Apply a share that the leader set.

        After a start the share of another daemon may have been replaced. It is
        held until the leader sends one, unless this daemon is cut off.
        """
        move = self._moves.get(event.move_id)
        previous = self._pushes.get(event.move_id)
        if move is None or event.incarnation != self._daemon.incarnation:
            return []
        if previous is not None and event.sequence <= previous.sequence:
            return []
        if event.term == 0 and previous is None and not self._cut_off:
            held = self._unconfirmed.get(event.move_id)
            if held is None or event.sequence > held.sequence:
                self._unconfirmed[event.move_id] = event
            return []
        self._unconfirmed.pop(event.move_id, None)
        self._pushes[event.move_id] = event
        return [self._move_shares(move)]

    def _observe(
        self,
        event: delivery_messages.AttemptObserved,
        now: datetime.datetime,
    ) -> list[message.Message]:
        move = self._moves_by_model.get((event.service, event.model))
        cancelled = placement_messages.WorkOutcome.CANCELLED
        if move is None or event.outcome is cancelled:
            return []
        monitors = self._monitors.setdefault(move.id, {})
        monitor = monitors.get(event.route)
        if monitor is None:
            monitor = monitors[event.route] = RouteMonitor()
        if event.version == move.old:
            monitor.add_old(event, now)
            return []
        if event.version != move.new:
            return []
        fault = monitor.add_new(event, now)
        if not fault or move.id in self._stopped:
            return []
        self._metrics.count("versions_stopped_here", service=event.service)
        stopped = messages.VersionStopped(
            move_id=move.id, reason=f"{fault} on {event.route}"
        )
        return [*self._stop(stopped), *self._broadcast(stopped)]

    def _stop(self, event: messages.VersionStopped) -> list[message.Message]:
        """Stop sending requests from this router to a move's new version."""
        move = self._moves.get(event.move_id)
        if move is None or event.move_id in self._stopped:
            return []
        self._stopped[event.move_id] = event
        log.info("version move %s stopped: %s", event.move_id, event.reason)
        return [self._move_shares(move)]

    def _broadcast(
        self, stopped: messages.VersionStopped
    ) -> list[message.Message]:
        sends: list[message.Message] = [
            _send(daemon.address, stopped, urgent=True)
            for daemon in self._daemons.values()
        ]
        return [*sends, stopped]

    def _report(self, now: datetime.datetime) -> list[message.Message]:
        """Send the evidence since the last report to the control hosts."""
        if self._next_report_at is not None and now < self._next_report_at:
            return []
        self._next_report_at = now + REPORT_INTERVAL
        self._intervals_since_report += 1
        if (
            not self._shows_fault_signs
            and self._intervals_since_report < self._routine_report_intervals
        ):
            return self._resend_stops(now)
        self._intervals_since_report = 0
        effects: list[message.Message] = []
        for move_id, monitors in self._monitors.items():
            routes = tuple(
                report
                for route, monitor in monitors.items()
                if (report := monitor.take_report(route)) is not None
            )
            if routes:
                report = messages.VersionEvidence(
                    daemon_id=self._daemon.daemon_id,
                    move_id=move_id,
                    routes=routes,
                )
                effects.extend(self._to_control(report))
        return [*effects, *self._resend_stops(now)]

    def _resend_stops(self, now: datetime.datetime) -> list[message.Message]:
        """Resend stops, as a new leader may not have received them."""
        if self._next_resend_at is not None and now < self._next_resend_at:
            return []
        self._next_resend_at = now + STOP_RESEND_INTERVAL
        return [
            effect
            for stopped in self._stopped.values()
            for effect in self._to_control(stopped)
        ]

    def _to_control(self, item: message.Message) -> list[message.Message]:
        effects: list[message.Message] = [
            _send(daemon.address, item)
            for daemon in self._daemons.values()
            if CONTROL_ROLE in daemon.roles
        ]
        if CONTROL_ROLE in self._daemon.roles:
            effects.append(item)
        return effects


def _send(
    address: str, item: message.Message, *, urgent: bool = False
) -> message.Message:
    return message.Send(address=address, message=item, urgent=urgent)
