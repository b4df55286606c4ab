"""Steps for fair queueing, reserved shares and admission."""

from __future__ import annotations

import collections
import datetime
import random

import behave

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import core as limits_core
from fulmarbarrow.limits import fair_queue
from fulmarbarrow.limits import messages
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.membership import messages as membership
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.placement import messages as placement
from fulmarbarrow.publishing import messages as publishing

NOW = clocks.ManualClock().now()
TICK = datetime.timedelta(milliseconds=50)


def create_queue(context, weights=None, limit=fair_queue.MAX_QUEUED):
    weights = weights or {}
    context.queue = fair_queue.FairQueue(
        weight=lambda account: weights.get(account, 1.0), limit=limit
    )
    context.served = collections.Counter()
    context.attempt_count = 0


def add_attempt(context, account, cost=100, worth=1.0, best_effort=False):
    if "queue" not in context:
        create_queue(context)
    context.attempt_count += 1
    return context.queue.add(
        messages.QueuedWork(
            attempt_id=f"{account}-{context.attempt_count}",
            account=account,
            service="consultations",
            cost=cost,
            cost_class=placement.CostClass.LONG,
            worth=worth,
            expires=NOW + datetime.timedelta(seconds=1),
            deadline=NOW + datetime.timedelta(seconds=9),
            best_effort=best_effort,
        )
    )


@behave.given(
    'the accounts "{a}" with weight {weight_a:g} and "{b}" with weight '
    "{weight_b:g}"
)
def step_accounts(context, a, weight_a, b, weight_b):
    create_queue(context, {a: weight_a, b: weight_b})


@behave.given("{count:d} attempts of {cost:d} tokens of each wait")
def step_wait_of_each(context, count, cost):
    for _ in range(count):
        add_attempt(context, "volos", cost)
        add_attempt(context, "chania", cost)


@behave.given('{count:d} attempts of {cost:d} tokens of "{account}" wait')
@behave.when('{count:d} attempts of {cost:d} tokens of "{account}" wait')
def step_wait(context, count, cost, account):
    for _ in range(count):
        add_attempt(context, account, cost)


@behave.given('{count:d} best-effort attempts of "{account}" wait')
def step_best_effort(context, count, account):
    for _ in range(count):
        add_attempt(context, account, best_effort=True)


@behave.given("all of them expire")
def step_expire(context):
    late = NOW + datetime.timedelta(seconds=2)
    assert len(context.queue.take_expired(late)) == context.attempt_count
    assert len(context.queue) == 0


@behave.when("{count:d} of them are served")
def step_serve(context, count):
    for _ in range(count):
        work = context.queue.take(lambda _: True)
        context.served[work.account] += 1


@behave.then('"{a}" was served {count_a:d} times and "{b}" {count_b:d} times')
def step_served(context, a, count_a, b, count_b):
    found = context.served[a], context.served[b]
    assert abs(found[0] - count_a) <= 1, found
    assert sum(found) == count_a + count_b, found


@behave.given("a queue for {limit:d} attempts")
def step_queue(context, limit):
    create_queue(context, limit=limit)


@behave.given("attempts with worth {a:g}, {b:g}, {c:g} and {d:g} wait")
def step_worths(context, a, b, c, d):
    for worth in (a, b, c, d):
        assert add_attempt(context, "volos", worth=worth) is None


@behave.when("an attempt with worth {worth:g} arrives")
def step_attempt_arrives(context, worth):
    context.refused = add_attempt(context, "volos", worth=worth)


@behave.then("the attempt with worth {worth:g} is refused")
def step_refused(context, worth):
    assert context.refused.worth == worth, context.refused


@behave.then('{count_a:d} attempts of "{a}" and {count_b:d} of "{b}" wait')
def step_waiting(context, count_a, a, count_b, b):
    found = collections.Counter()
    while (work := context.queue.take(lambda _: True)) is not None:
        found[work.account] += 1
    assert found == {a: count_a, b: count_b}, found


@behave.given("an engine with a batch of {batch:d} tokens")
def step_engine(context, batch):
    context.clock = clocks.ManualClock()
    context.policy = policies.Policy()
    context.limits = limits_core.LimitsCore(
        metrics=metrics.Metrics(), policy=context.policy
    )
    context.core = placement_core.PlacementCore(
        daemon=membership.Daemon(
            daemon_id="entry-1",
            incarnation=1,
            zone="zone-0",
            region="attica",
            address="10.0.0.1:7004",
            roles=("router",),
        ),
        policy=context.policy,
        metrics=metrics.Metrics(),
        rng=random.Random(1),
    )
    context.attempt_count = 0
    context.outcomes = {}
    context.preempted = []
    handle_event(
        context,
        membership.UpstreamChanged(
            upstream=membership.Upstream(
                upstream_id="engine-0",
                incarnation=1,
                sequence=1,
                zone="zone-0",
                url="http://engine-0",
                offers=(membership.Offer(service="consultations", model="m"),),
                batch_tokens=batch,
                tokens_per_second=batch,
                state=membership.UpstreamState.SERVING,
                started_at=NOW - datetime.timedelta(hours=1),
            )
        ),
    )


@behave.given('the account "{account}" has a reserved share of {share:g}')
def step_reserved_share(context, account, share):
    names = ("volos", "chania", account)
    context.accounts = tuple(
        bundles.Account(
            name=name,
            key_salt="",
            key_digest="",
            priority=name == account,
            reserved_share=share if name == account else 0.0,
        )
        for name in names
    )


@behave.given("the service has short and long work")
def step_mixed(context):
    routes = tuple(
        bundles.Route(path=f"/{item.value}", cost_class=item)
        for item in placement.CostClass
    )
    service = bundles.Service(
        name="consultations", kind=bundles.ServiceKind.MODEL, routes=routes
    )
    event = publishing.ConfigurationChanged(
        revision=1,
        bundle=bundles.Bundle(service=(service,), account=context.accounts),
    )
    context.limits.handle(event, context.clock.now())


def handle_event(context, event):
    for effect in context.core.handle(event, context.clock.now()):
        match effect:
            case placement.Placed() | placement.NotPlaced():
                context.outcomes[effect.attempt_id] = effect
            case placement.PreemptWork():
                context.preempted.append(effect.attempt_id)


def request_placement(context, account, cost, **fields):
    context.attempt_count += 1
    context.attempt = f"{account}-{context.attempt_count}"
    defaults = {
        "cost_class": placement.CostClass.LONG,
        "deadline": context.clock.now() + datetime.timedelta(seconds=60),
    }
    request = placement.PlaceRequest(
        request_id=context.attempt,
        attempt_id=context.attempt,
        account=account,
        service="consultations",
        model="m",
        chat=f"chat-{context.attempt_count}",
        cost=cost,
        worth=1.0,
        **(defaults | fields),
    )
    handle_event(context, request)
    return context.outcomes.get(context.attempt)


def fill_engine(context, account, cost, **fields):
    """Place attempts until one has to wait; return the placed attempts."""
    filled = []
    while isinstance(
        request_placement(context, account, cost, **fields), placement.Placed
    ):
        filled.append(context.attempt)
    return filled


@behave.given('"{account}" fills the engine with long work of {cost:d} tokens')
def step_fill(context, account, cost):
    assert fill_engine(context, account, cost)


@behave.given(
    '"{account}" fills the engine with best-effort work of {cost:d} tokens'
)
def step_fill_best_effort(context, account, cost):
    context.best_effort_ids = fill_engine(
        context, account, cost, best_effort=True
    )


@behave.given('short work of "{account}" fills the rest of the engine')
def step_fill_short(context, account):
    short = placement.CostClass.SHORT
    assert fill_engine(context, account, 20, cost_class=short)


@behave.given('"{account}" asks for {cost:d} tokens')
@behave.when('"{account}" asks for {cost:d} tokens')
def step_request(context, account, cost):
    request_placement(context, account, cost)
    context.last_attempt = context.attempt


@behave.when('"{account}" asks for {cost:d} tokens of short work')
def step_request_short(context, account, cost):
    request_placement(
        context, account, cost, cost_class=placement.CostClass.SHORT
    )


def end_attempt(context, attempt_id):
    handle_event(
        context,
        placement.WorkEnded(
            request_id=attempt_id,
            attempt_id=attempt_id,
            upstream_id="engine-0",
            incarnation=1,
            outcome=placement.WorkOutcome.CANCELLED,
        ),
    )


@behave.when('"{account}" has ended its work and asks for {cost:d} tokens')
def step_request_after_end(context, account, cost):
    end_attempt(context, context.last_attempt)
    request_placement(context, account, cost)
    for _ in range(20):
        context.clock.advance(TICK)
        handle_event(context, placement.PlacementTick())


@behave.then("best-effort work is preempted")
def step_preempted(context):
    assert context.preempted
    assert set(context.preempted) <= set(context.best_effort_ids)
    assert context.attempt not in context.outcomes


@behave.then("it is placed after the preempted work has ended")
def step_placed_after(context):
    for attempt_id in context.preempted:
        end_attempt(context, attempt_id)
    handle_event(context, placement.PlacementTick())
    step_placed(context, 0)


@behave.given("{days:d} days pass")
def step_days_pass(context, days):
    end_attempt(context, context.last_attempt)
    context.clock.advance(datetime.timedelta(days=days))
    handle_event(context, placement.PlacementTick())


@behave.then("it is placed with engine priority {priority:d}")
def step_placed(context, priority):
    outcome = context.outcomes.get(context.attempt)
    assert isinstance(outcome, placement.Placed), outcome
    assert outcome.priority == priority


@behave.then("it is not placed immediately")
def step_not_placed(context):
    assert context.attempt not in context.outcomes


@behave.given(
    '{count:d} attempts of {cost:d} tokens of "{account}" wait for it'
)
def step_wait_for_engine(context, count, cost, account):
    for _ in range(count):
        request_placement(context, account, cost)
    for _ in range(20):
        context.clock.advance(TICK)
        handle_event(context, placement.PlacementTick())


@behave.when('"{account}" asks for {cost:d} tokens within {seconds:d} seconds')
def step_request_within(context, account, cost, seconds):
    context.requested_at = context.clock.now()
    deadline = context.requested_at + datetime.timedelta(seconds=seconds)
    request_placement(context, account, cost, deadline=deadline)


@behave.then('it is refused with "{code}" immediately')
def step_refused_early(context, code):
    while context.attempt not in context.outcomes:
        context.clock.advance(TICK)
        handle_event(context, placement.PlacementTick())
    assert context.outcomes[context.attempt].code == code
    waited = context.clock.now() - context.requested_at
    assert waited < datetime.timedelta(milliseconds=500), waited


def request_admission(context, deadline=None):
    event = messages.AdmitRequest(
        request_id="r",
        account="volos",
        service="consultations",
        cost=1,
        worth=1.0,
        deadline=deadline or NOW + datetime.timedelta(days=1),
    )
    context.outcome = context.limits.handle(event, NOW)[0]


@behave.when("a request arrives after its deadline")
def step_deadline_passed(context):
    request_admission(context, NOW - TICK)


@behave.when('"volos" opens {count:d} requests')
def step_open_requests(context, count):
    for _ in range(count):
        request_admission(context)


@behave.then('it is not admitted with "{code}"')
@behave.then('the last is not admitted with "{code}"')
def step_not_admitted(context, code):
    assert context.outcome.code == code, context.outcome


@behave.when("one of them ends")
def step_request_finishes(context):
    event = messages.RequestFinished(request_id="r", account="volos")
    context.limits.handle(event, NOW)


@behave.then("one more is admitted")
def step_admitted(context):
    request_admission(context)
    assert isinstance(context.outcome, messages.Admitted)
