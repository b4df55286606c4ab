"""Steps for a simulated fleet of membership cores."""

from __future__ import annotations

import datetime
import zlib

import behave
import msgspec

from benchmarks import membership_fleet
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import packing

REGION = "attica"
SECOND = membership_fleet.SECOND


def make_fleet(context, zones, daemons, upstreams, names_owners=True):
    fleet = getattr(context, "fleet", None) or membership_fleet.Fleet(seed=7)
    context.fleet = fleet
    for number in range(zones * daemons):
        zone = f"attica-{number % zones}"
        seeds = ("entry-0",) if number else ()
        fleet.add_daemon(
            f"entry-{number}", zone=zone, region=REGION, seeds=seeds
        )
    for number in range(zones * upstreams):
        zone = f"attica-{number % zones}"
        upstream = fleet.add_upstream(
            f"engine-{number}", zone=zone, region=REGION
        )
        upstream.echoes = names_owners


def running_nodes(context):
    return [node for node in context.fleet.nodes.values() if node.running]


def wait_until(context, seconds, check):
    elapsed = context.fleet.run_until(check, within=seconds * SECOND)
    assert elapsed is not None, f"not within {seconds} s"
    return elapsed


def daemon_record(node, daemon_id):
    for record in node.core.dump()["daemons"]:
        if record["daemon_id"] == daemon_id:
            return record
    return None


@behave.given("a network that loses {part:g} of all frames")
def step_loss(context, part):
    context.fleet = membership_fleet.Fleet(seed=7, loss=part)


@behave.given("a daemon without seeds")
def step_single(context):
    make_fleet(context, 1, 1, 0)


@behave.given(
    "{zones:d} zones with {daemons:d} daemons and {upstreams:d} upstreams each"
)
def step_fleet(context, zones, daemons, upstreams):
    make_fleet(context, zones, daemons, upstreams)


@behave.given(
    "{zones:d} zones with {daemons:d} daemons and {upstreams:d} upstreams "
    "each that name no owner"
)
def step_fleet_without_owners(context, zones, daemons, upstreams):
    make_fleet(context, zones, daemons, upstreams, names_owners=False)


@behave.step("{seconds:d} s have passed")
def step_pass(context, seconds):
    context.fleet.run(seconds * SECOND)


@behave.when("{count:d} upstreams announce themselves once")
def step_announce_once(context, count):
    node = context.fleet.nodes["entry-0"]
    for number in range(count):
        context.upstream = context.fleet.add_upstream(
            f"engine-{number}", zone="attica-0", region=REGION
        )
        context.fleet.announce(context.upstream, node)


@behave.when("an older announcement of it arrives")
def step_older(context):
    node = context.fleet.nodes["entry-0"]
    context.fleet.announce(context.upstream, node, renew=False)


@behave.when("another daemon starts in the zone")
def step_another(context):
    context.owners_before = owners(context.fleet.nodes["entry-0"])
    context.node = context.fleet.add_daemon(
        "newcomer", zone="attica-0", region=REGION, seeds=("entry-0",)
    )


@behave.when("the seed is down")
def step_seed_down(context):
    context.fleet.stop("entry-0")


@behave.when("the seed starts again")
def step_seed_up(context):
    context.fleet.add_daemon("entry-0", zone="attica-0", region=REGION)


@behave.when("a daemon crashes")
def step_crash(context):
    context.node = context.fleet.nodes["entry-4"]
    context.fleet.stop("entry-4")


@behave.when("it starts again {seconds:d} s later")
def step_restart(context, seconds):
    context.fleet.run(seconds * SECOND)
    context.old_daemon = context.node.daemon
    context.node = context.fleet.add_daemon(
        context.old_daemon.daemon_id,
        zone=context.old_daemon.zone,
        region=REGION,
        seeds=("entry-0",),
    )


@behave.when("a delayed message reports its old incarnation as dead")
def step_delayed_death(context):
    dead = msgspec.structs.replace(
        context.old_daemon, state=messages.DaemonState.DEAD
    )
    for node in running_nodes(context):
        context.fleet.post(node, messages.Gossip(daemons=(dead,)))
    context.fleet.run(SECOND)


@behave.when("a daemon wrongly suspects another")
def step_suspect(context):
    context.node = context.fleet.nodes["entry-4"]
    suspect = msgspec.structs.replace(
        context.node.daemon, state=messages.DaemonState.SUSPECT
    )
    context.fleet.post(
        context.fleet.nodes["entry-1"], messages.Gossip(daemons=(suspect,))
    )


@behave.when("the owner of an upstream crashes")
def step_owner_crash(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    context.record_before = context.upstream.record
    assert context.record_before.owner
    context.fleet.stop(context.record_before.owner)


@behave.when("an upstream and its owner crash")
def step_both_crash(context):
    step_owner_crash(context)
    context.upstream.running = False


@behave.when("the owner of an upstream leaves")
def step_owner_leaves(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    context.record_before = context.upstream.record
    node = context.fleet.nodes[context.record_before.owner]
    context.fleet.post(node, messages.LeaveStarted())


@behave.when("the daemons disagree about it for {seconds:d} s")
def step_disagree(context, seconds):
    dead = msgspec.structs.replace(
        context.fleet.nodes[context.record_before.owner].daemon,
        state=messages.DaemonState.DEAD,
    )
    suspect = msgspec.structs.replace(dead, state=messages.DaemonState.SUSPECT)
    for node in running_nodes(context)[::2]:
        gossip = messages.Gossip(daemons=(suspect, dead), syncs=True)
        context.fleet.post(node, gossip)
    context.fleet.run(seconds * SECOND)


@behave.when("one daemon reports another view of its zone")
def step_view(context):
    node = context.fleet.nodes["entry-0"]
    other = context.fleet.nodes["entry-2"].daemon
    context.fleet.post(
        node, messages.ZoneView(daemon_id=other.daemon_id, view=1)
    )


@behave.when("an upstream crashes")
def step_upstream_crash(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    context.upstream.running = False


@behave.when("an upstream announces that it is leaving")
def step_leaving(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    step_that_leaving(context)


@behave.when("that upstream announces that it is leaving")
def step_that_leaving(context):
    context.upstream.record = msgspec.structs.replace(
        context.upstream.record, state=messages.UpstreamState.LEAVING
    )
    node = next(
        node
        for node in running_nodes(context)
        if node.daemon.zone == context.upstream.record.zone
    )
    context.fleet.announce(context.upstream, node)


@behave.given(
    "one daemon has taken the announcements of all upstreams for {seconds:d} s"
)
def step_announced_at_one(context, seconds):
    fleet = context.fleet
    context.node = fleet.nodes["entry-5"]
    for _ in range(seconds):
        for upstream in fleet.upstreams.values():
            fleet.announce(upstream, context.node)
        fleet.run(SECOND)


@behave.when("an upstream withdraws there")
def step_withdraws(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    context.upstream.running = False
    withdrawn = messages.Withdrawn(
        upstream_id=context.upstream.record.upstream_id
    )
    context.fleet.post(context.node, withdrawn)


@behave.when("an upstream withdraws at another daemon")
def step_withdraws_elsewhere(context):
    context.node = context.fleet.nodes["entry-11"]
    step_withdraws(context)


@behave.when("it stops")
def step_stops(context):
    context.upstream.running = False


@behave.when("its last announcement arrives late at each daemon")
def step_late(context):
    record = context.upstream.record
    context.upstream.record = msgspec.structs.replace(
        record, sequence=record.sequence + 1
    )
    for node in running_nodes(context):
        context.fleet.announce(context.upstream, node, renew=False)
    context.fleet.run(SECOND)


@behave.when("it announces its old incarnation for {seconds:d} s")
def step_old_incarnation(context, seconds):
    for _ in range(seconds):
        for node in running_nodes(context):
            context.fleet.announce(context.upstream, node)
        context.fleet.run(SECOND)


@behave.when("it starts again as a new incarnation")
def step_upstream_restart(context):
    record = context.upstream.record
    context.upstream = context.fleet.add_upstream(
        record.upstream_id,
        zone=record.zone,
        region=REGION,
        incarnation=record.incarnation + 1,
    )


@behave.when("an upstream crashes and starts again {times:d} times")
def step_flap(context, times):
    context.return_times = []
    for _ in range(times):
        step_upstream_crash(context)
        wait_until(context, 7, lambda: count_knowing(context) == 0)
        step_upstream_restart(context)
        context.return_times.append(
            wait_until(context, 90, lambda: count_knowing(context) > 0)
        )


@behave.when("the first zone is partitioned")
def step_partition(context):
    context.fleet.cut = {"attica-0"}


@behave.when("all zones are partitioned")
def step_partition_all(context):
    context.fleet.cut = {"attica-0", "attica-1", "attica-2"}


@behave.when("the partition is healed")
def step_heal(context):
    context.fleet.cut = set()


@behave.when("an upstream joins in each zone")
def step_joins(context):
    for number in range(3):
        context.fleet.add_upstream(
            f"new-{number}", zone=f"attica-{number}", region=REGION
        )


@behave.when("an upstream of each zone crashes")
def step_crashes(context):
    for number in range(3):
        context.fleet.upstreams.pop(f"engine-{number}").running = False


@behave.when("all daemons of the first zone crash")
def step_zone_crash(context):
    for node in running_nodes(context):
        if node.daemon.zone == "attica-0":
            node.running = False


# Outcomes.


def owners(node):
    return {name: change.owner for name, change in node.owners.items()}


def named_epoch(node, upstream_id):
    change = node.owners.get(upstream_id)
    return change.owner_epoch if change and change.owner else -1


def count_knowing(context):
    upstream_id = context.upstream.record.upstream_id
    return sum(upstream_id in node.live for node in running_nodes(context))


@behave.then("the daemon owns all {count:d} upstreams")
def step_owns_all(context, count):
    node = context.fleet.nodes["entry-0"]
    assert list(owners(node).values()) == ["entry-0"] * count, owners(node)


@behave.then(
    "within {seconds:d} s all daemons know the same owner of each upstream"
)
def step_same_owner(context, seconds):
    def check():
        owners_by_node = [owners(node) for node in running_nodes(context)]
        complete = len(owners_by_node[0]) == len(context.fleet.upstreams)
        return (
            complete
            and all(owners_by_node[0].values())
            and all_equal(owners_by_node)
        )

    wait_until(context, seconds, check)


def all_equal(items):
    return all(item == items[0] for item in items)


@behave.then("each owner is in the zone of its upstream")
def step_in_zone(context):
    for upstream_id, owner in owners(context.fleet.nodes["entry-0"]).items():
        zone = context.fleet.upstreams[upstream_id].record.zone
        assert context.fleet.nodes[owner].daemon.zone == zone


@behave.then(
    "within {seconds:d} s all daemons know another owner with a higher epoch"
)
def step_other_owner(context, seconds):
    record_before = context.record_before
    upstream_id = record_before.upstream_id

    def check():
        return all(
            named_epoch(node, upstream_id) > record_before.owner_epoch
            and node.owners[upstream_id].owner != record_before.owner
            for node in running_nodes(context)
        )

    wait_until(context, seconds, check)


@behave.then("no two daemons saw different owners in one epoch")
def step_one_owner_per_epoch(context):
    observed = {}
    for node in context.fleet.nodes.values():
        for _, event in node.heard:
            if not isinstance(event, messages.OwnerChanged):
                continue
            if not event.owner or not event.owner_epoch:
                continue
            key = (event.upstream_id, event.incarnation, event.owner_epoch)
            observed.setdefault(key, set()).add(event.owner)
    assert observed
    assert all(len(owner_ids) == 1 for owner_ids in observed.values()), (
        observed
    )


@behave.then("it owns its share of the upstreams")
def step_share(context):
    current_owners = owners(context.fleet.nodes["entry-0"])
    taken_over = [
        upstream_id
        for upstream_id, owner in current_owners.items()
        if owner == "newcomer"
    ]
    assert 2 <= len(taken_over) <= 16, taken_over
    context.current_owners = current_owners


@behave.then("no other upstream has changed its owner")
def step_owners_unchanged(context):
    for upstream_id, owner in context.current_owners.items():
        assert owner in ("newcomer", context.owners_before[upstream_id]), (
            upstream_id
        )


@behave.then(
    "within {seconds:d} s the daemons of each zone know the same owner in "
    "epoch 0"
)
def step_agreed_owner(context, seconds):
    def check():
        for upstream in context.fleet.upstreams.values():
            record = upstream.record
            observed = [
                node.owners.get(record.upstream_id)
                for node in running_nodes(context)
                if node.daemon.zone == record.zone
            ]
            if (
                None in observed
                or not all_equal(observed)
                or not observed[0].owner
            ):
                return False
            assert observed[0].owner_epoch == 0
        return True

    wait_until(context, seconds, check)


@behave.then("it leaves the upstreams of its zone without an owner")
def step_no_owner(context):
    node = context.fleet.nodes["entry-0"]
    assert set(owners(node).values()) == {""}, owners(node)


@behave.then("within {seconds:d} s it knows all daemons and upstreams")
def step_knows_all(context, seconds):
    expected = set(context.fleet.upstreams)
    others = {node.daemon.daemon_id for node in running_nodes(context)} - {
        context.node.daemon.daemon_id
    }

    def check():
        known = {
            item["daemon_id"]
            for item in context.node.core.dump()["daemons"]
            if item["state"] == "alive"
        }
        return set(context.node.live) == expected and known == others

    wait_until(context, seconds, check)


@behave.then("within {seconds:d} s all daemons know it")
def step_known_by_all(context, seconds):
    daemon_id = context.node.daemon.daemon_id

    def check():
        return all(
            node is context.node or daemon_record(node, daemon_id)
            for node in running_nodes(context)
        )

    wait_until(context, seconds, check)


@behave.then("within {seconds:d} s all daemons consider it dead")
def step_considered_dead(context, seconds):
    daemon_id = context.node.daemon.daemon_id
    wait_until(
        context,
        seconds,
        lambda: all(daemon_id in node.dead for node in running_nodes(context)),
    )


@behave.then("no running daemon was declared dead")
def step_none_declared_dead(context):
    for node in context.fleet.nodes.values():
        for at, event in node.heard:
            if isinstance(event, messages.DaemonGone):
                fleet_node = context.fleet.nodes[event.daemon_id]
                assert not fleet_node.running, (at, event)


@behave.then("all daemons consider its new incarnation alive")
def step_new_incarnation(context):
    daemon_id = context.node.daemon.daemon_id
    for node in running_nodes(context):
        if node is not context.node:
            record = daemon_record(node, daemon_id)
            assert record["state"] == "alive", record
            assert record["incarnation"] == context.node.daemon.incarnation


@behave.then("all daemons consider it alive")
def step_alive(context):
    daemon_id = context.node.daemon.daemon_id
    for node in running_nodes(context):
        if node is not context.node:
            assert daemon_record(node, daemon_id)["state"] == "alive"


@behave.then("within {seconds:d} s no daemon knows it")
def step_within_none(context, seconds):
    wait_until(context, seconds, lambda: count_knowing(context) == 0)


@behave.then("no daemon knows it")
def step_none(context):
    assert count_knowing(context) == 0


@behave.then("no daemon was notified that an upstream is gone")
def step_no_gone(context):
    for node in running_nodes(context):
        for at, event in node.heard:
            assert not isinstance(event, messages.UpstreamGone), (at, event)


@behave.then("within {seconds:d} s every daemon knows that it is leaving")
def step_known_leaving(context, seconds):
    upstream_id = context.upstream.record.upstream_id

    def check():
        return all(
            node.live[upstream_id].state is messages.UpstreamState.LEAVING
            for node in running_nodes(context)
        )

    wait_until(context, seconds, check)


@behave.then("its announcement was refused as {code}")
def step_refused(context, code):
    assert context.upstream.last_code == code, context.upstream.last_code


@behave.then("within {seconds:d} s every daemon knows its new incarnation")
def step_new_upstream(context, seconds):
    record = context.upstream.record

    def check():
        live = [
            node.live.get(record.upstream_id)
            for node in running_nodes(context)
        ]
        return all(
            item and item.incarnation == record.incarnation for item in live
        )

    wait_until(context, seconds, check)


@behave.then("each return after the second took longer than the one before")
def step_longer(context):
    later = context.return_times[1:]
    assert later == sorted(later), context.return_times
    assert later[-1] > 2 * later[0], context.return_times
    assert context.return_times[0] < datetime.timedelta(seconds=2)


def zone_upstreams(context, *zones):
    return {
        upstream_id
        for upstream_id, upstream in context.fleet.upstreams.items()
        if upstream.record.zone in zones
    }


@behave.then("daemons in the first zone know only its upstreams")
def step_only_own(context):
    for node in running_nodes(context):
        if node.daemon.zone == "attica-0":
            assert set(node.live) == zone_upstreams(context, "attica-0")


@behave.then("the other daemons know all upstreams but those")
def step_all_but(context):
    expected = zone_upstreams(context, "attica-1", "attica-2")
    for node in running_nodes(context):
        if node.daemon.zone != "attica-0":
            assert set(node.live) == expected


@behave.then("each daemon knows only the upstreams of its zone")
def step_zone_alone(context):
    for node in running_nodes(context):
        expected = zone_upstreams(context, node.daemon.zone)
        assert set(node.live) == expected


@behave.then("within {seconds:d} s all daemons know all upstreams")
@behave.then("within {seconds:d} s all daemons know the same upstreams")
def step_all_know(context, seconds):
    upstream_ids = set(context.fleet.upstreams)
    wait_until(
        context,
        seconds,
        lambda: all(
            set(node.live) == upstream_ids for node in running_nodes(context)
        ),
    )


@behave.then("the daemons know all upstreams")
def step_daemons_know(context):
    upstream_ids = set(context.fleet.upstreams)
    for node in running_nodes(context):
        assert set(node.live) == upstream_ids, upstream_ids - set(node.live)


@behave.then("each upstream has a running owner")
def step_owner_runs(context):
    for node in running_nodes(context):
        for upstream_id in context.fleet.upstreams:
            owner = node.owners[upstream_id].owner
            assert context.fleet.nodes[owner].running, upstream_id


@behave.then("within {seconds:d} s all daemons hold the same records")
def step_converged(context, seconds):
    wait_until(
        context,
        seconds,
        lambda: all_equal(
            [node.core.digest for node in running_nodes(context)]
        ),
    )


@behave.then("no daemon was notified that an upstream of its own zone is gone")
def step_own_kept(context):
    for node in running_nodes(context):
        own_upstreams = zone_upstreams(context, node.daemon.zone)
        for at, event in node.heard:
            if isinstance(event, messages.UpstreamGone):
                assert event.upstream_id not in own_upstreams, (at, event)


@behave.then(
    "within {seconds:d} s every daemon knows all others and {percent:d} % of "
    "the upstreams"
)
def step_all_known(context, seconds, percent):
    fleet = context.fleet
    daemons = len(fleet.nodes) - 1
    upstreams = len(fleet.upstreams) * percent / 100

    def all_known():
        return all(
            len(node.core.dump()["daemons"]) == daemons
            and len(node.live) >= upstreams
            for node in running_nodes(context)
        )

    wait_until(context, seconds, all_known)


@behave.when("malformed gossip arrives")
def step_malformed(context):
    context.node = context.fleet.nodes["entry-0"]
    gossip = messages.Gossip(
        daemons=tuple(node.daemon for node in running_nodes(context)) * 4
    )
    packed = packing.pack(gossip)
    assert isinstance(packed, messages.PackedGossip)
    for data in (packed.data[:-9], b"x", zlib.compress(b"x")):
        context.fleet.post(context.node, messages.PackedGossip(data=data))


def first_daemon_ids(count):
    return [f"entry-{number}" for number in range(count)]


@behave.when("the first {count:d} daemons crash")
def step_first_crash(context, count):
    context.crash_count = count
    for daemon_id in first_daemon_ids(count):
        context.fleet.stop(daemon_id)


@behave.when("they start again {seconds:d} s later and know only each other")
def step_first_again(context, seconds):
    context.fleet.run(seconds * SECOND)
    crashed_ids = first_daemon_ids(context.crash_count)
    for number, daemon_id in enumerate(crashed_ids):
        context.fleet.add_daemon(
            daemon_id,
            zone=f"attica-{number % 3}",
            region=REGION,
            seeds=tuple(other for other in crashed_ids if other != daemon_id),
        )
