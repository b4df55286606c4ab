"""The whole fake fleet: hosts, upstreams, callers and operators."""

from __future__ import annotations

import collections.abc
import datetime
import hashlib
import itertools
import typing

from faultmatrix import callers
from faultmatrix import host as hosts
from faultmatrix import network as networks
from faultmatrix import upstream as upstreams
from faultmatrix import world
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages as versions_messages

ZONES = ("a", "b", "c")
CHATS = 20
CHAT_SERVICE = "consultations"
CHAT_MODEL = "lacework"
PLAIN_SERVICE = "register"
CHAT_COST = 150
PLAIN_COST = 100
DEADLINE = datetime.timedelta(seconds=5)
RETRY_PUBLISH = datetime.timedelta(seconds=1)
DRAIN_CHECK = datetime.timedelta(milliseconds=100)
MOVE_LENGTH = datetime.timedelta(seconds=20)

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
    ) -> None:
        self.timeline = world.Timeline(seed=seed)
        self.rng = self.timeline.rng
        self.network = networks.Network(timeline=self.timeline)
        self.watchers = list(watchers)
        self.calls: dict[str, callers.Call] = {}
        self.intentions: list[callers.Intention] = []
        self.bad_versions: set[str] = set()
        self.key_run_counts: dict[str, int] = {}
        self.bundle = bundles.Bundle()
        self.published_digests: dict[str, str] = {}
        self.revision = 0
        self._numbers = itertools.count(1)
        self._requests: dict[str, messages.RequestArrived] = {}
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
            upstream.start()

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
        for call in list(self.calls.values()):
            if call.open and call.host_id == _incarnation(host):
                call.lost = True
                self._call_ended(call)

    def stop_host(self, host: hosts.Host) -> None:
        """Stop a host gracefully, then start it again."""
        host.begin_stop()
        self._drain(host)

    def _drain(self, host: hosts.Host) -> None:
        if not host.alive:
            return
        mine = _incarnation(host)
        if any(c.open and c.host_id == mine for c in self.calls.values()):
            self.timeline.after(DRAIN_CHECK, self._drain, host)
            return
        host.crash()
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
        subscribe = host.bus.subscribe

        def edge(kind: type, action: typing.Any) -> None:
            subscribe(kind, lambda event, now: action(host, event))

        edge(messages.StartAttempt, self._start_attempt)
        edge(messages.CancelAttempt, self._cancel_attempt)
        edge(messages.AnswerStarted, self._answer_started)
        edge(messages.AnswerData, self._answer_data)
        edge(messages.AnswerEnded, self._answer_ended)
        edge(messages.AnswerBroken, self._answer_broken)
        edge(messages.RequestRefused, self._refused)
        edge(membership_messages.AnnounceAccepted, self._accepted)
        edge(versions_messages.Order, self._order)
        edge(versions_messages.VersionStopped, self._stopped)
        edge(publishing_messages.PublishResult, self._publish_result)
        edge(publishing_messages.ConfigurationChanged, self._in_force)
        for hook in self._attach_hooks:
            hook(host)

    # Upstreams.

    def add_engine(self, upstream_id: str, zone: str) -> upstreams.Upstream:
        """Add an engine; the caller starts it."""
        offer = membership_messages.Offer(
            service=CHAT_SERVICE, model=CHAT_MODEL, version="1"
        )
        return self._add_upstream(upstream_id, zone, offer)

    def engines(self) -> list[upstreams.Upstream]:
        """Return the model engines."""
        return [
            item
            for item in self.upstreams.values()
            if item.offer.service == CHAT_SERVICE
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
        return self._requests[request_id]

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

    # Callers.

    def chat(self, *, account: str = "volos", digest: str = "") -> None:
        """Let a caller send a chat."""
        number = next(self._numbers)
        chat = f"chat-{self.rng.randrange(CHATS)}"
        self._intend(
            f"chat {number}",
            account=account,
            service=CHAT_SERVICE,
            model=CHAT_MODEL,
            chat=chat,
            route="/v1/chat/completions",
            method="POST",
            path="/v1/chat/completions",
            digest=digest or f"digest-{number}",
            stream=True,
            cost=CHAT_COST,
            cost_class=placement_messages.CostClass.LONG,
            worth=2.0,
        )

    def place_order(self) -> None:
        """Let a caller place an order that must run at most once."""
        number = next(self._numbers)
        self._intend(
            f"order {number}",
            account="patras",
            service=PLAIN_SERVICE,
            chat=f"order-{number}",
            route="/register/orders",
            method="POST",
            path="/register/orders",
            digest=f"digest-{number}",
            idempotent=False,
            key=f"key-{number}",
            cost=PLAIN_COST,
            worth=10.0,
            lookup_path="/register/orders/by-key",
        )

    def look_up(self) -> None:
        """Let a caller read from the plain service."""
        number = next(self._numbers)
        self._intend(
            f"look-up {number}",
            account="volos",
            service=PLAIN_SERVICE,
            chat=f"look-up-{number}",
            route="/register",
            method="GET",
            path="/register/dies",
            digest=f"digest-{number}",
            cost=PLAIN_COST,
            worth=1.0,
        )

    def _intend(self, name: str, **fields: typing.Any) -> None:
        base = {
            "request_id": "",
            "model": "",
            "idempotent": True,
            "key": "",
            "stream": False,
            "cost_class": placement_messages.CostClass.SHORT,
            "best_effort": False,
            "deadline": self.timeline.now + DEADLINE,
        }
        request = messages.RequestArrived(**{**base, **fields})
        intention = callers.Intention(name=name, request=request)
        self.intentions.append(intention)
        self._send(intention)

    def _send(self, intention: callers.Intention) -> None:
        """Send an intention's request through any entry host."""
        near = self.live(defaults.Role.ROUTER)
        if intention.done or not near:
            return
        host = self.rng.choice(near)
        number = next(self._numbers)
        old = intention.request
        fields = {name: getattr(old, name) for name in old.__struct_fields__}
        fields["request_id"] = f"{_incarnation(host)}-{number}"
        fields["deadline"] = self.timeline.now + DEADLINE
        request = messages.RequestArrived(**fields)
        call = callers.Call(
            request=request,
            host_id=_incarnation(host),
            sent_at=self.timeline.now,
        )
        intention.calls.append(call)
        self.calls[request.request_id] = call
        self._requests[request.request_id] = request
        host.take(request)

    def _call_ended(self, call: callers.Call) -> None:
        for watcher in self.watchers:
            watcher.ended(call)
        if call.answered:
            return
        for intention in self.intentions[::-1]:
            if intention.calls and intention.calls[-1] is call:
                if len(intention.calls) < callers.MAX_SENDS:
                    delay = callers.RESEND_DELAY
                    self.timeline.after(delay, self._send, intention)
                return

    # Operators.

    def publish(self, bundle: bundles.Bundle, publisher: str = "ada") -> None:
        """Publish a bundle until it is accepted or another one wins."""
        self.bundle = bundle
        number = next(self._numbers)
        self._publish_again(bundle, publisher, f"publish-{number}", 0)

    def _publish_again(
        self,
        bundle: bundles.Bundle,
        publisher: str,
        publish_id: str,
        tries: int,
    ) -> None:
        done = any(
            getattr(watcher, "results", {}).get(publish_id)
            for watcher in self.watchers
        )
        near = self.live(defaults.Role.CONTROL)
        if done or not near or tries > 8:
            return
        data = bundles.encode(bundle)
        digest = hashlib.blake2b(data, digest_size=16).hexdigest()
        self.published_digests[publish_id] = digest
        request = publishing_messages.PublishRequested(
            publish_id=publish_id,
            publisher=publisher,
            base_revision=self.revision,
            digest=digest,
            bundle=data,
        )
        host = self.leader() if tries == 0 else self.rng.choice(near)
        (host or near[0]).take(request)
        self.timeline.after(
            RETRY_PUBLISH,
            self._publish_again,
            bundle,
            publisher,
            publish_id,
            tries + 1,
        )

    def first_bundle(self) -> bundles.Bundle:
        """Return the configuration that the fleet starts with."""
        accounts = tuple(
            bundles.Account(
                name=name, key_salt="salt", key_digest=name, weight=weight
            )
            for name, weight in (("patras", 1.0), ("volos", 2.0))
        )
        chat = bundles.Service(
            name=CHAT_SERVICE,
            kind=bundles.ServiceKind.MODEL,
            routes=(bundles.Route(path="/v1/chat/completions", worth=2.0),),
            models=(bundles.Model(name=CHAT_MODEL, version="1"),),
        )
        plain = bundles.Service(
            name=PLAIN_SERVICE,
            kind=bundles.ServiceKind.PLAIN,
            routes=(
                bundles.Route(path="/register", methods=("GET",)),
                bundles.Route(
                    path="/register/orders", idempotent=False, worth=10.0
                ),
            ),
        )
        zones = tuple(
            bundles.Zone(name=zone, region="attica") for zone in ZONES
        )
        return bundles.Bundle(
            service=(chat, plain), account=accounts, zone=zones
        )

    def version_move(self, move_id: str = "move-1") -> bundles.VersionMove:
        """Return a move of the model from version 1 to 2."""
        return bundles.VersionMove(
            id=move_id,
            service=CHAT_SERVICE,
            model=CHAT_MODEL,
            old="1",
            new="2",
            deadline=self.timeline.now + MOVE_LENGTH,
            share_cap=0.2,
        )

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
        self.timeline.after(delay, self._arrive, host, upstream, event)

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

    def _answer_started(
        self, host: hosts.Host, event: messages.AnswerStarted
    ) -> None:
        call = self.calls[event.request_id]
        call.status = event.status
        call.length = event.length
        call.replayed = event.replayed

    def _answer_data(
        self, host: hosts.Host, event: messages.AnswerData
    ) -> None:
        self.calls[event.request_id].body += event.data

    def _answer_ended(
        self, host: hosts.Host, event: messages.AnswerEnded
    ) -> None:
        call = self.calls[event.request_id]
        call.ended = True
        self._call_ended(call)

    def _answer_broken(
        self, host: hosts.Host, event: messages.AnswerBroken
    ) -> None:
        self._end_with(event.request_id, event.code, event.ran)

    def _refused(
        self, host: hosts.Host, event: messages.RequestRefused
    ) -> None:
        self._end_with(event.request_id, event.code, event.ran)

    def _end_with(self, request_id: str, code: str, ran: messages.Ran) -> None:
        call = self.calls[request_id]
        call.code = code
        call.ran = ran
        call.ended = True
        self._call_ended(call)

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

    def _publish_result(
        self, host: hosts.Host, event: publishing_messages.PublishResult
    ) -> None:
        self.revision = max(self.revision, event.revision)
        for watcher in self.watchers:
            watcher.published(event)

    def _in_force(
        self,
        host: hosts.Host,
        event: publishing_messages.ConfigurationChanged,
    ) -> None:
        for watcher in self.watchers:
            watcher.in_force(host, event.revision, event.bundle)

    @staticmethod
    def _make_plans() -> tuple[hosts.HostPlan, ...]:
        wanted = [(f"control-{zone}", zone, _CONTROL) for zone in ZONES]
        wanted += [
            (f"entry-{zone}{number}", zone, _ROUTER)
            for zone in ZONES[:2]
            for number in (1, 2)
        ]
        return tuple(
            hosts.HostPlan(
                daemon_id=name, zone=zone, port=7000 + number, roles=roles
            )
            for number, (name, zone, roles) in enumerate(wanted)
        )

    def _add_upstreams(self) -> None:
        for zone in ZONES[:2]:
            for number in (1, 2):
                self.add_engine(f"engine-{zone}{number}", zone)
            offer = membership_messages.Offer(service=PLAIN_SERVICE)
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


def _incarnation(host: hosts.Host) -> str:
    """Return a name of this incarnation of a host."""
    return f"{host.plan.daemon_id}.{host.record.incarnation}"
