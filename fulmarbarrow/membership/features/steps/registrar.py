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


def make(context, name, role):
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
    context.born = 1


def handle(context, event):
    context.effects = context.core.handle(event, context.now)
    return context.effects


def receive_gossip(context, *daemons):
    handle(context, messages.Gossip(daemons=daemons))


def announce(context, name, **changes):
    context.sequence += 1
    fields = {
        "upstream_id": name,
        "incarnation": context.born,
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
    (found,) = [
        effect.message.upstream
        for effect in context.effects
        if isinstance(effect, message.Send)
        and isinstance(effect.message, messages.LeaseRenewal)
    ]
    return found


@behave.given("a control host that knows no router")
def step_alone(context):
    make(context, "c1", "control")


@behave.given('a control host that knows routers "{names}"')
def step_routers(context, names):
    make(context, "c1", "control")
    context.routers = names.split()
    receive_gossip(
        context, *(daemon(name, "router") for name in context.routers)
    )


@behave.given('upstream "{name}" is known')
def step_known(context, name):
    announce(context, name, cold_until=NOW + 5 * SECOND)
    record = forwarded_record(context)
    handle(context, messages.Gossip(upstreams=(record,)))


@behave.when('upstream "{name}" announces itself')
def step_announce(context, name):
    announce(context, name)


@behave.when('upstream "{name}" announces itself again {seconds:d} s later')
def step_again(context, name, seconds):
    handle(context, messages.Gossip(upstreams=(context.named,)))
    context.now += seconds * SECOND
    # With a changed field, the whole record is forwarded, not only a renewal.
    announce(context, name, cold_until=context.now + 5 * SECOND)


@behave.when("its owner crashes")
def step_owner_dies(context):
    context.named = forwarded_record(context)
    dead = daemon(context.named.owner, "router")
    dead = msgspec.structs.replace(dead, state=messages.DaemonState.SUSPECT)
    receive_gossip(context, dead)
    for _ in range(40):
        context.now += TICK
        handle(context, message.Tick())
    assert any(
        known["daemon_id"] == context.named.owner
        and known["state"] == messages.DaemonState.DEAD
        for known in context.core.dump()["daemons"]
    )
    # The other routers do not answer probes in this test either; a restart
    # makes them live again.
    others = [item for item in context.routers if item != context.named.owner]
    receive_gossip(
        context,
        *(
            msgspec.structs.replace(daemon(item, "router"), incarnation=2)
            for item in others
        ),
    )


@behave.then("it is refused as {code}")
def step_refused(context, code):
    (found,) = [
        effect.code
        for effect in context.effects
        if isinstance(effect, messages.AnnounceRefused)
    ]
    assert found == code, found


@behave.then("it is acknowledged")
def step_accepted(context):
    assert any(
        isinstance(effect, messages.AnnounceAccepted)
        for effect in context.effects
    )


@behave.then("the forwarded record names a router as owner")
def step_named(context):
    context.named = forwarded_record(context)
    assert context.named.owner in context.routers, context.named
    assert context.named.owner_epoch > 0


@behave.then("the same owner is named in the same epoch")
def step_same(context):
    record = forwarded_record(context)
    found = record.owner, record.owner_epoch
    assert found == (context.named.owner, context.named.owner_epoch), found


@behave.then("another owner is named with a higher epoch")
def step_another(context):
    record = forwarded_record(context)
    assert record.owner not in ("", context.named.owner), record
    assert record.owner_epoch > context.named.owner_epoch, record


@behave.when('upstream "{name}" announces that it leaves, no longer cold')
def step_leaves(context, name):
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
            item.upstream_id == name and item.state is leaving
            for item in updates
        ):
            addressees.add(effect.address)
    assert addressees == {f"{router}:1" for router in context.routers}, (
        addressees
    )


@behave.given('a router that holds the lease of "{name}"')
def step_holder(context, name):
    make(context, "r1", "router")
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
def step_paused(context, seconds):
    context.now += seconds * SECOND


@behave.then('"{name}" is not gone after {seconds:d} s')
def step_not_gone(context, name, seconds):
    pass_time(context, seconds)
    assert not context.gone


@behave.then("it is gone after {seconds:d} s without an announcement")
def step_gone(context, seconds):
    pass_time(context, seconds)
    assert context.gone
