"""Steps for the zones core of a single router."""

from __future__ import annotations

import datetime
import itertools
import random

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import core as zones_core
from fulmarbarrow.zones import messages

ZONES = ("attica-a", "attica-b", "attica-c")
SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=250)


def daemon(name, zone, roles=("router",)):
    return membership_messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone=zone,
        region="attica",
        address=f"{name}:7004",
        roles=roles,
    )


def configuration(revision, out=(), zones=ZONES):
    return publishing_messages.ConfigurationChanged(
        revision=revision,
        bundle=bundles.Bundle(
            zone=tuple(
                bundles.Zone(
                    name=name,
                    region="attica",
                    state=bundles.ZoneState("out" if name in out else "in"),
                )
                for name in zones
            )
        ),
    )


def handle_event(context, event):
    effects = context.core.handle(event, context.now)
    for effect in effects:
        context.effects.append(effect)
        if isinstance(effect, messages.ZoneWeights):
            context.weights = dict(effect.weights)
    return effects


def publish(context, out=()):
    context.revision += 1
    handle_event(context, configuration(context.revision, out))


def run(context, seconds):
    until = context.now + seconds * SECOND
    while context.now < until:
        context.now += TICK
        handle_event(context, message.Tick())


@behave.given("a router that has just started")
def step_started(context):
    context.now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    context.revision = 0
    context.weights = {}
    context.effects = []
    context.core = zones_core.ZonesCore(
        daemon=daemon("entry-1", "attica-a"),
        metrics=metrics.Metrics(),
        rng=random.Random(3),
    )


@behave.given("a router with 3 configured zones")
def step_router(context):
    step_started(context)
    publish(context)


@behave.when("a revision takes the zone attica-b out")
@behave.when("a later revision takes it out again")
def step_take_out(context):
    publish(context, out=("attica-b",))


@behave.when("a later revision brings it back")
def step_bring_back(context):
    publish(context)


@behave.when("{seconds:d} s pass")
def step_time_passes(context, seconds):
    run(context, seconds)


@behave.when(
    "another router announces that revision {revision:d} has attica-b {state}"
)
def step_announced(context, revision, state):
    notice = messages.ZoneNotice(
        zone="attica-b", out=state == "out", revision=revision
    )
    handle_event(context, messages.ZoneNoticesReceived(notices=(notice,)))


@behave.when("revision {revision:d} is applied with all zones in")
def step_applied(context, revision):
    handle_event(context, configuration(revision))


@behave.then("its weight is 0 and the others' is 1")
def step_weights(context):
    expected = {"attica-a": 1.0, "attica-b": 0.0, "attica-c": 1.0}
    assert context.weights == expected, context.weights


@behave.then("the weight of every zone is 1")
def step_all_in(context):
    assert set(context.weights.values()) == {1.0}, context.weights


@behave.then("its weight stays 0 for {seconds:d} s")
def step_stays(context, seconds):
    run(context, seconds - 1)
    assert context.weights["attica-b"] == 0.0


@behave.then(
    "then rises to 1 within {seconds:d} s by steps of at most {step:g}"
)
def step_rises(context, seconds, step):
    seen = [0.0]
    until = context.now + (seconds + 1) * SECOND
    while context.now < until:
        run(context, 0.25)
        seen.append(context.weights["attica-b"])
    pairs = itertools.pairwise(seen)
    steps = [after - before for before, after in pairs]
    assert min(steps) >= 0 and max(steps) <= step, seen
    assert seen[-1] == 1.0, seen


@behave.then("it announces nothing within {seconds:d} s")
def step_no_announcement(context, seconds):
    run(context, seconds)
    announced = [
        effect
        for effect in context.effects
        if isinstance(effect, messages.ZoneNoticesAnnounced)
    ]
    assert not announced, announced


@behave.given("chats that were placed in attica-b before it was taken out")
def step_place_chats(context):
    handle_event(
        context,
        membership_messages.DaemonChanged(
            daemon=daemon("control-1", "attica-c", roles=("control",))
        ),
    )
    for name, zone in (("engine-a", "attica-a"), ("engine-b", "attica-b")):
        handle_event(
            context,
            membership_messages.UpstreamChanged(upstream=engine(name, zone)),
        )
    for chat, requests in (("cool", 1), ("hot", 9), ("warm", 4)):
        for number in range(requests):
            place(context, chat, f"{chat}-{number}", "engine-b")
    place(context, "elsewhere", "elsewhere-1", "engine-a")
    publish(context, out=("attica-b",))
    for chat in ("cool", "hot", "warm", "elsewhere"):
        place(context, chat, f"{chat}-last", "engine-a")


def engine(name, zone):
    return membership_messages.Upstream(
        upstream_id=name,
        incarnation=1,
        sequence=1,
        zone=zone,
        url=f"http://{name}",
        offers=(
            membership_messages.Offer(
                service="consultations", model="lacework", version="1"
            ),
        ),
        batch_tokens=4000,
        tokens_per_second=2000,
        state=membership_messages.UpstreamState.SERVING,
        started_at=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )


def place(context, chat, attempt, upstream_id):
    request = placement_messages.PlaceRequest(
        request_id=attempt,
        attempt_id=attempt,
        account="volos",
        service="consultations",
        model="lacework",
        chat=chat,
        cost=100,
        cost_class=placement_messages.CostClass.SHORT,
        worth=1.0,
        deadline=context.now + 30 * SECOND,
    )
    handle_event(context, request)
    handle_event(
        context,
        placement_messages.Placed(
            request_id=attempt,
            attempt_id=attempt,
            upstream_id=upstream_id,
            incarnation=1,
            url="",
            version="1",
        ),
    )
    handle_event(
        context,
        placement_messages.WorkEnded(
            request_id=attempt,
            attempt_id=attempt,
            upstream_id=upstream_id,
            incarnation=1,
            outcome=placement_messages.WorkOutcome.COMPLETED,
            prompt_tokens=700,
            generated_tokens=50,
        ),
    )


@behave.then("a control host is asked to move them back, busiest first")
def step_moves_requested(context):
    sent = [
        effect
        for effect in context.effects
        if isinstance(effect, message.Send)
        and isinstance(effect.message, messages.KvMovesRequested)
    ]
    assert [item.address for item in sent] == ["control-1:7004"]
    moves = sent[0].message.moves
    assert [move.chat for move in moves] == ["hot", "warm", "cool"], moves
    assert {move.target_id for move in moves} == {"engine-b"}
    assert {move.source_id for move in moves} == {"engine-a"}
    assert {move.tokens for move in moves} == {750}
    assert msgspec.msgpack.encode(sent[0].message)
