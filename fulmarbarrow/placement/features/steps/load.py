"""Steps that replay load patterns against the decisions alone."""

from __future__ import annotations

import collections
import datetime
import math

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import budget
from fulmarbarrow.limits import fair_queue
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import bounds
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes
from fulmarbarrow.placement import sources

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
KINDS = {
    "unreachable": messages.WorkOutcome.UNREACHABLE,
    "misdirected": messages.WorkOutcome.MISDIRECTED,
    "crashed": messages.WorkOutcome.CRASHED,
}


def watch(context):
    if not hasattr(context, "health"):
        context.zones = {}
        context.health = health.Health(
            zone=lambda name: context.zones.get(name, name)
        )
    return context.health


def end(context, name, outcome, at=0, first=None, incarnation=1):
    watch(context).ended(
        messages.WorkEnded(
            request_id="r",
            attempt_id="r-1",
            upstream_id=name,
            incarnation=incarnation,
            outcome=outcome,
            first_token=first,
        ),
        NOW + at * MILLISECOND,
    )


def fit(context, names, at=0, once=False):
    now = NOW + at * MILLISECOND
    return watch(context).healthy(names, now, once=once)


@behave.when(
    'the only attempts at "{name}" fail as {kind} at 0, 300 and 900 ms'
)
def step_three(context, name, kind):
    for at in (0, 300, 900):
        end(context, name, KINDS[kind], at=at)


@behave.then('"{name}" is left out until {at:d} ms at least')
def step_out_until(context, name, at):
    assert fit(context, [name, "other"], at=at) == ["other"]


@behave.then(
    'at {at:d} ms one request tries "{name}" and the next ones do not'
)
def step_one_tries(context, at, name):
    assert fit(context, [name, "other"], at=at) == [name, "other"]
    context.health.started(name, NOW + at * MILLISECOND)
    assert fit(context, [name, "other"], at=at + 1) == ["other"]


@behave.when('an attempt at "{name}" fails as {kind:w}')
def step_fails(context, name, kind):
    end(context, name, KINDS[kind])


@behave.when('an attempt at "{name}" fails as {kind:w} at {at:d} ms')
def step_fails_at(context, name, kind, at):
    end(context, name, KINDS[kind], at=at)


@behave.then('"{name}" is left out after an hour')
def step_out_hour(context, name):
    assert fit(context, [name, "other"], at=3_600_000) == ["other"]


@behave.then('another incarnation of "{name}" gets work')
def step_incarnation(context, name):
    context.health.forget(name)
    assert fit(context, [name]) == [name]


@behave.then(
    'at {at:d} ms "{name}" gets work that may run again, and none that must '
    "run once"
)
def step_once(context, at, name):
    assert fit(context, [name, "other"], at=at) == [name, "other"]
    assert fit(context, [name, "other"], at=at, once=True) == ["other"]


@behave.when(
    'attempts at "{names}" of zone "{zone}" fail as {kind} at {at:d} ms'
)
def step_zone_fails(context, names, zone, kind, at):
    watch(context)
    context.zones.update(dict.fromkeys([*names.split(), "e3"], zone))
    for name in names.split():
        end(context, name, KINDS[kind], at=at)


@behave.then('at {at:d} ms no upstream of zone "{zone}" gets work')
def step_zone_out(context, at, zone):
    names = [name for name, of in context.zones.items() if of == zone]
    assert fit(context, [*names, "other"], at=at) == ["other"]


@behave.when('an attempt at "{name}" of zone "{zone}" completes')
def step_completes(context, name, zone):
    context.zones[name] = zone
    end(context, name, messages.WorkOutcome.COMPLETED, at=300)


@behave.then('at {at:d} ms "{name}" gets work')
def step_gets_work(context, at, name):
    assert name in fit(context, [name, "other"], at=at)


def compare(context, names, failed=(), slow=()):
    context.names = names.split()
    for number in range(20):
        for name in context.names:
            bad = name in failed and number % 2
            first = 1000 if name in slow else 100
            outcome = messages.WorkOutcome.COMPLETED
            if bad:
                outcome = messages.WorkOutcome.FAILED
            end(context, name, outcome, first=first * MILLISECOND)
    context.health.exclude_outliers(context.names, NOW)


@behave.when(
    '20 attempts end at each of "{names}", at "e1" half of them failed'
)
def step_grey(context, names):
    compare(context, names, failed=("e1",))


@behave.when('20 attempts end at each of "{names}", at "e1" ten times as late')
def step_slow(context, names):
    compare(context, names, slow=("e1",))


@behave.when(
    '20 attempts end at each of "{names}", at each half of them failed'
)
def step_all_grey(context, names):
    compare(context, names, failed=names.split())


@behave.then('"{name}" is left out and the others get work')
def step_left_out(context, name):
    others = [item for item in context.names if item != name]
    assert fit(context, context.names, at=1) == others


@behave.then("none is left out")
def step_none_out(context):
    assert fit(context, context.names, at=1) == context.names


@behave.then('"{names}" are asked at {at:d} ms')
def step_all_asked(context, names, at):
    assert fit(context, ["e1", "e2", "e3"], at=at) == names.split()


def request(number, parts, cost=7000, chat=""):
    return messages.PlaceRequest(
        request_id=f"r{number}",
        attempt_id=f"r{number}-1",
        account="a",
        service="s",
        model="m",
        chat=chat,
        cost=cost,
        cost_class=messages.CostClass.LONG,
        worth=1.0,
        deadline=NOW + SECOND,
        parts=parts,
    )


def keys(context, requests, seconds=10):
    known = prefixes.Prefixes()
    context.homes = collections.defaultdict(set)
    for number, (group, parts) in enumerate(requests):
        now = NOW + number * seconds / len(requests) * SECOND
        key = known.key(request(number, parts), 6, now)
        context.homes[group].add(key)


@behave.when("{count:d} requests of {sessions:d} sessions come within 10 s")
def step_sessions(context, count, sessions):
    keys(
        context,
        [
            (
                n % sessions,
                (("all", 512), (f"s{n % sessions}", 9000), (f"o{n}", 900)),
            )
            for n in range(count)
        ],
    )


@behave.then("each session has one home")
def step_one_home(context):
    assert all(len(homes) == 1 for homes in context.homes.values())


@behave.when(
    "{count:d} requests come within 10 s, a third of them of one session"
)
def step_hot(context, count):
    named = ["hot" if n % 3 == 0 else f"s{n % 50}" for n in range(count)]
    keys(
        context,
        [
            (name, (("all", 512), (name, 9000), (f"o{n}", 900)))
            for n, name in enumerate(named)
        ],
    )


@behave.then(
    "that session has between {least:d} and {most:d} homes of 6 engines"
)
def step_homes(context, least, most):
    assert least <= len(context.homes["hot"]) <= most, context.homes["hot"]


@behave.when(
    "{count:d} requests of {chats:d} chats come that share one long part"
)
def step_chats(context, count, chats):
    keys(
        context,
        [
            (n % chats, (("system", 9000), (f"c{n % chats}", 900)))
            for n in range(count)
        ],
    )
    # What came before the chats returned went by the long part.
    for homes in context.homes.values():
        homes -= {key for key in homes if key.startswith("system")}


@behave.then("each chat has one home and the chats have many")
def step_chat_homes(context):
    assert all(len(homes) == 1 for homes in context.homes.values())
    assert len(set().union(*context.homes.values())) == len(context.homes)


def engine(name, age):
    return membership_messages.Upstream(
        upstream_id=name,
        incarnation=1,
        sequence=1,
        zone="z",
        url=f"http://{name}",
        offers=(membership_messages.Offer(service="s", model="m"),),
        batch_tokens=1000,
        tokens_per_second=1000,
        state=membership_messages.UpstreamState.SERVING,
        started_at=NOW - age * SECOND,
    )


@behave.given('engines "{names}" for a minute and "{new}" for {age:d} seconds')
def step_engines(context, names, new, age):
    context.directory = directories.Directory()
    for name in names.split():
        context.directory.store_upstream(engine(name, 60))
    context.directory.store_upstream(engine(new, age))
    context.new = new
    context.sources = sources.Sources(
        directory=context.directory, health=health.Health()
    )


def prompts(context, tokens=9000):
    ring = context.directory.model_ring("s", "m")
    for number in range(40):
        chat = f"p{number}"
        parts = ((chat, tokens), ("own", 900))
        yield request(number, parts, chat=chat), ring.order(chat)


def source(context, asked, name):
    upstream = context.directory.upstreams[name]
    return context.sources.source(asked, upstream, NOW)


@behave.then(
    'prompts whose home is "{new}" are fetched from their home before'
)
def step_fetched(context, new):
    found = 0
    for asked, order in prompts(context):
        if order[0] == new:
            found += 1
            assert source(context, asked, new) == f"http://{order[1]}"
    assert found


@behave.then("prompts whose home is an old engine are not fetched")
def step_not_fetched(context):
    for asked, order in prompts(context):
        if order[0] != context.new:
            assert source(context, asked, order[0]) == ""


@behave.then("short prompts are not fetched")
def step_short(context):
    for asked, order in prompts(context, tokens=600):
        assert source(context, asked, order[0]) == ""


@behave.then("a prompt placed at its second engine is fetched from its first")
def step_away(context):
    for asked, order in prompts(context):
        if order[0] != context.new:
            assert source(context, asked, order[1]) == f"http://{order[0]}"


@behave.then("from its third where the first is new")
def step_away_new(context):
    found = 0
    for asked, order in prompts(context):
        if order[0] == context.new:
            found += 1
            assert source(context, asked, order[1]) == f"http://{order[2]}"
    assert found


@behave.given(
    "a bound of {factor:d} times the mean and {slack:d}, and {least:d} at "
    "least"
)
def step_bound(context, factor, slack, least):
    context.bounds = bounds.Bounds(
        requests_factor=factor, requests_slack=slack, least_requests=least
    )


@behave.then(
    "at a mean of {mean:d} requests an upstream holds {most:d} at most"
)
def step_most(context, mean, most):
    assert context.bounds.max_requests(mean) == most
    assert most <= max(6, 2 * mean + 3)


@behave.given("a pool whose cold upstreams take {rate:d} requests a second")
def step_pool(context, rate):
    context.pool = bundles.Pool(cold_rate=rate)


@behave.then("an upstream that is {state} may start {starts} a second")
def step_starts(context, state, starts):
    upstream = engine("e", 60)
    if state == "cold":
        upstream = msgspec.structs.replace(upstream, cold_until=NOW + SECOND)
    weight = 0.5 if "comes back" in state else 1.0
    found = bounds.Bounds().start_rate_limit(
        upstream, context.pool, NOW, weight
    )
    if starts == "any":
        assert found == math.inf
    else:
        assert math.floor(found) == int(starts), found


@behave.when(
    "{count:d} requests come within 5 s and each wants a retry, with a ratio "
    "of {ratio:g} and a slack of {slack:d}"
)
def step_retries(context, count, ratio, slack):
    context.budget = budget.RetryBudget(ratio=ratio, window=10 * SECOND)
    context.slack = slack
    context.made = 0
    for number in range(count):
        now = NOW + number * 50 * MILLISECOND
        context.budget.deposit(now)
        context.made += context.budget.withdraw(now, slack)


@behave.then("{count:d} retries are made")
def step_made(context, count):
    assert context.made == count, context.made


@behave.then(
    "after {seconds:d} s without a request {count:d} more may be made"
)
def step_more(context, seconds, count):
    now = NOW + (seconds + 5) * SECOND
    made = sum(context.budget.withdraw(now, context.slack) for _ in range(50))
    assert made == count, made


@behave.when('work of the ranks "{ranks}" queues and is served')
def step_ranks(context, ranks):
    queue = fair_queue.FairQueue(weight=lambda _: 1.0)
    for number, rank in enumerate(map(int, ranks.split())):
        queue.add(
            limits_messages.QueuedWork(
                attempt_id=f"a{number}",
                account=f"account-{number % 2}",
                service="s",
                cost=10,
                cost_class=messages.CostClass.LONG,
                worth=1.0,
                expires=NOW + SECOND,
                deadline=NOW + SECOND,
                rank=rank,
            )
        )
    context.order = []
    while len(queue):
        context.order.append(queue.take(lambda _: True).rank)


@behave.then('it is served in the order "{ranks}"')
def step_order(context, ranks):
    assert context.order == list(map(int, ranks.split())), context.order
