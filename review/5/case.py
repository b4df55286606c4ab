"""Requests with bodies below the limit fill the memory of a machine."""

from __future__ import annotations

import threading
import time

import harness

MEMORY_MB = 300
USUAL = 24  # requests at once on each machine
SMALL = b"y" * 800
BURST = 1.7  # times the usual
LARGE = b"y" * 4_000_000  # below MaxBodyBytes
WAVES = 5
KILLS = 3  # "three times in the day"
BURST_SECONDS = 3.0
WORK_SECONDS = 0.8
RESTART_SECONDS = 0.5


class Platform:
    """Kills a process above its memory limit and starts it again."""

    def __init__(self, *, fleet, record):
        self._fleet, self._record = fleet, record
        self.kills = {edge.ip: 0 for edge in fleet.edges}
        self.peaks = {edge.ip: 0.0 for edge in fleet.edges}
        self._running = True
        for edge in fleet.edges:
            threading.Thread(
                target=self._watch, args=(edge,), daemon=True
            ).start()

    def stop(self):
        """Watch no more."""
        self._running = False

    def _watch(self, edge):
        while self._running:
            time.sleep(0.02)
            used = _resident_mb(edge)
            self.peaks[edge.ip] = max(self.peaks[edge.ip], used)
            if used <= MEMORY_MB:
                continue
            self._record(f"{edge.ip} uses {used:.0f} MB and is killed")
            edge.kill()
            self.kills[edge.ip] += 1
            time.sleep(RESTART_SECONDS)
            if self._running:
                edge.start()


def _resident_mb(edge):
    try:
        with open(f"/proc/{edge.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
    except (OSError, AttributeError):
        pass
    return 0.0


def case(record, trouble):
    """Run the case; return whether the rule was broken."""
    fleet = harness.Fleet(record=record, cores=1, edges=2, losses=0)
    operator = harness.Operator(fleet=fleet, record=record)
    worker = harness.Worker(
        record=record, name="i-register", service="die-register"
    )
    worker.slots = 110
    worker.work_seconds = WORK_SECONDS
    platform = None
    try:
        fleet.start()
        operator.order(
            "PUT",
            "/v1/config",
            harness.configuration(
                1,
                [harness.route("/order/", "die-register", "non_idempotent")],
                [harness.service("die-register")],
            ),
        )
        threading.Thread(
            target=_beat, args=(worker, fleet.cores[0]), daemon=True
        ).start()
        _wait_ready(fleet)
        platform = Platform(fleet=fleet, record=record)
        lost = 0
        for _ in range(WAVES):
            users = [SMALL] * USUAL
            if trouble:
                more = int(USUAL * BURST) - USUAL
                record(f"{more} more users come at once on each machine")
                users += [LARGE] * more
            lost += _traffic(fleet, record, users)
            time.sleep(1.0)
            _wait_ready(fleet)
        platform.stop()
        record(f"ended for their memory: {platform.kills}")
        record(f"most memory used, MB: {platform.peaks}")
        record(f"{lost} requests have no complete answer")
        return all(count >= KILLS for count in platform.kills.values())
    finally:
        if platform is not None:
            platform.stop()
        fleet.close()


def _wait_ready(fleet):
    harness.wait_until(
        lambda: all(edge.is_ready() for edge in fleet.edges), "edges ready"
    )
    time.sleep(2.0)


def _traffic(fleet, record, users):
    """Let users send on each machine; return how many requests fail."""
    until = time.monotonic() + BURST_SECONDS
    lost = []

    def client(edge, body):
        while time.monotonic() < until:
            _, status, _, _ = harness.send(
                edge, record, "/order/1", deadline=4000, body=body
            )
            if not status:
                lost.append(edge)
                time.sleep(0.5)

    clients = [
        threading.Thread(target=client, args=(edge, body))
        for edge in fleet.edges
        for body in users
    ]
    for item in clients:
        item.start()
    for item in clients:
        item.join()
    return len(lost)


def _beat(worker, core):
    while True:
        worker.beat(core)
        time.sleep(1.2)


harness.main(case)
