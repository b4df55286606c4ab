"""Steps for single requests in a simulation of the cores."""

from __future__ import annotations

import datetime
import itertools

import behave

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages

KINDS = {
    "look-up": callers.Kind.LOOKUP,
    "stream": callers.Kind.STREAM,
    "order": callers.Kind.ORDER,
}


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


def get_world(context, **options):
    if not hasattr(context, "world"):
        context.world = worlds.World(seed=3, **options)
    return context.world


def send(context, kind, poison=False):
    world = get_world(context)
    context.caller = callers.Caller(
        world=world,
        tag=f"{kind}-1",
        kind=KINDS[kind],
        poison=poison,
        resends=1,
        padding=getattr(context, "padding", 0),
    )
    context.caller.send(world.routers[0])
    (context.sending,) = context.caller.sendings.values()
    context.sent_at = world.now


def pass_time(world, duration_ms):
    """Let time pass, also where nothing is due."""
    passed = []
    world.after(milliseconds(duration_ms), passed.append, True)
    world.run(lambda: passed, duration_ms)


def open_attempts(context):
    (request,) = context.world.cores["entry-0"].dump()["open"].values()
    return list(request["attempts"])


@behave.given(
    "the first register that gets a request takes {seconds:d} seconds"
)
def step_slow_register(context, seconds):
    for upstream in get_world(context).upstreams.values():
        upstream.slow_once = datetime.timedelta(seconds=seconds)


@behave.given("orders whose response has {size:d} bytes")
def step_response_size(context, size):
    context.padding = size


@behave.given("a pool of two engines")
def step_two_engines(context):
    get_world(context, engines=2)


@behave.given(
    "every register answers its first request with {status:d} after its run"
)
def step_unavailable_once(context, status):
    for upstream in get_world(context).upstreams.values():
        upstream.status_after_run = status
        upstream.faults["unavailable"] = 1


@behave.given("every register answers 503 after its run")
def step_unavailable(context):
    for upstream in get_world(context).upstreams.values():
        upstream.faults["unavailable"] = 10


@behave.when("an order is sent whose recorded answer is a 503")
def step_recorded(context):
    send(context, "order")

    def intending():
        opened = context.world.cores["entry-0"].dump()["open"].values()
        return "intending" in [request["state"] for request in opened]

    context.world.run(intending, 1)
    context.world.routers[0].post(
        journal_messages.IntendResult(
            request_id=context.sending.request_id,
            standing=journal_messages.EntryStanding.DONE,
            status=503,
        )
    )


@behave.then("it ends with no status that tells it has not run")
def step_no_false_promise(context):
    context.world.run(lambda: context.sending.over, 10)
    sending = context.sending
    assert sending.over and sum(context.caller.runs.values()), sending
    assert context.world.routers[0].metrics.total("hedges") == 1
    assert sending.status not in refusals.NOT_RUN_STATUSES, sending
    assert sending.ran is not messages.Ran.NO, sending


@behave.then("it is refused with {code}")
def step_refused(context, code):
    context.world.run(lambda: context.sending.over, 10)
    assert context.sending.code == code, context.sending


@behave.when("a {kind} is sent")
@behave.when("an {kind} is sent")
def step_send(context, kind):
    send(context, kind)


@behave.then("it completes within {seconds:d} second")
def step_completes(context, seconds):
    context.world.run(lambda: context.sending.over, seconds)
    assert context.sending.ended, context.sending


@behave.then("no upstream still processes it")
def step_no_upstream_busy(context):
    context.world.run(lambda: False, 0.1)
    for upstream in context.world.upstreams.values():
        assert not upstream.runs, upstream.upstream_id


@behave.when("a stream is sent and preempted after {after:d} ms")
def step_preempt(context, after):
    send(context, "stream")
    context.world.run(lambda: False, after / 1000)
    (attempt_id,) = open_attempts(context)
    context.world.routers[0].post(
        placement_messages.PreemptWork(attempt_id=attempt_id)
    )
    context.world.run(lambda: context.sending.over, 5)


@behave.then("the caller's stream is complete without duplicates")
def step_stream_complete(context):
    assert context.sending.ended
    assert context.sending.data in context.caller.expected(200)


@behave.then("the stream took {count:d} attempts")
@behave.then("the stream took {count:d} attempt")
def step_attempt_count(context, count):
    assert context.world.routers[0].metrics.total("attempts") == count


@behave.when("a {kind} is sent and its caller disconnects after {after:d} ms")
@behave.when("an {kind} is sent and its caller disconnects after {after:d} ms")
def step_caller_disconnects(context, kind, after):
    send(context, kind)
    context.world.run(lambda: False, after / 1000)
    context.caller.leave()


@behave.then("the order ran once")
def step_order_ran_once(context):
    context.world.run(lambda: False, 1)
    assert context.caller.key_runs() == 1


def resend(context):
    context.caller.send(context.world.routers[1])
    sending = list(context.caller.sendings.values())[-1]
    context.world.run(lambda: sending.over, 5)
    return sending


@behave.then("a resend through another router gets the recorded response")
def step_resend_replayed(context):
    sending = resend(context)
    assert sending.replayed, sending
    assert sending.data in context.caller.expected(200)


@behave.then("a resend through another router is refused with {code}")
def step_resend_refused(context, code):
    sending = resend(context)
    assert sending.code == code, sending


@behave.when(
    "a stream is sent, paused after {after:d} ms and silent for "
    "{seconds:d} seconds"
)
def step_paused_and_silent(context, after, seconds):
    send(context, "stream")
    context.world.run(lambda: False, after / 1000)
    (attempt_id,) = open_attempts(context)
    context.world.routers[0].post(
        messages.AttemptPaused(attempt_id=attempt_id, paused=True)
    )
    for upstream in context.world.upstreams.values():
        upstream.go_silent()
    context.world.run(lambda: False, seconds)


@behave.given("a pool of one engine")
def step_one_engine(context):
    get_world(context, engines=1)


@behave.given("a pool of two engines and a budget of {count:d} retries")
def step_small_budget(context, count):
    # The routers and one more share the slack.
    slack = 3 * count
    retries = defaults.RetriesSection(ratio=0.0, slack=slack)
    get_world(context, engines=2, retries=retries)


@behave.given("placement takes {duration:d} ms")
def step_slow_placement(context, duration):
    context.place_delay = milliseconds(duration)


def pause_engines(context, engines, duration):
    for engine in engines:
        engine.pause(milliseconds(duration))
    if hasattr(context, "place_delay"):
        context.world.place_delay = context.place_delay


@behave.when("a stream's engine pauses for {duration:d} ms")
def step_engine_pauses(context, duration):
    send(context, "stream")
    pass_time(context.world, 70)
    arrivals = [context.world.now]
    take = context.caller.take

    def take_and_note(event):
        arrivals.append(context.world.now)
        take(event)

    context.caller.take = take_and_note
    engines = [item for item in context.world.upstreams.values() if item.runs]
    pause_engines(context, engines, duration)
    context.world.run(lambda: context.sending.over, 30)
    context.gap = max(
        later - earlier for earlier, later in itertools.pairwise(arrivals)
    )


@behave.when(
    "{count:d} streams are sent and all engines pause for {duration:d} ms"
)
def step_all_pause(context, count, duration):
    world = get_world(context)
    context.streams = [
        callers.Caller(
            world=world, tag=f"chat-{n}", kind=callers.Kind.STREAM, resends=0
        )
        for n in range(count)
    ]
    for caller in context.streams:
        caller.send(world.routers[0])
    pass_time(world, 70)
    pause_engines(context, world.upstreams.values(), duration)
    world.run(lambda: all(item.settled for item in context.streams), 30)


@behave.then("every stream is complete")
def step_all_complete(context):
    for caller in context.streams:
        (sending,) = caller.sendings.values()
        assert sending.data in caller.expected(200), sending


@behave.then("{count:d} attempts were made")
def step_attempts_made(context, count):
    step_attempt_count(context, count)


@behave.then("its longest gap was less than {limit:d} ms")
def step_gap(context, limit):
    assert context.gap < milliseconds(limit), context.gap


@behave.when("a stream's connection is cut")
def step_connection_cut(context, kind=messages.FailureKind.CUT):
    send(context, "stream")
    context.world.run(lambda: False, 0.07)
    context.engine = next(
        upstream
        for upstream in context.world.upstreams.values()
        if upstream.runs
    )
    context.engine.break_connections(kind)
    context.world.run(lambda: False, 0.01)


@behave.when("the peer that relays a stream is lost")
def step_relay_lost(context):
    step_connection_cut(context, messages.FailureKind.RELAY_LOST)


@behave.when(
    "the connections of {count:d} leaving engines break under a shared part, "
    "{gap:d} ms apart"
)
def step_leaving_engines(context, count, gap):
    world = get_world(context, engines=count + 2)
    for upstream in world.upstreams.values():
        upstream.delay = milliseconds(10_000)  # nothing completes meanwhile
    for number in range(count):
        caller = callers.Caller(
            world=world,
            tag=f"stream-{number}",
            kind=callers.Kind.STREAM,
            resends=1,
            parts=(("shared", 100), (f"own-{number}", 100)),
        )
        caller.send(world.routers[0])
        pass_time(world, gap // 2)
        engine = next(
            upstream
            for upstream in world.upstreams.values()
            if upstream.runs and upstream.serves("engine")
        )
        engine.leave()
        engine.break_connections()
        pass_time(world, gap // 2)
    pass_time(world, 2_000)


@behave.then("no prompt part is quarantined on any router")
def step_no_part_quarantined(context):
    for core in context.world.cores.values():
        assert not core.dump()["prompt_parts"]["quarantined"], core.dump()


def suspects(context):
    return [core.dump()["suspects"] for core in context.world.cores.values()]


@behave.then("its digest is a suspect on every router")
def step_suspect(context):
    for dump in suspects(context):
        assert list(dump) == [context.caller.tag], dump


@behave.when("the engine renews its lease {seconds:d} seconds later")
def step_lease_renewed(context, seconds):
    context.world.run(lambda: False, seconds)
    context.world.tell_routers(
        membership_messages.LoadReported(
            upstream_id=context.engine.upstream_id,
            incarnation=context.engine.incarnation,
            load=membership_messages.Load(),
        )
    )


@behave.then("no digest is a suspect")
def step_no_suspect(context):
    assert suspects(context) == [{}, {}], suspects(context)


@behave.when("a poison stream is sent once")
def step_send_poison(context):
    send(context, "stream", poison=True)
    context.world.run(lambda: context.sending.over, 30)


@behave.then("{count:d} engine crashed")
def step_crash_count(context, count):
    crashes = [
        upstream.crashes for upstream in context.world.upstreams.values()
    ]
    assert sum(crashes) == count, crashes


@behave.given("routers that tell which requests began")
def step_telling_routers(context):
    get_world(context, tells_began=True)


@behave.when("the first attempt of a {kind} is {fate}")
def step_first_attempt(context, kind, fate):
    world = get_world(context)
    if fate == "refused":
        for upstream in world.upstreams.values():
            upstream.faults["refuse"] = 1
    if fate == "hedged":
        for upstream in world.upstreams.values():
            upstream.slow_once = milliseconds(3000)
    send(context, kind)
    if fate == "preempted":
        world.run(lambda: False, 0.07)
        (attempt_id,) = open_attempts(context)
        world.routers[0].post(
            placement_messages.PreemptWork(attempt_id=attempt_id)
        )
    world.run(lambda: context.sending.over, 5)
    assert context.sending.ended, context.sending
    attempts = world.routers[0].metrics.total("attempts")
    assert (attempts > 1) == (fate != "completed"), attempts


@behave.when("all upstreams refuse a stream")
def step_all_refuse(context):
    world = get_world(context)
    for upstream in world.upstreams.values():
        upstream.faults["refuse"] = 1000
    send(context, "stream")
    world.run(lambda: context.sending.over, 8)
    assert not context.sending.ended


@behave.then("{count:d} request has begun")
def step_began(context, count):
    tag = message.tag(messages.RequestBegan)
    began = sum(router.bus.unhandled[tag] for router in context.world.routers)
    assert began == count, began


@behave.given("suspects run beside other requests, and {count:d} registers")
def step_together(context, count):
    retries = defaults.RetriesSection(
        ratio=0.2, slack=56, isolate_suspects=False, crashes=3
    )
    get_world(context, routers=3, registers=count, retries=retries)


@behave.when(
    "look-ups that are alike go on, and {count:d} registers crash at once, "
    "{times:d} times"
)
def step_crashes_at_once(context, count, times):
    world = context.world
    context.lookups, context.crashed_at, context.quarantined = [], [], []
    registers = [
        item for item in world.upstreams.values() if item.serves("register")
    ]

    def look_up():
        caller = callers.Caller(
            world=world, tag="same", kind=callers.Kind.LOOKUP, resends=1
        )
        caller.send(world.rng.choice(world.routers))
        context.lookups.append((world.now, caller))
        world.after(milliseconds(10), look_up)

    for register in registers:
        register.delay = milliseconds(100)
    look_up()
    for _ in range(times):
        pass_time(world, 3_000)
        context.crashed_at.append(world.now)
        for register in registers[:count]:
            register.crash()
            world.after(milliseconds(1_000), register.restart)
        pass_time(world, 1_000)
        context.quarantined += quarantined_digests(world)
    pass_time(world, 6_000)
    context.quarantined += quarantined_digests(world)


def quarantined_digests(world):
    found = []
    for core in world.cores.values():
        dump = core.dump()
        found += dump["requests"]["quarantined"]
        found += [
            digest
            for digest, suspect in dump["suspects"].items()
            if suspect["quarantined"]
        ]
    return found


@behave.then("no digest is quarantined on any router")
def step_no_digest_quarantined(context):
    assert not context.quarantined, context.quarantined


@behave.then("the look-ups are answered from 1 s after each crash on")
def step_lookups_answered(context):
    first = context.crashed_at[0]
    answers = [
        caller.answered
        for at, caller in context.lookups
        if at > first
        and at < context.world.now - milliseconds(5_000)
        and all(
            at < crashed or at > crashed + milliseconds(1_000)
            for crashed in context.crashed_at
        )
    ]
    assert len(answers) > 100 and all(answers), answers
