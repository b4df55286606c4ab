"""The whole fake fleet: hosts, upstreams, callers and operators."""

from __future__ import annotations

import collections.abc
import datetime
import typing

import msgspec

from faultmatrix import callers
from faultmatrix import calling
from faultmatrix import host as hosts
from faultmatrix import network as networks
from faultmatrix import operators
from faultmatrix import sabotage as sabotages
from faultmatrix import upstream as upstreams
from faultmatrix import world
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages as versions_messages

DRAIN_CHECK = datetime.timedelta(milliseconds=100)
AGE = datetime.timedelta(minutes=5)  # of the first upstreams

_ROUTER = (defaults.Role.ROUTER,)
_CONTROL = (defaults.Role.CONTROL,)


class Watcher:
    """Base of the checks: is told of everything, ignores it by default."""

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """An attempt arrived at an upstream."""

    def executed(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """An upstream ran a request."""

    def ended(self, call: callers.Call) -> None:
        """A caller's request ended in any way."""

    def in_force(
        self, host: hosts.Host, revision: int, bundle: bundles.Bundle
    ) -> None:
        """A daemon put a revision in force."""

    def published(self, result: publishing_messages.PublishResult) -> None:
        """An operator got an answer."""

    def stopped(self, event: versions_messages.VersionStopped) -> None:
        """A version was found bad."""


class Fleet:
    """Builds everything and carries the effects between the parts."""

    def __init__(
        self,
        *,
        seed: int,
        watchers: collections.abc.Sequence[Watcher] = (),
        sabotage: sabotages.Sabotage | None = None,
        snapshot_entries: int = defaults.ControlSection.snapshot_entries,
    ) -> None:
        self._snapshot_entries = snapshot_entries
        self.sabotage = sabotage or sabotages.Sabotage()
        self.timeline = world.Timeline(seed=seed)
        self.rng = self.timeline.rng
        self.network = networks.Network(timeline=self.timeline)
        self.watchers = list(watchers)
        self.callers = calling.Callers(fleet=self)
        self.operators = operators.Operators(fleet=self)
        self.bad_versions: set[str] = set()
        self.key_run_counts: dict[str, int] = {}
        self._attach_hooks: list[
            collections.abc.Callable[[hosts.Host], None]
        ] = []
        self.plans = self._make_plans()
        self.control_plans = self.plans[:3]
        self.disks = {
            plan.daemon_id: hosts.HostDisk(identity=f"{plan.daemon_id}-1")
            for plan in self.control_plans
        }
        self.hosts: dict[str, hosts.Host] = {}
        self.upstreams: dict[str, upstreams.Upstream] = {}
        self._add_upstreams()

    def begin(
        self,
        hook: collections.abc.Callable[[hosts.Host], None] | None = None,
    ) -> None:
        """Start all hosts and upstreams; ``hook`` sees each new host."""
        if hook is not None:
            self._attach_hooks.append(hook)
        for plan in self.plans:
            self.start_host(plan)
        for upstream in self.upstreams.values():
            upstream.start(AGE)

    # Hosts.

    def start_host(self, plan: hosts.HostPlan) -> hosts.Host:
        """Start a host, or start it again as a new incarnation."""
        host = hosts.Host(
            plan=plan,
            members=self.control_plans,
            seeds=tuple(item.address for item in self.plans[1:5:2]),
            disk=self.disks.get(plan.daemon_id),
            timeline=self.timeline,
            network=self.network,
            edges=self,
            snapshot_entries=self._snapshot_entries,
        )
        self.hosts[plan.daemon_id] = host
        return host

    def crash_host(self, host: hosts.Host) -> None:
        """End a host; its callers lose their connections."""
        host.crash()
        for upstream in self.upstreams.values():
            for attempt_id, run in list(upstream.runs.items()):
                if run.host is host:
                    upstream.cancel(attempt_id)
        self.callers.lose(host)

    def stop_host(self, host: hosts.Host) -> None:
        """Stop a host gracefully, then start it again."""
        host.begin_stop()
        self._drain(host)

    def _drain(self, host: hosts.Host) -> None:
        if not host.alive:
            return
        if self.callers.open_at(host) and not self.sabotage.cuts_stops:
            self.timeline.after(DRAIN_CHECK, self._drain, host)
            return
        self.crash_host(host)
        self.timeline.after(
            datetime.timedelta(seconds=1), self.start_host, host.plan
        )

    def live(self, role: defaults.Role) -> list[hosts.Host]:
        """Return the running hosts of a role that are not leaving."""
        return [
            host
            for host in self.hosts.values()
            if host.alive and not host.leaving and role in host.plan.roles
        ]

    def leader(self) -> hosts.Host | None:
        """Return the control host that leads the configuration's log."""
        for host in self.live(defaults.Role.CONTROL):
            if host.cores.by_name["consensus"].dump()["role"] == "leader":
                return host
        return None

    def attach(self, host: hosts.Host) -> None:
        """Subscribe the fake edges to a new host's bus."""
        self.callers.attach(host)
        self.operators.attach(host)
        self.edge(host, messages.StartAttempt, self._start_attempt)
        self.edge(host, messages.CancelAttempt, self._cancel_attempt)
        self.edge(host, membership_messages.AnnounceAccepted, self._accepted)
        self.edge(host, versions_messages.Order, self._order)
        self.edge(host, versions_messages.VersionStopped, self._stopped)
        self.edge(
            host, publishing_messages.ConfigurationChanged, self._in_force
        )
        for hook in self._attach_hooks:
            hook(host)

    def edge(self, host: hosts.Host, kind: type, action: typing.Any) -> None:
        """Give a host's messages of a type to an action of the fake edge."""

        def act(event: typing.Any, now: datetime.datetime) -> None:
            left = event
            if self.sabotage.tamper is not None:
                left = self.sabotage.tamper("", sabotages.EDGE, event, now)
            action(host, left)

        host.bus.subscribe(kind, act)

    # Upstreams.

    def add_engine(self, upstream_id: str, zone: str) -> upstreams.Upstream:
        """Add an engine; the caller starts it."""
        offer = membership_messages.Offer(
            service=calling.CHAT_SERVICE, model=calling.CHAT_MODEL, version="1"
        )
        return self._add_upstream(upstream_id, zone, offer)

    def engines(self) -> list[upstreams.Upstream]:
        """Return the model engines."""
        return [
            item
            for item in self.upstreams.values()
            if item.offer.service == calling.CHAT_SERVICE
        ]

    def reachable(self, host: hosts.Host, zone: str) -> bool:
        """Whether a host and an upstream's zone are connected."""
        return host.alive and self.network.reaches(host.zone, zone)

    def entry_for(self, zone: str) -> hosts.Host | None:
        """Return the entry host that the balancer picks for a zone."""
        near = [
            host
            for host in self.live(defaults.Role.ROUTER)
            if self.network.reaches(host.zone, zone)
        ]
        return self.rng.choice(near) if near else None

    def request(self, request_id: str) -> messages.RequestArrived:
        """Return a request by its id."""
        return self.callers.request(request_id)

    def key_runs(self, request: messages.RequestArrived) -> int:
        """Return how often an idempotency key's action ran."""
        return self.key_run_counts.get(request.key, 0)

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Tell the watchers of an attempt that arrived."""
        for watcher in self.watchers:
            watcher.dispatched(upstream, run)

    def executed(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Count a run and tell the watchers."""
        key = run.request.key
        if key:
            self.key_run_counts[key] = self.key_run_counts.get(key, 0) + 1
        for watcher in self.watchers:
            watcher.executed(upstream, run)

    # Effects of the cores.

    def _start_attempt(
        self, host: hosts.Host, event: messages.StartAttempt
    ) -> None:
        until = event.dispatch_until
        if until is not None and self.timeline.now >= until:
            failed = messages.AttemptFailed(
                attempt_id=event.attempt_id,
                kind=messages.FailureKind.LEASE_PASSED,
                sent=False,
            )
            host.take(failed)
            return
        delay = networks.LATENCY
        upstream = self.upstreams[event.upstream_id]
        if self.sabotage.reroute:
            upstream = self._freshest(upstream)
            event = msgspec.structs.replace(
                event, incarnation=upstream.incarnation
            )
        self.timeline.after(delay, self._arrive, host, upstream, event)

    def _freshest(self, chosen: upstreams.Upstream) -> upstreams.Upstream:
        """Return the upstream of a service that started last."""
        service = chosen.offer.service
        pool = [
            item
            for item in self.upstreams.values()
            if item.up and item.offer.service == service
        ]
        return max(pool, key=lambda item: item.serving_since, default=chosen)

    def _arrive(
        self,
        host: hosts.Host,
        upstream: upstreams.Upstream,
        event: messages.StartAttempt,
    ) -> None:
        if host.alive:
            upstream.take(host, event)

    def _cancel_attempt(
        self, host: hosts.Host, event: messages.CancelAttempt
    ) -> None:
        self.upstreams[event.upstream_id].cancel(event.attempt_id)

    def _accepted(
        self, host: hosts.Host, event: membership_messages.AnnounceAccepted
    ) -> None:
        upstream = self.upstreams.get(event.upstream_id)
        if upstream is not None:
            upstream.accepted(event)

    def _order(self, host: hosts.Host, event: versions_messages.Order) -> None:
        result = self.upstreams[event.upstream_id].order(event)
        self.timeline.after(networks.LATENCY, host.take, result)

    def _stopped(
        self, host: hosts.Host, event: versions_messages.VersionStopped
    ) -> None:
        for watcher in self.watchers:
            watcher.stopped(event)

    def _in_force(
        self,
        host: hosts.Host,
        event: publishing_messages.ConfigurationChanged,
    ) -> None:
        for watcher in self.watchers:
            watcher.in_force(host, event.revision, event.bundle)

    @staticmethod
    def _make_plans() -> tuple[hosts.HostPlan, ...]:
        wanted = [(f"control-{zone}", zone, _CONTROL) for zone in hosts.ZONES]
        wanted += [
            (f"entry-{zone}{number}", zone, _ROUTER)
            for zone in hosts.ZONES[:2]
            for number in (1, 2)
        ]
        return tuple(
            hosts.HostPlan(
                daemon_id=name, zone=zone, port=7000 + number, roles=roles
            )
            for number, (name, zone, roles) in enumerate(wanted)
        )

    def _add_upstreams(self) -> None:
        for zone in hosts.ZONES[:2]:
            for number in (1, 2):
                self.add_engine(f"engine-{zone}{number}", zone)
            offer = membership_messages.Offer(service=calling.PLAIN_SERVICE)
            self._add_upstream(f"plain-{zone}1", zone, offer)

    def _add_upstream(
        self, upstream_id: str, zone: str, offer: membership_messages.Offer
    ) -> upstreams.Upstream:
        upstream = upstreams.Upstream(
            upstream_id=upstream_id,
            zone=zone,
            offer=offer,
            timeline=self.timeline,
            fleet=self,
        )
        self.upstreams[upstream_id] = upstream
        return upstream
