"""Journalled actions a second with real syncs, and the time they add."""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import tempfile
import time

from benchmarks import journal_hosts as hosts
from benchmarks import measure as measures
from fulmarbarrow.journal import machine
from tools import fleet

COMMAND = "python -m benchmarks journal"
EXCLUSIVE = True
REGISTER_TOKENS_PER_SECOND = 1_000_000
SECONDS = 5.0
FLEET_SECONDS = 8.0
CALLERS = 16
OFFICE = pathlib.Path(__file__).parent.parent / "examples" / "office"
HEADERS = {"Authorization": "Bearer demo-key-volos"}


def measure() -> list[measures.Measure]:
    """Measure one host, three hosts and three daemons."""
    rows = []
    for count in (1, 3):
        for group_commit in (True, False):
            rows.extend(_hosts(count, group_commit))
    return [*rows, *_daemons(), _entry_bytes()]


def _row(name: str, value: float, unit: str) -> measures.Measure:
    return measures.Measure(
        slice="journal", name=name, value=value, unit=unit, command=COMMAND
    )


def _hosts(count: int, group_commit: bool) -> list[measures.Measure]:
    with tempfile.TemporaryDirectory() as folder:
        group = hosts.Hosts(
            folder=pathlib.Path(folder),
            count=count,
            group_commit=group_commit,
        )
        figures = group.run(SECONDS)
    how = "" if group_commit else " without group commit"
    text = f"{count} synced file(s){how}"
    return [
        _row(f"actions, {text}", figures.actions_per_second, "1/s"),
        _row(f"intent p99, {text}", figures.intent_p99 * 1e3, "ms"),
    ]


def _daemons() -> list[measures.Measure]:
    """Place orders, then look-ups, through three daemons on loopback."""
    with tempfile.TemporaryDirectory() as folder:
        processes: list = []
        try:
            daemons = _start(pathlib.Path(folder), processes)
            orders = _drive(daemons, "POST", "/register/orders")
            lookups = _drive(daemons, "GET", "/register/dies")
        finally:
            for process in processes:
                process.kill()
    added = _percentile(orders, 0.99) - _percentile(lookups, 0.99)
    return [
        _row("orders, three daemons", len(orders) / FLEET_SECONDS, "1/s"),
        _row("look-ups, three daemons", len(lookups) / FLEET_SECONDS, "1/s"),
        _row("order p99, three daemons", _percentile(orders, 0.99), "ms"),
        _row("p99 that the journal adds, three daemons", added, "ms"),
    ]


def _start(folder: pathlib.Path, processes: list) -> list[fleet.DaemonProcess]:
    ports = [fleet.free_ports(4) for _ in range(3)]
    members = tuple(
        (f"entry-{number}", f"127.0.0.1:{group[3]}")
        for number, group in enumerate(ports, 1)
    )
    daemons = [
        fleet.DaemonProcess(
            folder=folder,
            daemon_id=name,
            zone="attica-a",
            roles=("router", "control"),
            seeds=tuple(address for _, address in members),
            members=members,
            ports=group,
        )
        for (name, _), group in zip(members, ports, strict=True)
    ]
    processes += daemons
    for daemon in daemons:
        daemon.spawn()
    for daemon in daemons:
        fleet.wait_until(daemon.dump, f"{daemon.daemon_id} starts")
    register = fleet.StandinProcess(
        folder=folder,
        kind="plain",
        upstream_id="plain-1",
        zone="attica-a",
        offers="register",
        entries=tuple(daemon.upstreams for daemon in daemons),
        # What it states is believed, and must not be what is short here.
        tokens_per_second=REGISTER_TOKENS_PER_SECOND,
    )
    processes.append(register)
    register.start()
    fleet.wait_until(lambda: _published(daemons[0]), "published")
    fleet.wait_until(lambda: _place(daemons[2], "POST", "first"), "ready")
    return daemons


def _published(daemon: fleet.DaemonProcess) -> bool:
    done = fleet.command("publish", str(OFFICE), "--admin", daemon.admin)
    return done.returncode == 0


def _place(
    daemon: fleet.DaemonProcess,
    method: str,
    key: str,
    path: str = "/register/orders",
) -> bool:
    status, _ = fleet.fetch(
        f"http://{daemon.callers}{path}",
        method=method,
        body=json.dumps({"die": key}).encode() if method == "POST" else None,
        headers={**HEADERS, "Idempotency-Key": key},
    )
    return status == 200


def _drive(
    daemons: list[fleet.DaemonProcess], method: str, path: str
) -> list[float]:
    """Return the times in ms of the requests that were answered."""
    until = time.perf_counter() + FLEET_SECONDS

    def caller(number: int) -> list[float]:
        times = []
        count = 0
        daemon = daemons[number % len(daemons)]
        while time.perf_counter() < until:
            count += 1
            started = time.perf_counter()
            if _place(daemon, method, f"{method}-{number}-{count}", path):
                times.append((time.perf_counter() - started) * 1e3)
        return times

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return [
            duration
            for times in pool.map(caller, range(CALLERS))
            for duration in times
        ]


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


def _entry_bytes() -> measures.Measure:
    """Return the snapshot's bytes of one recorded action."""
    with tempfile.TemporaryDirectory() as folder:
        group = hosts.Hosts(
            folder=pathlib.Path(folder), count=1, group_commit=True
        )
        group.run(1.0)
        journal: machine.Journal = group.journal
    size = len(journal.snapshot()) / len(journal)
    return _row("state of one action with an answer of 200 bytes", size, "B")
