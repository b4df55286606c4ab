"""Upstreams without traffic that leave, and which daemons learn of it."""

from __future__ import annotations

import collections.abc
import datetime
import json
import random
import threading
import time

from fulmarbarrow.edge import headers
from soak import promises
from tools import control_fleet
from tools import fleet

INTERVAL = 1.0  # seconds between two upstreams
KNOWN_WITHIN = 2.0  # seconds
POLL_INTERVAL = 0.1  # seconds
# Returns the faults of a daemon that are over, None if it has one.
CountFaults = collections.abc.Callable[[fleet.DaemonProcess], int | None]


class Leaves(threading.Thread):
    """Lets one upstream after the other announce itself and leave.

    Each call goes to a daemon of the seed's choice. Nothing is routed to
    these upstreams, so that callers notice none of it.
    """

    def __init__(
        self,
        *,
        seed: int,
        daemons: collections.abc.Sequence[fleet.DaemonProcess],
        count_faults: CountFaults,
        over: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self._rng = random.Random(f"leaves {seed}")
        self._daemons = daemons
        self._count_faults = count_faults
        self._over = over
        self.seen: list[promises.Leave] = []

    def run(self) -> None:
        """Go on until the soak is over."""
        number = 0
        while not self._over.wait(INTERVAL):
            number += 1
            self._play(f"leaving-{number}")

    def _play(self, upstream_id: str) -> None:
        if not self._announce(upstream_id, 1, "serving"):
            return
        knowing = self._wait_until_known(upstream_id)
        faults = {
            daemon.daemon_id: self._count_faults(daemon) for daemon in knowing
        }
        if not self._announce(upstream_id, 2, "leaving"):
            return
        time.sleep(promises.LEAVE_LIMIT)
        for daemon in knowing:
            before = faults[daemon.daemon_id]
            state = self._state(daemon, upstream_id)
            if state is None or before is None:
                continue
            if self._count_faults(daemon) == before:
                self.seen.append(
                    promises.Leave(
                        upstream_id=upstream_id,
                        daemon_id=daemon.daemon_id,
                        known=state != "serving",
                    )
                )

    def _wait_until_known(self, upstream_id: str) -> list[fleet.DaemonProcess]:
        """Return the daemons that know an upstream, all if they soon do."""
        until = time.monotonic() + KNOWN_WITHIN
        while True:
            knowing = [
                daemon
                for daemon in self._daemons
                if self._state(daemon, upstream_id) == "serving"
            ]
            if len(knowing) == len(self._daemons):
                return knowing
            if time.monotonic() >= until:
                return knowing
            time.sleep(POLL_INTERVAL)

    def _state(
        self, daemon: fleet.DaemonProcess, upstream_id: str
    ) -> str | None:
        """Return an upstream's state, "" if unknown, None without a dump."""
        if self._count_faults(daemon) is None:
            return None
        dump = daemon.dump()
        if dump is None:
            return None
        for upstream in dump["cores"]["membership"]["upstreams"]:
            if upstream["upstream_id"] == upstream_id:
                return upstream["state"]
        return ""

    def _announce(self, upstream_id: str, sequence: int, state: str) -> bool:
        """Announce an upstream at a daemon; return if it acknowledges."""
        daemon = self._rng.choice(self._daemons)
        body = {
            "upstream_id": upstream_id,
            "incarnation": 1,
            "sequence": sequence,
            "zone": self._rng.choice(control_fleet.ZONES),
            "url": "http://127.0.0.1:9",
            "offers": [{"service": "none"}],
            "batch_tokens": 1,
            "tokens_per_second": 1,
            "state": state,
            "started_at": datetime.datetime.now(datetime.UTC).isoformat(),
        }
        status, _ = fleet.fetch(
            f"http://{daemon.upstreams}/v1/announce",
            method="POST",
            body=json.dumps(body).encode(),
            headers={
                headers.FLEET_KEY: fleet.UPSTREAM_KEY,
                "Content-Type": "application/json",
            },
        )
        return status == 200
