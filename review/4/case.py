"""A heartbeat that arrives late brings a worker back that has left."""

from __future__ import annotations

import threading
import time

import harness

LATE_SECONDS = 3.0
DRAIN_SECONDS = harness.BOUNDS["DrainMs"] / 1000
# "continues serving for DrainMs after the acknowledgement and a little longer
# (at times many seconds)"
SERVES_ON_SECONDS = 7.0
REQUEST_PAUSE = 0.1
BEAT_SECONDS = 1.2


class Beats:
    """The heartbeats of a worker, to the machine that answered the last."""

    def __init__(self, *, worker, core):
        self._worker, self._core = worker, core
        self._running = True
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Send no more."""
        self._running = False

    def _run(self):
        while self._running:
            self._worker.beat(self._core)
            time.sleep(BEAT_SECONDS)


def case(record, trouble):
    """Run the case; return whether the rule was broken."""
    fleet = harness.Fleet(record=record, cores=3, edges=2, losses=1)
    operator = harness.Operator(fleet=fleet, record=record)
    first, second, third = fleet.cores
    staying, leaving = (
        harness.Worker(record=record, name=name, service="die-register")
        for name in ("i-staying", "i-leaving")
    )
    for worker in (staying, leaving):
        worker.work_seconds = 0.5
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
        Beats(worker=staying, core=first)
        beats = Beats(worker=leaving, core=first)
        harness.wait_until(
            lambda: all(edge.is_ready() for edge in fleet.edges), "edges ready"
        )
        clients = Clients(fleet=fleet, record=record)
        time.sleep(8.0)
        if not leaving.runs:
            raise harness.CannotRunError("no request reached the worker")
        beats.stop()
        time.sleep(BEAT_SECONDS)
        # The heartbeat is on its way while the worker begins to leave.
        body = leaving.body("ready")
        late = threading.Thread(
            target=_arrive, args=(record, leaving, first, body, trouble)
        )
        late.start()
        time.sleep(1.0)
        # Without an answer within a second, the next daemon is called.
        if trouble:
            record(f"heartbeat to {second.ip}: {leaving.beat(second)}")
        if leaving.leave(third) != 200:
            raise harness.CannotRunError("the departure is not acknowledged")
        acknowledged = time.monotonic()
        time.sleep(DRAIN_SECONDS + SERVES_ON_SECONDS)
        record("i-leaving exits")
        leaving.end()
        time.sleep(3.0)
        clients.stop()
        late.join()
        reached = [
            moment - acknowledged
            for moment, _ in leaving.runs
            if moment > acknowledged + DRAIN_SECONDS
        ]
        record(
            f"{len(reached)} requests reached i-leaving later than DrainMs "
            f"after the acknowledgement"
            + (f", the last after {reached[-1]:.1f} s" if reached else "")
        )
        late_ids = {
            request_id
            for moment, request_id in leaving.runs
            if moment > acknowledged + DRAIN_SECONDS
        }
        lost = [item for item in clients.unanswered if item in late_ids]
        record(f"{len(lost)} of them have no success")
        return bool(reached)
    finally:
        fleet.close()


def _arrive(record, worker, core, body, late):
    """Carry a heartbeat to a machine, late if asked for."""
    record(f"i-leaving sends a heartbeat to {core.ip}")
    if late:
        time.sleep(LATE_SECONDS)
    status, _, _ = harness.call(core.control, "PUT", worker.path, body)
    record(f"the heartbeat has arrived at {core.ip}: {status}")


class Clients:
    """Requests at a steady pace, by each machine in turn."""

    def __init__(self, *, fleet, record):
        self._fleet, self._record = fleet, record
        self._running = True
        self.unanswered = []
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Send no more."""
        self._running = False
        time.sleep(1.0)

    def _run(self):
        number = 0
        while self._running:
            edge = self._fleet.edges[number % len(self._fleet.edges)]
            number += 1
            threading.Thread(
                target=self._send, args=(edge,), daemon=True
            ).start()
            time.sleep(REQUEST_PAUSE)

    def _send(self, edge):
        request_id, status, _, _ = harness.send(edge, self._record, "/order/1")
        if status != 200:
            self.unanswered.append(request_id)


harness.main(case)
