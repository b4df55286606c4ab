"""Computes zone weights and admission thresholds."""

from __future__ import annotations

import datetime
import functools
import logging
import random
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import capacity as capacities
from fulmarbarrow.zones import chats as chats_module
from fulmarbarrow.zones import messages
from fulmarbarrow.zones import peers as peers_module
from fulmarbarrow.zones import shortage
from fulmarbarrow.zones import state
from fulmarbarrow.zones import summaries as summaries_module

log = logging.getLogger(__name__)

MAX_ANNOUNCE_DELAY = datetime.timedelta(milliseconds=500)
MIN_PART_CHANGE = 0.02
DECISION_PERIOD = datetime.timedelta(seconds=1)


class ZonesCore:
    """Computes zone weights from the configuration and other daemons' notices.

    A router that applies a revision announces which zones changed, unless
    another router has already announced it. Routers that receive the notice
    apply it before they have the revision itself. A returning zone keeps
    weight 0 while the KV cache of its busiest chats moves back; then its
    weight rises in steps.
    """

    handles = (
        limits_messages.AdmitRequest,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.LoadReported,
        membership_messages.OwnerChanged,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        message.Tick,
        messages.RouterDemand,
        messages.ZoneNoticesReceived,
        messages.ZoneSummary,
        placement_messages.NotPlaced,
        placement_messages.PlaceCancelled,
        placement_messages.PlaceRequest,
        placement_messages.Placed,
        placement_messages.WorkEnded,
        publishing_messages.ConfigurationChanged,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        timing: defaults.ZonesSection | None = None,
    ) -> None:
        self._timing = timing
        self._daemon = daemon
        self._metrics = metrics
        self._rng = rng
        self._zones: dict[str, state.Zone] = {}
        self._peers = peers_module.Peers(own=daemon)
        self._capacity = capacities.Capacity()
        self._chats = chats_module.RecentChats()
        self._summaries = summaries_module.Summaries(
            own=daemon, peers=self._peers, capacity=self._capacity, rng=rng
        )
        self._thresholds: dict[str, messages.AdmissionThreshold] = {}
        self._published_weights: tuple[tuple[str, float], ...] | None = None
        self._revision = 0
        self._unannounced: dict[str, messages.ZoneNotice] = {}
        self._announce_at: datetime.datetime | None = None
        self._last_decision: datetime.datetime | None = None

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Process one event and return the resulting messages."""
        return self._handle_event(event, now) or []

    def dump(self) -> dict[str, typing.Any]:
        """Return zones, summaries and admission thresholds as plain data."""
        return {
            "revision": self._revision,
            "zones": {
                name: plain.plain(zone.status)
                for name, zone in self._zones.items()
            },
            "summaries": plain.plain(self._summaries.zones),
            "short": plain.plain(self._thresholds),
            "recent_chats": len(self._chats),
        }

    @functools.singledispatchmethod
    def _handle_event(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message] | None:
        raise TypeError(f"unexpected event {type(event).__name__}")

    @_handle_event.register
    def _(
        self,
        event: publishing_messages.ConfigurationChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        is_first_revision = self._revision == 0
        self._revision = event.revision
        effects = []
        for zone in event.bundle.zone:
            notice = messages.ZoneNotice(
                zone=zone.name,
                out=zone.state is bundles.ZoneState.OUT,
                revision=event.revision,
            )
            if self._is_newer(notice):
                was_known = zone.name in self._zones
                changed, moves = self._apply_notice(notice, now)
                effects.extend(moves)
                if (
                    changed
                    and (was_known or notice.out)
                    and not is_first_revision
                ):
                    self._schedule_announcement(notice, now)
        self._remove_unlisted_zones({zone.name for zone in event.bundle.zone})
        return [*effects, *self._publish_changed_weights()]

    @_handle_event.register
    def _(
        self, event: messages.ZoneNoticesReceived, now: datetime.datetime
    ) -> list[message.Message]:
        effects = []
        for notice in event.notices:
            unannounced = self._unannounced.get(notice.zone)
            if (
                unannounced is not None
                and unannounced.revision <= notice.revision
            ):
                del self._unannounced[notice.zone]
            if self._is_newer(notice):
                effects.extend(self._apply_notice(notice, now)[1])
        return [*effects, *self._publish_changed_weights()]

    @_handle_event.register
    def _(
        self, event: message.Tick, now: datetime.datetime
    ) -> list[message.Message]:
        for zone in self._zones.values():
            zone.tick(now)
        effects = self._publish_changed_weights()
        effects.extend(self._announce_if_due(now))
        service_capacity = self._capacity.by_service(
            dict(self._published_weights or ())
        )
        effects.extend(self._summaries.tick(now, service_capacity))
        if (
            self._last_decision is None
            or now - self._last_decision >= DECISION_PERIOD
        ):
            self._last_decision = now
            effects.extend(self._update_thresholds(service_capacity, now))
        return effects

    @_handle_event.register
    def _(
        self, event: limits_messages.AdmitRequest, now: datetime.datetime
    ) -> None:
        self._summaries.count_request(
            event.service, cost=event.cost, worth=event.worth
        )

    @_handle_event.register
    def _(self, event: messages.RouterDemand, now: datetime.datetime) -> None:
        self._summaries.record_router_demand(event, now)

    @_handle_event.register
    def _(
        self, event: messages.ZoneSummary, now: datetime.datetime
    ) -> list[message.Message]:
        return self._summaries.receive_summary(event, now)

    @_handle_event.register
    def _(
        self, event: membership_messages.DaemonChanged, now: datetime.datetime
    ) -> None:
        self._peers.update(event.daemon)

    @_handle_event.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        self._peers.remove(event.daemon_id)

    @_handle_event.register
    def _(
        self,
        event: membership_messages.UpstreamChanged,
        now: datetime.datetime,
    ) -> None:
        self._capacity.update_upstream(event.upstream)

    @_handle_event.register
    def _(
        self, event: membership_messages.UpstreamGone, now: datetime.datetime
    ) -> None:
        self._capacity.remove_upstream(event.upstream_id)

    @_handle_event.register
    def _(
        self, event: membership_messages.OwnerChanged, now: datetime.datetime
    ) -> None:
        is_owned = event.owner == self._daemon.daemon_id
        self._capacity.set_owned(event.upstream_id, is_owned)

    @_handle_event.register
    def _(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        self._capacity.update_load(event.upstream_id, event.load)

    @_handle_event.register
    def _(
        self, event: placement_messages.PlaceRequest, now: datetime.datetime
    ) -> None:
        self._chats.record_request(event.attempt_id, event.chat)
        self._summaries.local_backlog.add_attempt(
            event.attempt_id, event.service, event.cost
        )

    @_handle_event.register
    def _(
        self, event: placement_messages.Placed, now: datetime.datetime
    ) -> None:
        self._chats.record_placement(
            event.attempt_id, event.upstream_id, event.version
        )
        self._summaries.local_backlog.remove_attempt(event.attempt_id)

    @_handle_event.register
    def _(
        self, event: placement_messages.NotPlaced, now: datetime.datetime
    ) -> None:
        self._summaries.local_backlog.remove_attempt(event.attempt_id)

    @_handle_event.register
    def _(
        self, event: placement_messages.PlaceCancelled, now: datetime.datetime
    ) -> None:
        self._summaries.local_backlog.remove_attempt(event.attempt_id)

    @_handle_event.register
    def _(
        self, event: placement_messages.WorkEnded, now: datetime.datetime
    ) -> None:
        tokens = event.prompt_tokens + event.generated_tokens
        self._chats.record_end(event.attempt_id, tokens)

    # Zone state changes.

    def _is_newer(self, notice: messages.ZoneNotice) -> bool:
        zone = self._zones.get(notice.zone)
        return zone is None or zone.status.revision < notice.revision

    def _apply_notice(
        self, notice: messages.ZoneNotice, now: datetime.datetime
    ) -> tuple[bool, list[message.Message]]:
        """Apply a notice; return whether the phase changed, and effects."""
        zone = self._zones.get(notice.zone)
        if zone is None:
            zone = state.Zone(name=notice.zone, timing=self._timing)
            self._zones[notice.zone] = zone
        before = zone.status.phase
        zone.apply_state(notice.out, notice.revision, now)
        after = zone.status.phase
        if before == after:
            return False, []
        log.info("availability zone %s is now %s", notice.zone, after)
        self._metrics.count("zone_changes", zone=notice.zone, to=after)
        if notice.out:
            self._chats.record_homes(self._capacity.upstream_ids(notice.zone))
            return True, []
        return True, self._request_kv_moves(zone)

    def _request_kv_moves(self, zone: state.Zone) -> list[message.Message]:
        """Ask a control host to move the busiest chats' KV cache back."""
        status = zone.status
        control = self._peers.random_control_host(self._rng)
        moves = self._chats.pop_return_moves(
            self._capacity.upstreams, status.zone
        )
        if control is None or not moves or zone.warm_up_ends is None:
            return []
        request = messages.KvMovesRequested(
            zone=status.zone,
            revision=status.revision,
            until=zone.warm_up_ends,
            moves=moves,
        )
        if control.daemon_id == self._daemon.daemon_id:
            return [request]
        return [message.Send(address=control.address, message=request)]

    def _remove_unlisted_zones(self, listed: set[str]) -> None:
        for name in list(self._zones):
            zone = self._zones[name]
            if name not in listed and zone.status.revision < self._revision:
                del self._zones[name]

    def _publish_changed_weights(self) -> list[message.Message]:
        """Return the zone weights if they changed since the last call."""
        weights = tuple(
            sorted((name, zone.weight) for name, zone in self._zones.items())
        )
        if weights == self._published_weights:
            return []
        self._published_weights = weights
        return [messages.ZoneWeights(revision=self._revision, weights=weights)]

    def _schedule_announcement(
        self, notice: messages.ZoneNotice, now: datetime.datetime
    ) -> None:
        """Schedule an announcement after a short random delay.

        Most routers receive the notice from another router in the meantime
        and then don't announce it themselves.
        """
        self._unannounced[notice.zone] = notice
        if self._announce_at is None:
            self._announce_at = now + self._rng.random() * MAX_ANNOUNCE_DELAY

    def _announce_if_due(
        self, now: datetime.datetime
    ) -> list[message.Message]:
        if self._announce_at is None or now < self._announce_at:
            return []
        self._announce_at = None
        notices = tuple(self._unannounced.values())
        self._unannounced.clear()
        if not notices:
            return []
        return [messages.ZoneNoticesAnnounced(notices=notices)]

    # Admission thresholds.

    def _update_thresholds(
        self, capacity: dict[str, float], now: datetime.datetime
    ) -> list[message.Message]:
        demand = self._summaries.demand(now)
        effects: list[message.Message] = []
        backlog = self._summaries.backlog(now)
        for service in sorted({*demand, *self._thresholds}):
            before = self._thresholds.get(service)
            after = shortage.compute_threshold(
                service,
                steps=demand.get(service, {}),
                capacity=capacity.get(service, 0.0),
                short=before is not None,
                backlog=backlog[service],
            )
            if _is_significant_change(before, after):
                effects.append(after)
                self._store_threshold(after)
        return effects

    def _store_threshold(self, threshold: messages.AdmissionThreshold) -> None:
        was_short = threshold.service in self._thresholds
        if threshold.floor > 0:
            self._thresholds[threshold.service] = threshold
        else:
            self._thresholds.pop(threshold.service, None)
        if was_short != (threshold.floor > 0):
            log.info(
                "capacity of service %s is now %s",
                threshold.service,
                "sufficient" if was_short else "short",
            )


def _is_significant_change(
    before: messages.AdmissionThreshold | None,
    after: messages.AdmissionThreshold,
) -> bool:
    if before is None:
        return after.floor > 0
    if before.floor != after.floor:
        return True
    return abs(before.part - after.part) >= MIN_PART_CHANGE
