"""The daemon against a bare pass-through, its memory and its CPU time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import numpy

from benchmarks import http_load
from benchmarks import measure as measures
from fulmarbarrow.edge import directory
from tools import fleet

COMMAND = "python -m benchmarks daemon"
EXCLUSIVE = True
KEY = "demo-key-load"
CONNECTIONS = 16
ROUND_SECONDS = 3.0
ROUNDS = 3
LATENCY_REQUESTS = 600
LATENCY_PER_SECOND = 60.0
CHATS_PER_SECOND = 11.0
CHATS = 165
ANSWER_TOKENS = 270
OPEN_STREAMS = 1000
IDLE_SECONDS = 10.0
FLEET = 8
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

FILES = f"""
[[zone]]
name = "attica-a"
region = "attica"

[[account]]
name = "load"
key_salt = "salt"
key_digest = "{directory.key_digest(KEY, "salt")}"
max_open_requests = 5000

[[service]]
name = "consultations"
kind = "model"
[[service.models]]
name = "lacework"
version = "1"
[[service.routes]]
path = "/v1/chat/completions"
deadline = "2m"
cost_class = "long"

[[service]]
name = "register"
kind = "plain"
[[service.routes]]
path = "/register"
methods = ["GET"]
cost_tokens = 1
"""


class Bench:
    """One daemon, a pass-through and their upstreams on loopback."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.daemon = fleet.DaemonProcess(
            folder=folder,
            daemon_id="entry-1",
            zone="attica-a",
            roles=("router", "control"),
        )
        entries = (self.daemon.upstreams,)
        self.engine = fleet.StandinProcess(
            folder=folder,
            kind="engine",
            upstream_id="engine-1",
            zone="attica-a",
            offers="consultations/lacework/1",
            entries=entries,
            batch_tokens=10_000_000,
            batch_requests=4000,
            tokens_per_second=200_000,
            token_interval_ms=10,
            prompt_tokens_per_second=1_000_000,
        )
        self.plain = fleet.StandinProcess(
            folder=folder,
            kind="plain",
            upstream_id="register-1",
            zone="attica-a",
            offers="register",
            entries=entries,
            batch_tokens=100_000,
            batch_requests=4000,
        )
        self.pass_pids: list[int] = []
        self.passes = [self._pass(item) for item in (self.plain, self.engine)]

    def _pass(self, upstream: fleet.StandinProcess) -> tuple[str, list[str]]:
        port = fleet.free_ports(1)[0]
        command = [sys.executable, "-m", "benchmarks.pass_through"]
        options = [f"--port={port}", f"--upstream={upstream.url}"]
        return f"127.0.0.1:{port}", command + options

    @contextlib.contextmanager
    def running(self):
        processes = [subprocess.Popen(command) for _, command in self.passes]
        self.pass_pids = [process.pid for process in processes]
        try:
            self.daemon.start()
            self.engine.start()
            self.plain.start()
            fleet.wait_until(self._ready, "upstreams")
            (self.folder / "files").mkdir()
            path = self.folder / "files" / "fulmarbarrow.toml"
            path.write_text(FILES)
            done = fleet.command(
                "publish", str(path.parent), "--admin", self.daemon.admin
            )
            if done.returncode:
                raise RuntimeError(done.stderr)
            yield self
        finally:
            for process in processes:
                process.kill()
                process.wait()
            for item in (self.engine, self.plain, self.daemon):
                item.kill()

    def _ready(self) -> bool:
        state = self.daemon.dump()
        return len(state["cores"]["membership"]["upstreams"]) == 2


def measure() -> list[measures.Measure]:
    """Measure one daemon under load, then a fleet that idles."""
    with tempfile.TemporaryDirectory() as name:
        bench = Bench(folder=pathlib.Path(name))
        with bench.running():
            rows = [*_throughput(bench), *_latency(bench)]
            rows += _chats(bench)
            rows += _streams(bench)
    rows += _idle_fleet()
    return rows


def _throughput(bench: Bench) -> list[measures.Measure]:
    request = http_load.build("GET", "/register/dies/12", KEY)
    counts = {bench.daemon.callers: 0, bench.passes[0][0]: 0}
    for address in counts:
        _closed(address, request, 1.0)
    for _ in range(ROUNDS):
        for address in counts:
            counts[address] += _closed(address, request, ROUND_SECONDS)
    daemon, bare = (
        count / (ROUNDS * ROUND_SECONDS) for count in counts.values()
    )
    return [
        _row("requests a second, daemon", daemon, "1/s"),
        _row("requests a second, bare pass-through", bare, "1/s"),
        _row(
            "requests a second of the pass-through's",
            daemon / bare,
            "ratio",
            0.8,
            measures.Bound.AT_LEAST,
        ),
    ]


def _closed(address: str, request: bytes, seconds: float) -> int:
    timings = asyncio.run(
        http_load.closed_loop(
            address, request, connections=CONNECTIONS, seconds=seconds
        )
    )
    bad = {timing.status for timing in timings} - {200}
    if bad:
        raise RuntimeError(f"{address} answered {bad}")
    return len(timings)


def _latency(bench: Bench) -> list[measures.Measure]:
    requests = [http_load.build("GET", "/register/dies/12", KEY)]
    requests *= LATENCY_REQUESTS
    direct, bare, daemon = (
        [
            timing.whole * 1000
            for timing in _open(address, requests, LATENCY_PER_SECOND)
        ]
        for address in (
            bench.plain.url.removeprefix("http://"),
            bench.passes[0][0],
            bench.daemon.callers,
        )
    )
    rows = []
    for percentile in (50, 99):
        base = numpy.percentile(direct, percentile)
        for name, values in (("daemon", daemon), ("pass-through", bare)):
            added = numpy.percentile(values, percentile) - base
            rows.append(
                _row(f"added latency p{percentile}, {name}", added, "ms")
            )
    return rows


def _chats(bench: Bench) -> list[measures.Measure]:
    """Measure at the target's load of one daemon."""
    body = json.dumps(
        {
            "model": "lacework",
            "stream": True,
            "max_tokens": ANSWER_TOKENS,
            "messages": [{"role": "user", "content": "motif " * 50}],
        }
    ).encode()
    requests = [
        http_load.build(
            "POST", "/v1/chat/completions", KEY, body, chat=f"chat-{number}"
        )
        for number in range(CHATS)
    ]
    pid = bench.daemon.process.pid
    _open(bench.daemon.callers, requests[:20], CHATS_PER_SECOND)
    idle = _cpu_share(pid, 3.0)
    before, started = _cpu_seconds(pid), time.perf_counter()
    daemon = _open(bench.daemon.callers, requests, CHATS_PER_SECOND)
    elapsed = time.perf_counter() - started
    used = _cpu_seconds(pid) - before
    address, pid = bench.passes[1][0], bench.pass_pids[1]
    before, started = _cpu_seconds(pid), time.perf_counter()
    bare = _open(address, requests, CHATS_PER_SECOND)
    bare_elapsed = time.perf_counter() - started
    bare_used = _cpu_seconds(pid) - before
    engine = bench.engine.url.removeprefix("http://")
    direct = _p95_first(_open(engine, requests, CHATS_PER_SECOND))
    return [
        _row("added first token p95", _p95_first(daemon) - direct, "ms", 3.0),
        _row(
            "added first token p95, pass-through",
            _p95_first(bare) - direct,
            "ms",
        ),
        _row(
            "CPU at 11 requests and 3000 tokens/s, pass-through",
            bare_used / bare_elapsed,
            "core",
        ),
        _row("CPU at 11 requests and 3000 tokens/s", used / elapsed, "core"),
        _row(
            "CPU a request without the idle part",
            (used - idle * elapsed) / CHATS * 1000,
            "ms",
        ),
        _row("CPU of this daemon idle", idle, "core"),
    ]


def _p95_first(timings: list[http_load.Timing]) -> float:
    bad = {timing.status for timing in timings} - {200}
    if bad:
        raise RuntimeError(f"answered {bad}")
    return float(
        numpy.percentile([timing.first * 1000 for timing in timings], 95)
    )


def _open(
    address: str, requests: list[bytes], per_second: float
) -> list[http_load.Timing]:
    return asyncio.run(
        http_load.open_loop(address, requests, per_second=per_second)
    )


def _streams(bench: Bench) -> list[measures.Measure]:
    """Measure memory with many streams open."""
    pid = bench.daemon.process.pid
    rest = _rss(pid)
    body = json.dumps(
        {
            "model": "lacework",
            "stream": True,
            "max_tokens": 1500,
            "messages": [],
        }
    ).encode()
    requests = [
        http_load.build(
            "POST", "/v1/chat/completions", KEY, body, chat=f"open-{number}"
        )
        for number in range(OPEN_STREAMS)
    ]
    highest = asyncio.run(_hold_open(bench.daemon.callers, requests, pid))
    libraries = _libraries_rss()
    return [
        _row("RSS after load, no stream open", rest / 2**20, "MiB"),
        _row("RSS of interpreter and libraries", libraries / 2**20, "MiB"),
        _row("RSS of own state", (rest - libraries) / 2**20, "MiB"),
        _row("RSS for 1000 open streams", (highest - rest) / 2**20, "MiB"),
    ]


async def _hold_open(address: str, requests: list[bytes], pid: int) -> int:
    """Open all streams, return the daemon's memory, then drop them."""
    host, _, port = address.partition(":")
    writers = []
    for request in requests:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        writers.append(writer)
        await asyncio.sleep(0.002)
    await asyncio.sleep(1)
    highest = _rss(pid)
    for writer in writers:
        writer.transport.abort()
    return highest


def _idle_fleet() -> list[measures.Measure]:
    """Measure the control part: daemons that only keep the fleet."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        ports = [fleet.free_ports(4) for _ in range(FLEET)]
        seeds = tuple(f"127.0.0.1:{item[3]}" for item in ports[:3])
        members = tuple(
            (f"entry-{number + 1}", seed) for number, seed in enumerate(seeds)
        )
        daemons = [
            fleet.DaemonProcess(
                folder=folder,
                daemon_id=f"entry-{number + 1}",
                zone=f"attica-{'abc'[number % 3]}",
                roles=("router", "control") if number < 3 else ("router",),
                seeds=seeds,
                members=members if number < 3 else (),
                ports=ports[number],
            )
            for number in range(FLEET)
        ]
        try:
            for daemon in daemons:
                daemon.spawn()
            fleet.wait_until(
                lambda: all(_knows(daemon) for daemon in daemons), "fleet"
            )
            time.sleep(3)
            pids = [daemon.process.pid for daemon in daemons]
            sent = [_sent(daemon) for daemon in daemons]
            before = [_cpu_seconds(pid) for pid in pids]
            time.sleep(IDLE_SECONDS)
            used = [
                _cpu_seconds(pid) - cpu
                for pid, cpu in zip(pids, before, strict=True)
            ]
            bytes_sent = [
                _sent(daemon) - count
                for daemon, count in zip(daemons, sent, strict=True)
            ]
            memory = [_rss(pid) for pid in pids]
        finally:
            for daemon in daemons:
                daemon.kill()
    return [
        _row(
            "control CPU, mean of 8 idle daemons",
            sum(used) / FLEET / IDLE_SECONDS,
            "core",
            0.022,
        ),
        _row(
            "control CPU, largest of 8 idle daemons",
            max(used) / IDLE_SECONDS,
            "core",
            0.022,
        ),
        _row(
            "control bytes sent, largest of 8 idle daemons",
            max(bytes_sent) / IDLE_SECONDS,
            "bytes/s",
            7000,
        ),
        _row("RSS, largest of 8 idle daemons", max(memory) / 2**20, "MiB"),
    ]


def _knows(daemon: fleet.DaemonProcess) -> bool:
    state = daemon.dump()
    if state is None:
        return False
    return len(state["cores"]["membership"]["daemons"]) >= FLEET - 1


def _sent(daemon: fleet.DaemonProcess) -> int:
    counters = daemon.dump()["metrics"]["counters"]
    return counters.get("peer_bytes_sent", 0)


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def _cpu_share(pid: int, seconds: float) -> float:
    before = _cpu_seconds(pid)
    time.sleep(seconds)
    return (_cpu_seconds(pid) - before) / seconds


def _rss(pid: int) -> int:
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def _libraries_rss() -> int:
    """Return the memory of a process that only imports the libraries."""
    code = (
        "import sys\n"
        "sys.modules['OpenSSL'] = None\n"
        "from twisted.internet import epollreactor\n"
        "epollreactor.install()\n"
        "import automat, cattrs, fire, h11, hdrh.histogram, klein, msgspec\n"
        "import twisted.web.server, xxhash\n"
        "print(open('/proc/self/statm').read().split()[1])\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(done.stdout) * PAGE_BYTES


def _row(
    name: str,
    value: float,
    unit: str,
    target: float | None = None,
    bound: measures.Bound = measures.Bound.AT_MOST,
) -> measures.Measure:
    return measures.Measure(
        slice="daemon",
        name=name,
        value=float(value),
        unit=unit,
        command=COMMAND,
        target=target,
        bound=bound,
    )
