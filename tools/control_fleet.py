"""Starts control hosts and routers that share one replicated log."""

from __future__ import annotations

import json
import pathlib
import shutil
import signal
import time
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.edge import admin
from fulmarbarrow.publishing import delta as deltas
from tools import fleet

ZONES = ("attica-a", "attica-b", "attica-c")


class ControlFleet:
    """Control daemons on ``controls`` hosts, and routers, over the zones."""

    def __init__(
        self, *, folder: pathlib.Path, controls: int, routers: int
    ) -> None:
        ports = [fleet.free_ports(4) for _ in range(controls + routers)]
        members = tuple(
            (f"control-{number}", f"127.0.0.1:{ports[number][3]}")
            for number in range(controls)
        )
        seeds = tuple(address for _, address in members)
        self.folder = folder
        self.daemons = [
            fleet.DaemonProcess(
                folder=folder,
                daemon_id=(
                    f"control-{number}"
                    if number < controls
                    else f"router-{number - controls}"
                ),
                zone=ZONES[number % len(ZONES)],
                roles=("control", "router")
                if number < controls
                else ("router",),
                seeds=seeds,
                members=members if number < controls else (),
                ports=ports[number],
            )
            for number in range(controls + routers)
        ]
        self.controls = self.daemons[:controls]
        self.routers = self.daemons[controls:]
        self._published = 0
        self._frozen: set[str] = set()

    def start(self) -> None:
        """Start all daemons and wait for a leader that knows them all."""
        for daemon in self.daemons:
            daemon.spawn()
        fleet.wait_until(self.leader, "a first leader")
        fleet.wait_until(
            lambda: self.counted() == len(self.daemons), "all daemons"
        )

    def kill(self) -> None:
        """End all processes at once."""
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.send_signal(signal.SIGCONT)
            daemon.kill()

    def log(
        self, daemon: fleet.DaemonProcess, name: str = "consensus"
    ) -> dict[str, typing.Any]:
        """Return what a daemon tells of its replicated log."""
        state = daemon.dump() if self.runs(daemon) else None
        return state["cores"][name] if state else {}

    def runs(self, daemon: fleet.DaemonProcess) -> bool:
        """Return whether the process runs and is not frozen."""
        process = daemon.process
        if process is None or daemon.daemon_id in self._frozen:
            return False
        return process.poll() is None

    def leader(
        self, among: list[fleet.DaemonProcess] | None = None
    ) -> fleet.DaemonProcess | None:
        """Return the daemon that holds the leader lease, if any."""
        for daemon in among or self.controls:
            log = self.log(daemon)
            if log.get("role") == "leader" and log.get("lease_until"):
                return daemon
        return None

    def status(self, daemon: fleet.DaemonProcess) -> dict[str, typing.Any]:
        """Return the status as a control host gives it."""
        code, body = fleet.fetch(f"http://{daemon.admin}/v1/status")
        return json.loads(body) if code == 200 else {}

    def counted(self) -> int:
        """Return how many daemons the leader's status counts."""
        leader = self.leader()
        if leader is None:
            return 0
        status = self.status(leader)
        return sum(zone["daemons"] for zone in status.get("zones", ()))

    def publish(
        self,
        daemon: fleet.DaemonProcess,
        *,
        base: int,
        publish_id: str = "",
        weight: float = 1.0,
    ) -> dict[str, typing.Any]:
        """Publish a small bundle that differs from all before."""
        self._published += 1
        name = publish_id or f"publish-{self._published}-{time.monotonic()}"
        bundle = bundles.Bundle(
            account=(
                bundles.Account(
                    name="volos",
                    key_salt="00",
                    key_digest="11" * 32,
                    weight=weight + self._published,
                ),
            )
        )
        data = bundles.encode(bundle)
        body = admin.PublishBody(
            publish_id=name,
            publisher="tools",
            base_revision=base,
            digest=deltas.digest(data),
            bundle=msgspec.Raw(data),
        )
        code, answer = fleet.fetch(
            f"http://{daemon.admin}/v1/publish",
            method="POST",
            body=msgspec.json.encode(body),
        )
        return json.loads(answer) if code == 200 else {"code": str(code)}

    def in_force(
        self, revision: int, daemons: list[fleet.DaemonProcess]
    ) -> bool:
        """Return whether the daemons themselves have the revision."""
        for daemon in daemons:
            state = daemon.dump()
            if not state:
                return False
            if state["cores"]["publishing"]["revision"] < revision:
                return False
        return True

    def freeze(self, daemon: fleet.DaemonProcess) -> None:
        """Stop a process without ending it, as a silent host."""
        if daemon.process is not None:
            daemon.process.send_signal(signal.SIGSTOP)
            self._frozen.add(daemon.daemon_id)

    def thaw(self, daemon: fleet.DaemonProcess) -> None:
        """Let a frozen process go on."""
        if daemon.process is not None:
            daemon.process.send_signal(signal.SIGCONT)
            self._frozen.discard(daemon.daemon_id)

    def replace_host(self, daemon: fleet.DaemonProcess) -> None:
        """Start a daemon again on an empty disk."""
        daemon.kill()
        shutil.rmtree(self.folder / daemon.daemon_id)
        daemon.spawn()
