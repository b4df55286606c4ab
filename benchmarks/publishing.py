"""Publishing on real daemons: in force, leader loss, restart, repair."""

from __future__ import annotations

import itertools
import pathlib
import statistics
import tempfile
import time

from benchmarks import measure as measures
from tools import control_fleet
from tools import fleet

COMMAND = "python -m benchmarks publishing"
EXCLUSIVE = True
CONTROLS = 3
ROUTERS = 8
TIMED_PUBLISHES = 100
CHANGES = 500
LEADER_LOSSES = 3
IN_FORCE_TARGET_SECONDS = 2.0
LEADER_TARGET_SECONDS = 3.0
RESTART_TARGET_SECONDS = 1.0
POLL_SECONDS = 0.005


def measure() -> list[measures.Measure]:
    """Run one fleet through all parts."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(pathlib.Path(folder))
        try:
            return run.measure()
        finally:
            run.fleet.kill()


def _row(
    name: str, value: float, unit: str, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="publishing",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
    )


class Run:
    """A fleet, the last accepted revision and what was ever reverted."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.fleet = control_fleet.ControlFleet(
            folder=folder, controls=CONTROLS, routers=ROUTERS
        )
        self._revision = 0
        self._highest: dict[str, int] = {}
        self._reverted = 0

    def measure(self) -> list[measures.Measure]:
        """Return all figures."""
        self.fleet.start()
        rows = [*self._in_force(), *self._many(), *self._losses()]
        self._freeze()
        rows.append(self._repair())
        self._observe()
        rows.append(
            _row(
                "accepted revisions lost or reverted through kills, a "
                "frozen leader and a loss after a repair",
                self._reverted,
                "revisions",
                target=0,
            )
        )
        return rows

    def _in_force(self) -> list[measures.Measure]:
        times = []
        hosts = itertools.cycle(self.fleet.controls)
        for _ in range(TIMED_PUBLISHES):
            started = time.perf_counter()
            self._publish(next(hosts))
            self._wait(self._everywhere)
            times.append(time.perf_counter() - started)
        count = CONTROLS + ROUTERS
        times.sort()
        return [
            _row(
                f"median until in force on {count} daemons",
                statistics.median(times),
                "s",
            ),
            _row(
                f"p99 until in force on {count} daemons",
                times[int(len(times) * 0.99) - 1],
                "s",
                IN_FORCE_TARGET_SECONDS,
            ),
        ]

    def _many(self) -> list[measures.Measure]:
        leader = self._leader()
        started = time.perf_counter()
        count = 0
        while self._revision < CHANGES:
            self._publish(leader)
            count += 1
        elapsed = time.perf_counter() - started
        return [
            _row(
                "publishes a second, one after another", count / elapsed, "1/s"
            )
        ]

    def _losses(self) -> list[measures.Measure]:
        elections, restarts, listening = [], [], []
        for _ in range(LEADER_LOSSES):
            lost = self._leader()
            lost.kill()
            started = time.perf_counter()
            self._wait(self.fleet.leader)
            elections.append(time.perf_counter() - started)
            self._publish(self._leader())
            started = time.perf_counter()
            lost.spawn()
            self._wait(lost.dump)
            listening.append(time.perf_counter() - started)
            self._wait(lambda lost=lost: self._caught_up(lost))
            restarts.append(time.perf_counter() - started)
            self._wait(self._everywhere)
            self._observe()
        return [
            _row(
                "longest time without a leader after a kill",
                max(elections),
                "s",
                LEADER_TARGET_SECONDS,
            ),
            _row(
                f"longest restart after {CHANGES} changes, until caught up",
                max(restarts),
                "s",
                RESTART_TARGET_SECONDS,
            ),
            _row(
                "of which from the process's start until it listens",
                listening[restarts.index(max(restarts))],
                "s",
            ),
        ]

    def _freeze(self) -> None:
        frozen = self._leader()
        self.fleet.freeze(frozen)
        self._wait(self.fleet.leader)
        self._publish(self._leader())
        self.fleet.thaw(frozen)
        self._wait(self._everywhere)
        self._observe()

    def _repair(self) -> measures.Measure:
        leader = self._leader()
        replaced, other = (
            daemon for daemon in self.fleet.controls if daemon is not leader
        )
        old = self.fleet.log(replaced)["member"]
        started = time.perf_counter()
        self.fleet.replace_host(replaced)
        self._wait(lambda: self._member(replaced, old))
        elapsed = time.perf_counter() - started
        self._highest.pop(replaced.daemon_id, None)
        other.kill()
        self._publish(replaced)
        rest = [item for item in self.fleet.daemons if item is not other]
        self._wait(lambda: self.fleet.in_force(self._revision, rest))
        return _row(
            "replaced host with an empty disk until it is a member",
            elapsed,
            "s",
        )

    def _member(self, daemon: fleet.DaemonProcess, old: str) -> bool:
        log = self.fleet.log(daemon)
        members = log.get("members", ())
        return (
            bool(log.get("voter"))
            and log["member"] != old
            and len(members) == CONTROLS
        )

    def _publish(self, daemon: fleet.DaemonProcess) -> None:
        """Publish; send it again until the outcome is known."""
        name = f"change-{self._revision}"
        while True:
            answer = self.fleet.publish(
                daemon, base=self._revision, publish_id=name
            )
            if not answer["code"]:
                break
        if answer["revision"] != self._revision + 1:
            self._reverted += 1
        self._revision = answer["revision"]

    def _everywhere(self) -> bool:
        leader = self.fleet.leader()
        if leader is None:
            return False
        status = self.fleet.status(leader)
        if not status or not status["current"]:
            return False
        zones = status["zones"]
        whole = all(zone["in_force"] == zone["daemons"] for zone in zones)
        return status["revision"] == self._revision and whole

    def _observe(self) -> None:
        """Count daemons whose revision is below what they had before."""
        for daemon in self.fleet.daemons:
            state = daemon.dump() if self.fleet.runs(daemon) else None
            if not state:
                continue
            found = state["cores"]["publishing"]["revision"]
            if found < self._highest.get(daemon.daemon_id, 0):
                self._reverted += 1
            self._highest[daemon.daemon_id] = found

    def _caught_up(self, daemon: fleet.DaemonProcess) -> bool:
        state = daemon.dump()
        if not state:
            return False
        cores = state["cores"]
        return (
            cores["control"]["revision"] >= self._revision
            and cores["publishing"]["revision"] >= self._revision
        )

    def _leader(self) -> fleet.DaemonProcess:
        self._wait(self.fleet.leader)
        leader = self.fleet.leader()
        return leader if leader is not None else self._leader()

    def _wait(self, check) -> None:  # noqa: ANN001
        until = time.monotonic() + fleet.WAIT_SECONDS
        while not check():
            if time.monotonic() > until:
                raise TimeoutError(str(check))
            time.sleep(POLL_SECONDS)
