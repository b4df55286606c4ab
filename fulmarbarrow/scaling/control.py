"""Orders upstreams on the host that holds the scaling duty."""

from __future__ import annotations

import datetime
import functools
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import calls
from fulmarbarrow.scaling import decision
from fulmarbarrow.scaling import figures
from fulmarbarrow.scaling import messages
from fulmarbarrow.scaling import orders

log = logging.getLogger(__name__)

DUTY = duties_messages.Duty.SCALING
MAX_SERVICES = 64
MAX_SUBJECTS = 512
# Part of the calls that the platform accepts; the rest is for other duties.
CALLS_SHARE = 0.8
MIN_CALL_RATE = 0.01
# Consecutive calls that were not sent, after which another host is to try.
UNSENT_CALLS = 3


class ScalingControl:
    """Decides and orders the number of upstreams of services.

    Every control host keeps the last orders and the figures of routers; only
    the holder of a subject decides. A number is committed before the call
    that orders it, so that the next holder continues from it.
    """

    handles = (
        publishing_messages.ConfigurationChanged,
        consensus_messages.Applied,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        duties_messages.DutyHeld,
        duties_messages.DutyLost,
        duties_messages.CallEnded,
        messages.OfferedWork,
        messages.RolloutChanged,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
        duties: defaults.DutiesSection,
        timing: defaults.ScalingSection,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._holder_name = duties.name or daemon.daemon_id
        self._late_execution = duties.late_execution
        self._fenced = duties.fenced
        self._interval = timing.interval
        rate = max(CALLS_SHARE * duties.calls_per_second, MIN_CALL_RATE)
        self._call_gap = datetime.timedelta(seconds=1 / rate)
        self._metrics = metrics
        self._store = orders.OrderStore()
        self._figures = figures.Figures(metrics=metrics)
        self._figures.learn_daemon(daemon)  # it may be a router, too
        self._services: dict[str, bundles.Service] = {}
        self._out_zones: frozenset[str] = frozenset()
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._zones_seen: dict[tuple[str, str], None] = {}
        self._rollouts: set[str] = set()
        self._wanted_subjects: tuple[str, ...] = ()
        self._held: dict[str, calls.Held] = {}
        # Numbers that the platform has refused; a renewal may still be queued.
        self._refused: dict[str, int] = {}
        self._verdicts: dict[str, decision.Verdict] = {}
        self._next_decision_at: datetime.datetime | None = None
        self._next_call_at: datetime.datetime | None = None
        self._paused_until: datetime.datetime | None = None
        self._unsent = 0
        self._count = 0

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        return self._on(event, now) or []

    def dump(self) -> dict[str, typing.Any]:
        """Return orders, held subjects, verdicts and figures."""
        return {
            "subjects": list(self._wanted_subjects),
            "held": plain.plain(self._held),
            "orders": {
                name: plain.plain(self._store.get(name))
                for name in self._store.subjects()
            },
            "verdicts": plain.plain(self._verdicts),
            "figures": self._figures.dump(),
            "rollouts": sorted(self._rollouts),
        }

    @functools.singledispatchmethod
    def _on(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message] | None:
        """Handle an event by its type."""

    @_on.register
    def _(
        self,
        event: publishing_messages.ConfigurationChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        scaled = [item for item in event.bundle.service if item.scaling]
        self._services = {item.name: item for item in scaled[:MAX_SERVICES]}
        self._out_zones = frozenset(
            zone.name
            for zone in event.bundle.zone
            if zone.state is bundles.ZoneState.OUT
        )
        self._zones_seen = {
            key: None for key in self._zones_seen if key[0] in self._services
        }
        for upstream in self._upstreams.values():
            self._note_zone(upstream)
        return self._request_subjects()

    @_on.register
    def _(
        self,
        event: membership_messages.UpstreamChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        self._upstreams[event.upstream.upstream_id] = event.upstream
        if not self._note_zone(event.upstream):
            return []
        return self._request_subjects()

    @_on.register
    def _(
        self, event: membership_messages.UpstreamGone, now: datetime.datetime
    ) -> None:
        self._upstreams.pop(event.upstream_id, None)

    @_on.register
    def _(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> None:
        self._figures.learn_daemon(event.daemon)

    @_on.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        self._figures.forget_daemon(event.daemon_id)

    @_on.register
    def _(self, event: messages.OfferedWork, now: datetime.datetime) -> None:
        self._figures.take(event, now)

    @_on.register
    def _(
        self, event: messages.RolloutChanged, now: datetime.datetime
    ) -> None:
        if not event.in_progress:
            self._rollouts.discard(event.service)
        elif event.service in self._services:
            self._rollouts.add(event.service)

    @_on.register
    def _(
        self, event: duties_messages.DutyHeld, now: datetime.datetime
    ) -> list[message.Message]:
        if (
            event.duty is not DUTY
            or event.subject not in self._wanted_subjects
        ):
            return []
        if event.number <= self._refused.get(event.subject, -1):
            return []
        held = self._held.get(event.subject)
        if held is not None and event.number < held.number:
            return []
        if held is not None and event.number == held.number:
            held.until = event.until
            return []
        held = calls.Held(
            subject=event.subject, number=event.number, until=event.until
        )
        self._held[event.subject] = held
        order = self._store.get(event.subject)
        if order is None or order.settled:
            return []
        # The former holder may have called, or not have come to it.
        if not self._fenced:
            held.repeat_at = now + self._late_execution
        return self._take_over(held, now)

    @_on.register
    def _(
        self, event: duties_messages.DutyLost, now: datetime.datetime
    ) -> None:
        held = self._held.get(event.subject)
        if event.duty is not DUTY or held is None:
            return
        if event.number >= held.number:
            del self._held[event.subject]

    @_on.register
    def _(
        self, event: duties_messages.CallEnded, now: datetime.datetime
    ) -> list[message.Message]:
        for held in self._held.values():
            if event.call_id and held.call_id == event.call_id:
                return self._end_call(held, event, now)
        return []

    @_on.register
    def _(
        self, event: consensus_messages.Applied, now: datetime.datetime
    ) -> list[message.Message]:
        if event.group is not self._group or event.machine != messages.MACHINE:
            return []
        order = self._store.apply(event.command, event.index)
        if order is None:
            return []
        held = self._held.get(order.subject)
        if held is None or held.number != order.number:
            return []
        held.proposed_at = None
        held.due_at = now
        held.pause = calls.FIRST_PAUSE
        return self._call_if_due(held, now)

    @_on.register
    def _(
        self, event: consensus_messages.ProposeResult, now: datetime.datetime
    ) -> None:
        if event.group is not self._group or event.committed:
            return
        name, _, _ = event.proposal_id.rpartition("#")
        held = self._held.get(name.removeprefix(f"{messages.MACHINE}:"))
        if held is not None and not event.unknown:
            held.proposed_at = None

    @_on.register
    def _(
        self, event: consensus_messages.SnapshotWanted, now: datetime.datetime
    ) -> list[message.Message]:
        if event.group is not self._group:
            return []
        return [
            consensus_messages.SnapshotTaken(
                group=self._group,
                index=event.index,
                state=self._store.snapshot(),
                machine=messages.MACHINE,
            )
        ]

    @_on.register
    def _(
        self,
        event: consensus_messages.SnapshotRestored,
        now: datetime.datetime,
    ) -> None:
        if event.group is self._group and event.machine == messages.MACHINE:
            self._store.restore(event.state)

    @_on.register
    def _(
        self, event: message.Tick, now: datetime.datetime
    ) -> list[message.Message]:
        effects: list[message.Message] = []
        if self._next_decision_at is None or now >= self._next_decision_at:
            self._next_decision_at = now + self._interval
            self._figures.sample(
                {
                    name: service.scaling
                    for name, service in self._services.items()
                    if service.scaling
                },
                now,
            )
            effects.extend(self._decide(now))
        for held in sorted(self._held.values(), key=self._lowers):
            if held.called_at and now >= held.called_at + calls.CALL_TIMEOUT:
                held.end_call(
                    duties_messages.CallOutcome.UNKNOWN,
                    None,
                    self._late_execution,
                    now,
                )
            effects.extend(self._take_over(held, now))
            effects.extend(self._call_if_due(held, now))
        return effects

    def _note_zone(self, upstream: membership_messages.Upstream) -> bool:
        """Add the zone of an upstream; return whether a subject is new.

        A zone stays wanted when its upstreams are lost, as its last order
        has to be kept.
        """
        new = False
        for offer in upstream.offers:
            key = (offer.service, upstream.zone)
            if offer.service in self._services and key not in self._zones_seen:
                new = len(self._zones_seen) < MAX_SUBJECTS
                if new:
                    self._zones_seen[key] = None
        return new

    def _request_subjects(self) -> list[message.Message]:
        wanted = tuple(
            sorted(messages.subject(*key) for key in self._zones_seen)
        )
        if wanted == self._wanted_subjects:
            return []
        self._wanted_subjects = wanted
        for name in set(self._held) - set(wanted):
            del self._held[name]
        self._refused = {
            name: number
            for name, number in self._refused.items()
            if name in wanted
        }
        return [duties_messages.SubjectsWanted(duty=DUTY, subjects=wanted)]

    def _decide(self, now: datetime.datetime) -> list[message.Message]:
        """Commit the numbers that differ from the last orders."""
        self._verdicts.clear()
        effects: list[message.Message] = []
        if not any(now < held.until for held in self._held.values()):
            return effects
        for name, service in self._services.items():
            inputs = self._inputs(service)
            if inputs is None:
                continue
            for verdict in decision.decide(inputs, now):
                subject = messages.subject(name, verdict.zone)
                self._verdicts[subject] = verdict
                held = self._held.get(subject)
                if held is None or verdict.wanted is None:
                    continue
                if now < held.until and not held.is_proposing(now):
                    effects.extend(self._change(held, verdict, inputs, now))
        return effects

    def _change(
        self,
        held: calls.Held,
        verdict: decision.Verdict,
        inputs: decision.Service,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Commit a verdict that changes the number."""
        if verdict.wanted is None:
            return []
        last = self._store.get(held.subject)
        if last is not None and last.wanted == verdict.wanted:
            return []
        zone = next(item for item in inputs.zones if item.name == verdict.zone)
        running = zone.upstreams.running + zone.upstreams.starting
        before = last.wanted if last else running
        raised_at = last.raised_at if last else None
        if verdict.wanted > before:
            raised_at = now
        newest = zone.samples[-1] if zone.samples else None
        log.info(
            "number of upstreams changed",
            extra={
                "subject": held.subject,
                "wanted": verdict.wanted,
                "before": before,
                "reason": verdict.reason,
                "work": round(verdict.work, 2),
                "rate": round(newest.rate, 2) if newest else None,
                "time": round(newest.time, 4) if newest else None,
                "waiting": newest.waiting if newest else None,
                "refused": round(newest.refused, 2) if newest else None,
                "running": zone.upstreams.running,
                "slots": inputs.slots,
                "number": held.number,
            },
        )
        return self._commit(held, verdict.wanted, raised_at, now)

    def _take_over(
        self, held: calls.Held, now: datetime.datetime
    ) -> list[message.Message]:
        """Commit an unsettled order of an earlier number under this one."""
        order = self._store.get(held.subject)
        if order is None or order.settled or order.number >= held.number:
            return []
        if now >= held.until or held.is_proposing(now):
            return []
        return self._commit(held, order.wanted, order.raised_at, now)

    def _lowers(self, held: calls.Held) -> bool:
        """Whether the last order is no raise; raises are sent first."""
        order = self._store.get(held.subject)
        return order is None or order.raised_at != order.at

    def _commit(
        self,
        held: calls.Held,
        wanted: int,
        raised_at: datetime.datetime | None,
        now: datetime.datetime,
    ) -> list[message.Message]:
        command = messages.OrderDecided(
            subject=held.subject,
            number=held.number,
            wanted=wanted,
            at=now,
            raised_at=raised_at,
        )
        return [self._propose(held, command, now)]

    def _propose(
        self,
        held: calls.Held,
        command: orders.Command,
        now: datetime.datetime,
    ) -> message.Message:
        held.proposed_at = now
        self._count += 1
        return consensus_messages.Propose(
            proposal_id=f"{messages.MACHINE}:{held.subject}"
            f"#{self._daemon.incarnation}.{self._count}",
            group=self._group,
            command=msgspec.msgpack.encode(command),
            machine=messages.MACHINE,
        )

    def _call_if_due(
        self, held: calls.Held, now: datetime.datetime
    ) -> list[message.Message]:
        """Send the last order of a subject if it is due."""
        order = self._store.get(held.subject)
        if order is None or order.number != held.number:
            return []
        if not held.call_due(now) or held.is_proposing(now):
            return []
        if self._paused_until is not None and now < self._paused_until:
            return []
        if self._next_call_at is not None and now < self._next_call_at:
            return []
        self._next_call_at = now + self._call_gap
        self._count += 1
        call_id = f"scale-{self._daemon.incarnation}-{self._count}"
        held.start_call(call_id, order, now)
        service, _, zone = held.subject.rpartition(messages.SEPARATOR)
        return [
            messages.OrderUpstreams(
                call_id=call_id,
                holder=self._holder_name,
                number=held.number,
                service=service,
                zone=zone,
                wanted=order.wanted,
                valid_until=held.until,
            )
        ]

    def _end_call(
        self,
        held: calls.Held,
        event: duties_messages.CallEnded,
        now: datetime.datetime,
    ) -> list[message.Message]:
        outcomes = duties_messages.CallOutcome
        self._metrics.count("scaling_calls", outcome=event.outcome.value)
        if event.outcome is not outcomes.ACCEPTED:
            log.warning(
                "order of upstreams not confirmed",
                extra={
                    "subject": held.subject,
                    "number": held.number,
                    "outcome": event.outcome.value,
                },
            )
        held.end_call(
            event.outcome, event.retry_after, self._late_execution, now
        )
        self._unsent += 1
        if event.outcome is not outcomes.NOT_SENT:
            self._unsent = 0
        if event.outcome is outcomes.LIMITED and event.retry_after:
            self._paused_until = now + min(event.retry_after, calls.MAX_PAUSE)
        if event.outcome is outcomes.SUPERSEDED:
            del self._held[held.subject]
            self._refused[held.subject] = held.number
            return [
                duties_messages.DutyRefused(
                    duty=DUTY, subject=held.subject, number=held.number
                )
            ]
        if self._unsent >= UNSENT_CALLS:
            self._unsent = 0
            return [duties_messages.PlatformUnreachable(duty=DUTY)]
        order = self._store.get(held.subject)
        accepted = event.outcome is outcomes.ACCEPTED
        if accepted and order is not None and held.can_settle(order):
            command = messages.OrderSettled(
                subject=held.subject, index=order.index
            )
            effect = self._propose(held, command, now)
            held.proposed_at = None  # the next decision needs no result
            return [effect]
        return []

    def _inputs(self, service: bundles.Service) -> decision.Service | None:
        """Return all that the decision about a service depends on."""
        if not service.scaling:
            return None
        zones = [
            zone for name, zone in self._zones_seen if name == service.name
        ]
        slots: list[int] = []
        counts: dict[str, dict[membership_messages.UpstreamState, int]] = {}
        for upstream in self._upstreams.values():
            if not any(
                offer.service == service.name for offer in upstream.offers
            ):
                continue
            in_zone = counts.setdefault(upstream.zone, {})
            in_zone[upstream.state] = in_zone.get(upstream.state, 0) + 1
            if upstream.slots > 0:
                slots.append(upstream.slots)
        pool = service.pool
        usual = sorted(slots)[len(slots) // 2] if slots else 0
        bound = pool.max_connections if pool.max_connections > 0 else usual
        return decision.Service(
            scaling=service.scaling,
            slots=min(usual, bound) or pool.slots or bound,
            zones=tuple(
                self._zone(service, zone, counts.get(zone, {}))
                for zone in zones
            ),
            rollout=service.name in self._rollouts,
        )

    def _zone(
        self,
        service: bundles.Service,
        zone: str,
        counts: dict[membership_messages.UpstreamState, int],
    ) -> decision.Zone:
        order = self._store.get(messages.subject(service.name, zone))
        status = decision.ZoneStatus.IN
        if zone in self._out_zones:
            status = decision.ZoneStatus.OUT
        elif self._figures.is_lost(zone):
            status = decision.ZoneStatus.UNREACHABLE
        states = membership_messages.UpstreamState
        return decision.Zone(
            name=zone,
            samples=self._figures.samples(service.name, zone),
            upstreams=decision.Upstreams(
                running=counts.get(states.SERVING, 0),
                starting=counts.get(states.STARTING, 0),
                leaving=counts.get(states.LEAVING, 0),
            ),
            last=_last(order),
            status=status,
            has_routers=self._figures.has_routers(zone),
        )


def _last(order: orders.Order | None) -> decision.LastOrder | None:
    if order is None:
        return None
    return decision.LastOrder(
        wanted=order.wanted, at=order.at, raised_at=order.raised_at
    )
