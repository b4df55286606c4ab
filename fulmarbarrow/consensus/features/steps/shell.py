"""Steps over the consensus shell with a real data folder."""

from __future__ import annotations

import datetime
import errno
import os
import random
from unittest import mock

import behave
from twisted.internet import task

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import shell
from fulmarbarrow import message
from fulmarbarrow.observe import metrics

GROUP = records.Group.JOURNAL
TICK_SECONDS = 0.25


class Clock:
    """A clock that follows the reactor's time."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._start = clocks.ManualClock().now()

    def now(self):
        return self._start + datetime.timedelta(
            seconds=self._reactor.seconds()
        )


@behave.given("a single control host that is leader")
def step_host(context):
    context.reactor = task.Clock()
    clock = Clock(context.reactor)
    context.bus = buses.Bus(clock=clock, strict=True)
    context.shell = shell.ConsensusShell(
        data_folder=context.path,
        bus=context.bus,
        reactor=context.reactor,
        metrics=metrics.Metrics(),
    )
    member = records.Member(
        daemon_id="control-0",
        identity=context.shell.host_identity,
        address="control-0",
    )
    core = consensus_core.ConsensusCore(
        group=GROUP,
        me=member,
        addresses={"control-0": "control-0"},
        stored=context.shell.open(GROUP),
        rng=random.Random(1),
        metrics=metrics.Metrics(),
        now=clock.now(),
    )
    context.bus.attach(core)
    context.replies = []
    for kind in (messages.ProposeResult, messages.ReadReady):
        context.bus.subscribe(
            kind, lambda event, _: context.replies.append(event)
        )
    run(context, 1)
    assert core.dump()["role"] == "leader", core.dump()


def run(context, seconds):
    for _ in range(int(seconds / TICK_SECONDS)):
        context.bus.post(message.Tick())
        context.reactor.advance(TICK_SECONDS)


@behave.when("its disk is full and a command is proposed")
def step_full(context):
    error = OSError(errno.ENOSPC, "No space left on device")
    context.full_disk = mock.patch.object(os, "write", side_effect=error)
    context.full_disk.start()
    context.add_cleanup(mock.patch.stopall)
    proposal = messages.Propose(proposal_id="p", group=GROUP, command=b"c")
    context.bus.post(proposal)


@behave.then("the command is not committed after {seconds:d} seconds")
def step_not_committed(context, seconds):
    run(context, seconds)
    assert context.replies == []
    assert context.shell.dump()["full"]


@behave.then("a read barrier is answered")
def step_read(context):
    context.bus.post(messages.ReadBarrier(read_id="r", group=GROUP))
    (answer,) = context.replies
    assert answer.ready, answer
    context.replies.clear()


@behave.when("the disk has space again and a second passes")
def step_free_space(context):
    context.full_disk.stop()
    run(context, 1)


@behave.then("the command is committed")
def step_committed(context):
    (result,) = context.replies
    assert result.committed, result
    assert not context.shell.dump()["full"]
