"""Steps on the orders of the holder and the reports of routers."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.daemon import cores
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import control
from fulmarbarrow.scaling import messages
from fulmarbarrow.scaling import reporter

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
GROUP = consensus_messages.Group.CONFIGURATION
DUTY = duties_messages.Duty.SCALING
BUNDLE = bundles.Bundle(
    service=(
        bundles.Service(
            name="s",
            kind=bundles.ServiceKind.PLAIN,
            pool=bundles.Pool(max_connections=6),
            scaling=bundles.Scaling(least=1, most=30, start_time=8 * SECOND),
        ),
    )
)
# The encoding of the build before services had a number of upstreams.
FORMER_BUNDLE = (
    b'{"service":[{"name":"n","kind":"plain","routes":[],"models":[],"pool":'
    b'{"max_connections":6,"health_path":"","cold_rate":0.0,"cold_period":'
    b'"P0D","slots":0,"kv_tokens":0}}],"account":[],"zone":[{"name":"a",'
    b'"region":"r","state":"in"}],"version_move":[],"host_route":[]}'
)
# Requests a second of 0.25 s for which that many upstreams are needed.
RATES = {5: 76, 6: 96, 9: 160}


def daemon(name, role):
    return membership_messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone="a",
        region="r",
        address=f"{name}:1",
        roles=(role,),
    )


class Host:
    """The core of a control host, with a log that commits everything."""

    def __init__(self):
        self.core = control.ScalingControl(
            daemon=daemon("control", "control"),
            group=GROUP,
            duties=defaults.DutiesSection(),
            timing=defaults.ScalingSection(enabled=True),
            metrics=metrics_module.Metrics(),
        )
        self.now = START
        self.index = 0
        self.outcomes = []
        self.always = "accepted"
        self.calls = []
        self.called = []
        self.posted = []
        self.held = None
        self.arrived = 0
        self.sequence = 0

    def post(self, event):
        for effect in self.core.handle(event, self.now):
            self.posted.append(effect)
            match effect:
                case consensus_messages.Propose():
                    self.commit(effect.command)
                case messages.OrderUpstreams():
                    assert self.now < effect.valid_until
                    name = messages.subject(effect.service, effect.zone)
                    stored = self.core._store.get(name)
                    assert stored.wanted == effect.wanted
                    self.called.append((self.now, name))
                    self.calls.append(f"{effect.wanted}@{effect.number}")
                    outcome = self.always
                    if self.outcomes:
                        outcome = self.outcomes.pop()
                    self.post(
                        duties_messages.CallEnded(
                            call_id=effect.call_id,
                            outcome=duties_messages.CallOutcome(outcome),
                        )
                    )

    def register(self, name, zone):
        self.post(
            membership_messages.UpstreamChanged(
                upstream=membership_messages.Upstream(
                    upstream_id=name,
                    incarnation=1,
                    sequence=1,
                    zone=zone,
                    url="http://127.0.0.1:1",
                    offers=(membership_messages.Offer(service="s"),),
                    batch_tokens=0,
                    tokens_per_second=0,
                    state=membership_messages.UpstreamState.SERVING,
                    started_at=START,
                    slots=6,
                )
            )
        )

    def commit(self, command):
        self.index += 1
        self.post(
            consensus_messages.Applied(
                group=GROUP,
                index=self.index,
                term=1,
                command=command,
                machine=messages.MACHINE,
            )
        )

    def hold(self, number, seconds=3):
        self.held = number
        for subject in self.core._wanted_subjects:
            self.post(
                duties_messages.DutyHeld(
                    duty=DUTY,
                    subject=subject,
                    number=number,
                    until=self.now + seconds * SECOND,
                )
            )

    def report(self, **changes):
        self.sequence += 1
        work = {
            "service": "s",
            "arrived": self.arrived,
            "served": self.arrived,
            "busy_ms": self.arrived * 250,
        }
        fields = {"span_ms": 1000, "valid_ms": 6000}
        fields |= {key: changes.pop(key) for key in fields & changes.keys()}
        entry = messages.ServiceWork(**(work | changes))
        services = (entry,) * fields.pop("entries", 1)
        self.post(
            messages.OfferedWork(
                daemon_id="router",
                incarnation=1,
                sequence=self.sequence,
                services=services,
                **fields,
            )
        )

    def run(self, seconds, renews=True):
        for tick in range(seconds * 4):
            self.now += SECOND / 4
            if tick % 4 == 0:
                self.report()
                if renews and self.held is not None:
                    self.hold(self.held)
            self.post(message.Tick())

    @property
    def order(self):
        return self.core._store.get("s/a")


@behave.given('a control host that may order upstreams of service "s"')
def step_host(context):
    context.host = host = Host()
    host.post(
        publishing_messages.ConfigurationChanged(revision=1, bundle=BUNDLE)
    )
    for number in range(2):
        host.register(f"u{number}", "a")


@behave.given(
    'upstreams of service "s" in {count:d} more zones without routers'
)
def step_more_zones(context, count):
    for number in range(count):
        context.host.register(f"more{number}", f"zone{number}")


@behave.given('a router of zone "a" that reports work for {count:d} upstreams')
def step_router(context, count):
    context.host.post(
        membership_messages.DaemonChanged(daemon=daemon("router", "router"))
    )
    context.host.arrived = RATES[count]
    context.host.report()


@behave.step("the router reports work for {count:d} upstreams")
def step_work(context, count):
    context.host.arrived = RATES[count]
    context.host.report()


@behave.given('the platform\'s next outcome is "{outcome}"')
def step_outcome(context, outcome):
    context.host.outcomes = [outcome]


@behave.given('the platform\'s outcome is always "{outcome}"')
def step_always(context, outcome):
    context.host.always = outcome


def decided(wanted, number):
    return msgspec.msgpack.encode(
        messages.OrderDecided(
            subject="s/a", number=number, wanted=wanted, at=START
        )
    )


@behave.given(
    "the log has an order for {wanted:d} upstreams with number {number:d}"
)
@behave.when(
    "a decision for {wanted:d} upstreams with number {number:d} is committed"
)
def step_logged(context, wanted, number):
    context.host.commit(decided(wanted, number))


@behave.given(
    "the log has a settled order for {wanted:d} upstreams with number"
    " {number:d}"
)
def step_settled_order(context, wanted, number):
    context.host.commit(decided(wanted, number))
    settled = messages.OrderSettled(subject="s/a", index=context.host.index)
    context.host.commit(msgspec.msgpack.encode(settled))


@behave.when("the host gains the duty with number {number:d}")
def step_gain(context, number):
    context.host.hold(number)


@behave.when("the host gains the duty with number {number:d} for 1 s only")
def step_gain_briefly(context, number):
    context.host.hold(number, seconds=1)


@behave.step("{seconds:d} s pass")
def step_pass(context, seconds):
    context.host.run(seconds)


@behave.step("{seconds:d} s pass without a renewal")
def step_pass_without(context, seconds):
    context.host.run(seconds, renews=False)


@behave.when("a report with {fault} arrives")
def step_bad_report(context, fault):
    changes = {
        "a span of 0": {"span_ms": 0},
        "negative arrivals": {"arrived": -1},
        "10^18 arrivals": {"arrived": 10**18},
        "a time of a year": {"busy_ms": 10**18},
        "10000 services": {},
    }[fault]
    host = context.host
    before = dict(host.core._figures._reports)
    if fault == "10000 services":
        entry = messages.ServiceWork(service="s", arrived=5)
        host.post(
            messages.OfferedWork(
                daemon_id="router",
                incarnation=1,
                sequence=99,
                span_ms=1000,
                valid_ms=6000,
                services=(entry,) * 10_000,
            )
        )
    else:
        host.report(**changes)
    assert host.core._figures._reports == before


@behave.when("the state is restored from its snapshot")
def step_snapshot(context):
    host = context.host
    host.post(consensus_messages.SnapshotWanted(group=GROUP, index=9))
    taken = host.posted[-1]
    context.host = Host()
    context.host.post(
        consensus_messages.SnapshotRestored(
            group=GROUP, index=9, state=taken.state, machine=taken.machine
        )
    )


@behave.when("a snapshot without a state of scaling is restored")
def step_empty_snapshot(context):
    context.host.post(
        consensus_messages.SnapshotRestored(
            group=GROUP, index=9, state=b"", machine=messages.MACHINE
        )
    )


@behave.then("there is no order")
def step_no_order(context):
    assert not context.host.core.dump()["orders"], context.host.core.dump()


@behave.then('the subject "{name}" is wanted')
def step_wanted(context, name):
    wanted = duties_messages.SubjectsWanted(duty=DUTY, subjects=(name,))
    assert context.host.posted == [wanted], context.host.posted


@behave.then("there are no calls")
def step_no_calls(context):
    assert not context.host.calls, context.host.calls


@behave.then("there are at most {count:d} calls")
def step_at_most(context, count):
    assert len(context.host.calls) <= count, context.host.calls


@behave.then('the calls are "{text}"')
def step_calls(context, text):
    assert context.host.calls == text.split(), context.host.calls


@behave.then("the last order is settled")
def step_settled(context):
    assert context.host.order.settled


@behave.then("the last order is not settled")
def step_unsettled(context):
    assert not context.host.order.settled


@behave.then("the last order is for {wanted:d} upstreams")
def step_last(context, wanted):
    assert context.host.order.wanted == wanted


@behave.then(
    "each of {zones:d} zones has an order, and no second has more than"
    " {limit:d} calls"
)
def step_paced(context, zones, limit):
    called = context.host.called
    assert len({name for _, name in called}) == zones, called
    for at, _ in called:
        within = [time for time, _ in called if at <= time < at + SECOND]
        assert len(within) <= limit, within


@behave.then("number {number:d} is given up")
def step_given_up(context, number):
    refused = duties_messages.DutyRefused(
        duty=DUTY, subject="s/a", number=number
    )
    assert refused in context.host.posted


@behave.then("the platform is reported unreachable")
def step_unreachable(context):
    unreachable = duties_messages.PlatformUnreachable(duty=DUTY)
    assert unreachable in context.host.posted


class Router:
    """The core of a router, with a clock that the steps advance."""

    def __init__(self):
        self.core = reporter.OfferedWorkReporter(
            daemon=daemon("router", "router"), now=START
        )
        self.now = START
        self.reports = []
        self.count = 0
        self.post(
            publishing_messages.ConfigurationChanged(revision=1, bundle=BUNDLE)
        )
        self.announce()

    def announce(self):
        self.post(
            duties_messages.HolderAnnounced(
                duty=DUTY, holder="c", address="c:1", number=7
            )
        )

    def post(self, event):
        for effect in self.core.handle(event, self.now):
            assert effect.address == "c:1"
            self.reports.append(effect.message)

    def tick(self):
        self.now += SECOND / 4
        self.announce()
        self.post(message.Tick())

    def arrive(self):
        self.count += 1
        request_id = f"r{self.count}"
        self.post(
            delivery_messages.RequestArrived(
                request_id=request_id,
                account="x",
                service="s",
                model="",
                chat="",
                route="",
                method="GET",
                path="/",
                digest="",
                idempotent=True,
                key="",
                stream=False,
                cost=1,
                cost_class=placement_messages.CostClass.SHORT,
                worth=1.0,
                best_effort=False,
                deadline=self.now + 9 * SECOND,
            )
        )
        return request_id

    def start(self, request_id):
        attempt_id = f"{request_id}-1"
        self.post(
            delivery_messages.StartAttempt(
                request_id=request_id,
                attempt_id=attempt_id,
                upstream_id="u",
                incarnation=1,
                url="",
                priority=0,
                deadline=self.now + 9 * SECOND,
            )
        )
        self.post(delivery_messages.AttemptSent(attempt_id=attempt_id))
        return attempt_id

    def serve(self, request_id):
        attempt_id = self.start(request_id)
        self.post(delivery_messages.AttemptEnded(attempt_id=attempt_id))
        self.post(delivery_messages.ResponseEnded(request_id=request_id))


@behave.given("a router core that knows the holder")
def step_reporter(context):
    context.router = Router()


@behave.when("{rate:d} requests a second arrive for {seconds:d} s")
def step_arrivals(context, rate, seconds):
    for _ in range(seconds * 4):
        for _ in range(rate // 4):
            context.router.serve(context.router.arrive())
        context.router.tick()


@behave.when("nothing arrives for {seconds:d} s")
def step_silence(context, seconds):
    for _ in range(seconds * 4):
        context.router.tick()


@behave.when(
    "{count:d} requests arrive, of which {refused:d} are refused and"
    " {lost:d} are lost"
)
def step_mixed(context, count, refused, lost):
    router = context.router
    for number in range(count):
        request_id = router.arrive()
        if number < refused:
            router.post(
                delivery_messages.RequestRefused(
                    request_id=request_id,
                    code="overloaded",
                    ran=delivery_messages.Ran.NO,
                    status=503,
                )
            )
        elif number < refused + lost:
            router.post(
                delivery_messages.AttemptFailed(
                    attempt_id=router.start(request_id),
                    kind=delivery_messages.FailureKind.CRASHED,
                    sent=True,
                )
            )
        else:
            router.serve(request_id)
    for _ in range(8):
        router.tick()


@behave.then("it has sent at most {count:d} reports")
def step_reports(context, count):
    assert 1 <= len(context.router.reports) <= count


@behave.then("the last report has no work")
def step_no_work(context):
    assert context.router.reports[-1].services == ()


@behave.then(
    "the reports tell of {arrived:d} arrivals, {refused:d} refusals and"
    " {served:d} served"
)
def step_told(context, arrived, refused, served):
    entries = [
        item for work in context.router.reports for item in work.services
    ]
    assert sum(item.arrived for item in entries) == arrived
    assert sum(item.refused for item in entries) == refused
    assert sum(item.served for item in entries) == served


def core_names(enabled, address):
    clock = clocks.SystemClock()
    settings = defaults.Settings(
        daemon=defaults.DaemonSection(
            id="d",
            zone="a",
            region="r",
            roles=(defaults.Role.ROUTER, defaults.Role.CONTROL),
            fleet_key="0123456789abcdef",
        ),
        listen=defaults.ListenSection(
            peers=options.Address(host="127.0.0.1", port=7)
        ),
        duties=defaults.DutiesSection(address=address),
        scaling=defaults.ScalingSection(enabled=enabled),
    )
    made = cores.Cores(
        settings=settings,
        record=cores.describe(settings, START),
        bus=buses.Bus(clock=clock),
        metrics=metrics_module.Metrics(),
        rng=random.Random(1),
        now=START,
    )
    return made.by_name.keys()


@behave.then('daemons without "scaling.enabled" have no core of this package')
def step_off(context):
    address = options.Address(host="127.0.0.1", port=9)
    names = {"scaling", "offered_work"}
    assert core_names(True, address) >= names
    assert not core_names(False, address) & names
    assert not core_names(True, None) & names


@behave.then("a bundle without scaling is encoded as before")
def step_encoding(context):
    bundle = bundles.Bundle(
        service=(
            bundles.Service(
                name="n",
                kind=bundles.ServiceKind.PLAIN,
                pool=bundles.Pool(max_connections=6),
            ),
        ),
        zone=(bundles.Zone(name="a", region="r"),),
    )
    assert bundles.encode(bundle) == FORMER_BUNDLE
    assert bundles.decode(FORMER_BUNDLE) == bundle
    assert bundles.decode(bundles.encode(BUNDLE)) == BUNDLE
