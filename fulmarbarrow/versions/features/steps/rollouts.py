"""Steps that replay rollouts ordered by call, without a network."""

from __future__ import annotations

import collections
import datetime
import random

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import rollout_control
from fulmarbarrow.versions import rollout_router

GROUP = consensus_messages.Group.CONFIGURATION
SECOND = datetime.timedelta(seconds=1)
STEP = 0.05 * SECOND
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
OUTCOME = placement_messages.WorkOutcome
ROUTES = ("a", "b", "c", "d")
SHARE, SLACK = 0.1, 50


def bad_kind(fault, version, route, since, running):
    """Return what is wrong with a response of a faulty version."""
    if version != "v2" or fault == "is good":
        return ""
    kind = "slow" if "slow" in fault else "fails"
    if "later" in fault and since < 4:
        return ""
    if "one route" in fault and route != "a":
        return ""
    if "under load" in fault and running < 4:
        return ""
    return kind


class Fleet:
    """Routers, control hosts and a log that commits after one step."""

    def __init__(self, routers, rate):
        self.rng = random.Random(1)
        self.now, self.rate = START, rate
        self.faults = {"service": "is good", "other": "is good"}
        self.load = (1.0, 0.0)  # factor on all times, seconds from the order
        self.services = ["service"]
        self.starts_none = False
        self.skews = {}  # seconds by which a host's wall clock is ahead
        self.queue, self.open = [], []
        self.cut, self.deaf = set(), set()
        self.lost = ""  # which messages get lost
        self.seen = set()
        self.unserved = 0
        self.leader, self.leads_from, self.term = "control-0", START, 1
        self.revision, self.index = 0, 0
        self.bundle = bundles.Bundle()
        self.sent = []  # (time, service, version, bad, requests of service)
        self.requests = collections.Counter()
        self.results = {}
        self.answers = {}
        self.ends = {}
        self.moving_at = None
        self.ordered_at = {}
        self.daemons = {}
        self.cores = {}
        self.directories = {}
        self.log = []
        for index in range(3):
            self.add(f"control-{index}", "control")
        for index in range(routers):
            self.add(f"router-{index}", "router")
        for name in self.cores:
            self.introduce(name)
        self.configure()

    def add(self, name, role, incarnation=1):
        daemon = membership_messages.Daemon(
            daemon_id=name,
            incarnation=incarnation,
            zone="z",
            region="r",
            address=name,
            roles=(role,),
        )
        self.daemons[name] = daemon
        if role == "control":
            self.cores[name] = rollout_control.RolloutControl(
                daemon=daemon,
                group=GROUP,
                settings=defaults.RolloutsSection(enabled=True),
            )
        else:
            self.cores[name] = rollout_router.RolloutRouter(
                daemon=daemon, metrics=metrics_module.Metrics(), slack=SLACK
            )
            self.directories[name] = directories.Directory()

    def introduce(self, name):
        for daemon in self.daemons.values():
            self.give(name, membership_messages.DaemonChanged(daemon=daemon))

    def upstreams(self, versions=("v1", "v2")):
        for service in self.services:
            for version in versions:
                for number in range(4):
                    self.upstream(service, version, number)

    def upstream(self, service, version, number, incarnation=1):
        prefix = "" if service == "service" else f"{service}-"
        record = membership_messages.Upstream(
            upstream_id=f"{prefix}{version}-{number}",
            incarnation=incarnation,
            sequence=1,
            zone="z",
            url="http://10.0.0.1:1",
            offers=(
                membership_messages.Offer(
                    service=service, model="", version=version
                ),
            ),
            batch_tokens=600,
            tokens_per_second=0,
            state=membership_messages.UpstreamState.SERVING,
            started_at=START,
            slots=6,
        )
        event = membership_messages.UpstreamChanged(upstream=record)
        for name, core in self.cores.items():
            if name in self.directories:
                self.directories[name].store_upstream(record)
            self.run_effects(name, core.handle(event, self.now))

    def remove(self, upstream_id):
        event = membership_messages.UpstreamGone(
            upstream_id=upstream_id, incarnation=1, reason="left"
        )
        for name, core in self.cores.items():
            if name in self.directories:
                self.directories[name].remove_upstream(upstream_id, 1)
            self.run_effects(name, core.handle(event, self.now))

    def configure(self):
        self.revision += 1
        services = tuple(
            bundles.Service(name=name, kind=bundles.ServiceKind.PLAIN)
            for name in self.services
        )
        self.bundle = bundles.Bundle(
            service=services, version_move=self.bundle.version_move
        )
        self.publish()

    def publish(self):
        event = publishing_messages.ConfigurationChanged(
            revision=self.revision, bundle=self.bundle
        )
        for name in self.cores:
            if name not in self.deaf:
                self.queue.append((name, event))

    def give(self, name, event):
        core = self.cores.get(name)
        if core is not None and type(event) in core.handles:
            now = self.now + self.skews.get(name, 0) * SECOND
            self.run_effects(name, core.handle(event, now))

    def loses(self, sent):
        """Return whether a message is lost, as the first push of a state."""
        if isinstance(sent.message, messages.RolloutsRequest):
            return "requests" in self.lost
        if not isinstance(sent.message, messages.RolloutPush):
            return False
        key = (sent.address, sent.message.state)
        first = key not in self.seen
        self.seen.add(key)
        return first and "pushes" in self.lost

    def run_effects(self, name, effects):
        for effect in effects:
            match effect:
                case message.Send():
                    cut = {name, effect.address} & self.cut
                    if not cut and not self.loses(effect):
                        self.queue.append((effect.address, effect.message))
                case messages.ServiceVersions():
                    if effect.moving and self.moving_at is None:
                        self.moving_at = self.now
                    self.directories[name].set_service_versions(effect)
                case consensus_messages.Propose():
                    self.log.append((name, effect))
                case publishing_messages.AmendRequested():
                    self.log.append((name, effect))
                case publishing_messages.StatusRequested():
                    status = publishing_messages.Status(
                        answered_by=self.leader,
                        current=True,
                        leader=self.leader,
                        revision=self.revision,
                        digest="",
                        publisher="",
                        zones=(),
                        leaderless_since=None,
                        term=self.term,
                    )
                    response = publishing_messages.StatusResponse(
                        status_id=effect.status_id, status=status
                    )
                    self.queue.append((name, response))
                case messages.RolloutOrderResult():
                    self.results[effect.order_id] = effect
                case messages.RolloutResponse():
                    self.answers[effect.read_id] = effect
                case _:
                    self.queue.append((name, effect))

    def commit(self):
        """Commit what was proposed, unless no host leads."""
        if self.now < self.leads_from:
            return
        entries, self.log = self.log, []
        for name, entry in entries:
            self.index += 1
            if isinstance(entry, publishing_messages.AmendRequested):
                changed = amendments.apply(entry.amendment, self.bundle)
                if changed != self.bundle:
                    self.bundle = changed
                    self.revision += 1
                    self.publish()
                result = publishing_messages.AmendResult(
                    amend_id=entry.amend_id
                )
                self.queue.append((name, result))
                continue
            applied = consensus_messages.Applied(
                group=GROUP,
                index=self.index,
                term=self.term,
                command=entry.command,
                machine=entry.machine,
            )
            for other in [n for n in self.cores if n.startswith("control")]:
                self.give(other, applied)
            self.record(entry)

    def record(self, entry):
        step = msgspec.msgpack.decode(
            entry.command, type=messages.RolloutStep | messages.RolloutRead
        )
        final = (
            messages.RolloutState.COMPLETED,
            messages.RolloutState.ROLLED_BACK,
        )
        if isinstance(step, messages.RolloutStep) and step.state in final:
            self.ends.setdefault(step.move_id, (self.now, step))

    def lead(self):
        held = self.now >= self.leads_from
        for name in [n for n in self.cores if n.startswith("control")]:
            own = held and name == self.leader
            skew = self.skews.get(name, 0) * SECOND
            event = consensus_messages.LeaderChanged(
                group=GROUP,
                term=self.term,
                leader=self.leader,
                address=self.leader,
                fencing_number=self.term,
                lease_until=self.now + skew + SECOND if own else None,
            )
            self.give(name, event)

    def step(self):
        self.now += STEP
        self.lead()
        queue, self.queue = self.queue, []
        for name, event in queue:
            self.give(name, event)
        self.commit()
        self.finish()
        for service in self.services:
            expected = self.rate * STEP.total_seconds()
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self.request(service)
        for name in list(self.cores):
            self.give(name, message.Tick())

    def run(self, seconds):
        until = self.now + seconds * SECOND
        while self.now < until:
            self.step()

    def request(self, service):
        name = f"router-{self.rng.randrange(len(self.directories))}"
        self.requests[service] += 1
        request_id = f"{service}{self.requests[service]}"
        event = placement_messages.PlaceRequest(
            request_id=request_id,
            attempt_id=request_id,
            account="a",
            service=service,
            model="",
            chat="",
            cost=100,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            deadline=self.now + 30 * SECOND,
        )
        self.give(name, event)
        directory = self.directories[name]
        event = directory.assign_version(event)
        ring = directory.pool_ring(service, "", event.version)
        if not len(ring):
            self.unserved += 1
            return
        upstream = directory.upstreams[self.rng.choice(ring.members)]
        version = upstream.offers[0].version
        route = self.rng.choice(ROUTES)
        running = sum(item[1].version == version for item in self.open)
        since = (self.now - self.ordered_at.get(service, self.now)) / SECOND
        bad = bad_kind(self.faults[service], version, route, since, running)
        if self.faults[service] == "fails rarely" and bad:
            bad = "fails" if self.rng.random() < 0.1 else ""
        elif self.rng.random() < 0.005:
            bad = bad or "error"
        seconds = self.rng.uniform(0.1, 0.4) * (2 if bad == "slow" else 1)
        if since < self.load[1]:
            seconds *= self.load[0]
        outcome, status = OUTCOME.COMPLETED, 200
        if bad in ("fails", "error"):
            outcome = OUTCOME.FAILED
            if "500" in self.faults[service]:
                outcome, status = OUTCOME.COMPLETED, 500
            elif "cuts" in self.faults[service]:
                outcome = OUTCOME.CRASHED
        self.start(name, event, upstream)
        self.sent.append(
            [self.now, service, version, bad, self.requests[service], name]
        )
        observed = delivery_messages.AttemptObserved(
            account="a",
            service=service,
            model="",
            version=version,
            route=route,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
            outcome=outcome,
            first_token=seconds * SECOND / 2,
            whole=seconds * SECOND if outcome is OUTCOME.COMPLETED else None,
            status=status,
        )
        self.open.append(
            (self.now + seconds * SECOND, observed, name, request_id)
        )

    def start(self, name, event, upstream):
        start = delivery_messages.StartAttempt(
            request_id=event.request_id,
            attempt_id=event.attempt_id,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
            url=upstream.url,
            priority=0,
            deadline=event.deadline,
            version=upstream.offers[0].version,
        )
        self.give(name, start)

    def finish(self):
        due = [item for item in self.open if item[0] <= self.now]
        self.open = [item for item in self.open if item[0] > self.now]
        for _, observed, name, attempt_id in due:
            ended = placement_messages.WorkEnded(
                request_id=attempt_id,
                attempt_id=attempt_id,
                upstream_id=observed.upstream_id,
                incarnation=observed.incarnation,
                outcome=observed.outcome,
            )
            self.give(name, ended)
            self.give(name, observed)

    def order(self, target, seconds, host="control-1", service="service"):
        self.ordered_at.setdefault(service, self.now)
        order = messages.RolloutOrdered(
            order_id=f"order-{self.now}-{service}-{target}",
            service=service,
            target=target,
            duration=seconds * SECOND,
        )
        self.give(host, order)
        return order.order_id

    def moves(self, service="service"):
        return amendments.rollouts_of(self.bundle, service)


@behave.given("a fleet of {routers:d} routers with {rate:d} requests a second")
def step_fleet(context, routers, rate):
    context.fleet = Fleet(routers, rate)
    context.fleet.upstreams()
    context.fleet.run(2)


@behave.step("a new version that {fault}")
def step_fault(context, fault):
    context.fleet.faults["service"] = fault


@behave.given(
    "both versions take {factor:g} times as long until {seconds:g} s after the"
    " order"
)
def step_load(context, factor, seconds):
    context.fleet.load = (factor, seconds)


@behave.given("the first {names} are lost")
def step_lost(context, names):
    context.fleet.lost = names


@behave.then("every router knows that the rollout is {end}")
def step_known(context, end):
    fleet = context.fleet
    move_id = fleet.moves()[-1].id
    for name in fleet.directories:
        states = fleet.cores[name].dump()["states"]
        assert states.get(move_id) == end, (name, states)


@behave.when("upstreams of {version} replace those of {first} and {second}")
def step_replace(context, version, first, second):
    fleet = context.fleet
    for number in range(4):
        fleet.upstream("service", version, number)
        for name in {first, second}:
            fleet.remove(f"{name}-{number}")


@behave.then("the rollout to {target} has the old version {old}")
def step_old(context, target, old):
    move = context.fleet.moves()[-1]
    assert (move.new, move.old) == (target, old), move


@behave.then("no request was without an upstream")
def step_served(context):
    assert not context.fleet.unserved, context.fleet.unserved


@behave.given(
    "a control host with {count:d} rollouts that are completed one by one"
)
def step_many(context, count):
    context.fleet = fleet = Fleet(0, 0)
    for number in range(count):
        order = amendments.StartRollout(
            service=f"service-{number}",
            target="v2",
            old="v1",
            ordered_at=START + number * SECOND,
            deadline=START + (number + 12) * SECOND,
            share=SHARE,
        )
        fleet.bundle = amendments.apply(order, fleet.bundle)
    fleet.publish()
    fleet.run(0.1)
    fleet.leader = ""
    for move in fleet.bundle.version_move:
        step = messages.RolloutStep(
            move_id=move.id,
            state=messages.RolloutState.COMPLETED,
            at=START,
        )
        applied = consensus_messages.Applied(
            group=GROUP,
            index=1,
            term=1,
            command=msgspec.msgpack.encode(step),
            machine=messages.ROLLOUTS_MACHINE,
        )
        fleet.give("control-1", applied)


@behave.then("all {count:d} rollouts are completed there")
def step_all_completed(context, count):
    moves = context.fleet.cores["control-1"].dump().values()
    states = collections.Counter(move["state"] for move in moves)
    assert states == {"completed": count}, states


@behave.given("another service with a good version")
def step_other(context):
    context.fleet.services = ["service", "other"]
    context.fleet.upstreams()
    context.fleet.configure()
    context.fleet.run(0.5)


@behave.given("the platform starts no upstream of v2")
def step_no_upstream(context):
    context.fleet = Fleet(8, 100)
    context.fleet.starts_none = True
    context.fleet.upstreams(versions=("v1",))
    context.fleet.run(1)


@behave.when("a rollout to {target} in {seconds:d} seconds is ordered")
def step_order(context, target, seconds):
    fleet = context.fleet
    if not fleet.starts_none:
        for number in range(4):
            fleet.upstream("service", target, number)
    fleet.order(target, seconds)


@behave.when("a rollout to v2 in {seconds:d} seconds is ordered at {host}")
def step_order_at(context, seconds, host):
    context.fleet.order("v2", seconds, host=host)


@behave.when("a rollout of other to v2 in {seconds:d} seconds is ordered")
def step_order_other(context, seconds):
    context.fleet.order("v2", seconds, service="other")


@behave.when("it runs for {seconds:g} seconds")
def step_run(context, seconds):
    context.fleet.run(seconds)


@behave.when(
    "the leader is lost and another one leads {seconds:g} seconds later"
)
def step_lose_leader(context, seconds):
    fleet = context.fleet
    del fleet.cores["control-0"], fleet.daemons["control-0"]
    fleet.leader, fleet.term = "control-2", 2
    fleet.leads_from = fleet.now + seconds * SECOND
    fleet.log.clear()


@behave.when("upstream v2-0 crashes under {count:d} requests")
def step_crash(context, count):
    fleet = context.fleet
    for number in range(count):
        observed = delivery_messages.AttemptObserved(
            account="a",
            service="service",
            model="",
            version="v2",
            route="a",
            upstream_id="v2-0",
            incarnation=1,
            outcome=OUTCOME.CRASHED,
        )
        fleet.give(f"router-{number % 8}", observed)
    fleet.open = [item for item in fleet.open if item[1].upstream_id != "v2-0"]
    fleet.upstream("service", "v2", 0, incarnation=2)


@behave.when("{name} is cut off")
def step_cut(context, name):
    context.fleet.cut.add(name)


@behave.given("the clock of {name} is {seconds:d} seconds ahead")
def step_skew(context, name, seconds):
    context.fleet.skews[name] = seconds


@behave.when("router-0 restarts")
def step_restart(context):
    fleet = context.fleet
    context.restarted_at = fleet.now
    fleet.add("router-0", "router", incarnation=2)
    fleet.introduce("router-0")
    for number in range(4):
        for version in ("v1", "v2"):
            fleet.upstream("service", version, number)
    changed = publishing_messages.ConfigurationChanged(
        revision=fleet.revision, bundle=fleet.bundle
    )
    fleet.give("router-0", changed)


@behave.when("{name} gets no configuration")
def step_deaf(context, name):
    context.fleet.deaf.add(name)


@behave.when(
    "a rollout of {service} to {target} in {seconds:d} seconds is refused"
)
def step_refused(context, service, target, seconds):
    fleet = context.fleet
    target = target.strip("-")
    order_id = fleet.order(target, seconds, service=service)
    fleet.run(2)
    assert fleet.results[order_id].findings, fleet.results
    assert not fleet.bundle.version_move


def check_end(fleet, service, target, end):
    move = next(m for m in fleet.moves(service) if m.new == target)
    at, step = fleet.ends[move.id]
    assert step.state.value == end, (step, fleet.cores["control-2"].dump())
    skew = fleet.skews.get("control-1", 0) * SECOND
    assert at < move.deadline - skew, (at, move)
    return at, step


@behave.then("the rollout to {target} is {end} before its deadline")
def step_ended(context, target, end):
    context.ended_at, context.end = check_end(
        context.fleet, "service", target, end
    )


@behave.then("the rollout of other to {target} is {end} before its deadline")
def step_other_ended(context, target, end):
    check_end(context.fleet, "other", target, end)


@behave.then('its reason contains "{text}"')
def step_reason(context, text):
    assert text in context.end.reason, context.end


@behave.then("the exposure never exceeded its bound before the move")
def step_exposure(context):
    fleet = context.fleet
    since = fleet.ordered_at["service"]
    new, first = 0, None
    for at, service, version, _, requests, _ in fleet.sent:
        if service != "service" or at <= since + 0.3 * SECOND:
            first = requests
            continue
        if fleet.moving_at is not None and at >= fleet.moving_at:
            break
        new += version == "v2"
        bound = SHARE * (requests - (first or 0)) + SLACK
        assert new <= bound + SHARE * fleet.rate, (at, new, bound)


@behave.then("no request was sent to v1 after the rollout was completed")
def step_none_old(context):
    late = [
        item
        for item in context.fleet.sent
        if item[0] > context.ended_at and item[2] == "v1"
    ]
    assert not late, late[:3]


@behave.then("the share rose only in the last {seconds:d} seconds")
def step_rose(context, seconds):
    fleet = context.fleet
    move = fleet.moves()[-1]
    assert fleet.moving_at >= move.deadline - seconds * SECOND


@behave.then(
    "nothing reaches v2 later than {seconds:d} seconds after its 50th bad"
    " response"
)
def step_stopped(context, seconds):
    fleet = context.fleet
    since = fleet.ordered_at["service"]
    sent = [
        item
        for item in fleet.sent
        if item[1] == "service" and item[2] == "v2" and item[0] > since
    ]
    bad = [item for item in sent if item[3]]
    if fleet.faults["service"] != "is good":
        assert bad
    if len(bad) >= 50 and fleet.faults["service"] != "is good":
        # A response is bad when it arrives, up to 0.8 s after its request.
        limit = bad[49][0] + seconds * SECOND
        assert all(item[0] <= limit for item in sent), sent[-1]


@behave.then("{name} sends nothing to v2")
def step_router_silent(context, name):
    fleet = context.fleet
    late = [
        item
        for item in fleet.sent
        if item[5] == name
        and item[2] == "v2"
        and item[0] > fleet.now - 5 * SECOND
    ]
    assert not late, len(late)


@behave.then("there is {count:d} rollout")
def step_count(context, count):
    assert len(context.fleet.moves()) == count, context.fleet.moves()


@behave.then("nothing reaches v2 any more")
def step_none_new(context):
    fleet = context.fleet
    since = getattr(context, "restarted_at", fleet.now - 5 * SECOND)
    late = [i for i in fleet.sent if i[0] > since and i[2] == "v2"]
    assert not late, late[:3]


@behave.then("both versions were served")
def step_both(context):
    versions = collections.Counter(item[2] for item in context.fleet.sent)
    assert min(versions["v1"], versions["v2"]) > 100, versions


@behave.then('a read at {host} is answered "{answer}"')
def step_read(context, host, answer):
    fleet = context.fleet
    read_id = f"read-{host}"
    event = messages.RolloutRequested(read_id=read_id, service="service")
    fleet.give(host, event)
    fleet.run(1)
    response = fleet.answers[read_id]
    assert answer in (response.state, response.code), response


@behave.then("a stream that {version} began is placed at {only} only")
def step_stream(context, version, only):
    directory = context.fleet.directories["router-0"]
    for number in range(50):
        request = placement_messages.PlaceRequest(
            request_id=f"stream-{version}-{number}",
            attempt_id=f"stream-{version}-{number}",
            account="a",
            service="service",
            model="",
            chat="",
            cost=100,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            deadline=context.fleet.now + 30 * SECOND,
            version=version,
        )
        request = directory.assign_version(request)
        ring = directory.pool_ring("service", "", request.version)
        assert len(ring), request.version
        assert {name.partition("-")[0] for name in ring.members} == {only}
