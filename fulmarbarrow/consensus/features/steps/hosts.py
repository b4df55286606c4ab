"""Steps over control hosts with immediate message delivery."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.consensus import applying
from fulmarbarrow.consensus import core
from fulmarbarrow.consensus import memory
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics

STEP = datetime.timedelta(milliseconds=50)
GROUP = records.Group.CONFIGURATION


class Host:
    """A control host with its own bus."""

    def __init__(self, *, network, name, founders, form, losses):
        self.name = name
        self.applied = []
        self.results = []
        self.bus = buses.Bus(clock=network.clock, strict=True)
        logs = memory.MemoryLogStore()
        self.bus.attach(logs)
        self.core = core.ConsensusCore(
            group=GROUP,
            me=records.Member(
                daemon_id=name,
                identity=f"disk-{next(network.disk_numbers)}",
                address=name,
            ),
            addresses={item: item for item in founders},
            stored=logs.open(GROUP),
            rng=random.Random(name),
            metrics=metrics.Metrics(),
            now=network.clock.now(),
            may_form=form,
            tolerated_losses=losses,
            snapshot_entries=network.snapshot_entries,
        )
        self.bus.attach(self.core)
        self.bus.subscribe(
            message.Send,
            lambda event, _: network.send(name, event),
        )
        self.bus.subscribe(
            messages.Applied, lambda event, _: self.applied.append(event)
        )
        self.bus.subscribe(
            messages.ProposeResult,
            lambda event, _: self.results.append(event),
        )
        self.bus.subscribe(
            messages.SnapshotWanted,
            lambda event, _: [
                messages.SnapshotTaken(
                    group=GROUP,
                    index=event.index,
                    state=bytes(network.snapshot_bytes),
                )
            ],
        )


class Network:
    """The running hosts and the messages in transit."""

    def __init__(self, *, founders, others, form, losses):
        self.clock = clocks.ManualClock()
        self.disk_numbers = iter(range(100))
        self.sent = []
        self.snapshot_bytes = 0
        self.snapshot_entries = applying.SNAPSHOT_ENTRIES
        # Bytes per second that a host can send; None for any number.
        self.rate = None
        # Type of which the first message of each term is lost, and when.
        self.lost_type = None
        self.lost = {}
        self._link_free_at = {}
        self._founders, self._losses = founders, losses
        self.hosts = {
            name: self.make_host(name, form) for name in [*founders, *others]
        }

    def make_host(self, name, form):
        return Host(
            network=self,
            name=name,
            founders=self._founders,
            form=form,
            losses=self._losses,
        )

    def send(self, sender, event):
        """Put a message behind the others on its sender's link."""
        due = self.clock.now()
        if event.address in self.hosts and self._is_lost(event.message, due):
            return
        if self.rate is not None:
            size = len(msgspec.msgpack.encode(event.message))
            due = max(due, self._link_free_at.get(sender, due))
            due += datetime.timedelta(seconds=size / self.rate)
            self._link_free_at[sender] = due
        self.sent.append((due, event.address, event.message))

    def _is_lost(self, body, now):
        """Whether this is the first vote of a term, and it is to be lost."""
        if type(body) is not self.lost_type or body.pre:
            return False
        is_first = body.term not in self.lost
        self.lost.setdefault(body.term, now)
        return is_first

    def run(self, seconds):
        end = self.clock.now() + datetime.timedelta(seconds=seconds)
        while self.clock.now() < end:
            self.clock.advance(STEP)
            for host in list(self.hosts.values()):
                host.bus.post(message.Tick())
            self.deliver()

    def deliver(self):
        now = self.clock.now()
        while due := [item for item in self.sent if item[0] <= now]:
            self.sent.remove(due[0])
            _, address, body = due[0]
            host = self.hosts.get(address)
            if host is not None:
                host.bus.post(body)

    def announce_hosts(self):
        """Announce every control host to every other one."""
        for host in self.hosts.values():
            for name in self.hosts:
                if name == host.name:
                    continue
                daemon = membership_messages.Daemon(
                    daemon_id=name,
                    incarnation=1,
                    zone="z",
                    region="r",
                    address=name,
                    roles=("control",),
                )
                host.bus.post(membership_messages.DaemonChanged(daemon=daemon))

    def restart_all(self):
        """Start all hosts anew, before any of them has run."""
        for name in list(self.hosts):
            self.hosts[name] = self.make_host(name, form=True)
        self.announce_hosts()

    def leaders(self):
        return [
            host
            for host in self.hosts.values()
            if host.core.inspect().role is state.Role.LEADER
        ]

    def leader(self):
        (leader,) = self.leaders()
        return leader

    def voters(self):
        return self.leader().core.inspect().members


@behave.given(
    'hosts "{founders}" as founders with loss tolerance {losses:d} and '
    '"{others}" as further hosts'
)
@behave.given(
    'hosts "{founders}" as founders with loss tolerance {losses:d} and '
    "no further hosts"
)
def step_network(context, founders, losses, others=""):
    context.network = Network(
        founders=founders.split(),
        others=others.split(),
        form=True,
        losses=losses,
    )
    context.network.announce_hosts()


@behave.given(
    "snapshots of {size:d} bytes after {entries:d} entries, on links of "
    "{rate:d} bytes per second"
)
def step_slow_links(context, size, entries, rate):
    network = context.network
    network.snapshot_bytes = size
    network.snapshot_entries = entries
    network.rate = rate
    network.restart_all()


@behave.when("{count:d} commands are committed in {seconds:d} seconds")
def step_commit_many(context, count, seconds):
    step_pass_while_sent(context, seconds, seconds * 1000 // count)


@behave.when(
    "{seconds:d} seconds pass while a command is sent each {interval:d} ms"
)
def step_pass_while_sent(context, seconds, interval):
    network = context.network
    for number in range(seconds * 1000 // interval):
        for host in network.leaders():
            propose = messages.Propose(
                proposal_id=f"p{number}", group=GROUP, command=b"more"
            )
            host.bus.post(propose)
        network.run(interval / 1000)


@behave.given('hosts "{founders}" as founders that may not form a log')
def step_founders_may_not_form(context, founders):
    context.network = Network(
        founders=founders.split(), others=[], form=False, losses=1
    )


@behave.when("{seconds:d} seconds pass")
def step_time_passes(context, seconds):
    context.network.run(seconds)


@behave.when('"{name}" is down for {seconds:d} seconds')
def step_host_down(context, name, seconds):
    del context.network.hosts[name]
    context.network.run(seconds)


@behave.when("the leader is down for {seconds:d} seconds")
def step_leader_down(context, seconds):
    context.former_leader = context.network.leader().name
    step_host_down(context, context.former_leader, seconds)


@behave.when("the leader is gone, and the first {kind} of each term is lost")
def step_votes_lost(context, kind):
    network = context.network
    del network.hosts[network.leader().name]
    network.lost_type = {
        "vote request": peer.VoteRequest,
        "vote reply": peer.VoteReply,
    }[kind]
    while not network.lost:
        network.run(STEP.total_seconds())


@behave.then("there is a leader of the same term {seconds:f} seconds later")
def step_leader_soon(context, seconds):
    context.network.run(seconds)
    terms = [host.core.inspect().term for host in context.network.leaders()]
    assert terms == list(context.network.lost), (terms, context.network.lost)


@behave.then("the former leader is still a voter")
def step_former_votes(context):
    voters = daemon_ids(context.network.voters())
    assert context.former_leader in voters, voters


@behave.then("the former leader is no voter, and there are {count:d}")
def step_former_replaced(context, count):
    voters = daemon_ids(context.network.voters())
    assert context.former_leader not in voters, voters
    assert len(voters) == count, voters


@behave.when('"{name}" restarts with an empty disk and may not form a log')
def step_host_loses_disk(context, name):
    context.former = context.network.hosts[name].core.inspect().member
    context.network.hosts[name] = context.network.make_host(name, form=False)


@behave.then('the log was formed by "{names}" only')
def step_formed(context, names):
    for name in names.split():
        log = context.network.hosts[name].core.inspect().log
        assert log is not None, name
    assert daemon_ids(context.network.voters()) == names.split()


def daemon_ids(members):
    return sorted(member.partition("/")[0] for member in members)


@behave.then('exactly one of "{names}" is leader')
def step_one_leader(context, names):
    assert context.network.leader().name in names.split()


@behave.then('the voters are "{names}"')
def step_voters(context, names):
    assert daemon_ids(context.network.voters()) == names.split()


@behave.then('the voters are "{names}" and the former "{name}" is not a voter')
def step_voters_former(context, names, name):
    step_voters(context, names)
    assert context.former not in context.network.voters()


@behave.then("there are {count:d} voters")
def step_voter_count(context, count):
    assert len(context.network.voters()) == count, context.network.voters()


@behave.then("no host has a log")
def step_no_log(context):
    for host in context.network.hosts.values():
        assert host.core.inspect().log is None, host.name


@behave.when("a command is committed")
@behave.then("a command is committed")
def step_commit(context):
    leader = context.network.leader()
    leader.bus.post(
        messages.Propose(proposal_id="p", group=GROUP, command=b"done")
    )
    context.network.run(1)
    assert leader.results and leader.results[-1].committed, leader.results


@behave.then('"{name}" has applied the command')
def step_applied(context, name):
    applied = context.network.hosts[name].applied
    assert [event.command for event in applied][-1:] == [b"done"], applied
