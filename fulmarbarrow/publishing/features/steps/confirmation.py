"""Steps for daemons that start and wait for a confirmed revision."""

from __future__ import annotations

import datetime
import importlib.util
import pathlib
import random

import behave
import msgspec

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import follower
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state

# Behave loads step files by path, so they can't import each other.
_SPEC = importlib.util.spec_from_file_location(
    "publishing_fleet", pathlib.Path(__file__).with_name("fleet.py")
)
fleet = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(fleet)

LEADER = "address-leader"
LEASE = datetime.timedelta(milliseconds=784)


def daemon_record(name, roles):
    return membership_messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone="zone-0",
        region="attica",
        address=f"address-{name}",
        roles=roles,
    )


def sends(effects):
    return [item for item in effects if isinstance(item, message.Send)]


@behave.given("the control host has written a snapshot")
def step_snapshot_written(context):
    context.fleet.write_snapshot()


@behave.when("all hosts restart after a loss of power, and there is no leader")
def step_power_lost(context):
    fleet = context.fleet
    fleet.has_leader = False
    for node in fleet.nodes:
        node.disk = None
        node.start()
    fleet.restart_from_snapshot()


@behave.when("the control host leads and has applied all that is committed")
def step_leads_and_applied(context):
    fleet = context.fleet
    fleet.apply_committed()
    fleet.has_leader = True
    fleet.announce_leader()


@behave.when(
    "zone {zone:d} is cut off, and its daemons restart, one of them with an "
    "empty disk"
)
def step_zone_cut(context, zone):
    nodes = nodes_of_zone(context, zone)
    context.fleet.disconnected = {node.number for node in nodes}
    nodes[0].disk = None
    for node in nodes:
        node.start()
    for node in nodes:
        for other in nodes:
            changed = membership_messages.DaemonChanged(daemon=other.record)
            if other is not node:
                context.fleet.post(node, changed)


def nodes_of_zone(context, zone):
    nodes = context.fleet.nodes
    return [node for node in nodes if node.record.zone == f"zone-{zone}"]


@behave.then("revision {revision:d} is active on all daemons of zone {zone:d}")
def step_active_in_zone(context, revision, zone):
    found = {
        node.number: node.revision for node in nodes_of_zone(context, zone)
    }
    assert set(found.values()) == {revision}, found


@behave.then("no revision is in force on the daemons of zone {zone:d}")
def step_none_in_zone(context, zone):
    step_active_in_zone(context, 0, zone)


@behave.then("no revision is in force on daemon {number:d}")
def step_not_in_force(context, number):
    assert context.fleet.nodes[number].revision == 0


@behave.then("no revision is in force on any daemon")
def step_none_in_force(context):
    found = {node.number: node.revision for node in context.fleet.nodes}
    assert not any(found.values()), found


class Starting:
    """A daemon that has just started, by itself."""

    def __init__(self, request):
        self.now = clocks.ManualClock().now()
        self.revision = 0
        self.cut_off = False
        self.follower = follower.PublishingFollower(
            daemon=daemon_record("starting", ("router",)),
            source=random.Random(1),
            metrics=metrics.Metrics(),
            seeds=(LEADER,),
        )
        self.request = request
        (self.asked,) = sends(self.give(message.Tick()))
        self.give(self.push())

    @property
    def question(self):
        return self.asked.message.question

    def push(self, term=0, question=None, revision=1):
        return messages.RevisionPush(
            sender="address-any",
            revision=revision,
            digest=self.request.digest,
            bundle=packing.pack(self.request.bundle),
            term=term,
            question=question,
        )

    def delta(self):
        empty = deltas.Content(bundle=bundles.Bundle())
        delta = empty.delta_to(
            bundles.decode(self.request.bundle), base=0, publisher="amina"
        )
        return messages.RevisionDeltas(
            sender="address-peer",
            control=LEADER,
            deltas=(delta,),
            question=0,
        )

    def give(self, event):
        effects = self.follower.handle(event, self.now)
        for effect in effects:
            if isinstance(effect, messages.ConfigurationChanged):
                self.revision = effect.revision
                self.cut_off = effect.cut_off
            elif isinstance(effect, messages.ConfigurationConfirmed):
                self.cut_off = False
        return effects


@behave.given("a daemon that starts and holds revision 1")
def step_holds(context):
    context.starting = Starting(context.fleet.published[0])
    assert context.starting.revision == 0


@behave.when("it is sent a notice of revision {revision:d} by {sender}")
def step_sent_notice(context, revision, sender):
    leads = sender == "the leader of term 2"
    context.starting.give(
        messages.RevisionNotice(
            control=LEADER,
            revision=revision,
            term=2 if leads else 0,
            question=context.starting.question if leads else None,
        )
    )


@behave.when(
    "it is sent an unasked notice of revision 1 by the leader of term 2"
)
def step_sent_unasked(context):
    notice = messages.RevisionNotice(
        control=LEADER, revision=1, term=2, question=0
    )
    context.sent = sends(context.starting.give(notice))


@behave.when("it is sent a late notice of revision 1 to the process before")
def step_sent_late(context):
    notice = messages.RevisionNotice(
        control=LEADER,
        revision=1,
        term=2,
        question=context.starting.question - 1,
    )
    context.starting.give(notice)


@behave.when(
    "its question is answered after {seconds:d} seconds that revision "
    "{revision:d} is the newest"
)
def step_answered_late(context, seconds, revision):
    context.starting.now += datetime.timedelta(seconds=seconds)
    notice = messages.RevisionNotice(
        control=LEADER,
        revision=revision,
        term=2,
        question=context.starting.question,
    )
    context.starting.give(notice)


@behave.when("{seconds:d} seconds pass, and revision 2 reaches it")
def step_content_late(context, seconds):
    context.starting.now += datetime.timedelta(seconds=seconds)
    context.starting.give(context.starting.push(revision=2))
    context.sent = sends(context.starting.give(message.Tick()))


@behave.when("it is sent unasked revision 1 by the leader of term 2")
def step_sent_unasked_revision(context):
    context.starting.give(context.starting.push(2, question=0))


@behave.when("it reaches nobody for {seconds:d} seconds")
def step_reaches_nobody(context, seconds):
    for _ in range(seconds):
        context.starting.now += datetime.timedelta(seconds=1)
        context.starting.give(message.Tick())


@behave.then("it asks the leader to confirm revision {revision:d}")
def step_asks_leader(context, revision):
    (sent,) = context.sent
    assert sent.address == LEADER, sent
    assert sent.message.confirm, sent
    assert sent.message.revision == revision, sent


@behave.when("it is sent revision 1 by {sender}")
def step_sent_revision(context, sender):
    if sender == "the leader of term 2":
        push = context.starting.push(2, context.starting.question)
    else:
        push = context.starting.push()
    context.starting.give(push)


@behave.when("it is sent the delta to revision 1, relayed by a peer")
def step_sent_delta(context):
    context.starting.give(context.starting.delta())


@behave.then("revision {revision:d} is in force on it")
def step_in_force_on_it(context, revision):
    assert context.starting.revision == revision


@behave.when("a leader confirms revision 1 to it")
def step_confirmed(context):
    context.starting.now += datetime.timedelta(seconds=1)
    (asked, *_) = sends(context.starting.give(message.Tick()))
    notice = messages.RevisionNotice(
        control=LEADER, revision=1, term=2, question=asked.message.question
    )
    context.starting.give(notice)


@behave.then("revision 1 is in force on it, as it is cut off")
def step_in_force_cut_off(context):
    assert context.starting.revision == 1
    assert context.starting.cut_off


@behave.then("revision 1 is in force on it, as confirmed")
def step_in_force_confirmed(context):
    assert context.starting.revision == 1
    assert not context.starting.cut_off


@behave.when("a peer without a revision asks it")
def step_peer_asks(context):
    fetch = messages.RevisionFetch(
        daemon_id="peer", reply_to="address-peer", revision=0, confirm=True
    )
    context.sent = sends(context.starting.give(fetch))


@behave.then("the peer is sent nothing")
def step_peer_nothing(context):
    assert not context.sent, context.sent


@behave.given("the lease of the control host has ended")
def step_lease_ended(context):
    changed = consensus_messages.LeaderChanged(
        group=control.GROUP,
        term=1,
        leader="daemon-0",
        address="address-0",
        fencing_number=1,
        lease_until=context.fleet.clock.now(),
    )
    context.fleet.post(context.fleet.nodes[0], changed)
    # A read waits until a quorum has answered.
    context.fleet.answers_reads = False


@behave.when(
    "daemon {number:d} restarts with an empty disk and {seconds:d} seconds "
    "pass"
)
def step_restart_empty(context, number, seconds):
    node = context.fleet.nodes[number]
    node.disk = None
    node.start()
    context.fleet.run(datetime.timedelta(seconds=seconds))


class Following:
    """A control host that follows a leader, by itself."""

    def __init__(self):
        self.now = clocks.ManualClock().now()
        self.record = daemon_record("follower", ("control",))
        self.control = control.PublishingControl(
            daemon=self.record, now=self.now
        )
        self.is_leader = False
        self.asked = []
        self.answers = {}
        self.log = []
        states = state.PublishedState()
        for number in (1, 2):
            self.log.append(self._publish(states, number))
            if number == 1:
                self.snapshot = states.encode()
        self.follow("leader", LEADER, 3)
        self.give(
            consensus_messages.SnapshotRestored(
                group=control.GROUP,
                index=1,
                state=self.snapshot,
                machine=messages.MACHINE,
            )
        )

    @staticmethod
    def _publish(states, number):
        bundle = bundles.Bundle(
            account=tuple(fleet.account(f"a-{item}") for item in range(number))
        )
        request = messages.PublishRequested(
            publish_id=f"publish-{number}",
            publisher="amina",
            base_revision=number - 1,
            digest="",
            bundle=bundles.encode(bundle),
        )
        command = states.to_publish_command(request, bundle)
        states.apply(command)
        return consensus_messages.Applied(
            group=control.GROUP,
            index=number,
            term=1,
            command=msgspec.msgpack.encode(command),
            machine=messages.MACHINE,
        )

    def follow(self, leader, address, term):
        leads = leader == self.record.daemon_id
        self.is_leader = leads
        self.give(
            consensus_messages.LeaderChanged(
                group=control.GROUP,
                term=term,
                leader=leader,
                address=address,
                fencing_number=term,
                lease_until=self.now + LEASE if leads else None,
            )
        )

    def give(self, event):
        for effect in self.control.handle(event, self.now):
            if isinstance(effect, consensus_messages.ReadBarrier):
                ready = consensus_messages.ReadReady(
                    read_id=effect.read_id,
                    group=effect.group,
                    ready=self.is_leader,
                )
                self.give(ready)
            elif isinstance(effect, messages.StatusResponse):
                self.give(effect)
            elif isinstance(effect, message.Send):
                self._sent(effect)

    def _sent(self, effect):
        if isinstance(effect.message, messages.StatusCall):
            assert effect.address == LEADER, effect
            self.asked.append(effect.message)
        elif effect.address.startswith("address-daemon"):
            self.answers[effect.address] = effect.message

    def ask(self, number, revision=0):
        self.give(
            messages.RevisionFetch(
                daemon_id=f"daemon-{number}",
                reply_to=f"address-daemon-{number}",
                revision=revision,
                confirm=not revision,
            )
        )


@behave.given(
    "a control host that follows a leader and has restored revision 1"
)
def step_following(context):
    context.host = Following()


@behave.given(
    "a control host that follows a leader and has applied revision 2"
)
def step_following_applied(context):
    context.host = Following()
    step_applied(context)


@behave.when("a daemon that starts asks it for a revision")
def step_asks(context):
    context.host.ask(0)


@behave.when("{count:d} daemons that start ask it for a revision")
def step_many_ask(context, count):
    for number in range(count):
        context.host.ask(number)


@behave.when("a daemon with revision 1 in force asks it for a revision")
def step_running_asks(context):
    context.host.ask(0, revision=1)


@behave.then(
    "the daemon is sent nothing, and the leader is asked for its revision"
)
def step_leader_asked(context):
    step_daemon_nothing(context)
    (call,) = context.host.asked
    assert call.brief


@behave.then("the daemon is sent nothing")
def step_daemon_nothing(context):
    assert not context.host.answers, context.host.answers


@behave.then("the leader is not asked")
def step_not_asked(context):
    assert not context.host.asked


@behave.then("the leader is asked once")
def step_asked_once(context):
    assert len(context.host.asked) == 1


@behave.then("the leader is asked twice")
def step_asked_twice(context):
    assert len(context.host.asked) == 2


@behave.when("{seconds:f} seconds pass on it")
def step_pass_on_host(context, seconds):
    host = context.host
    until = host.now + datetime.timedelta(seconds=seconds)
    while host.now < until:
        host.now += datetime.timedelta(milliseconds=100)
        host.give(message.Tick())


@behave.when(
    "the leader answers its first question that revision {revision:d} is the "
    "newest"
)
def step_answers_first(context, revision):
    del context.host.asked[1:]
    step_leader_answers(context, revision)


@behave.when("the leader answers that revision {revision:d} is the newest")
def step_leader_answers(context, revision):
    status = messages.Status(
        answered_by="leader",
        current=True,
        leader="leader",
        revision=revision,
        digest="",
        publisher="amina",
        term=3,
    )
    call = context.host.asked[-1]
    context.host.give(
        messages.StatusReply(status_id=call.status_id, status=status)
    )


@behave.when("revision 2 is applied")
def step_applied(context):
    context.host.give(context.host.log[1])


@behave.when("the leader is lost and this host is elected")
def step_elected(context):
    host = context.host
    host.follow("", "", 3)
    host.follow(host.record.daemon_id, host.record.address, 4)


@behave.then(
    "the daemon is sent revision {revision:d}, confirmed by the leader of "
    "term {term:d}"
)
def step_daemon_sent(context, revision, term):
    (answer,) = context.host.answers.values()
    found = (answer.deltas[-1].base + 1, answer.term)
    assert found == (revision, term), answer


@behave.then("the daemon is told that revision {revision:d} is confirmed")
def step_told_confirmed(context, revision):
    (answer,) = context.host.answers.values()
    assert isinstance(answer, messages.RevisionNotice), answer
    assert (answer.revision, answer.term) == (revision, 3), answer


@behave.then("{count:d} daemons are sent revision {revision:d}")
def step_daemons_sent(context, count, revision):
    answers = context.host.answers.values()
    assert len(answers) == count, len(answers)
    assert all(item.deltas[-1].base + 1 == revision for item in answers)
