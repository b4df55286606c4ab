"""Places attempts at upstreams and manages the owned upstreams' work."""

from __future__ import annotations

import collections
import datetime
import itertools
import random
import typing

from fulmarbarrow.config import defaults
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import cache_sources
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import entry as entries
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import load_reports
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import owner as owners
from fulmarbarrow.placement import ownerless as ownerless_module
from fulmarbarrow.placement import part_directory
from fulmarbarrow.placement import part_holders
from fulmarbarrow.placement import part_sources
from fulmarbarrow.placement import pool_means
from fulmarbarrow.placement import rate_limits
from fulmarbarrow.placement import running_attempts
from fulmarbarrow.placement import scheduling
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages as zones_messages

# Number of randomly chosen routers that each load summary is sent to.
SUMMARY_RECEIVERS = 4

_ROUTER_ROLE = "router"


class PlacementCore:
    """Event handler of placement in a router.

    As entry host it selects an upstream for each request and asks the
    upstream's owner for a reservation. As owner it grants reservations at
    its upstreams. Messages to the daemon itself are handled directly instead
    of being sent.
    """

    handles = (
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.OwnerChanged,
        membership_messages.LoadReported,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        zones_messages.ZoneWeights,
        versions_messages.VersionShares,
        versions_messages.ServiceVersions,
        publishing_messages.ConfigurationChanged,
        messages.PlaceRequest,
        messages.PlaceCancelled,
        messages.WorkEnded,
        messages.LoadStated,
        messages.LoadReadings,
        messages.PlainStates,
        messages.RateLimitNamed,
        messages.UpstreamRateLimit,
        messages.Reserve,
        messages.Reserved,
        messages.ReserveRefused,
        messages.Release,
        messages.Renew,
        messages.ChatMoved,
        messages.PartsPlaced,
        messages.PartsCopied,
        messages.CacheLost,
        messages.Preempt,
        messages.OwnerSummary,
        messages.PlacementTick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        policy: scheduling.Policy,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        bounds: bounds_module.Bounds | None = None,
        timing: defaults.PlacementSection | None = None,
    ) -> None:
        self._daemon = daemon
        self._address = daemon.address
        self._rng = rng
        bounds = bounds or bounds_module.Bounds()
        self._timing = timing or defaults.PlacementSection()
        self._directory = directories.Directory()
        self._means = pool_means.PoolMeans()
        self._running = running_attempts.RunningAttempts(
            address=daemon.address
        )
        self._limits = rate_limits.KnownLimits()
        self._ownerless = ownerless_module.OwnerlessLimits(
            router=daemon.daemon_id, bounds=bounds, limits=self._limits
        )
        self._owner_core = owners.OwnerCore(
            directory=self._directory,
            means=self._means,
            policy=policy,
            bounds=bounds,
            metrics=metrics,
            address=daemon.address,
            rng=rng,
        )
        self._states = self._owner_core.states
        self._reports = load_reports.LoadReports()
        self._routers: dict[str, membership_messages.Daemon] = {}
        # Peers behind a cut may place work, so they count after their death.
        self._had_peers = False
        self._health = healths.Health(
            zone_of=self._directory.zone,
            router_count=lambda: len(self._routers) + 1,
        )
        self._guesses = cache_sources.CacheSources(
            directory=self._directory, health=self._health
        )
        engines = part_holders.EngineIndex()
        self._sources = part_sources.PartSources(
            directory=self._directory,
            engines=engines,
            health=self._health,
            guesses=self._guesses,
            metrics=metrics,
            enabled=self._timing.fetches,
        )
        self._parts = part_directory.PartDirectory(
            address=daemon.address,
            directory=self._directory,
            engines=engines,
            metrics=metrics,
            enabled=self._timing.fetches,
        )
        self._entry_core = entries.EntryCore(
            address=daemon.address,
            zone=daemon.zone,
            directory=self._directory,
            running=self._running,
            ownerless=self._ownerless,
            health=self._health,
            sources=self._sources,
            choice=self._owner_core.choice,
            metrics=metrics,
            rng=rng,
            timing=self._timing,
        )
        self._sequence = itertools.count(1)
        self._summary_due: datetime.datetime | None = None

    @property
    def active(self) -> bool:
        """Whether an attempt, a queue or a release waits for a tick."""
        return bool(
            len(self._entry_core)
            or self._owner_core.queued
            or self._running.has_releases
            or self._reports.waiting
        )

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        effects: list[message.Message] = []
        queue = collections.deque((event,))
        while queue:
            for effect in (
                *self._dispatch(queue.popleft(), now),
                *self._sources.take_reports(),
            ):
                effect = self._parts.complete(effect, now)
                if (
                    type(effect) is message.Send
                    and effect.address == self._address
                ):
                    queue.append(effect.message)
                else:
                    effects.append(effect)
        return effects

    def dump(self) -> dict[str, typing.Any]:
        """Return upstreams, owned ledgers and pending requests as data."""
        return {
            "upstreams": sorted(self._directory.upstreams),
            "owners": {
                upstream_id: f"{owner.daemon_id} epoch {owner.epoch}"
                for upstream_id, owner in self._directory.owners.items()
            },
            "owned": self._owner_core.dump(),
            "walks": self._entry_core.dump(),
            "held": len(self._running),
            "left_out": self._health.dump(),
            "rate_limits": self._limits.dump(),
            "pool_loads": self._means.dump(),
            **self._parts.dump(),
            "load_models": self._owner_core.models.dump(),
            "plain_states": self._states.dump(),
        }

    def _dispatch(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case messages.PlaceRequest():
                return self._entry_core.place(event, now)
            case messages.Reserve():
                self._parts.expect(event)
                return self._states.attach(
                    self._owner_core.reserve(event, now), now
                )
            case messages.Reserved():
                self._states.record(event.states, now)
                return self._entry_core.handle_grant(event, now)
            case messages.ReserveRefused():
                self._states.record(event.states, now)
                return self._entry_core.handle_refusal(event, now)
            case messages.WorkEnded():
                return self._work_ended(event, now)
            case messages.Release():
                return self._states.attach(self._release(event, now), now)
            case messages.LoadStated():
                known_pace = self._states.recent_pace(event.upstream_id, now)
                self._reports.record(event, now, known_pace)
            case messages.LoadReadings():
                self._owner_core.models.record(event, now)
            case messages.PlainStates():
                self._states.record(event.states, now)
            case messages.RateLimitNamed():
                return self._limits.record(event, self._directory, now)
            case messages.UpstreamRateLimit():
                self._owner_core.record_rate_limit(event, now)
            case messages.PlacementTick():
                return self._tick(now)
            case messages.PlaceCancelled():
                self._entry_core.cancel(event.attempt_id)
            case messages.Renew():
                return self._owner_core.renew(event, now)
            case messages.Preempt():
                return self._preempt(event)
            case messages.ChatMoved():
                self._owner_core.record_chat_move(event)
            case messages.PartsPlaced():
                self._parts.record_placed(event, now)
            case messages.PartsCopied():
                self._parts.merge(event, now)
            case messages.CacheLost():
                self._parts.forget_engine(event.upstream_id, event.incarnation)
            case messages.OwnerSummary():
                self._means.record_summary(event, now)
                self._states.record(event.states, now)
            case _:
                return self._apply_change(event, now)
        return []

    def _apply_change(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Apply a change of upstreams, daemons, zones or versions."""
        match event:
            case membership_messages.UpstreamChanged():
                return self._upstream_changed(event.upstream, now)
            case membership_messages.UpstreamGone():
                return self._upstream_gone(event)
            case publishing_messages.ConfigurationChanged():
                return [
                    effect
                    for upstream in self._directory.configure(event.bundle)
                    for effect in self._update_owned(upstream, now)
                ]
            case membership_messages.OwnerChanged():
                return self._owner_changed(event, now)
            case membership_messages.LoadReported():
                self._ownerless.record_load(event, now)
                self._owner_core.record_load(event, now)
            case membership_messages.DaemonChanged():
                return self._daemon_changed(event.daemon, now)
            case membership_messages.DaemonGone():
                self._forget_router(event.daemon_id)
                return self._update_routers(now)
            case zones_messages.ZoneWeights():
                self._directory.set_zone_weights(event.weights)
                self._guesses.set_zone_weights(event.weights, now)
                self._parts.recheck()
            case versions_messages.VersionShares():
                self._directory.set_version_shares(
                    event.service, event.model, event.shares
                )
            case versions_messages.ServiceVersions():
                self._directory.set_service_versions(event)
        return []

    def _upstream_changed(
        self, upstream: membership_messages.Upstream, now: datetime.datetime
    ) -> list[message.Message]:
        new_run = self._directory.store_upstream(upstream)
        upstream_id = upstream.upstream_id
        if new_run:
            self._ownerless.remove_upstream(upstream_id)
            self._limits.remove_upstream(upstream_id)
        self._parts.recheck(upstream)
        refusals = self._update_owned(
            self._directory.upstreams[upstream_id], now
        )
        return [*refusals, *self._assume_ownership(now)]

    def _update_owned(
        self, upstream: membership_messages.Upstream, now: datetime.datetime
    ) -> list[message.Message]:
        """Update an owned upstream's ledger from its latest record."""
        owner = self._directory.owners.get(upstream.upstream_id)
        if owner is None or owner.daemon_id != self._daemon.daemon_id:
            return []
        return self._owner_core.acquire(upstream, owner.epoch, now)

    def _upstream_gone(
        self, event: membership_messages.UpstreamGone
    ) -> list[message.Message]:
        if not self._directory.remove_upstream(
            event.upstream_id, event.incarnation
        ):
            return []
        self._ownerless.remove_upstream(event.upstream_id)
        self._limits.remove_upstream(event.upstream_id)
        self._health.forget(event.upstream_id)
        self._parts.recheck()
        return self._owner_core.drop(event.upstream_id, "not_serving")

    def _owner_changed(
        self,
        event: membership_messages.OwnerChanged,
        now: datetime.datetime,
        *,
        assumed: bool = False,
    ) -> list[message.Message]:
        owner = directories.Owner(
            daemon_id=event.owner,
            address=event.address,
            incarnation=event.incarnation,
            epoch=event.owner_epoch,
            assumed=assumed,
        )
        if self._keeps_owner(event):
            return []
        replaces = self._replaces_other(event)
        if not self._directory.set_owner(event.upstream_id, owner):
            return []
        self._parts.recheck()
        upstream = self._directory.upstreams.get(event.upstream_id)
        if event.owner != self._daemon.daemon_id:
            effects = self._owner_core.drop(event.upstream_id, "not_owner")
        elif upstream is not None:
            effects = self._owner_core.acquire(
                upstream,
                event.owner_epoch,
                now,
                replaces=replaces,
                has_peers=self._had_peers,
            )
        else:
            effects = []
        renewals = self._running.renewals(
            self._directory, now, event.upstream_id
        )
        limits = self._limits.tell_new_owner(
            event.upstream_id, self._directory
        )
        return [*effects, *renewals, *limits]

    def _replaces_other(self, event: membership_messages.OwnerChanged) -> bool:
        """Return whether another daemon owned this incarnation before."""
        known = self._directory.owners.get(event.upstream_id)
        return (
            known is not None
            and bool(known.daemon_id)
            and known.daemon_id != event.owner
            and known.incarnation == event.incarnation
        )

    def _keeps_owner(self, event: membership_messages.OwnerChanged) -> bool:
        """Return whether a restarted upstream keeps its former owner.

        An upstream names no owner right after its restart, and routers of
        different zones may then assume different owners. The former owner is
        known to all of them and limits the ramp until the upstream names one.
        """
        known = self._directory.owners.get(event.upstream_id)
        if known is None or not known.epoch or event.owner_epoch:
            return False
        owned_here = known.daemon_id == self._daemon.daemon_id
        alive = owned_here or known.daemon_id in self._routers
        return alive and event.incarnation > known.incarnation

    def _daemon_changed(
        self, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> list[message.Message]:
        dead = daemon.state is membership_messages.DaemonState.DEAD
        if daemon.daemon_id == self._daemon.daemon_id:
            return []
        known = self._routers.get(daemon.daemon_id)
        if known is not None and known.incarnation != daemon.incarnation:
            self._parts.forget_receiver(known.address)
        if dead or daemon.region != self._daemon.region:
            self._forget_router(daemon.daemon_id)
        elif _ROUTER_ROLE in daemon.roles:
            self._routers[daemon.daemon_id] = daemon
            self._had_peers = True
        return self._update_routers(now)

    def _forget_router(self, daemon_id: str) -> None:
        known = self._routers.pop(daemon_id, None)
        if known is not None:
            self._parts.forget_receiver(known.address)

    def _update_routers(self, now: datetime.datetime) -> list[message.Message]:
        self._ownerless.set_routers(frozenset(self._routers))
        return self._assume_ownership(now)

    def _drop_assumed_ownership(self) -> list[message.Message]:
        """Drop upstreams that were owned only because no peer was known."""
        effects: list[message.Message] = []
        for upstream_id, owner in list(self._directory.owners.items()):
            if owner.assumed:
                self._directory.remove_owner(upstream_id)
                effects.extend(self._owner_core.drop(upstream_id, "not_owner"))
        return effects

    def _assume_ownership(
        self, now: datetime.datetime
    ) -> list[message.Message]:
        """Assume ownership of upstreams without an owner if there is no peer.

        Ownership that was assumed before ends as soon as a peer is known.
        """
        if self._routers:
            return self._drop_assumed_ownership()
        effects: list[message.Message] = []
        for upstream_id in self._directory.upstreams:
            if upstream_id in self._directory.owners:
                continue
            effects.extend(
                self._owner_changed(
                    membership_messages.OwnerChanged(
                        upstream_id=upstream_id,
                        incarnation=0,
                        owner=self._daemon.daemon_id,
                        address=self._address,
                        owner_epoch=0,
                    ),
                    now,
                    assumed=True,
                )
            )
        return effects

    def _work_ended(
        self, event: messages.WorkEnded, now: datetime.datetime
    ) -> list[message.Message]:
        attempt = self._running.get(event.attempt_id)
        if not self._running.end(event):
            return []
        self._health.record_outcome(event, now)
        self._sources.end(event)
        self._reports.record_time(event, attempt.request.service, now)
        owner = self._directory.owners.get(event.upstream_id)
        if owner is None:
            return []
        # The few slots of a plain upstream are not left idle for a tick.
        few_slots = self._owner_core.choice.active(event.upstream_id, now)
        if owner.address != self._address and not few_slots:
            return []
        return self._running.take_releases(self._directory)

    def _release(
        self, event: messages.Release, now: datetime.datetime
    ) -> list[message.Message]:
        effects = self._owner_core.release(event, now)
        for upstream in self._owner_core.take_turned_cold():
            receivers = [item.address for item in self._routers.values()]
            effects.extend(self._parts.lose_cache(upstream, receivers))
        return effects

    def _preempt(self, event: messages.Preempt) -> list[message.Message]:
        return [
            messages.PreemptWork(attempt_id=attempt_id)
            for attempt_id in event.attempt_ids
            if self._running.get(attempt_id) is not None
        ]

    def _tick(self, now: datetime.datetime) -> list[message.Message]:
        effects = [
            *self._entry_core.tick(now),
            *self._states.attach(self._owner_core.tick(now), now),
            *self._running.take_releases(self._directory),
            *self._parts.tick(now),
            *self._reports.take(self._directory, self._address, now),
            *self._states.exchange(now),
        ]
        if self._summary_due is None or self._summary_due <= now:
            self._summary_due = now + self._timing.summary_interval
            for pool in self._directory.model_members():
                self._health.exclude_outliers(pool, now)
            effects.extend(self._send_summaries(now))
            effects.extend(self._running.renewals(self._directory, now))
        return effects

    def _send_summaries(self, now: datetime.datetime) -> list[message.Message]:
        """Send the load of the owned upstreams to randomly chosen routers."""
        pools = self._owner_core.pools(now)
        self._means.update(pools, now)
        if not pools or not self._routers:
            return []
        count = min(SUMMARY_RECEIVERS, len(self._routers))
        receivers = self._rng.sample(sorted(self._routers), count)
        summary = messages.OwnerSummary(
            owner=self._daemon.daemon_id,
            sequence=next(self._sequence),
            pools=tuple(pools),
            states=self._states.for_summary(now),
        )
        return [
            message.Send(
                address=self._routers[daemon_id].address, message=summary
            )
            for daemon_id in receivers
        ]
