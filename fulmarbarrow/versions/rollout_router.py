"""A router's part in rollouts that operators order by call."""

from __future__ import annotations

import collections
import datetime
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import rollout_times
from fulmarbarrow.versions import router as version_router

log = logging.getLogger(__name__)

ROUTER_ROLE = "router"
REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
MAX_REPORTS_PER_SECOND = 20  # to one control host, from all routers together
# The shortest rollouts have to be proven with a few reports of each router.
MAX_REPORT_INTERVAL = datetime.timedelta(seconds=3)
URGENT_EVIDENCE = 0.25  # fraction of the threshold of a router's own tests
REQUEST_INTERVAL = datetime.timedelta(seconds=1)
STOP_RESEND_INTERVAL = datetime.timedelta(seconds=2)
# An upstream that completes a request this long after one of its connections
# broke has not crashed: the broken response was bad.
CRASH_PROOF = datetime.timedelta(milliseconds=300)
CRASH_WINDOW = datetime.timedelta(seconds=2)
MAX_SUSPECTS = 256
MAX_ROUTES = 64
MAX_RUNNING = 20_000
# Stands for the old version where no upstream of one is known.
NO_VERSION = "\0"
SERVER_ERROR = 500  # the lowest such status, also where callers get it

_Key = tuple[str, int]
_Observed = delivery_messages.AttemptObserved
_FINAL = (
    messages.RolloutState.COMPLETED,
    messages.RolloutState.ROLLED_BACK,
)
_ORDER = tuple(messages.RolloutState)


class _Route:
    """Counts of one route since the last report, and its own tests."""

    def __init__(self) -> None:
        self.monitor = version_router.RouteMonitor()
        self.counts: collections.Counter[str] = collections.Counter()
        self.times: collections.Counter[tuple[int, bool, int]] = (
            collections.Counter()
        )

    def take(self, route: str) -> messages.RolloutCounts | None:
        """Return and reset the counts, None if there are none."""
        if not self.counts:
            return None
        grouped: dict[tuple[int, bool], list[tuple[int, int]]] = {}
        for (metric, new, number), count in sorted(self.times.items()):
            grouped.setdefault((metric, new), []).append((number, count))
        taken = messages.RolloutCounts(
            route=route,
            times=tuple(
                messages.RolloutTimes(
                    metric=metric, new=new, counts=tuple(counts)
                )
                for (metric, new), counts in grouped.items()
            ),
            **self.counts,
        )
        self.counts.clear()
        self.times.clear()
        return taken


class _Rollout:
    """What a router knows of one rollout that is not over."""

    def __init__(self, *, move: bundles.VersionMove, slack: int) -> None:
        self.move = move
        self.slack = slack
        self.requests = 0
        self.running: dict[str, str] = {}  # version by attempt
        self.routes: dict[str, _Route] = {}
        self.suspects: dict[_Key, list[tuple[_Observed, typing.Any]]] = {}
        self.crashed: dict[bool, set[_Key]] = {True: set(), False: set()}
        self.reported: tuple[int, ...] = ()


class RolloutRouter:
    """Bounds, observes and stops the new versions of rollouts.

    A rollout whose state is unknown gets no requests to its new version. A
    router that has lost contact with the control hosts stays in the last
    state that it was told, and stops a version on its own evidence.
    """

    handles = (
        publishing_messages.ConfigurationChanged,
        placement_messages.PlaceRequest,
        delivery_messages.StartAttempt,
        delivery_messages.AttemptObserved,
        placement_messages.WorkEnded,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        messages.RolloutPush,
        messages.RolloutsRequest,
        messages.RolloutStopped,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
        slack: int,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._slack = slack
        self._configured = False
        self._moves: dict[str, list[bundles.VersionMove]] = {}
        self._states: dict[str, messages.RolloutState] = {}
        self._stopped: dict[str, str] = {}
        self._rollouts: dict[str, _Rollout] = {}  # by service
        self._sent: dict[str, messages.ServiceVersions] = {}
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._daemons: dict[str, membership_messages.Daemon] = {}
        self._report_at: datetime.datetime | None = None
        self._urgent_at: datetime.datetime | None = None
        self._request_at: datetime.datetime | None = None
        self._resend_at: datetime.datetime | None = None

    @property
    def _routers(self) -> list[str]:
        """The known routers, this one included."""
        known = {
            daemon.daemon_id
            for daemon in self._daemons.values()
            if ROUTER_ROLE in daemon.roles
        }
        return sorted(known | {self._daemon.daemon_id})

    @property
    def _report_interval(self) -> datetime.timedelta:
        """Time between reports that show no fault; grows with the fleet."""
        reports = len(self._routers) * max(1, len(self._rollouts))
        interval = datetime.timedelta(seconds=reports / MAX_REPORTS_PER_SECOND)
        return min(MAX_REPORT_INTERVAL, max(REPORT_INTERVAL, interval))

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case placement_messages.PlaceRequest():
                rollout = self._rollouts.get(event.service)
                # Retries name the upstreams that have failed the request.
                if rollout is not None and not event.excluded:
                    rollout.requests += 1
            case delivery_messages.AttemptObserved():
                return self._observe(event, now)
            case delivery_messages.StartAttempt():
                self._start(event)
            case placement_messages.WorkEnded():
                for rollout in self._rollouts.values():
                    rollout.running.pop(event.attempt_id, None)
            case message.Tick():
                return self._tick(now)
            case _:
                return self._apply_change(event)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the versions that get requests, for debugging."""
        return {
            "states": {
                move_id: state.value for move_id, state in self._states.items()
            },
            "stopped": dict(self._stopped),
            "versions": {
                service: msgspec.structs.asdict(versions)
                for service, versions in self._sent.items()
            },
            "requests": {
                service: rollout.requests
                for service, rollout in self._rollouts.items()
            },
        }

    def _apply_change(self, event: message.Message) -> list[message.Message]:
        match event:
            case publishing_messages.ConfigurationChanged():
                return self._configure(event.bundle)
            case messages.RolloutPush():
                return self._pushed(event)
            case messages.RolloutStopped():
                return self._stop(event)
            case messages.RolloutsRequest():
                return self._answer(event)
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
                return self._update()
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
                return self._update()
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
        return []

    def _configure(self, bundle: bundles.Bundle) -> list[message.Message]:
        """Replace the rollouts; only new ones have slack.

        The slack of a router that has restarted was used by its former
        incarnation.
        """
        self._moves = {}
        for move in sorted(bundle.version_move, key=lambda item: item.id):
            if amendments.is_rollout(move):
                self._moves.setdefault(move.service, []).append(move)
        ids = {move.id for items in self._moves.values() for move in items}
        for table in (self._states, self._stopped):
            for move_id in set(table) - ids:
                del table[move_id]
        for service in set(self._rollouts) - set(self._moves):
            del self._rollouts[service]
        for service, moves in self._moves.items():
            known = self._rollouts.get(service)
            if known is None or known.move.id != moves[-1].id:
                self._rollouts[service] = _Rollout(
                    move=moves[-1],
                    slack=self._own_slack() if self._configured else 0,
                )
                self._report_at = None
        self._configured = True
        self._request_at = None
        return self._update()

    def _update(self) -> list[message.Message]:
        """Return the versions of each service that have changed."""
        if not self._moves and not self._sent:
            return []
        wanted = {
            service: self._versions(service, moves)
            for service, moves in self._moves.items()
        }
        for service in set(self._sent) - set(wanted):
            wanted[service] = messages.ServiceVersions(service=service)
        changed = [
            versions
            for service, versions in wanted.items()
            if self._sent.get(service) != versions
        ]
        self._sent = {
            service: versions
            for service, versions in wanted.items()
            if service in self._moves
        }
        return list(changed)

    def _versions(
        self, service: str, moves: list[bundles.VersionMove]
    ) -> messages.ServiceVersions:
        state = messages.RolloutState
        move = moves[-1]
        current = self._states.get(move.id)
        barred = {
            item.new
            for item in moves[:-1]
            if self._states.get(item.id) is not state.COMPLETED
        } - {move.old, move.new}
        if current is state.ROLLED_BACK:
            barred = (barred | {move.new}) - {move.old}
            return messages.ServiceVersions(
                service=service, barred=tuple(sorted(barred))
            )
        fields: dict[str, typing.Any] = {
            "service": service,
            "move_id": move.id,
            "new": move.new,
            "barred": tuple(sorted(barred)),
        }
        if current is state.COMPLETED:
            return messages.ServiceVersions(moving=True, **fields)
        fields["old"] = self._old_version(move, barred)
        if current is None or move.id in self._stopped:
            return messages.ServiceVersions(**fields)
        if current is state.MOVING:
            return messages.ServiceVersions(moving=True, **fields)
        return messages.ServiceVersions(
            share=move.share_cap,
            slack=self._rollouts[service].slack,
            **fields,
        )

    def _own_slack(self) -> int:
        """Return this router's part of the slack; the parts add up to it.

        It is fixed when the order arrives: a router that is gone since may
        only be cut off and go on with its own part.
        """
        routers = self._routers
        whole, rest = divmod(self._slack, len(routers))
        return whole + (routers.index(self._daemon.daemon_id) < rest)

    def _old_version(self, move: bundles.VersionMove, barred: set[str]) -> str:
        """Return the version that the service moves from.

        The host that took the order may not have known it, or may have taken
        a version that no upstream serves any more; then it is that of most
        of the other upstreams.
        """
        versions = collections.Counter(
            offer.version
            for upstream in self._upstreams.values()
            for offer in upstream.offers
            if offer.service == move.service
        )
        if move.old and versions[move.old]:
            return move.old
        for version in barred | {move.new}:
            del versions[version]
        found = versions.most_common(1)
        return found[0][0] if found else move.old or NO_VERSION

    def _pushed(self, event: messages.RolloutPush) -> list[message.Message]:
        """Take a state of the leader, or a final one of any daemon."""
        if event.incarnation != self._daemon.incarnation:
            return []
        if not event.term and event.state not in _FINAL:
            return []
        known = self._states.get(event.move_id)
        if known is not None and (
            known in _FINAL or _ORDER.index(event.state) <= _ORDER.index(known)
        ):
            return []
        if all(
            move.id != event.move_id
            for moves in self._moves.values()
            for move in moves
        ):
            return []
        self._states[event.move_id] = event.state
        return self._update()

    def _stop(self, event: messages.RolloutStopped) -> list[message.Message]:
        if event.move_id in self._stopped or all(
            move.id != event.move_id
            for moves in self._moves.values()
            for move in moves
        ):
            return []
        self._stopped[event.move_id] = event.reason
        log.info(
            "rollout stopped on this router",
            extra={"move": event.move_id, "reason": event.reason},
        )
        return self._update()

    def _answer(
        self, event: messages.RolloutsRequest
    ) -> list[message.Message]:
        """Tell another router the final states and stops known here."""
        answers: list[message.Message] = [
            messages.RolloutPush(
                move_id=move_id,
                state=self._states[move_id],
                incarnation=event.incarnation,
                term=0,
            )
            for move_id in event.move_ids
            if self._states.get(move_id) in _FINAL
        ]
        answers.extend(
            messages.RolloutStopped(
                move_id=move_id, reason=self._stopped[move_id]
            )
            for move_id in event.move_ids
            if move_id in self._stopped
        )
        return [
            message.Send(address=event.reply_to, message=item)
            for item in answers
        ]

    def _start(self, event: delivery_messages.StartAttempt) -> None:
        for rollout in self._rollouts.values():
            upstream = self._upstreams.get(event.upstream_id)
            if (
                upstream is not None
                and len(rollout.running) < MAX_RUNNING
                and any(
                    offer.service == rollout.move.service
                    for offer in upstream.offers
                )
            ):
                rollout.running[event.attempt_id] = event.version

    def _observe(
        self, event: _Observed, now: datetime.datetime
    ) -> list[message.Message]:
        rollout = self._rollouts.get(event.service)
        if rollout is None or self._states.get(rollout.move.id) in _FINAL:
            return []
        outcome = placement_messages.WorkOutcome
        if event.outcome is outcome.CANCELLED:
            return []
        key = (event.upstream_id, event.incarnation)
        if event.outcome is outcome.CRASHED:
            return self._fault(rollout, self._broken(rollout, event, now))
        if event.outcome in placement_messages.RESPONSE_OUTCOMES:
            faults = self._clear_suspects(rollout, key, now)
            if event.outcome is not outcome.REFUSED:
                faults.append(self._count(rollout, event, now))
            return self._fault(rollout, faults)
        if event.outcome is outcome.SILENT:
            return self._fault(rollout, [self._count(rollout, event, now)])
        return []

    def _broken(
        self, rollout: _Rollout, event: _Observed, now: datetime.datetime
    ) -> list[str]:
        """Hold a broken response back until its upstream answers again.

        If its upstream has crashed, all its responses break at once and none
        breaks later.
        """
        key = (event.upstream_id, event.incarnation)
        if any(key in known for known in rollout.crashed.values()):
            return [self._count(rollout, event, now)]
        faults = self._clear_suspects(rollout, key, now)
        if faults:
            return [*faults, self._count(rollout, event, now)]
        if len(rollout.suspects) < MAX_SUSPECTS:
            held = rollout.suspects.setdefault(key, [])
            if len(held) < MAX_SUSPECTS:
                held.append((event, now))
        return []

    def _clear_suspects(
        self, rollout: _Rollout, key: _Key, now: datetime.datetime
    ) -> list[str]:
        """Count broken responses as bad, as their upstream still answers."""
        held = rollout.suspects.get(key, ())
        ripe = [item for item in held if now - item[1] >= CRASH_PROOF]
        if not ripe:
            return []
        del rollout.suspects[key]
        return [self._count(rollout, event, now) for event, _ in held]

    def _count(
        self, rollout: _Rollout, event: _Observed, now: datetime.datetime
    ) -> str:
        """Count an attempt; return the fault that it shows, if any."""
        move = rollout.move
        versions = self._sent.get(move.service)
        old = versions.old if versions else move.old
        if event.version not in (old, move.new):
            return ""
        name = event.route
        if name not in rollout.routes and len(rollout.routes) >= MAX_ROUTES:
            name = ""
        route = rollout.routes.setdefault(name, _Route())
        new = event.version == move.new
        bad = (
            event.outcome is not placement_messages.WorkOutcome.COMPLETED
            or event.status >= SERVER_ERROR
        )
        route.counts["new" if new else "old"] += 1
        if bad:
            route.counts["new_bad" if new else "old_bad"] += 1
            event = msgspec.structs.replace(
                event, outcome=placement_messages.WorkOutcome.FAILED
            )
        else:
            for metric, duration in _measured(event):
                number = rollout_times.time_class(duration)
                route.times[metric, new, number] += 1
        if new:
            fault = route.monitor.add_new(event, now)
            return f"{fault} on {event.route}" if fault else ""
        route.monitor.add_old(event, now)
        return ""

    def _fault(
        self, rollout: _Rollout, faults: list[str]
    ) -> list[message.Message]:
        """Stop a version here and everywhere."""
        found = next(filter(None, faults), "")
        if not found or rollout.move.id in self._stopped:
            return []
        self._metrics.count(
            "rollouts_stopped_here", service=rollout.move.service
        )
        stopped = messages.RolloutStopped(
            move_id=rollout.move.id,
            reason=f"{found} at {self._daemon.daemon_id}",
        )
        sends: list[message.Message] = [
            message.Send(address=daemon.address, message=stopped, urgent=True)
            for daemon in self._daemons.values()
        ]
        return [*sends, *self._stop(stopped), *self._here(stopped)]

    def _tick(self, now: datetime.datetime) -> list[message.Message]:
        if not self._rollouts:
            return []
        for rollout in self._rollouts.values():
            self._end_suspects(rollout, now)
        effects = self._request_states(now)
        if self._urgent_at is None or now >= self._urgent_at:
            self._urgent_at = now + REPORT_INTERVAL
            routine = self._report_at is None or now >= self._report_at
            if routine:
                interval = self._report_interval
                if self._report_at is None:
                    # The reports of the routers are spread over the interval.
                    place = self._routers.index(self._daemon.daemon_id) + 1
                    interval *= place / len(self._routers)
                self._report_at = now + interval
            effects.extend(self._report(urgent=not routine))
        if self._stopped and (
            self._resend_at is None or now >= self._resend_at
        ):
            self._resend_at = now + STOP_RESEND_INTERVAL
            for move_id, reason in self._stopped.items():
                if self._states.get(move_id) not in _FINAL:
                    stopped = messages.RolloutStopped(
                        move_id=move_id, reason=reason
                    )
                    effects.extend(self._to_control(stopped))
        return effects

    def _end_suspects(self, rollout: _Rollout, now: datetime.datetime) -> None:
        """Take upstreams for crashed that answered nothing since."""
        for key, held in list(rollout.suspects.items()):
            if now - held[0][1] >= CRASH_WINDOW:
                del rollout.suspects[key]
                known = rollout.crashed[held[0][0].version == rollout.move.new]
                if len(known) < MAX_SUSPECTS:
                    known.add(key)

    def _report(self, *, urgent: bool) -> list[message.Message]:
        """Send what has changed; urgently only what shows a fault."""
        effects: list[message.Message] = []
        for service, rollout in self._rollouts.items():
            if self._states.get(rollout.move.id) in _FINAL:
                continue
            moving = self._sent[service].moving
            if (
                urgent
                and not moving
                and not any(
                    route.counts["new_bad"]
                    or route.monitor.evidence >= URGENT_EVIDENCE
                    for route in rollout.routes.values()
                )
            ):
                continue
            old_running = sum(
                version != rollout.move.new
                for version in rollout.running.values()
            )
            routes = tuple(
                counts
                for name, route in rollout.routes.items()
                if (counts := route.take(name)) is not None
            )
            crashed, old_crashed = (
                tuple(sorted(rollout.crashed[new])) for new in (True, False)
            )
            absolute = (
                rollout.requests,
                old_running,
                int(moving),
                len(crashed),
                len(old_crashed),
            )
            if not routes and absolute == rollout.reported:
                continue
            rollout.reported = absolute
            effects.extend(
                self._to_control(
                    messages.RolloutEvidence(
                        daemon_id=self._daemon.daemon_id,
                        incarnation=self._daemon.incarnation,
                        move_id=rollout.move.id,
                        routes=routes,
                        requests=rollout.requests,
                        old_running=old_running,
                        moving=moving,
                        crashed=crashed,
                        old_crashed=old_crashed,
                    )
                )
            )
        return effects

    def _request_states(self, now: datetime.datetime) -> list[message.Message]:
        """Ask for the states of rollouts that are not known to be over.

        The push of a later state may have been lost.
        """
        unknown = tuple(
            move.id
            for moves in self._moves.values()
            for move in moves
            if self._states.get(move.id) not in _FINAL
        )
        if not unknown or (
            self._request_at is not None and now < self._request_at
        ):
            return []
        self._request_at = now + REQUEST_INTERVAL
        request = messages.RolloutsRequest(
            reply_to=self._daemon.address,
            incarnation=self._daemon.incarnation,
            move_ids=unknown,
        )
        return [
            *self._to_control(request),
            *(
                message.Send(address=daemon.address, message=request)
                for daemon in list(self._daemons.values())[:3]
                if version_router.CONTROL_ROLE not in daemon.roles
            ),
        ]

    def _to_control(self, item: message.Message) -> list[message.Message]:
        return [
            *(
                message.Send(address=daemon.address, message=item)
                for daemon in self._daemons.values()
                if version_router.CONTROL_ROLE in daemon.roles
                and daemon.daemon_id != self._daemon.daemon_id
            ),
            *self._here(item),
        ]

    def _here(self, item: message.Message) -> list[message.Message]:
        """Return what this daemon's own control role gets."""
        if version_router.CONTROL_ROLE in self._daemon.roles:
            return [item]
        return []


def _measured(
    event: _Observed,
) -> typing.Iterator[tuple[int, datetime.timedelta]]:
    """Yield what was measured of an attempt."""
    metric = rollout_times.Metric
    if event.first_token is not None:
        yield (
            (metric.FIRST_REUSED if event.reused else metric.FIRST),
            event.first_token,
        )
    if event.between_tokens is not None:
        yield metric.GAP, event.between_tokens
    if event.whole is not None:
        stream = event.between_tokens is not None
        yield (metric.WHOLE_STREAM if stream else metric.WHOLE), event.whole
