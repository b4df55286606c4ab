"""Steps on snapshots among hosts with different state machines."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow import clock as clocks
from fulmarbarrow.consensus import core
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import message
from fulmarbarrow.observe import metrics

GROUP = records.Group.CONFIGURATION
ME = records.Member(daemon_id="h", identity="disk", address="h")
INDEX = 7


class Host:
    """A host without others, whose writes are synced at once."""

    def __init__(self, *, machines, snapshot):
        self.clock = clocks.ManualClock()
        self.machines = machines
        self.restored, self.snapshots = {}, []
        self.core = core.ConsensusCore(
            group=GROUP,
            me=ME,
            addresses={"h": "h"},
            stored=state.StoredState(
                ballot=records.Ballot(), snapshot=snapshot
            ),
            rng=random.Random(1),
            metrics=metrics.Metrics(),
            now=self.clock.now(),
            machines=machines,
            snapshot_entries=3,
            may_form=False,
        )
        self.tick()

    def tick(self):
        self.clock.advance(datetime.timedelta(milliseconds=250))
        self.post(message.Tick())

    def post(self, event):
        for effect in self.core.handle(event, self.clock.now()):
            self._take(effect)

    def _take(self, effect):
        match effect:
            case messages.SnapshotRestored():
                self.restored[effect.machine] = effect.state
            case messages.Persist():
                if effect.snapshot is not None:
                    self.snapshots.append(effect.snapshot)
                self.post(
                    messages.Persisted(group=GROUP, write_id=effect.write_id)
                )
            case messages.SnapshotWanted():
                for name in self.machines:
                    self.post(
                        messages.SnapshotTaken(
                            group=GROUP,
                            index=effect.index,
                            state=f"new {name}".encode(),
                            machine=name,
                        )
                    )


@behave.given(
    'a host with the machines "{names}" and a snapshot of "{stored}"'
)
def step_host(context, names, stored):
    context.host = Host(machines=_split(names), snapshot=_snapshot(stored))


@behave.given('a host with the machines "{names}" that has no log')
def step_empty_host(context, names):
    context.host = Host(machines=_split(names), snapshot=None)


@behave.when('a leader sends it a snapshot of "{stored}"')
def step_install(context, stored):
    snapshot = _snapshot(stored)
    context.host.post(
        peer.InstallRequest(
            group=GROUP,
            log_id=snapshot.log_id,
            term=1,
            leader=records.Member(daemon_id="l", identity="d", address="l"),
            index=snapshot.index,
            offset=0,
            data=msgspec.msgpack.encode(snapshot),
            last=True,
            sent_at=context.host.clock.now(),
        )
    )


@behave.when("the host takes a snapshot after {count:d} entries")
def step_snapshot(context, count):
    host = context.host
    for _ in range(100):
        host.tick()
        if host.core.inspect().ready:
            break
    for number in range(count):
        host.post(
            messages.Propose(
                proposal_id=f"p{number}",
                group=GROUP,
                command=b"x",
                machine=host.machines[0],
            )
        )


@behave.then(
    '"{present}" is restored with its state, and "{missing}" with the empty '
    "one"
)
def step_restored(context, present, missing):
    wanted = {present: f"former {present}".encode(), missing: b""}
    assert context.host.restored == wanted, context.host.restored


@behave.then(
    'it has the new states of "{new}" and the former one of "{former}"'
)
def step_states(context, new, former):
    _check(
        context,
        {name: f"new {name}".encode() for name in _split(new)}
        | {name: f"former {name}".encode() for name in _split(former)},
    )


@behave.then('it has stored the former states of "{names}"')
def step_stored(context, names):
    _check(
        context, {name: f"former {name}".encode() for name in _split(names)}
    )


def _check(context, wanted):
    last = context.host.snapshots[-1]
    got = {part.machine: part.state for part in last.machines}
    assert got == wanted, got


def _split(text):
    return tuple(text.split(", "))


def _snapshot(names):
    return records.Snapshot(
        index=INDEX,
        term=1,
        log_id="log",
        configuration=records.Configuration(members=(ME,)),
        machines=tuple(
            records.MachineState(machine=name, state=f"former {name}".encode())
            for name in _split(names)
        ),
    )
