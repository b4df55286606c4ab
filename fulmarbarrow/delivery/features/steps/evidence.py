"""Steps on the exchange of evidence among daemons."""

from __future__ import annotations

import datetime
import random
import re

import behave
import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options
from fulmarbarrow.daemon import cores
from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import evidence_keeper
from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
TICK_MS = 50
ROLES = {"router": "router", "control host": "control"}


class Upstreams:
    """Upstreams of which all hold their lease, or none does."""

    def __init__(self, *, registered):
        self._registered = registered

    def is_registered(self, upstream_id, incarnation):
        return self._registered


class Daemon:
    """A daemon's exchange and what it has sent, with times in ms."""

    def __init__(self, *, exchange, work):
        self.exchange = exchange
        self._work = work
        self._planned = []
        self._at = 0
        self.sent = []

    def plan(self, at, call):
        self._planned.append((at, call))

    def run(self, until):
        for at in range(self._at, until + 1, TICK_MS):
            now = NOW + at * MILLISECOND
            due = [item for item in self._planned if item[0] <= at]
            for item in due:
                self._planned.remove(item)
                self._note(at, item[1](now))
            self._note(at, self._work(now))
        self._at = until + TICK_MS

    def _note(self, at, effects):
        self.sent.extend((at, effect) for effect in effects or ())

    def told(self, kind):
        return [
            (at, effect.message)
            for at, effect in self.sent
            if isinstance(effect.message, kind)
        ]


def peer(name, role, incarnation=1):
    return membership_messages.DaemonChanged(
        daemon=membership_messages.Daemon(
            daemon_id=name,
            incarnation=incarnation,
            zone="attica-a",
            region="attica",
            address=f"{name}:1",
            roles=(role,),
        )
    )


def key(name):
    return evidence_exchange.request_key(name)


def numbers(text):
    return [int(item) for item in re.findall(r"\d+", text)]


@behave.given("a router whose upstreams {fate}")
def step_router(context, fate):
    exchange = evidence_exchange.EvidenceExchange(
        rng=random.Random(1),
        crash_limit=3,
        registered=Upstreams(registered=fate == "stay registered"),
    )
    exchange.update_daemon(peer("entry-2", "router"), NOW)
    context.daemon = Daemon(
        exchange=exchange, work=lambda now: exchange.work(now)[0]
    )
    context.crashed = 0


@behave.given("a control host whose upstreams are gone")
def step_keeper(context):
    keeper = evidence_keeper.EvidenceKeeper(
        rng=random.Random(1), crash_limit=3, metrics=metrics_module.Metrics()
    )
    keeper.handle(peer("entry-2", "router"), NOW)
    context.daemon = Daemon(
        exchange=keeper, work=lambda now: keeper.handle(message.Tick(), now)
    )
    context.crashed = 0


def report(context, names, at, age=0 * SECOND):
    """Plan a crash under requests, seen here or reported to a control host."""
    context.crashed += 1
    upstream = (f"engine-{context.crashed}", 1)
    keys = tuple(key(name) for name in names)
    exchange = context.daemon.exchange
    told = messages.RequestsCrashed(
        crashes=(
            messages.CrashReport(
                upstream_id=upstream[0], incarnation=1, age=age, keys=keys
            ),
        )
    )
    if isinstance(exchange, evidence_keeper.EvidenceKeeper):
        context.daemon.plan(at, lambda now: exchange.handle(told, now))
    elif age:
        context.daemon.plan(
            at, lambda now: exchange.handle_peer_message(told, now)
        )
    else:
        context.daemon.plan(
            at,
            lambda now: exchange.requests.record_failure(upstream, keys, now),
        )


@behave.when('upstreams crash under the request "{name}" at {times} ms')
def step_crashes(context, name, times):
    for at in numbers(times):
        report(context, [name], at)


@behave.when(
    'upstreams crash under the requests "{one}" and "{other}" at {times} ms'
)
def step_two_crash(context, one, other, times):
    for at in numbers(times):
        report(context, [one, other], at)


@behave.when(
    "{count:d} upstreams crash, {gap:d} ms apart, each under "
    '"{name}" and {others:d} other requests'
)
def step_many_run(context, count, gap, name, others):
    for number in range(count):
        names = [f"other-{number}-{other}" for other in range(others)]
        report(context, [*names[::2], name, *names[1::2]], gap * number)


@behave.when("each of {count:d} requests crashes upstreams 3 times")
def step_many_poison(context, count):
    for number in range(count):
        for at in (0, 400, 800):
            report(context, [f"poison-{number}"], at + 10 * number)


@behave.when("{count:d} upstreams crash under {requests:d} requests each")
def step_flood(context, count, requests):
    for number in range(count):
        names = [f"r-{number + other}" for other in range(requests)]
        report(context, names, TICK_MS * number)
    context.daemon.run(TICK_MS * count + 2_000)


@behave.when('a run of the request "{name}" completes at {at:d} ms')
def step_served(context, name, at):
    requests = context.daemon.exchange.requests
    context.daemon.plan(
        at, lambda now: requests.record_served((key(name),), now)
    )


@behave.when(
    "a peer tells at {at:d} s of crashes under the request "
    '"{name}", {age:d} s ago'
)
def step_told_late(context, at, name, age):
    for _ in range(3):
        report(context, [name], 1_000 * at, age * SECOND)


@behave.when("the first of them renews its lease at {at:d} s")
def step_renewed(context, at):
    exchange = context.daemon.exchange
    context.daemon.plan(
        1_000 * at, lambda now: exchange.record_renewal("engine-1", 1, now)
    )


@behave.when("a {role} starts at {at:d} s")
def step_starts(context, role, at):
    exchange = context.daemon.exchange
    event = peer("entry-9", ROLES[role], incarnation=2)
    if isinstance(exchange, evidence_keeper.EvidenceKeeper):
        context.daemon.plan(
            1_000 * at, lambda now: exchange.handle(event, now)
        )
    else:
        context.daemon.plan(
            1_000 * at, lambda now: exchange.update_daemon(event, now)
        )


@behave.then('at {at:d} s "{name}" is quarantined')
def step_quarantined(context, at, name):
    context.daemon.run(1_000 * at)
    found = context.daemon.exchange.requests.quarantined
    assert found == {key(name)}, found


@behave.then("at {at:d} s nothing is quarantined")
def step_nothing(context, at):
    context.daemon.run(1_000 * at)
    assert not context.daemon.exchange.requests.quarantined


@behave.then('the peers were told of "{name}" as served at {times} s')
def step_told_served(context, name, times):
    told = [
        at // 1_000
        for at, event in context.daemon.told(messages.RequestsServed)
        if key(name) in dict(event.requests)
    ]
    assert told == numbers(times), told


@behave.then("the peers were told of no request as served")
def step_told_nothing(context):
    assert not context.daemon.told(messages.RequestsServed)


def keys_told(context, address):
    return {
        item
        for _, effect in context.daemon.sent
        if effect.address == address
        and isinstance(effect.message, messages.RequestsCrashed)
        for crash in effect.message.crashes
        for item in crash.keys
    }


@behave.then('it is told of the crashes under "{name}" at {at:d} s')
def step_told_at_start(context, name, at):
    context.daemon.run(1_000 * at)
    crashes = [
        crash
        for sent_at, effect in context.daemon.sent
        if sent_at == 1_000 * at and effect.address == "entry-9:1"
        for crash in effect.message.crashes
    ]
    assert [crash.keys for crash in crashes] == [(key(name),)] * 3, crashes


@behave.then("a daemon with the roles {roles} has one core that keeps it")
def step_wired(context, roles):
    settings = defaults.Settings(
        daemon=defaults.DaemonSection(
            id="entry-1",
            zone="attica-a",
            region="attica",
            roles=tuple(map(defaults.Role, roles.split(", "))),
            fleet_key="0123456789abcdef",
        ),
        listen=defaults.ListenSection(
            peers=options.parse_address("127.0.0.1:1")
        ),
    )
    bus = buses.Bus(clock=clocks.ManualClock(), strict=True)
    made = cores.Cores(
        settings=settings,
        record=cores.describe(settings, NOW),
        bus=bus,
        metrics=metrics_module.Metrics(),
        rng=random.Random(1),
        now=NOW,
    )
    keeping = [
        core
        for core in made.by_name.values()
        if set(evidence_exchange.PEER_MESSAGES)
        <= set(getattr(core, "handles", ()))
    ]
    assert len(keeping) == 1, keeping


@behave.then("by {at:d} s it is told of all {count:d}")
def step_told_all(context, at, count):
    context.daemon.run(1_000 * at)
    wanted = {key(f"poison-{number}") for number in range(count)}
    assert wanted <= keys_told(context, "entry-9:1")


@behave.then("at most {crashes:d} crashes of {requests:d} requests are kept")
def step_bounded(context, crashes, requests):
    kept = context.daemon.exchange.dump()["requests"]["crashes"]
    assert len(kept) <= crashes, len(kept)
    assert max(len(crash["requests"]) for crash in kept) <= requests


@behave.then("no message has more than {limit:d} KB")
def step_sizes(context, limit):
    sizes = [
        len(msgspec.msgpack.encode(effect.message))
        for _, effect in context.daemon.sent
    ]
    assert 0 < max(sizes) <= limit << 10, max(sizes)
