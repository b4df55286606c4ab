"""Steps for calls from routers to control hosts."""

from __future__ import annotations

import datetime

import behave

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.journal import messages


@behave.given("three control hosts whose leader is control-{number:d}")
def step_leader(context, number):
    context.world = worlds.World(seed=1)
    context.world.log.lead(number)
    context.world.run(lambda: False, 0.1)
    context.results = []
    router = context.world.routers[0]
    router.bus.subscribe(
        messages.IntendResult,
        lambda event, now: context.results.append((event, now)),
    )


@behave.given("three control hosts without a quorum")
def step_no_quorum(context):
    step_leader(context, 0)
    context.world.log.quorum = False


@behave.given("the leader's first reply is lost")
def step_first_reply_lost(context):
    router = context.world.routers[0]
    context.world.lose_to(router.address, 1)


def order_caller(context, tag):
    return callers.Caller(
        world=context.world, tag=tag, kind=callers.Kind.ORDER, resends=1
    )


@behave.when("a router requests permission to dispatch")
def step_request_permission(context):
    context.requested_at = context.world.now
    context.caller = order_caller(context, "order")
    context.caller.send(context.world.routers[0])
    context.world.run(lambda: bool(context.results), 10)


@behave.then("it may dispatch for {seconds:d} seconds from its first call")
def step_may_dispatch(context, seconds):
    result, _ = context.results[0]
    assert result.standing is messages.EntryStanding.MAY_DISPATCH, result
    lease = result.dispatch_until - context.requested_at
    round_trip = 2 * worlds.HOP
    assert abs(lease - datetime.timedelta(seconds=seconds)) <= round_trip, (
        lease
    )


@behave.then("{name} proposed the intent itself")
def step_proposed(context, name):
    (proposal_id,) = context.world.log.commits
    assert f"-{name}-" in proposal_id, proposal_id


@behave.when("{count:d} orders arrive while a commit is in progress")
def step_concurrent_orders(context, count):
    orders = [
        order_caller(context, f"order-{number}") for number in range(count)
    ]
    router = context.world.routers[0]
    orders[0].send(router)
    for caller in orders[1:]:
        context.world.after(worlds.HOP, caller.send, router)
    context.world.run(lambda: len(context.results) == count, 10)


@behave.then("they were committed in {count:d} batches")
def step_batches(context, count):
    assert len(context.world.log.commits) == count


@behave.then("the journal is unavailable within {seconds:d} seconds")
def step_unavailable(context, seconds):
    result, at = context.results[0]
    assert result.standing is messages.EntryStanding.UNAVAILABLE, result
    elapsed = at - context.requested_at
    assert elapsed <= datetime.timedelta(seconds=seconds), elapsed
    (sending,) = context.caller.sendings.values()
    assert (sending.code, sending.ran) == ("journal_unavailable", "no")


@behave.then("the entry is sealed once the quorum is restored")
def step_sealed(context):
    context.world.log.quorum = True
    context.world.run(lambda: False, 10)
    journal = context.world.controls[0].control.journal
    assert journal.counts() == {"sealed": 1}, journal.counts()
    assert context.caller.key_runs() == 0


@behave.then("there is one entry")
def step_one_entry(context):
    assert len(context.world.controls[0].control.journal) == 1
