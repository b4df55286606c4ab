"""Random schedules, real syncs and restart of the replicated log."""

from __future__ import annotations

import collections
import concurrent.futures
import datetime
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc

import msgspec

from benchmarks import consensus_checks
from benchmarks import consensus_explorer
from benchmarks import measure as measures
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import storage
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

COMMAND = "python -m benchmarks consensus"
GROUP = records.Group.JOURNAL
PROCESSES = 2
SCHEDULES_OF_THREE = 18_000
SCHEDULES_OF_FIVE = 2_000
SCHEDULE_STEPS = 150
SCHEDULES_TARGET = 20_000
CHUNK = 500
SABOTAGE_SCHEDULES = 300
SABOTAGE_STEPS = 500
PROPOSALS = 6_000
OUTSTANDING = 64
COMMAND_BYTES = 300
RESTART_CHANGES = 500
RESTART_TARGET_SECONDS = 1.0
EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def measure() -> list[measures.Measure]:
    """Run all parts."""
    return [
        *_schedules(),
        *_sabotage(),
        *_proposals(),
        *_restart(),
        *_memory(),
    ]


def _row(
    name: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
    bound: measures.Bound = measures.Bound.AT_MOST,
    seed: int | None = None,
) -> measures.Measure:
    return measures.Measure(
        slice="consensus",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
        bound=bound,
        seed=seed,
    )


def explore(first: int, count: int, hosts: int) -> collections.Counter[str]:
    """Run schedules and count what they went through."""
    counts: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + count):
        counts["schedules"] += 1
        try:
            done = consensus_explorer.run(
                seed=seed, hosts=hosts, steps=SCHEDULE_STEPS
            )
        except consensus_checks.ViolationError as error:
            print(f"seed {seed}, {hosts} hosts: {error}")
            counts["violations"] += 1
        else:
            counts.update(done.counts)
    return counts


def _schedules() -> list[measures.Measure]:
    jobs = [
        (first, CHUNK, hosts)
        for hosts, total in (
            (3, SCHEDULES_OF_THREE),
            (5, SCHEDULES_OF_FIVE),
        )
        for first in range(0, total, CHUNK)
    ]
    counts: collections.Counter[str] = collections.Counter()
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for result in pool.map(explore, *zip(*jobs, strict=True)):
            counts.update(result)
    rows = [
        _row(
            "schedules over 3 and 5 hosts",
            counts["schedules"],
            "schedules",
            target=SCHEDULES_TARGET,
            bound=measures.Bound.AT_LEAST,
            seed=0,
        ),
        _row(
            "schedules that broke what must hold",
            counts["violations"],
            "schedules",
            target=0,
            seed=0,
        ),
    ]
    for name in (
        "leaders",
        "crashes",
        "partitions",
        "lost disks",
        "hand-overs",
        "acknowledged",
        "reads",
    ):
        rows.append(
            _row(
                f"{name} within the schedules", counts[name], "events", seed=0
            )
        )
    return rows


def _sabotage() -> list[measures.Measure]:
    rows = []
    for sabotage in consensus_explorer.Sabotage:
        if sabotage is consensus_explorer.Sabotage.NONE:
            continue
        rows.append(
            _row(
                f"schedules until noticed: {sabotage.value}",
                _until_noticed(sabotage),
                "schedules",
                target=SABOTAGE_SCHEDULES,
                seed=0,
            )
        )
    return rows


def _until_noticed(sabotage: consensus_explorer.Sabotage) -> float:
    for seed in range(SABOTAGE_SCHEDULES):
        try:
            consensus_explorer.run(
                seed=seed, hosts=3, steps=SABOTAGE_STEPS, sabotage=sabotage
            )
        except consensus_checks.ViolationError:
            return seed + 1
    return float("inf")


class DiskGroup:
    """Three members in one process, each with its own files."""

    def __init__(self, folder: pathlib.Path) -> None:
        names = [f"control-{number}" for number in range(3)]
        self._disks = {
            name: storage.LogStorage(folder=folder / name) for name in names
        }
        self._pending: dict[str, list[messages.Persist]] = {
            name: [] for name in names
        }
        self._mail: collections.deque[message.Send] = collections.deque()
        self.bytes_sent = 0
        self.syncs: list[float] = []
        self.results: list[messages.ProposeResult] = []
        self._cores = {
            name: consensus_core.ConsensusCore(
                group=GROUP,
                me=records.Member(
                    daemon_id=name, identity="disk", address=name
                ),
                addresses={item: item for item in names},
                stored=disk.stored(),
                rng=random.Random(number),
                metrics=metrics_module.Metrics(),
                now=self.now,
                machines=(),
            )
            for number, (name, disk) in enumerate(self._disks.items())
        }
        self.leader = ""
        while not self.leader:
            self.tick()
            for name, core in self._cores.items():
                if core.inspect().ready:
                    self.leader = name

    @property
    def now(self) -> datetime.datetime:
        """The time on all clocks."""
        return EPOCH + datetime.timedelta(seconds=time.monotonic())

    def tick(self) -> None:
        """Let a tick pass."""
        time.sleep(0.02)
        for name in self._cores:
            self.post(name, message.Tick())
        self.turn()

    def post(self, name: str, event: message.Message) -> None:
        """Give an event to one member."""
        for effect in self._cores[name].handle(event, self.now):
            match effect:
                case messages.Persist():
                    self._pending[name].append(effect)
                case message.Send():
                    self._mail.append(effect)
                case messages.ProposeResult():
                    self.results.append(effect)

    def turn(self) -> None:
        """Deliver and sync once on each member, as a loop turn does."""
        mail, self._mail = self._mail, collections.deque()
        for send in mail:
            self.bytes_sent += len(msgspec.msgpack.encode(send.message))
            self.post(send.address, send.message)
        for name, batch in self._pending.items():
            if not batch:
                continue
            self._pending[name] = []
            started = time.perf_counter()
            self._disks[name].write(batch)
            self.syncs.append(time.perf_counter() - started)
            persisted = messages.Persisted(
                group=GROUP, write_id=batch[-1].write_id
            )
            self.post(name, persisted)


def _proposals() -> list[measures.Measure]:
    rows = []
    for outstanding, total in ((1, 500), (OUTSTANDING, PROPOSALS)):
        with tempfile.TemporaryDirectory(dir=".") as folder:
            rows.extend(_rate(pathlib.Path(folder), outstanding, total))
    return rows


def _rate(
    folder: pathlib.Path, outstanding: int, total: int
) -> list[measures.Measure]:
    group = DiskGroup(folder)
    group.syncs.clear()
    group.bytes_sent = 0
    sent: dict[str, float] = {}
    latencies: list[float] = []
    command = b"x" * COMMAND_BYTES
    started = time.perf_counter()
    cpu = time.process_time()
    while len(latencies) < total:
        while len(sent) < outstanding and len(latencies) + len(sent) < total:
            name = f"p{len(latencies) + len(sent)}-{len(sent)}"
            sent[name] = time.perf_counter()
            proposal = messages.Propose(
                proposal_id=name, group=GROUP, command=command
            )
            group.post(group.leader, proposal)
        group.turn()
        for result in group.results:
            if result.committed:
                latencies.append(
                    time.perf_counter() - sent.pop(result.proposal_id)
                )
        group.results.clear()
    elapsed = time.perf_counter() - started
    cpu = time.process_time() - cpu
    label = f"{outstanding} outstanding, 3 disks in one process"
    return [
        _row(f"proposals a second, {label}", total / elapsed, "1/s"),
        _row(
            f"p99 of a proposal, {label}",
            statistics.quantiles(latencies, n=100)[98] * 1e3,
            "ms",
        ),
        _row(
            f"p99 of a write and sync, {label}",
            statistics.quantiles(group.syncs, n=100)[98] * 1e3,
            "ms",
        ),
        _row(f"CPU a proposal, {label}", cpu / total * 1e6, "us"),
        _row(
            f"bytes between members a proposal of {COMMAND_BYTES}, {label}",
            group.bytes_sent / total,
            "bytes",
        ),
    ]


def _restart() -> list[measures.Measure]:
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = pathlib.Path(name) / "log"
        member = records.Member(daemon_id="c", identity="a", address="c")
        first = records.initial_snapshot(GROUP, (member,))
        log = storage.LogStorage(folder=folder)
        write = messages.Persist(
            group=GROUP, write_id=1, snapshot=first, reset=True
        )
        log.write([write])
        for index in range(1, RESTART_CHANGES + 1):
            entry = _entry(index)
            log.write(
                [messages.Persist(group=GROUP, write_id=1, entries=(entry,))]
            )
        size = log.size_bytes
        log.close()
        started = time.perf_counter()
        opened = storage.LogStorage(folder=folder)
        stored = opened.stored()
        elapsed = time.perf_counter() - started
        opened.close()
    if len(stored.entries) != RESTART_CHANGES:
        raise AssertionError("entries were lost")
    return [
        _row(
            f"opening a log of {RESTART_CHANGES} changes",
            elapsed,
            "s",
            target=RESTART_TARGET_SECONDS,
        ),
        _row(
            f"bytes on disk a change of {COMMAND_BYTES}",
            size / RESTART_CHANGES,
            "bytes",
        ),
    ]


def _entry(index: int) -> records.Entry:
    return records.Entry(
        index=index,
        term=1,
        kind=records.EntryKind.COMMAND,
        data=index.to_bytes(4, "big") * (COMMAND_BYTES // 4),
    )


def _memory() -> list[measures.Measure]:
    tracemalloc.start()
    entries = [_entry(index) for index in range(10_000)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    heartbeat = peer.AppendRequest(
        group=GROUP,
        log_id="0" * 16,
        term=3,
        leader=records.Member(
            daemon_id="control-1",
            identity="0" * 16,
            address="192.0.2.1:7004",
        ),
        previous_index=1000,
        previous_term=3,
        commit_index=1000,
        sent_at=EPOCH,
    )
    return [
        _row(
            f"memory an entry of {COMMAND_BYTES} bytes",
            size / len(entries),
            "bytes",
        ),
        _row(
            "a heartbeat, before its frame",
            len(msgspec.msgpack.encode(heartbeat)),
            "bytes",
        ),
    ]
