"""Steps for a single membership core that receives announcements."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow.membership import core
from fulmarbarrow.membership import messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=250)


def daemon(name, role, state=messages.DaemonState.ALIVE):
    return messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone="z",
        region="r",
        address=f"{name}:1",
        roles=(role,),
        state=state,
    )


def make_core(context, name, role):
    context.now = NOW
    context.core = core.MembershipCore(
        daemon=daemon(name, role),
        seeds=(),
        lease=10 * SECOND,
        metrics=metrics.Metrics(),
        rng=random.Random(1),
        names_owner=False,
    )
    context.sequence = 0
    context.incarnation = 1


def handle(context, event):
    context.effects = context.core.handle(event, context.now)
    return context.effects


def receive_gossip(context, *daemons):
    handle(context, messages.Gossip(daemons=daemons))


def announce(context, name, **changes):
    context.sequence += 1
    fields = {
        "upstream_id": name,
        "incarnation": context.incarnation,
        "sequence": context.sequence,
        "zone": "z",
        "url": "http://10.0.0.1:80",
        "offers": (messages.Offer(service="s"),),
        "batch_tokens": 0,
        "tokens_per_second": 0,
        "state": messages.UpstreamState.SERVING,
        "started_at": NOW - 60 * SECOND,
        "slots": 8,
        **changes,
    }
    context.record = messages.Upstream(**fields)
    handle(
        context,
        messages.Announced(upstream=context.record, load=messages.Load()),
    )


def forwarded_record(context):
    """Return the record that was forwarded to the lease holder."""
    (record,) = [
        effect.message.upstream
        for effect in context.effects
        if isinstance(effect, message.Send)
        and isinstance(effect.message, messages.LeaseRenewal)
    ]
    return record


@behave.given("a control host that knows no router")
def step_no_router(context):
    make_core(context, "c1", "control")


@behave.given('a control host that knows routers "{names}"')
def step_routers(context, names):
    make_core(context, "c1", "control")
    context.routers = names.split()
    receive_gossip(
        context, *(daemon(name, "router") for name in context.routers)
    )


@behave.given('upstream "{name}" is known')
def step_upstream_known(context, name):
    announce(context, name, cold_until=NOW + 5 * SECOND)
    record = forwarded_record(context)
    handle(context, messages.Gossip(upstreams=(record,)))


@behave.when('upstream "{name}" announces itself')
def step_announce(context, name):
    announce(context, name)


@behave.when('upstream "{name}" announces itself with sequence {sequence:d}')
def step_announce_sequence(context, name, sequence):
    announce(context, name, sequence=sequence)


@behave.when('a later incarnation of upstream "{name}" announces itself')
def step_announce_incarnation(context, name):
    announce(context, name, incarnation=2, sequence=1)


@behave.given('a router that knows upstream "{name}" by its record {number:d}')
def step_router_knows(context, name, number):
    make_core(context, "r1", "router")
    announce(context, name, sequence=number)


@behave.when(
    'it hears that "{name}" leaves at sequence {sequence:d}, of a record that '
    "it does not have"
)
def step_hears_leave(context, name, sequence):
    delta = messages.UpstreamDelta(
        upstream_id=name,
        incarnation=1,
        base=3,
        sequence=sequence,
        state=messages.UpstreamState.LEAVING,
    )
    handle(context, messages.Gossip(changes=(delta,)))


@behave.when(
    'it hears of a change of "{name}" from record {base:d} to {sequence:d}'
)
def step_hears_delta(context, name, base, sequence):
    delta = messages.UpstreamDelta(
        upstream_id=name,
        incarnation=1,
        base=base,
        sequence=sequence,
        state=messages.UpstreamState.SERVING,
        owner="r2",
        owner_epoch=sequence,
    )
    handle(context, messages.Gossip(changes=(delta,)))


@behave.when('it hears of record {number:d} of "{name}"')
def step_hears_record(context, number, name):
    record = msgspec.structs.replace(context.record, sequence=number)
    handle(context, messages.Gossip(upstreams=(record,)))


@behave.then('it knows that "{name}" is {upstream_state}')
def step_knows_state(context, name, upstream_state):
    (found,) = context.core.dump()["upstreams"]
    assert found["upstream_id"] == name
    assert found["state"] == upstream_state, found


@behave.when('upstream "{name}" announces itself again {seconds:d} s later')
def step_announce_again(context, name, seconds):
    handle(context, messages.Gossip(upstreams=(context.record_with_owner,)))
    context.now += seconds * SECOND
    # With a changed field, the whole record is forwarded, not only a renewal.
    announce(context, name, cold_until=context.now + 5 * SECOND)


@behave.when("its owner crashes")
def step_owner_crashes(context):
    context.record_with_owner = forwarded_record(context)
    suspect = daemon(context.record_with_owner.owner, "router")
    suspect = msgspec.structs.replace(
        suspect, state=messages.DaemonState.SUSPECT
    )
    receive_gossip(context, suspect)
    for _ in range(40):
        context.now += TICK
        handle(context, message.Tick())
    assert any(
        known["daemon_id"] == context.record_with_owner.owner
        and known["state"] == messages.DaemonState.DEAD
        for known in context.core.dump()["daemons"]
    )
    # The other routers do not answer probes in this test either; a restart
    # makes them live again.
    other_routers = [
        router
        for router in context.routers
        if router != context.record_with_owner.owner
    ]
    receive_gossip(
        context,
        *(
            msgspec.structs.replace(daemon(router, "router"), incarnation=2)
            for router in other_routers
        ),
    )


@behave.then("it is refused as {code}")
def step_refused(context, code):
    (refusal_code,) = [
        effect.code
        for effect in context.effects
        if isinstance(effect, messages.AnnounceRefused)
    ]
    assert refusal_code == code, refusal_code


@behave.then("it is acknowledged")
def step_accepted(context):
    assert any(
        isinstance(effect, messages.AnnounceAccepted)
        for effect in context.effects
    )


@behave.then("the forwarded record names a router as owner")
def step_owner_named(context):
    context.record_with_owner = forwarded_record(context)
    assert context.record_with_owner.owner in context.routers, (
        context.record_with_owner
    )
    assert context.record_with_owner.owner_epoch > 0


@behave.then("the same owner is named in the same epoch")
def step_same_owner(context):
    record = forwarded_record(context)
    actual = record.owner, record.owner_epoch
    assert actual == (
        context.record_with_owner.owner,
        context.record_with_owner.owner_epoch,
    ), actual


@behave.then("another owner is named with a higher epoch")
def step_another_owner(context):
    record = forwarded_record(context)
    assert record.owner not in ("", context.record_with_owner.owner), record
    assert record.owner_epoch > context.record_with_owner.owner_epoch, record


@behave.when('upstream "{name}" announces that it leaves, no longer cold')
def step_announce_leaving(context, name):
    announce(context, name, state=messages.UpstreamState.LEAVING)


@behave.when('upstream "{name}" is withdrawn')
def step_withdrawn(context, name):
    handle(context, messages.Withdrawn(upstream_id=name))


@behave.then(
    'every router is sent at once, as urgent, that "{name}" is leaving'
)
def step_urgent_leaving(context, name):
    leaving = messages.UpstreamState.LEAVING
    addressees = set()
    for effect in context.effects:
        if not isinstance(effect, message.Send) or not effect.urgent:
            continue
        if not isinstance(effect.message, messages.Gossip):
            continue
        updates = (*effect.message.changes, *effect.message.upstreams)
        if any(
            update.upstream_id == name and update.state is leaving
            for update in updates
        ):
            addressees.add(effect.address)
    assert addressees == {f"{router}:1" for router in context.routers}, (
        addressees
    )


@behave.given('a router that holds the lease of "{name}"')
def step_holder(context, name):
    make_core(context, "r1", "router")
    announce(context, name)
    pass_time(context, 1)


def pass_time(context, seconds):
    context.gone = False
    for _ in range(int(seconds * SECOND / TICK)):
        context.now += TICK
        effects = handle(context, message.Tick())
        context.gone |= any(
            isinstance(effect, messages.UpstreamGone) for effect in effects
        )


@behave.when("its process is paused for {seconds:d} s")
def step_process_paused(context, seconds):
    context.now += seconds * SECOND


@behave.then('"{name}" is not gone after {seconds:d} s')
def step_not_gone(context, name, seconds):
    pass_time(context, seconds)
    assert not context.gone


@behave.then("it is gone after {seconds:d} s without an announcement")
def step_gone(context, seconds):
    pass_time(context, seconds)
    assert context.gone


def acknowledge(context, *routers):
    """Let routers acknowledge the urgent gossip of the last event."""
    gossip = [
        effect
        for effect in context.effects
        if isinstance(effect, message.Send)
        and isinstance(effect.message, messages.Gossip)
        and effect.message.nonce
    ]
    effects = []
    for send in gossip:
        router = send.address.partition(":")[0]
        if router in routers:
            ack = messages.GossipAck(
                daemon_id=router, nonce=send.message.nonce
            )
            effects.extend(handle(context, ack))
    context.effects = effects


@behave.given("the routers answer its probes")
def step_answer_probes(context):
    answered = 0
    for _ in range(8):
        context.now += TICK
        for effect in handle(context, message.Tick()):
            if not isinstance(effect, message.Send):
                continue
            if not isinstance(effect.message, messages.Probe):
                continue
            answered += 1
            ack = messages.ProbeAck(
                daemon_id=effect.address.partition(":")[0],
                reply_to=effect.address,
                incarnation=1,
                nonce=effect.message.nonce,
                digest=0,
                view=0,
            )
            handle(context, ack)
    assert answered


@behave.step("it is not acknowledged yet")
def step_not_accepted(context):
    assert not any(
        isinstance(effect, messages.AnnounceAccepted)
        for effect in context.effects
    )


@behave.when('the routers acknowledge that "{name}" is leaving')
def step_routers_acknowledge(context, name):
    acknowledge(context, *context.routers)


@behave.step('router "{router}" alone acknowledges that "{name}" is leaving')
def step_router_acknowledges(context, router, name):
    acknowledge(context, router)


@behave.step("no router acknowledges it for {milliseconds:d} ms")
def step_none_acknowledges(context, milliseconds):
    effects = []
    until = context.now + datetime.timedelta(milliseconds=milliseconds)
    while context.now < until:
        context.now += TICK
        effects.extend(handle(context, message.Tick()))
    context.effects = effects
