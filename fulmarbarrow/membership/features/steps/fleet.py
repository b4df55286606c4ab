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


def make_fleet(context, zones, daemons, upstreams, echoes=True):
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
        upstream.echoes = echoes


def running(context):
    return [node for node in context.fleet.nodes.values() if node.running]


def within(context, seconds, check):
    took = context.fleet.run_until(check, within=seconds * SECOND)
    assert took is not None, f"not within {seconds} s"
    return took


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
    make_fleet(context, zones, daemons, upstreams, echoes=False)


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
    context.before = owners(context.fleet.nodes["entry-0"])
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
    context.old = context.node.daemon
    context.node = context.fleet.add_daemon(
        context.old.daemon_id,
        zone=context.old.zone,
        region=REGION,
        seeds=("entry-0",),
    )


@behave.when("a delayed message says that its old incarnation is dead")
def step_delayed_death(context):
    dead = msgspec.structs.replace(
        context.old, state=messages.DaemonState.DEAD
    )
    for node in running(context):
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
    context.named = context.upstream.record
    assert context.named.owner
    context.fleet.stop(context.named.owner)


@behave.when("an upstream and its owner crash")
def step_both_crash(context):
    step_owner_crash(context)
    context.upstream.running = False


@behave.when("the owner of an upstream leaves")
def step_owner_leaves(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    context.named = context.upstream.record
    node = context.fleet.nodes[context.named.owner]
    context.fleet.post(node, messages.LeaveStarted())


@behave.when("the daemons disagree about it for {seconds:d} s")
def step_disagree(context, seconds):
    dead = msgspec.structs.replace(
        context.fleet.nodes[context.named.owner].daemon,
        state=messages.DaemonState.DEAD,
    )
    suspect = msgspec.structs.replace(dead, state=messages.DaemonState.SUSPECT)
    for node in running(context)[::2]:
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


@behave.when("an upstream says that it is leaving")
def step_leaving(context):
    context.upstream = context.fleet.upstreams["engine-1"]
    step_that_leaving(context)


@behave.when("that upstream says that it is leaving")
def step_that_leaving(context):
    context.upstream.record = msgspec.structs.replace(
        context.upstream.record, state=messages.UpstreamState.LEAVING
    )
    node = next(
        node
        for node in running(context)
        if node.daemon.zone == context.upstream.record.zone
    )
    context.fleet.announce(context.upstream, node)


@behave.when("it stops")
def step_stops(context):
    context.upstream.running = False


@behave.when("its last announcement arrives late at each daemon")
def step_late(context):
    record = context.upstream.record
    context.upstream.record = msgspec.structs.replace(
        record, sequence=record.sequence + 1
    )
    for node in running(context):
        context.fleet.announce(context.upstream, node, renew=False)
    context.fleet.run(SECOND)


@behave.when("it announces its old incarnation for {seconds:d} s")
def step_old_incarnation(context, seconds):
    for _ in range(seconds):
        for node in running(context):
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
    context.returns = []
    for _ in range(times):
        step_upstream_crash(context)
        within(context, 7, lambda: count_knowing(context) == 0)
        step_upstream_restart(context)
        context.returns.append(
            within(context, 90, lambda: count_knowing(context) > 0)
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
def step_zone_hosts_crash(context):
    for node in running(context):
        if node.daemon.zone == "attica-0":
            node.running = False


# Outcomes.


def owners(node):
    return {name: change.owner for name, change in node.owners.items()}


def named_epoch(node, upstream_id):
    change = node.owners.get(upstream_id)
    return change.owner_epoch if change and change.owner else -1


def count_knowing(context):
    name = context.upstream.record.upstream_id
    return sum(name in node.live for node in running(context))


@behave.then("the daemon owns all {count:d} upstreams")
def step_owns_all(context, count):
    node = context.fleet.nodes["entry-0"]
    assert list(owners(node).values()) == ["entry-0"] * count, owners(node)


@behave.then(
    "within {seconds:d} s all daemons know the same owner of each upstream"
)
def step_same_owner(context, seconds):
    def check():
        known = [owners(node) for node in running(context)]
        complete = len(known[0]) == len(context.fleet.upstreams)
        return complete and all(known[0].values()) and all_equal(known)

    within(context, seconds, check)


def all_equal(items):
    return all(item == items[0] for item in items)


@behave.then("each owner is in the zone of its upstream")
def step_in_zone(context):
    for name, owner in owners(context.fleet.nodes["entry-0"]).items():
        zone = context.fleet.upstreams[name].record.zone
        assert context.fleet.nodes[owner].daemon.zone == zone


@behave.then(
    "within {seconds:d} s all daemons know another owner with a higher epoch"
)
def step_other_owner(context, seconds):
    name, old = context.named.upstream_id, context.named

    def check():
        return all(
            named_epoch(node, name) > old.owner_epoch
            and node.owners[name].owner != old.owner
            for node in running(context)
        )

    within(context, seconds, check)


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
    assert all(len(names) == 1 for names in observed.values()), observed


@behave.then("it owns its share of the upstreams")
def step_share(context):
    now = owners(context.fleet.nodes["entry-0"])
    own = [name for name, owner in now.items() if owner == "newcomer"]
    assert 2 <= len(own) <= 16, own
    context.now = now


@behave.then("no other upstream has changed its owner")
def step_owners_unchanged(context):
    for name, owner in context.now.items():
        assert owner in ("newcomer", context.before[name]), name


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
                for node in running(context)
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

    within(context, seconds, check)


@behave.then("it leaves the upstreams of its zone without an owner")
def step_no_owner(context):
    node = context.fleet.nodes["entry-0"]
    assert set(owners(node).values()) == {""}, owners(node)


@behave.then("within {seconds:d} s it knows all daemons and upstreams")
def step_knows_all(context, seconds):
    expected = set(context.fleet.upstreams)
    others = {node.daemon.daemon_id for node in running(context)} - {
        context.node.daemon.daemon_id
    }

    def check():
        known = {
            item["daemon_id"]
            for item in context.node.core.dump()["daemons"]
            if item["state"] == "alive"
        }
        return set(context.node.live) == expected and known == others

    within(context, seconds, check)


@behave.then("within {seconds:d} s all daemons know it")
def step_known_by_all(context, seconds):
    name = context.node.daemon.daemon_id

    def check():
        return all(
            node is context.node or daemon_record(node, name)
            for node in running(context)
        )

    within(context, seconds, check)


@behave.then("within {seconds:d} s all daemons consider it dead")
def step_considered_dead(context, seconds):
    name = context.node.daemon.daemon_id
    within(
        context,
        seconds,
        lambda: all(name in node.dead for node in running(context)),
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
    name = context.node.daemon.daemon_id
    for node in running(context):
        if node is not context.node:
            record = daemon_record(node, name)
            assert record["state"] == "alive", record
            assert record["incarnation"] == context.node.daemon.incarnation


@behave.then("all daemons consider it alive")
def step_alive(context):
    name = context.node.daemon.daemon_id
    for node in running(context):
        if node is not context.node:
            assert daemon_record(node, name)["state"] == "alive"


@behave.then("within {seconds:d} s no daemon knows it")
def step_within_none(context, seconds):
    within(context, seconds, lambda: count_knowing(context) == 0)


@behave.then("no daemon knows it")
def step_none(context):
    assert count_knowing(context) == 0


@behave.then("no daemon was notified that an upstream is gone")
def step_no_gone(context):
    for node in running(context):
        for at, event in node.heard:
            assert not isinstance(event, messages.UpstreamGone), (at, event)


@behave.then("within {seconds:d} s every daemon knows that it is leaving")
def step_known_leaving(context, seconds):
    name = context.upstream.record.upstream_id

    def check():
        return all(
            node.live[name].state is messages.UpstreamState.LEAVING
            for node in running(context)
        )

    within(context, seconds, check)


@behave.then("its announcement was refused as {code}")
def step_refused(context, code):
    assert context.upstream.last_code == code, context.upstream.last_code


@behave.then("within {seconds:d} s every daemon knows its new incarnation")
def step_new_upstream(context, seconds):
    record = context.upstream.record

    def check():
        live = [node.live.get(record.upstream_id) for node in running(context)]
        return all(
            item and item.incarnation == record.incarnation for item in live
        )

    within(context, seconds, check)


@behave.then("each return after the second took longer than the one before")
def step_longer(context):
    later = context.returns[1:]
    assert later == sorted(later), context.returns
    assert later[-1] > 2 * later[0], context.returns
    assert context.returns[0] < datetime.timedelta(seconds=2)


def zone_upstreams(context, *zones):
    return {
        name
        for name, upstream in context.fleet.upstreams.items()
        if upstream.record.zone in zones
    }


@behave.then("daemons in the first zone know only its upstreams")
def step_only_own(context):
    for node in running(context):
        if node.daemon.zone == "attica-0":
            assert set(node.live) == zone_upstreams(context, "attica-0")


@behave.then("the other daemons know all upstreams but those")
def step_all_but(context):
    rest = zone_upstreams(context, "attica-1", "attica-2")
    for node in running(context):
        if node.daemon.zone != "attica-0":
            assert set(node.live) == rest


@behave.then("each daemon knows only the upstreams of its zone")
def step_zone_alone(context):
    for node in running(context):
        own = zone_upstreams(context, node.daemon.zone)
        assert set(node.live) == own


@behave.then("within {seconds:d} s all daemons know all upstreams")
@behave.then("within {seconds:d} s all daemons know the same upstreams")
def step_all_know(context, seconds):
    names = set(context.fleet.upstreams)
    within(
        context,
        seconds,
        lambda: all(set(node.live) == names for node in running(context)),
    )


@behave.then("the daemons know all upstreams")
def step_daemons_know(context):
    names = set(context.fleet.upstreams)
    for node in running(context):
        assert set(node.live) == names, names - set(node.live)


@behave.then("each upstream has a running owner")
def step_owner_runs(context):
    for node in running(context):
        for name in context.fleet.upstreams:
            owner = node.owners[name].owner
            assert context.fleet.nodes[owner].running, name


@behave.then("within {seconds:d} s all daemons hold the same records")
def step_converged(context, seconds):
    within(
        context,
        seconds,
        lambda: all_equal([node.core.digest for node in running(context)]),
    )


@behave.then("no upstream of a zone was gone for its own daemons")
def step_own_kept(context):
    for node in running(context):
        own = zone_upstreams(context, node.daemon.zone)
        for at, event in node.heard:
            if isinstance(event, messages.UpstreamGone):
                assert event.upstream_id not in own, (at, event)


@behave.then(
    "within {seconds:d} s every daemon knows all others and {percent:d} % of "
    "the upstreams"
)
def step_all_known(context, seconds, percent):
    fleet = context.fleet
    daemons = len(fleet.nodes) - 1
    upstreams = len(fleet.upstreams) * percent / 100

    def known():
        return all(
            len(node.core.dump()["daemons"]) == daemons
            and len(node.live) >= upstreams
            for node in running(context)
        )

    within(context, seconds, known)


@behave.when("damaged gossip arrives")
def step_damaged(context):
    context.node = context.fleet.nodes["entry-0"]
    gossip = messages.Gossip(
        daemons=tuple(node.daemon for node in running(context)) * 4
    )
    packed = packing.pack(gossip)
    assert isinstance(packed, messages.PackedGossip)
    for data in (packed.data[:-9], b"x", zlib.compress(b"x")):
        context.fleet.post(context.node, messages.PackedGossip(data=data))


def entry_names(count):
    return [f"entry-{number}" for number in range(count)]


@behave.when("the first {count:d} daemons crash")
def step_first_crash(context, count):
    context.count = count
    for name in entry_names(count):
        context.fleet.stop(name)


@behave.when("they start again {seconds:d} s later and know only each other")
def step_first_again(context, seconds):
    context.fleet.run(seconds * SECOND)
    names = entry_names(context.count)
    for number, name in enumerate(names):
        context.fleet.add_daemon(
            name,
            zone=f"attica-{number % 3}",
            region=REGION,
            seeds=tuple(other for other in names if other != name),
        )
