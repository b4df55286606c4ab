"""Steps for a fleet of membership, placement and zones cores."""

from __future__ import annotations

import datetime

import behave

from benchmarks import zones_fleet

SECOND = datetime.timedelta(seconds=1)
# Keeps the request rate far below the zones' capacity.
REQUEST_INTERVAL = datetime.timedelta(milliseconds=50)


def upstream_ids(context, zone):
    return {
        name
        for name, upstream in context.fleet.upstreams.items()
        if upstream.record.zone == zone
    }


@behave.given(
    "{zones:d} zones with {routers:d} routers and {upstreams:d} upstreams each"
)
def step_fleet(context, zones, routers, upstreams):
    context.fleet = zones_fleet.make(
        seed=5, zones=zones, routers=routers, upstreams=upstreams
    )
    context.revision = 1
    zones_fleet.publish(context.fleet, revision=1)
    context.fleet.run(75 * SECOND)


@behave.when("one router applies a revision that has {zone} out")
def step_one_router_applies(context, zone):
    context.zone = zone
    context.revision += 1
    node = context.fleet.nodes["entry-0"]
    zones_fleet.publish(
        context.fleet, revision=context.revision, out=(zone,), nodes=(node,)
    )


@behave.when("every router applies a revision that has {zone} out")
def step_every_router_applies(context, zone):
    context.revision += 1
    zones_fleet.publish(context.fleet, revision=context.revision, out=(zone,))
    context.fleet.run(SECOND)


@behave.when("every router applies a revision with all zones in")
def step_all_in(context):
    context.revision += 1
    zones_fleet.publish(context.fleet, revision=context.revision)


@behave.when("{seconds:d} s have passed")
def step_time_passes(context, seconds):
    context.fleet.run(seconds * SECOND)


@behave.then("within {seconds:d} s no router sends new work to {zone}")
def step_no_new_work(context, seconds, zone):
    def check():
        return all(
            node.weights.get(zone) == 0.0
            for node in context.fleet.nodes.values()
        )

    elapsed = context.fleet.run_until(check, within=seconds * SECOND)
    assert elapsed is not None


@behave.when(
    "the zone {zone} is partitioned from the others for {seconds:d} s"
)
def step_partition(context, zone, seconds):
    context.fleet.cut = {zone}
    context.fleet.run(seconds * SECOND)


@behave.when("{count:d} chats send a request to the routers of {zone}")
def step_send_requests(context, count, zone):
    context.chats = [f"chat-{number}" for number in range(count)]
    context.entry_zone = zone
    context.first_placement = place_chats(context, zone)


@behave.when("the same chats send another request")
def step_send_again(context):
    context.second_placement = place_chats(context, context.entry_zone)


def place_chats(context, zone):
    """Place one attempt per chat, end it and return each chat's upstream."""
    nodes = [
        node
        for node in context.fleet.nodes.values()
        if node.daemon.zone == zone
    ]
    found = {}
    context.round = getattr(context, "round", 0) + 1
    for number, chat in enumerate(context.chats):
        node = nodes[number % len(nodes)]
        attempt = f"{chat}-{context.round}"
        placed = zones_fleet.place(context.fleet, node, chat, attempt)
        found[chat] = placed
        context.fleet.run(REQUEST_INTERVAL)
    return found


@behave.then("all are placed and none in {zone}")
def step_placed_elsewhere(context, zone):
    assert None not in context.first_placement.values()
    assert not set(context.first_placement.values()) & upstream_ids(
        context, zone
    )


@behave.then("all are placed and all in {zone}")
def step_placed_in_zone(context, zone):
    assert None not in context.first_placement.values()
    assert set(context.first_placement.values()) <= upstream_ids(context, zone)


@behave.then("only those of {zone} have moved")
def step_moved(context, zone):
    inside = upstream_ids(context, zone)
    moved = [
        chat
        for chat in context.chats
        if context.first_placement[chat] != context.second_placement[chat]
    ]
    assert moved
    assert all(context.first_placement[chat] in inside for chat in moved)
    assert not set(context.second_placement.values()) & inside


@behave.then("every chat is on its original upstream")
def step_on_original_upstream(context):
    moved = {
        chat
        for chat in context.chats
        if context.first_placement[chat] != context.second_placement[chat]
    }
    assert not moved, moved


@behave.given("requests for {part:g} of the capacity at three levels of worth")
def step_requests(context, part):
    capacity = sum(
        upstream.record.tokens_per_second
        for upstream in context.fleet.upstreams.values()
    )
    context.load = zones_fleet.Load(
        fleet=context.fleet,
        tokens_per_second=part * capacity,
        kinds=((100, 4.0), (100, 2.0), (100, 1.0)),
    )
    context.load.run(30 * SECOND)


@behave.then("within {seconds:d} s all routers refuse the same work")
def step_same_threshold(context, seconds):
    context.load.run(seconds * SECOND)
    thresholds = [
        node.short.get("consultations")
        for node in context.fleet.nodes.values()
    ]
    assert None not in thresholds
    assert len({item.floor for item in thresholds}) == 1, thresholds
    parts = [item.part for item in thresholds]
    assert max(parts) - min(parts) < 0.1, parts
    assert 0 < thresholds[0].floor < 0.04
