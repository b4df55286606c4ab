"""Plays one seed over real processes and collects broken promises."""

from __future__ import annotations

import collections
import json
import pathlib
import shutil
import signal
import subprocess
import sys
import threading
import time

from soak import clients
from soak import leaves
from soak import plan
from soak import promises
from tools import control_fleet
from tools import fleet

ROOT = pathlib.Path(__file__).parent.parent
OFFICE = ROOT / "examples" / "office"
CONTROLS = 3
ROUTERS = 2
ENGINES = 2
REGISTERS = 2
CLIENTS = 4
WATCH_INTERVAL = 0.2  # seconds


class Upstream:
    """A stand-in behind a proxy."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        kind: str,
        name: str,
        offers: str,
        zone: str,
        entries: tuple[str, ...],
    ) -> None:
        (self._port,) = fleet.free_ports(1)
        self.standin = fleet.StandinProcess(
            folder=folder,
            kind=kind,
            upstream_id=name,
            zone=zone,
            offers=offers,
            entries=entries,
            announced_port=self._port,
        )
        self._proxy: subprocess.Popen[str] | None = None

    def start(self) -> None:
        """Start the proxy and the stand-in."""
        self._proxy = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "soak.proxy",
                f"--port={self._port}",
                f"--target={self.standin.port}",
            ],
            stdin=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        self.standin.start()

    def link(self, state: str) -> None:
        """Disturb the link, or open it again."""
        if self._proxy is not None:
            self._proxy.stdin.write(f"{state}\n")
            self._proxy.stdin.flush()

    def kill(self) -> None:
        """End both processes."""
        self.standin.kill()
        if self._proxy is not None:
            self._proxy.kill()
            self._proxy.wait()


class Soak:
    """The fleet, its callers and what was seen."""

    def __init__(self, *, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._folder = folder
        self._fleet = control_fleet.ControlFleet(
            folder=folder, controls=CONTROLS, routers=ROUTERS
        )
        self.daemons = self._fleet.daemons
        self._upstreams = self._make_upstreams()
        self._clients = [
            clients.Client(number=number, seed=seed, daemons=self.daemons)
            for number in range(CLIENTS)
        ]
        self._locks: dict[str, threading.Lock] = collections.defaultdict(
            threading.Lock
        )
        self._kills: list[promises.Kill] = []
        self._seen: list[promises.Observation] = []
        self._paused_at: dict[str, float] = {}
        # Faults on each daemon now, and when the last of them ended.
        self._struck: collections.Counter[str] = collections.Counter()
        self._struck_at = 0.0
        self._faults: collections.Counter[str] = collections.Counter()
        self._broken: list[str] = []
        self._published = 0
        self._over = threading.Event()
        self.leaves = leaves.Leaves(
            seed=seed,
            daemons=self.daemons,
            count_faults=self._count_faults,
            over=self._over,
        )

    @property
    def calls(self) -> list[promises.Call]:
        """All calls so far."""
        return [call for client in self._clients for call in client.calls]

    def play(self, seconds: float) -> list[str]:
        """Play the seed's faults and return the broken promises."""
        try:
            self._start()
            self._disturb(seconds)
            self._settle()
            return self._judge()
        finally:
            self._over.set()
            for upstream in self._upstreams:
                upstream.kill()
            self._fleet.kill()

    def _make_upstreams(self) -> list[Upstream]:
        kinds = [
            ("engine", "consultations/lacework/1", ENGINES),
            ("plain", "register", REGISTERS),
        ]
        return [
            Upstream(
                folder=self._folder,
                kind=kind,
                name=f"{kind}-{number}",
                offers=offers,
                zone=control_fleet.ZONES[number % len(control_fleet.ZONES)],
                entries=tuple(daemon.upstreams for daemon in self.daemons),
            )
            for kind, offers, count in kinds
            for number in range(count)
        ]

    def _start(self) -> None:
        self._fleet.start()
        for upstream in self._upstreams:
            upstream.start()
        fleet.wait_until(lambda: self._publish() == 0, "the files' publish")
        self._each_serves()
        threading.Thread(target=self._watch, daemon=True).start()
        self.leaves.start()
        for client in self._clients:
            client.start()

    def _publish(self) -> int:
        """Publish files that differ from all before; return the exit code."""
        self._published += 1
        files = self._folder / f"office-{self._published}"
        shutil.copytree(OFFICE, files)
        accounts = files / "accounts.toml"
        text = accounts.read_text()
        accounts.write_text(
            text.replace("weight = 3.0", f"weight = {3 + self._published}.0")
        )
        daemon = self._fleet.leader() or self._fleet.controls[0]
        done = fleet.command("publish", str(files), "--admin", daemon.admin)
        return done.returncode

    def _disturb(self, seconds: float) -> None:
        """Let the faults strike at their time, each in a thread."""
        started = time.monotonic()
        threads = []
        for fault in plan.make(
            seed=self._seed,
            seconds=seconds,
            daemons=len(self.daemons),
            links=len(self._upstreams),
            engines=ENGINES,
        ):
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            thread = threading.Thread(target=self._strike, args=(fault,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _strike(self, fault: plan.Fault) -> None:
        """Let a fault strike; what a process fails at breaks a promise."""
        try:
            self._strike_target(fault)
        except (OSError, RuntimeError, TimeoutError) as error:
            self._broken.append(f"{fault.kind.value}: {error}")

    def _strike_target(self, fault: plan.Fault) -> None:
        if fault.kind in plan.DAEMON_KINDS:
            daemon = self.daemons[fault.target]
            with self._locks[daemon.daemon_id]:
                self._struck[daemon.daemon_id] += 1
                try:
                    self._strike_daemon(daemon, fault)
                finally:
                    self._struck_at = time.monotonic()
                    self._faults[daemon.daemon_id] += 1
                    self._struck[daemon.daemon_id] -= 1
        elif fault.kind in plan.LINK_KINDS:
            upstream = self._upstreams[fault.target]
            with self._locks[f"link {fault.target}"]:
                upstream.link(fault.kind.value)
                time.sleep(fault.length)
                upstream.link("open")
        elif fault.kind is plan.Kind.CRASH_ENGINE:
            upstream = self._upstreams[fault.target]
            with self._locks[upstream.standin.upstream_id]:
                upstream.standin.kill()
                time.sleep(fault.length)
                upstream.standin.start()
        else:
            self._publish()

    def _strike_daemon(
        self, daemon: fleet.DaemonProcess, fault: plan.Fault
    ) -> None:
        if fault.kind is plan.Kind.PAUSE:
            daemon.process.send_signal(signal.SIGSTOP)
            time.sleep(fault.length)
            daemon.process.send_signal(signal.SIGCONT)
            self._paused_at[daemon.daemon_id] = time.monotonic()
            return
        if fault.kind is plan.Kind.KILL:
            self._kills.append(
                promises.Kill(daemon_id=daemon.daemon_id, at=time.monotonic())
            )
            daemon.kill()
        else:
            code = daemon.stop()
            if code:
                self._broken.append(f"{daemon.daemon_id} stopped with {code}")
        time.sleep(fault.length)
        daemon.start()

    def _watch(self) -> None:
        """Note which revision each daemon's process has in force."""
        while not self._over.wait(WATCH_INTERVAL):
            for daemon in self.daemons:
                process = daemon.process
                if self._locks[daemon.daemon_id].locked():
                    continue
                state = daemon.dump()
                if state and daemon.process is process:
                    revision = state["cores"]["publishing"]["revision"]
                    self._observe(daemon.daemon_id, process.pid, revision)

    def _observe(self, daemon_id: str, pid: int, revision: int) -> None:
        now = time.monotonic()
        paused_at = self._paused_at.get(daemon_id, -promises.APPLY_LIMIT)
        self._seen.append(
            promises.Observation(
                at=now,
                daemon_id=daemon_id,
                pid=pid,
                revision=revision,
                paused=now - paused_at < promises.APPLY_LIMIT,
                calm=self._is_calm(now),
            )
        )

    def _count_faults(self, daemon: fleet.DaemonProcess) -> int | None:
        """Return the faults of a daemon that are over, None if it has one."""
        if self._locks[daemon.daemon_id].locked():
            return None
        return self._faults[daemon.daemon_id]

    def _is_calm(self, now: float) -> bool:
        """Whether no daemon has a fault, or had one until lately."""
        if any(self._struck.values()):
            return False
        return now - self._struck_at >= promises.ELECTION_LIMIT

    def _settle(self) -> None:
        """Wait until all daemons serve and agree, as every fault is over."""
        for client in self._clients:
            client.stop()
        for client in self._clients:
            client.join()
        try:
            self._each_serves()
            fleet.wait_until(self._agreed, "all have the same revision")
        except TimeoutError as error:
            self._broken.append(f"not recovered: {error}")

    def _each_serves(self) -> None:
        probe = clients.Client(
            number=len(self._clients), seed=self._seed, daemons=self.daemons
        )
        for daemon in self.daemons:
            name = daemon.daemon_id
            fleet.wait_until(
                lambda at=daemon: promises.END in probe.chat(at, 3).body,
                f"{name} serves a chat",
            )
            fleet.wait_until(
                lambda at=daemon: (
                    probe.order(at, f"probe-{probe.new_key()}").status == 200
                ),
                f"{name} serves an order",
            )

    def _agreed(self) -> bool:
        states = [daemon.dump() for daemon in self.daemons]
        revisions = {
            state["cores"]["publishing"]["revision"] if state else None
            for state in states
        }
        return len(revisions) == 1 and None not in revisions

    def _judge(self) -> list[str]:
        counts: collections.Counter[str] = collections.Counter()
        for upstream in self._upstreams:
            if upstream.standin.upstream_id.startswith("plain"):
                _, body = fleet.fetch(f"{upstream.standin.url}/counts")
                counts.update(json.loads(body))
        return [
            *self._broken,
            *promises.streams(self.calls, self._kills),
            *promises.orders(self.calls, counts),
            *promises.revisions(self._seen),
            *promises.leaves(self.leaves.seen),
        ]
