"""Steps for publishing."""

from __future__ import annotations

import collections
import datetime
import importlib.util
import pathlib

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing

# Behave loads step files by path, so they can't import each other.
_SPEC = importlib.util.spec_from_file_location(
    "publishing_fleet", pathlib.Path(__file__).with_name("fleet.py")
)
fleet = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(fleet)


@behave.given("a control host and {daemons:d} daemons in {zones:d} zones")
def step_fleet(context, daemons, zones):
    context.fleet = fleet.Fleet(daemons, zones)
    context.names = []


@behave.when('"{publisher}" publishes a change on base revision {base:d}')
def step_change(context, publisher, base):
    context.fleet.sent.clear()
    context.fleet.publish(publisher, ["volos"], base)


@behave.given(
    '"{publisher}" has published account "{name}" on revision {base:d}'
)
@behave.when('"{publisher}" publishes account "{name}" on revision {base:d}')
def step_publish(context, publisher, name, base):
    names = [*context.names, name] if base else [name]
    context.fleet.publish(publisher, names, base)
    context.names = names


@behave.given(
    "every connection of daemons {first:d} to {last:d} has gone silent"
)
def step_silent(context, first, last):
    fleet = context.fleet
    fleet.silent = {
        pair
        for number in range(first, last + 1)
        for node in fleet.nodes
        for pair in ((number, node.number), (node.number, number))
    }


@behave.when(
    '"{publisher}" publishes account "{name}" on revision {base:d} and '
    "{seconds:d} second passes"
)
def step_publish_and_wait(context, publisher, name, base, seconds):
    step_publish(context, publisher, name, base)
    context.fleet.run(datetime.timedelta(seconds=seconds))


@behave.when("the first publish is retried")
def step_retry(context):
    context.fleet.retry_publish(0)


@behave.when("a corrupted bundle is published")
def step_corrupted(context):
    data = bundles.encode(bundles.Bundle(account=(fleet.account("volos"),)))
    request = messages.PublishRequested(
        publish_id="damaged",
        publisher="amina",
        base_revision=0,
        digest=deltas.digest(data),
        bundle=b'{"account":[]}',
    )
    context.fleet.post(context.fleet.nodes[0], request)


@behave.then("it is accepted as revision {revision:d}")
def step_accepted(context, revision):
    result = context.fleet.results[-1]
    assert (result.code, result.revision) == ("", revision), result


@behave.then("it is rejected with {code}")
def step_rejected(context, code):
    assert context.fleet.results[-1].code == code, context.fleet.results


@behave.then('the winner is "{winner}" with revision {revision:d}')
def step_winner(context, winner, revision):
    result = context.fleet.results[-1]
    assert (result.winner, result.revision) == (winner, revision), result


@behave.then('the differences are "{text}"')
def step_differences(context, text):
    assert ", ".join(context.fleet.results[-1].differs) == text


@behave.then("revision {revision:d} is active on all daemons")
def step_all_active(context, revision):
    found = {node.number: node.revision for node in context.fleet.nodes}
    assert set(found.values()) == {revision}, found


@behave.then("revision {revision:d} is active on daemon {number:d}")
def step_active(context, revision, number):
    assert context.fleet.nodes[number].revision == revision


@behave.given("revision {revision:d} is not active on daemon {number:d}")
@behave.then("revision {revision:d} is not active on daemon {number:d}")
def step_not_active(context, revision, number):
    assert context.fleet.nodes[number].revision < revision


@behave.then(
    "the control host sent the change to at most {count:d} other daemons"
)
def step_sent(context, count):
    assert 0 < context.fleet.sent[fleet.CONTROL] <= count, context.fleet.sent


@behave.given("daemon {number:d} is disconnected")
def step_disconnect(context, number):
    context.fleet.disconnected.add(number)


@behave.when(
    "daemon {number:d} is connected again and {seconds:d} seconds pass"
)
def step_reconnect(context, number, seconds):
    context.fleet.disconnected.discard(number)
    context.fleet.run(datetime.timedelta(seconds=seconds))


def set_leaving(context, number):
    node = context.fleet.nodes[number]
    node.record = msgspec.structs.replace(
        node.record, state=membership_messages.DaemonState.LEAVING
    )
    context.fleet.announce(node)


@behave.given("daemon {number:d} is leaving")
def step_leaving(context, number):
    set_leaving(context, number)


@behave.given("all daemons but {count:d} of each zone are leaving")
def step_most_leave(context, count):
    zones = collections.Counter()
    for node in context.fleet.nodes:
        zones[node.record.zone] += 1
        if zones[node.record.zone] > count:
            set_leaving(context, node.number)


@behave.given("daemons that are leaving relay no messages")
def step_leaving_relay_nothing(context):
    context.fleet.leaving_relay = False


@behave.given("the control host takes daemon {number:d} for dead")
def step_taken_for_dead(context, number):
    gone = membership_messages.DaemonGone(
        daemon_id=f"daemon-{number}", incarnation=1
    )
    context.fleet.post(context.fleet.nodes[0], gone)


@behave.then("the control host sends daemon {number:d} no notice any more")
def step_no_notice(context, number):
    context.fleet.notices.clear()
    context.fleet.run(datetime.timedelta(seconds=5))
    assert not context.fleet.notices[number], context.fleet.notices


@behave.when(
    'daemon {number:d} is gone and "{publisher}" publishes account "{name}" '
    "on revision {base:d}"
)
def step_gone(context, number, publisher, name, base):
    context.fleet.disconnected.add(number)
    step_taken_for_dead(context, number)
    context.fleet.publish(publisher, [*context.names, name], base)


@behave.given("no daemon relays messages")
def step_no_relays(context):
    context.fleet.drops_relays = True


@behave.given("daemon {number:d} relays no messages")
def step_no_relay(context, number):
    context.fleet.broken_relays.add(number)


@behave.when(
    "a change is published every {milliseconds:d} ms for {seconds:d} seconds"
)
def step_publish_in_succession(context, milliseconds, seconds):
    interval = datetime.timedelta(milliseconds=milliseconds)
    context.late = context.fleet.publish_in_succession(
        interval, seconds * 1000 // milliseconds
    )


@behave.then(
    "each revision was active on all daemons within {seconds:d} seconds"
)
def step_in_time(context, seconds):
    bound = datetime.timedelta(seconds=seconds)
    late = {
        revision: str(delay)
        for revision, delay in context.late.items()
        if delay > bound
    }
    assert context.late and not late, late


@behave.given("zone {zone:d} is disconnected except for daemon {number:d}")
def step_disconnect_most(context, zone, number):
    context.fleet.disconnected = {
        node.number
        for node in context.fleet.nodes
        if node.record.zone == f"zone-{zone}" and node.number != number
    }


@behave.given("zone {zone:d} is disconnected completely")
def step_disconnect_zone(context, zone):
    inside = {
        node.number
        for node in context.fleet.nodes
        if node.record.zone == f"zone-{zone}"
    }
    revisions = {context.fleet.nodes[number].revision for number in inside}
    assert revisions == {0, 1}, revisions
    context.fleet.disconnected = inside


@behave.given("{seconds:d} seconds have passed")
@behave.when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.fleet.run(datetime.timedelta(seconds=seconds))


def ask_status(context):
    request = messages.StatusRequested(status_id="status")
    context.fleet.status = None
    context.fleet.post(context.fleet.nodes[0], request)


@behave.then(
    "the status counts {count:d} of {daemons:d} daemons in zone {zone:d}"
)
def step_status(context, count, daemons, zone):
    ask_status(context)
    assert context.fleet.status.current
    (context.zone,) = (
        item
        for item in context.fleet.status.zones
        if item.zone == f"zone-{zone}"
    )
    found = (context.zone.in_force, context.zone.daemons)
    assert found == (count, daemons), context.zone


@behave.then(
    "it lists daemon {number:d} as unreachable at revision {revision:d} "
    "for about {seconds:d} seconds"
)
def step_unreachable(context, number, revision, seconds):
    (item,) = context.zone.cut_off
    assert item.daemon_id == f"daemon-{number}"
    assert item.revision == revision
    elapsed = context.fleet.clock.now() - item.since
    assert abs(elapsed.total_seconds() - seconds) <= 1, elapsed


@behave.when("daemon {number:d} receives revision {revision:d} again")
def step_receive_again(context, number, revision):
    push_published(context, number, revision)


def push_published(context, number, revision):
    request = context.fleet.published[revision - 1]
    push = messages.RevisionPush(
        sender="address-0",
        revision=revision,
        digest=request.digest,
        bundle=packing.pack(request.bundle),
    )
    context.fleet.post(context.fleet.nodes[number], push)


@behave.when(
    "daemon {number:d} restarts from disk and receives revision {revision:d}"
)
def step_restart(context, number, revision):
    context.fleet.nodes[number].start()
    push_published(context, number, revision)


@behave.given("the disk of daemon {number:d} is full")
def step_full(context, number):
    context.number = number
    context.fleet.nodes[number].disk_full = True


@behave.then("it is activated once the disk has space")
def step_disk_space(context):
    context.fleet.nodes[context.number].disk_full = False
    context.fleet.run(datetime.timedelta(seconds=5))
    assert context.fleet.nodes[context.number].revision == 1


@behave.when("the control host loses leadership and {seconds:d} seconds pass")
def step_lose_leadership(context, seconds):
    context.fleet.has_leader = False
    context.lost_at = context.fleet.clock.now()
    context.fleet.announce_leader()
    ask_status(context)
    context.fleet.run(datetime.timedelta(seconds=seconds))


@behave.then("the status is marked as not current since then")
def step_not_current(context):
    status = context.fleet.status
    assert not status.current
    assert status.leader == ""
    assert status.leaderless_since == context.lost_at


@behave.when("the control host restarts from a snapshot")
def step_snapshot(context):
    context.fleet.restart_control()


def restart_with_empty_disk(node):
    node.disk = None
    node.start()


@behave.when("all daemons restart with empty disks and without known peers")
def step_all_restart(context):
    for node in context.fleet.nodes[1:]:
        restart_with_empty_disk(node)
    context.fleet.restart_control()


@behave.when(
    "daemon {number:d} restarts with revision {revision:d} and the leader "
    "knows no daemon"
)
def step_restart_old(context, number, revision):
    restart_with_empty_disk(context.fleet.nodes[number])
    push_published(context, number, revision)
    context.fleet.restart_control()


@behave.when(
    "daemon {number:d} restarts with revision {revision:d}, gets a notice of "
    "it and no later one"
)
def step_restart_told_old(context, number, revision):
    step_restart_old(context, number, revision)
    fleet = context.fleet
    notice = messages.RevisionNotice(control="address-0", revision=revision)
    fleet.post(fleet.nodes[number], notice)


@behave.when(
    "daemon {number:d} starts with revision {revision:d} while there is no "
    "leader"
)
def step_start_leaderless(context, number, revision):
    fleet = context.fleet
    context.number = number
    fleet.has_leader = False
    fleet.announce_leader()
    restart_with_empty_disk(fleet.nodes[number])
    push_published(context, number, revision)
    fleet.run(datetime.timedelta(seconds=2))


@behave.when(
    "the control host becomes leader and sends daemon {number:d} a notice"
)
def step_leads_again(context, number):
    context.fleet.has_leader = True
    context.fleet.announce_leader()
    context.fleet.run(datetime.timedelta(seconds=2))


def count_polls(context, seconds):
    fleet = context.fleet
    fleet.polls.clear()
    fleet.run(datetime.timedelta(seconds=seconds))
    return fleet.polls[context.number]


@behave.when("the control host restarts, leads and knows no router")
def step_control_knows_nobody(context):
    fleet = context.fleet
    node = fleet.nodes[0]
    node.record = msgspec.structs.replace(
        node.record, incarnation=node.record.incarnation + 1
    )
    fleet.restart_control()
    fleet.announce(node)


@behave.when(
    "daemon {number:d} restarts with an empty disk, and its last "
    "acknowledgement comes late"
)
def step_late_acknowledgement(context, number):
    fleet = context.fleet
    node = fleet.nodes[number]
    late = messages.RevisionAck(
        daemon_id=node.record.daemon_id,
        address=node.record.address,
        revision=1,
        incarnation=node.record.incarnation,
    )
    record = msgspec.structs.replace(
        node.record, incarnation=node.record.incarnation + 1
    )
    control = fleet.nodes[0].control
    now = fleet.clock.now()
    changed = membership_messages.DaemonChanged(daemon=record)
    control.handle(changed, now)
    control.handle(late, now)


@behave.then("the status shows daemon {number:d} behind revision {revision:d}")
def step_behind(context, number, revision):
    fleet = context.fleet
    fleet.post(fleet.nodes[0], messages.StatusRequested(status_id="late-ack"))
    assert fleet.status.revision == revision
    behind = [name for zone in fleet.status.zones for name in zone.behind]
    assert behind == [f"daemon-{number}"], behind


@behave.then("it polls at least {count:d} times within {seconds:d} seconds")
def step_polls_at_least(context, seconds, count):
    polls = count_polls(context, seconds)
    assert polls >= count, polls


@behave.then("it polls at most {count:d} times within {seconds:d} seconds")
def step_polls_at_most(context, seconds, count):
    polls = count_polls(context, seconds)
    assert polls <= count, polls


@behave.when(
    "daemon {number:d} gets a notice of revision {revision:d}, which no "
    "answer contains"
)
def step_notice(context, revision, number):
    context.number = number
    fleet = context.fleet
    notice = messages.RevisionNotice(control="address-0", revision=revision)
    fleet.post(fleet.nodes[number], notice)
