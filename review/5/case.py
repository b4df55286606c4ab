"""A machine that was frozen carries out an order that is long superseded."""

from __future__ import annotations

import signal
import threading
import time

import harness

FREEZE_SECONDS = 5.0
ZONE = "attica-a"
PATH = f"/v1/evacuations/{ZONE}"
# In touch again, and the bound as an unstable core stretches it.
CONTACT_SECONDS = harness.BOUNDS["ContactMs"] / 1000
BOUND_SECONDS = (
    harness.BOUNDS["EvacuationMs"] + harness.BOUNDS["OuterMs"]
) / 1000
WATCH_SECONDS = 10.0
BEAT_SECONDS = 1.2


def case(record, trouble):
    """Run the case; return whether the rule was broken."""
    fleet = harness.Fleet(record=record, cores=3, edges=2, losses=1)
    operator = harness.Operator(fleet=fleet, record=record)
    frozen, other, _ = fleet.cores
    workers = [
        harness.Worker(
            record=record, name=f"i-{zone}", service="die-register", zone=zone
        )
        for zone in (ZONE, "attica-b")
    ]
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
        for worker in workers:
            threading.Thread(
                target=_beat, args=(worker, other), daemon=True
            ).start()
        harness.wait_until(
            lambda: all(edge.is_ready() for edge in fleet.edges), "edges ready"
        )
        threading.Thread(
            target=_clients, args=(fleet, record), daemon=True
        ).start()
        time.sleep(6.0)
        if not workers[0].runs:
            raise harness.CannotRunError("no request reached the zone")
        operator.order("POST", PATH, at=other)
        time.sleep(4.0)
        if trouble:
            record(f"{frozen.ip} is frozen")
            frozen.signal(signal.SIGSTOP)
        stopped = time.monotonic()
        # The operator takes the zone back, and empties it again.
        operator.order("DELETE", PATH, at=frozen)
        time.sleep(0.5)
        acknowledged = operator.order("POST", PATH, at=other)
        time.sleep(max(0.0, stopped + FREEZE_SECONDS - time.monotonic()))
        if trouble:
            record(f"{frozen.ip} wakes")
            frozen.signal(signal.SIGCONT)
        woke = time.monotonic()
        bound = max(acknowledged + BOUND_SECONDS, woke + CONTACT_SECONDS)
        time.sleep(max(0.0, bound - time.monotonic()))
        record("from here on no request may reach the zone")
        time.sleep(WATCH_SECONDS)
        reached = sum(moment > bound for moment, _ in workers[0].runs)
        elsewhere = sum(moment > bound for moment, _ in workers[1].runs)
        record(f"{reached} requests reached {ZONE}, {elsewhere} attica-b")
        if not elsewhere:
            raise harness.CannotRunError("no request was served")
        return reached > 0
    finally:
        fleet.close()


def _beat(worker, core):
    while True:
        worker.beat(core)
        time.sleep(BEAT_SECONDS)


def _clients(fleet, record):
    number = 0
    while True:
        edge = fleet.edges[number % len(fleet.edges)]
        number += 1
        threading.Thread(
            target=harness.send, args=(edge, record, "/order/1"), daemon=True
        ).start()
        time.sleep(0.1)


harness.main(case)
