"""Control hosts with real files and syncs, in one process."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import pathlib
import random
import statistics
import time

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import storage
from fulmarbarrow.journal import control as journal_control
from fulmarbarrow.journal import machine
from fulmarbarrow.journal import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

GROUP = records.Group.JOURNAL
ROUTER = "router"
OUTSTANDING = 64
ANSWER_BYTES = 200
TICK_SECONDS = 0.02


class Host:
    """One control host: its cores, its files and its unsent messages."""

    def __init__(
        self,
        *,
        name: str,
        names: list[str],
        folder: pathlib.Path,
        number: int,
        group_commit: bool,
    ) -> None:
        clock = clocks.SystemClock()
        self.bus = buses.Bus(clock=clock, strict=True)
        self.mail: list[message.Send] = []
        self._group_commit = group_commit
        self._persists: list[consensus_messages.Persist] = []
        self._disk = storage.LogStorage(folder=folder / name)
        metrics = metrics_module.Metrics()
        self.core = consensus_core.ConsensusCore(
            group=GROUP,
            me=records.Member(daemon_id=name, identity="disk", address=name),
            addresses={item: item for item in names},
            stored=self._disk.stored(),
            rng=random.Random(number),
            metrics=metrics,
            now=clock.now(),
        )
        self.control = journal_control.JournalControl(
            daemon=membership_messages.Daemon(
                daemon_id=name,
                incarnation=1,
                zone="attica-a",
                region="attica",
                address=name,
                roles=("control",),
            ),
            metrics=metrics,
            group_commit=group_commit,
        )
        self.bus.attach(self.core)
        self.bus.attach(self.control)
        self.bus.subscribe(
            message.Send, lambda event, _: self.mail.append(event)
        )
        self.bus.subscribe(
            consensus_messages.Persist,
            lambda event, _: self._persists.append(event),
        )

    def sync(self) -> None:
        """Write what waits: in one sync, or each write in its own."""
        persists, self._persists = self._persists, []
        if not persists:
            return
        if self._group_commit:
            batches = [persists]
        else:
            batches = [[persist] for persist in persists]
        for batch in batches:
            self._disk.write(batch)
            self.bus.post(
                consensus_messages.Persisted(
                    group=GROUP, write_id=batch[-1].write_id
                )
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Actions a second, and the 99th percentile of an intent in seconds."""

    actions_per_second: float
    intent_p99: float


class Hosts:
    """A group of control hosts and a router that keeps them busy."""

    def __init__(
        self, *, folder: pathlib.Path, count: int, group_commit: bool
    ) -> None:
        names = [f"control-{number}" for number in range(count)]
        self._hosts = {
            name: Host(
                name=name,
                names=names,
                folder=folder,
                number=number,
                group_commit=group_commit,
            )
            for number, name in enumerate(names)
        }
        self._sent: dict[str, float] = {}
        self._latencies: list[float] = []
        self._answers: collections.deque[messages.JournalReply] = (
            collections.deque()
        )
        self._number = 0
        self._done = 0
        self._leader = ""
        while not self._leader:
            self._tick()

    @property
    def journal(self) -> machine.Journal:
        """The leader's state machine."""
        return self._hosts[self._leader].control.journal

    def run(self, seconds: float) -> Figures:
        """Keep actions outstanding for a while."""
        for _ in range(OUTSTANDING):
            self._intend()
        started = time.perf_counter()
        ticked = started
        while time.perf_counter() - started < seconds:
            self._turn()
            if time.perf_counter() - ticked > TICK_SECONDS:
                ticked = time.perf_counter()
                for host in self._hosts.values():
                    host.bus.post(message.Tick())
        elapsed = time.perf_counter() - started
        p99 = statistics.quantiles(self._latencies, n=100)[98]
        return Figures(actions_per_second=self._done / elapsed, intent_p99=p99)

    def _tick(self) -> None:
        time.sleep(TICK_SECONDS)
        for name, host in self._hosts.items():
            host.bus.post(message.Tick())
            if host.core.inspect().ready:
                self._leader = name
        self._turn()

    def _turn(self) -> None:
        """Sync, carry every message once, and take the answers."""
        for host in self._hosts.values():
            host.sync()
        for host in self._hosts.values():
            mail, host.mail = host.mail, []
            for send in mail:
                if send.address == ROUTER:
                    self._answers.append(send.message)
                else:
                    self._hosts[send.address].bus.post(send.message)
        while self._answers:
            self._take(self._answers.popleft())

    def _intend(self) -> None:
        self._number += 1
        request_id = f"entry-1-{self._number}"
        deadline = datetime.datetime.now(datetime.UTC)
        self._sent[request_id] = time.perf_counter()
        self._call(
            f"i-{request_id}",
            messages.Intend(
                request_id=request_id,
                account="volos",
                key=request_id,
                digest="0" * 32,
                service="register",
                attempt_id=f"{request_id}-1",
                deadline=deadline + datetime.timedelta(seconds=5),
            ),
        )

    def _take(self, reply: messages.JournalReply) -> None:
        request_id = reply.body.request_id
        if isinstance(reply.body, messages.JournalWritten):
            self._done += 1
            self._intend()
            return
        sent = self._sent.pop(request_id)
        self._latencies.append(time.perf_counter() - sent)
        self._call(
            f"r-{request_id}",
            messages.RecordOutcome(
                request_id=request_id,
                account="volos",
                key=request_id,
                attempt_id=f"{request_id}-1",
                status=200,
                content_type="application/json",
                body=b"x" * ANSWER_BYTES,
            ),
        )

    def _call(self, call_id: str, body: message.Message) -> None:
        self._hosts[self._leader].bus.post(
            messages.JournalCall(call_id=call_id, reply_to=ROUTER, body=body)
        )
