"""Steps that test single placement decisions under adverse load."""

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
from fulmarbarrow.placement import cache_sources
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
OUTCOMES = {
    "unreachable": messages.WorkOutcome.UNREACHABLE,
    "misdirected": messages.WorkOutcome.MISDIRECTED,
    "crashed": messages.WorkOutcome.CRASHED,
}


def health_of(context):
    if not hasattr(context, "health"):
        context.zones = {}
        context.health = health.Health(
            zone_of=lambda name: context.zones.get(name, name)
        )
    return context.health


def end_attempt(context, name, outcome, at=0, first=None, incarnation=1):
    health_of(context).record_outcome(
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


def healthy_upstreams(context, names, at=0, once=False):
    now = NOW + at * MILLISECOND
    return health_of(context).healthy(names, now, once=once)


@behave.when(
    'the only attempts at "{name}" fail as {kind} at 0, 300 and 900 ms'
)
def step_lost_attempts(context, name, kind):
    for at in (0, 300, 900):
        end_attempt(context, name, OUTCOMES[kind], at=at)


@behave.then('"{name}" is excluded until at least {at:d} ms')
def step_excluded_until(context, name, at):
    assert healthy_upstreams(context, [name, "other"], at=at) == ["other"]


@behave.then(
    'at {at:d} ms one request probes "{name}" and the next ones do not'
)
def step_single_probe(context, at, name):
    assert healthy_upstreams(context, [name, "other"], at=at) == [
        name,
        "other",
    ]
    context.health.record_start(name, NOW + at * MILLISECOND)
    assert healthy_upstreams(context, [name, "other"], at=at + 1) == ["other"]


@behave.when('an attempt at "{name}" fails as {kind:w}')
def step_attempt_fails(context, name, kind):
    end_attempt(context, name, OUTCOMES[kind])


@behave.when('an attempt at "{name}" fails as {kind:w} at {at:d} ms')
def step_attempt_fails_at(context, name, kind, at):
    end_attempt(context, name, OUTCOMES[kind], at=at)


@behave.then('"{name}" is still excluded after an hour')
def step_still_excluded(context, name):
    assert healthy_upstreams(context, [name, "other"], at=3_600_000) == [
        "other"
    ]


@behave.then('another incarnation of "{name}" gets work')
def step_new_incarnation(context, name):
    context.health.forget(name)
    assert healthy_upstreams(context, [name]) == [name]


@behave.then(
    'at {at:d} ms "{name}" gets repeatable work but none that must run once'
)
def step_avoids_suspect(context, at, name):
    assert healthy_upstreams(context, [name, "other"], at=at) == [
        name,
        "other",
    ]
    assert healthy_upstreams(context, [name, "other"], at=at, once=True) == [
        "other"
    ]


@behave.when(
    'attempts at "{names}" of zone "{zone}" fail as {kind} at {at:d} ms'
)
def step_zone_fails(context, names, zone, kind, at):
    health_of(context)
    context.zones.update(dict.fromkeys([*names.split(), "e3"], zone))
    for name in names.split():
        end_attempt(context, name, OUTCOMES[kind], at=at)


@behave.then('at {at:d} ms no upstream of zone "{zone}" gets work')
def step_zone_excluded(context, at, zone):
    names = [name for name, of in context.zones.items() if of == zone]
    assert healthy_upstreams(context, [*names, "other"], at=at) == ["other"]


@behave.when('an attempt at "{name}" of zone "{zone}" completes')
def step_attempt_completes(context, name, zone):
    context.zones[name] = zone
    end_attempt(context, name, messages.WorkOutcome.COMPLETED, at=300)


@behave.then('at {at:d} ms "{name}" gets work')
def step_gets_work(context, at, name):
    assert name in healthy_upstreams(context, [name, "other"], at=at)


def record_pool_outcomes(context, names, failed=(), slow=()):
    context.names = names.split()
    for number in range(20):
        for name in context.names:
            bad = name in failed and number % 2
            first = 1000 if name in slow else 100
            outcome = messages.WorkOutcome.COMPLETED
            if bad:
                outcome = messages.WorkOutcome.FAILED
            end_attempt(context, name, outcome, first=first * MILLISECOND)
    context.health.exclude_outliers(context.names, NOW)


@behave.when(
    '20 attempts end at each of "{names}", half of those at "e1" failed'
)
def step_partial_failures(context, names):
    record_pool_outcomes(context, names, failed=("e1",))


@behave.when(
    '20 attempts end at each of "{names}", those at "e1" ten times slower'
)
def step_slow_upstream(context, names):
    record_pool_outcomes(context, names, slow=("e1",))


@behave.when(
    '20 attempts end at each of "{names}", half of them failed everywhere'
)
def step_partial_failures_everywhere(context, names):
    record_pool_outcomes(context, names, failed=names.split())


@behave.then('"{name}" is excluded and the others get work')
def step_outlier_excluded(context, name):
    others = [item for item in context.names if item != name]
    assert healthy_upstreams(context, context.names, at=1) == others


@behave.then("no upstream is excluded")
def step_none_excluded(context):
    assert healthy_upstreams(context, context.names, at=1) == context.names


@behave.then('"{names}" get work at {at:d} ms')
def step_all_get_work(context, names, at):
    assert (
        healthy_upstreams(context, ["e1", "e2", "e3"], at=at) == names.split()
    )


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


def record_homes(context, requests, seconds=10):
    known = prefixes.Prefixes()
    context.homes = collections.defaultdict(set)
    for number, (group, parts) in enumerate(requests):
        now = NOW + number * seconds / len(requests) * SECOND
        key = known.affinity_key(request(number, parts), 6, now)
        context.homes[group].add(key)


@behave.when("{count:d} requests of {sessions:d} sessions arrive within 10 s")
def step_sessions(context, count, sessions):
    record_homes(
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
    "{count:d} requests arrive within 10 s, a third of them from one session"
)
def step_hot_session(context, count):
    named = ["hot" if n % 3 == 0 else f"s{n % 50}" for n in range(count)]
    record_homes(
        context,
        [
            (name, (("all", 512), (name, 9000), (f"o{n}", 900)))
            for n, name in enumerate(named)
        ],
    )


@behave.then(
    "that session has between {minimum:d} and {maximum:d} homes of 6 engines"
)
def step_session_homes(context, minimum, maximum):
    assert minimum <= len(context.homes["hot"]) <= maximum, context.homes[
        "hot"
    ]


@behave.when(
    "{count:d} requests of {chats:d} chats that share one long prefix arrive"
)
def step_chats(context, count, chats):
    record_homes(
        context,
        [
            (n % chats, (("system", 9000), (f"c{n % chats}", 900)))
            for n in range(count)
        ],
    )
    # The first requests are routed by the long prefix, because no last segment
    # has recurred yet.
    for homes in context.homes.values():
        homes -= {key for key in homes if key.startswith("system")}


@behave.then("each chat has one home and the chats have different homes")
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


@behave.given(
    'engines "{names}" running for a minute and "{new}" for {age:d} seconds'
)
def step_engines(context, names, new, age):
    context.directory = directories.Directory()
    for name in names.split():
        context.directory.store_upstream(engine(name, 60))
    context.directory.store_upstream(engine(new, age))
    context.new = new
    context.sources = cache_sources.CacheSources(
        directory=context.directory, health=health.Health()
    )


def prompts(context, tokens=9000):
    ring = context.directory.model_ring("s", "m")
    for number in range(40):
        chat = f"p{number}"
        parts = ((chat, tokens), ("own", 900))
        yield request(number, parts, chat=chat), ring.order(chat)


def cache_source(context, placed_request, name):
    upstream = context.directory.upstreams[name]
    return context.sources.find(placed_request, upstream, NOW)


@behave.then(
    'prompts whose home is "{new}" are fetched from their former home'
)
def step_fetched(context, new):
    found = 0
    for placed_request, order in prompts(context):
        if order[0] == new:
            found += 1
            assert (
                cache_source(context, placed_request, new)
                == f"http://{order[1]}"
            )
    assert found


@behave.then("prompts whose home is an old engine are not fetched")
def step_not_fetched(context):
    for placed_request, order in prompts(context):
        if order[0] != context.new:
            assert cache_source(context, placed_request, order[0]) == ""


@behave.then("short prompts are not fetched")
def step_short_not_fetched(context):
    for placed_request, order in prompts(context, tokens=600):
        assert cache_source(context, placed_request, order[0]) == ""


@behave.then("a prompt placed at its second engine is fetched from its first")
def step_placed_away(context):
    for placed_request, order in prompts(context):
        if order[0] != context.new:
            assert (
                cache_source(context, placed_request, order[1])
                == f"http://{order[0]}"
            )


@behave.then("a prompt whose first engine is new is fetched from its third")
def step_placed_away_new(context):
    found = 0
    for placed_request, order in prompts(context):
        if order[0] == context.new:
            found += 1
            assert (
                cache_source(context, placed_request, order[1])
                == f"http://{order[2]}"
            )
    assert found


@behave.given(
    "a bound of {factor:d} times the mean plus {slack:d}, but at least "
    "{minimum:d}"
)
def step_bound(context, factor, slack, minimum):
    context.bounds = bounds.Bounds(
        requests_factor=factor, requests_slack=slack, least_requests=minimum
    )


@behave.then(
    "at a mean of {mean:d} requests an upstream gets at most {maximum:d}"
)
def step_max_requests(context, mean, maximum):
    assert context.bounds.max_requests(mean) == maximum
    assert maximum <= max(6, 2 * mean + 3)


@behave.given("a pool whose cold upstreams accept {rate:d} requests a second")
def step_cold_pool(context, rate):
    context.pool = bundles.Pool(cold_rate=rate)


@behave.then("an upstream that is {state} may start {starts} a second")
def step_start_rate(context, state, starts):
    upstream = engine("e", 60)
    if state == "cold":
        upstream = msgspec.structs.replace(upstream, cold_until=NOW + SECOND)
    weight = 0.5 if "is restored" in state else 1.0
    found = bounds.Bounds().start_rate_limit(
        upstream, context.pool, NOW, weight
    )
    if starts == "any":
        assert found == math.inf
    else:
        assert math.floor(found) == int(starts), found


@behave.when(
    "{count:d} requests arrive within 5 s and each needs a retry, with "
    "a ratio of {ratio:g} and a slack of {slack:d}"
)
def step_retries(context, count, ratio, slack):
    context.budget = budget.RetryBudget(ratio=ratio, window=10 * SECOND)
    context.slack = slack
    context.retries = 0
    for number in range(count):
        now = NOW + number * 50 * MILLISECOND
        context.budget.deposit(now)
        context.retries += context.budget.withdraw(now, slack)


@behave.then("{count:d} retries are made")
def step_retries_made(context, count):
    assert context.retries == count, context.retries


@behave.then(
    "after {seconds:d} s without a request {count:d} more may be made"
)
def step_more_retries(context, seconds, count):
    now = NOW + (seconds + 5) * SECOND
    made = sum(context.budget.withdraw(now, context.slack) for _ in range(50))
    assert made == count, made


@behave.when('work of the ranks "{ranks}" is queued and then served')
def step_serve_queue(context, ranks):
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
def step_served_order(context, ranks):
    assert context.order == list(map(int, ranks.split())), context.order
