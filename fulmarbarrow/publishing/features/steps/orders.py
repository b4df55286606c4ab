"""Steps on orders for zones at several control hosts with one log."""

from __future__ import annotations

import datetime

import behave
import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import messages

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


class Hosts:
    """Control hosts that apply the commands of one log in order."""

    def __init__(self, names):
        self.now = NOW
        self.controls = {name: make_control(name) for name in names}
        self.results = {name: [] for name in names}
        self.late = None
        self.orders = 0

    def order(self, name, zone, out, *, commit=True):
        self.orders += 1
        event = messages.AmendRequested(
            amend_id=f"order-{self.orders}",
            amendment=amendments.SetZone(zone=zone, out=out),
            until=self.now + SECOND,
        )
        (proposal,) = self.controls[name].handle(event, self.now)
        if commit:
            self.commit(proposal)
            return
        self.late = event, proposal

    def commit(self, proposal):
        applied = consensus_messages.Applied(
            group=control.GROUP,
            index=1,
            term=1,
            command=proposal.command,
            machine=proposal.machine,
        )
        further = []
        for name, item in self.controls.items():
            for effect in item.handle(applied, self.now):
                if isinstance(effect, consensus_messages.Propose):
                    further.append(effect)
                if isinstance(effect, messages.AmendResult):
                    self.results[name].append(effect)
        for item in further:
            self.commit(item)


def make_control(name):
    record = membership_messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone="z",
        region="r",
        address=f"{name}:1",
        roles=("control",),
    )
    return control.PublishingControl(daemon=record, now=NOW)


@behave.given('control hosts "a" and "b", where zone "{zone}" is out')
def step_hosts(context, zone):
    context.hosts = Hosts(("a", "b"))
    context.hosts.order("b", zone, True)


@behave.given(
    '"{name}" is ordered to take "{zone}" in, which is not committed yet'
)
def step_late_order(context, name, zone):
    context.hosts.order(name, zone, False, commit=False)


@behave.when('"{name}" is ordered to take "{zone}" in, and then out')
def step_in_and_out(context, name, zone):
    context.hosts.order(name, zone, False)
    context.hosts.order(name, zone, True)


@behave.when('"{name}" is ordered to take "{zone}" {direction}')
def step_ordered(context, name, zone, direction):
    context.hosts.order(name, zone, direction == "out")


@behave.when('the caller of "{name}" hangs up')
def step_hangs_up(context, name):
    event, _ = context.hosts.late
    abandoned = messages.AmendAbandoned(amend_id=event.amend_id)
    context.hosts.controls[name].handle(abandoned, context.hosts.now)


@behave.when('{seconds:d} s later the order of "{name}" is committed')
def step_committed(context, seconds, name):
    context.hosts.now += seconds * SECOND
    context.hosts.commit(context.hosts.late[1])


@behave.when('an unconditional order to take "{zone}" in is committed')
def step_unconditional(context, zone):
    command = amendments.AmendCommand(
        amend_id="earlier",
        amendment=amendments.SetZone(zone=zone, out=False),
    )
    context.hosts.commit(
        consensus_messages.Propose(
            proposal_id="earlier",
            group=control.GROUP,
            command=msgspec.msgpack.encode(command),
            machine=messages.MACHINE,
        )
    )


@behave.then('zone "{zone}" is {direction} at every host')
def step_everywhere(context, zone, direction):
    for item in context.hosts.controls.values():
        states = {
            found.name: found.state.value
            for found in item._state.content.bundle().zone
        }
        assert states[zone] == direction, states


@behave.then('"{name}" has answered its order with "{code}"')
@behave.then('"{name}" has answered its order with ""')
def step_answered(context, name, code=""):
    event, _ = context.hosts.late
    (result,) = [
        item
        for item in context.hosts.results[name]
        if item.amend_id == event.amend_id
    ]
    assert result.code == code, result
