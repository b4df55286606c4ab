"""Steps that simulate version moves."""

from __future__ import annotations

import datetime
import random

import automat
import behave
import msgspec

from benchmarks import version_cost
from benchmarks import version_model
from fulmarbarrow import clock as clocks
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import machine
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import sequential

MESSAGE_STEPS = 5


def start(context, **options):
    context.case = version_model.Case(seed=1, **options)
    context.play = version_model.Play(context.case)
    context.start = context.play.now
    context.highest_share = 0.0


@behave.given("a version move")
def step_move(context):
    start(context)


@behave.given("a version move whose new version {fault}")
def step_faulty(context, fault):
    start(context, fault=version_model.Fault(fault))


@behave.given("a version move whose loads take {seconds:d} seconds each")
def step_slow_loads(context, seconds):
    start(context, load_time=datetime.timedelta(seconds=seconds))


@behave.given("a version move of which {count:d} engine refuses orders")
def step_refusing(context, count):
    start(context, refusing_engines=count)


@behave.given("a version move with engines that ignore fencing numbers")
def step_no_fencing(context):
    start(context, checks_fencing=False)


@behave.when("the move runs until it ends")
def step_run(context):
    context.outcome = context.play.run()


@behave.step("it runs until the phase {phase}")
def step_run_until(context, phase):
    limit = context.start + context.case.length
    while context.play.phase != phase:
        context.highest_share = max(context.highest_share, context.play.share)
        assert context.play.now < limit, context.play.phase
        context.play.step()


@behave.then("it is completed before its deadline")
def step_completed(context):
    outcome = context.outcome
    assert outcome.phase is messages.Phase.COMPLETED, outcome
    assert outcome.ended_at < context.start + context.case.length


@behave.then("at least {serving:d} of {total:d} engines served at all times")
def step_serving(context, serving, total):
    assert context.outcome.lowest_serving >= serving / total, context.outcome


@behave.then('it is rolled back with a reason that starts with "{reason}"')
def step_rolled_back(context, reason):
    assert context.outcome.phase is messages.Phase.ROLLED_BACK, context.outcome
    assert context.outcome.reason.startswith(reason), context.outcome.reason


@behave.then("the fault affected at most 5% of the attempts")
def step_affected(context):
    outcome = context.outcome
    assert 0 < outcome.hurt <= 0.05 * outcome.attempts, outcome


@behave.then("it affected no attempt later than 2 seconds after it was found")
def step_affected_late(context):
    assert context.outcome.hurt_late == 0, context.outcome


@behave.then("the refused order went to another engine")
def step_other_engine(context):
    orders = [order.upstream_id for order, _ in context.play.orders]
    assert orders[0] == "engine-0", orders
    assert orders[1] == "engine-1", orders


@behave.then("the share was never above 5% before")
def step_share_cap(context):
    assert 0 < context.highest_share <= 0.05, context.highest_share


@behave.when("a router restarts")
def step_restart(context):
    context.address = context.play.restart_router()


@behave.then("it sends nothing to the new version at first")
def step_no_share(context):
    assert context.play.router_share(context.address) == 0.0


@behave.then("it has the others' share after a few messages")
def step_learned(context):
    for _ in range(MESSAGE_STEPS):
        context.play.step()
    share = context.play.router_share(context.address)
    assert share == context.play.share > 0, share


@behave.then("it sends nothing to the new version after a few messages")
def step_still_no_share(context):
    for _ in range(MESSAGE_STEPS):
        context.play.step()
    assert context.play.router_share(context.address) == 0.0


@behave.when("the share from before the stop arrives late")
@behave.when("the share of an earlier step arrives late")
def step_delayed_share(context):
    context.before = context.play.share
    push = messages.SharesPush(
        move_id="move-1", sequence=1, share=0.05, incarnation=1
    )
    address = getattr(context, "address", "127.0.0.1:7001")
    context.play.hand(address, push)


@behave.then("every router keeps its share")
def step_keeps_share(context):
    assert context.before > 0.05
    assert context.play.router_share("127.0.0.1:7001") == context.before


@behave.when("a new term begins")
def step_new_term(context):
    # All earlier orders have completed.
    context.order_count = len(context.play.orders)
    context.term_at = context.play.now
    context.play.lead(2)


@behave.then("no order is sent for {seconds:d} seconds")
def step_no_order(context, seconds):
    limit = context.start + context.case.length
    while len(context.play.orders) == context.order_count:
        assert context.play.now < limit
        context.play.step()
    _, at = context.play.orders[context.order_count]
    assert at >= context.term_at + datetime.timedelta(seconds=seconds)


@behave.then("the next order carries a higher fencing number")
def step_fencing(context):
    before, _ = context.play.orders[context.order_count - 1]
    after, _ = context.play.orders[context.order_count]
    assert after.fencing_number > before.fencing_number


@behave.when(
    "the control host restarts from a snapshot and becomes leader again"
)
def step_restart_control(context):
    context.before = (context.play.phase, context.play.share)
    context.play.restart_control()
    context.play.lead(2)


@behave.then("the move is still expanding at the same share")
def step_same_phase(context):
    assert context.before[0] is messages.Phase.EXPANDING
    assert (context.play.phase, context.play.share) == context.before


class PhaseRecorder:
    def __init__(self):
        self.phase = None

    def enter(self, phase):
        self.phase = phase


INPUTS = (
    "first_loaded",
    "canary_passed",
    "expanded",
    "watch_ended",
    "all_new",
    "fault",
    "all_old",
)


@behave.when("every input is applied in every phase")
def step_every_input(context):
    context.transitions = set()
    for phase in messages.Phase:
        for name in INPUTS:
            recorder = PhaseRecorder()
            move = machine.resume(phase, recorder)
            try:
                getattr(move, name)()
            except (automat.NoTransition, LookupError):
                continue
            context.transitions.add((phase.value, name, recorder.phase.value))


@behave.then("only these transitions occur")
def step_transitions(context):
    expected = {
        (row["phase"], row["input"], row["next"]) for row in context.table
    }
    assert context.transitions == expected, context.transitions ^ expected


@behave.given(
    "a new version with {errors:d} errors per 100 attempts and an old one "
    "with 1"
)
def step_error_share(context, errors):
    context.share = errors / 100


@behave.when("at most {count:d} attempts are compared until a fault is found")
def step_compare(context, count):
    source = random.Random(3)
    comparison = sequential.Comparison()
    context.fault = ""
    for _ in range(count):
        context.fault = comparison.add(
            sequential.Counts(
                attempts=1,
                errors=int(source.random() < context.share),
                old_attempts=1,
                old_errors=int(source.random() < 0.01),
            )
        )
        if context.fault:
            break


@behave.then("a fault is {found}")
def step_found(context, found):
    assert bool(context.fault) == (found == "found"), context.fault


def make_attempt(version, failed=False):
    outcome = placement_messages.WorkOutcome
    return delivery_messages.AttemptObserved(
        account="volos",
        service=version_model.SERVICE,
        model=version_model.MODEL,
        version=version,
        route=version_model.ROUTES[0],
        upstream_id="engine-0",
        incarnation=1,
        outcome=outcome.FAILED if failed else outcome.COMPLETED,
    )


@behave.given("a router that knows {count:d} daemons and has a move")
def step_large_fleet(context, count):
    context.router, configuration = version_cost.make_router(count)
    context.clock = clocks.ManualClock()
    context.configuration = configuration
    note_shares(context, configuration)
    context.reports = 0


def hand_share(context, share, sequence, term):
    push = messages.SharesPush(
        move_id="move-1",
        sequence=sequence,
        share=share,
        incarnation=1,
        term=term,
    )
    note_shares(context, push)


def note_shares(context, event):
    for effect in context.router.handle(event, context.clock.now()):
        if isinstance(effect, messages.VersionShares):
            context.shares = dict(effect.shares)


@behave.when("another router tells it share {share:f} of step {sequence:d}")
def step_told(context, share, sequence):
    hand_share(context, share, sequence, term=0)


@behave.when("the leader sends it share {share:f} of step {sequence:d}")
def step_sent(context, share, sequence):
    hand_share(context, share, sequence, term=3)


@behave.when("this side of the network is cut off")
def step_cut_off(context):
    changed = msgspec.structs.replace(context.configuration, cut_off=True)
    note_shares(context, changed)


@behave.when("a leader confirms the revision that is in force")
def step_confirmed(context):
    confirmed = publishing_messages.ConfigurationConfirmed(
        revision=context.configuration.revision,
        term=3,
        confirmed_at=context.clock.now(),
    )
    note_shares(context, confirmed)


@behave.then("its share of the new version is {share:f}")
def step_share(context, share):
    assert context.shares["2"] == share, context.shares


@behave.when("the control host hands its leadership over")
def step_hands_over(context):
    context.play.lead(1, has_lease=False)


@behave.then(
    "the move takes no step and no share is sent for {seconds:d} seconds"
)
def step_nothing(context, seconds):
    phase, orders = context.play.phase, len(context.play.orders)
    until = context.play.now + datetime.timedelta(seconds=seconds)
    while context.play.now < until:
        context.play.step()
    assert context.play.phase == phase, context.play.phase
    assert len(context.play.orders) == orders
    assert context.play.share == 0.0


def observe_successes(context, count):
    for _ in range(count):
        now = context.clock.advance(datetime.timedelta(seconds=1))
        for version in ("1", "2"):
            context.router.handle(make_attempt(version), now)
        effects = context.router.handle(message.Tick(), now)
        context.reports += sum(
            isinstance(effect, message.Send)
            and isinstance(effect.message, messages.VersionEvidence)
            for effect in effects
        )


@behave.when(
    "it observes successful attempts of both versions for {count:d} seconds"
)
def step_successful(context, count):
    observe_successes(context, count)


@behave.when(
    "it observes {failed:d} failed attempts, then successful ones for "
    "{count:d} seconds"
)
def step_failed(context, failed, count):
    for _ in range(failed):
        context.router.handle(make_attempt("2", True), context.clock.now())
    observe_successes(context, count)


@behave.then(
    "it reports between {least:d} and {most:d} times to each control host"
)
def step_reports(context, least, most):
    assert least <= context.reports <= most, context.reports
