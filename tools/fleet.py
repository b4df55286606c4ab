"""Starts daemons and stand-ins on loopback and stops them again."""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

FLEET_KEY = "loopback-fleet-key"
UPSTREAM_KEY = "loopback-upstream-key"
WAIT_SECONDS = 20.0
POLL_SECONDS = 0.05
PORT_RANGE = (10_000, 30_000)
# Ports; a fleet of one scenario takes some 40 of them.
PORT_BLOCK = 50

_claims: list[socket.socket] = []
_claimed: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that no other process of the tests gets.

    They lie below those that the system gives to outgoing connections, one
    of which could take a port between this check and its use. No port is
    returned twice, as a stopped process may start again on its own.
    """
    found: list[int] = []
    while len(found) < count:
        if not _claimed:
            _claimed.extend(_claim_block())
        port = _claimed.pop()
        with contextlib.suppress(OSError), socket.socket() as item:
            item.bind(("127.0.0.1", port))
            found.append(port)
    return found


def _claim_block() -> list[int]:
    """Return the ports of a block that no other process has claimed.

    The block's first port is kept bound until this process ends, which is
    what keeps others from the block.
    """
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(*PORT_RANGE, PORT_BLOCK)
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return list(range(first + 1, first + PORT_BLOCK))


def wait_until(check: typing.Callable[[], typing.Any], what: str) -> None:
    """Poll ``check`` until it is true; raises TimeoutError with ``what``."""
    until = time.monotonic() + WAIT_SECONDS
    while not check():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(POLL_SECONDS)


def fetch(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Return status and body of a small HTTP request; status 0 on none."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as reply:
            return reply.status, reply.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


class DaemonProcess:
    """One daemon's settings and its running process."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        daemon_id: str,
        zone: str,
        roles: tuple[str, ...],
        region: str = "attica",
        seeds: tuple[str, ...] = (),
        members: tuple[tuple[str, str], ...] = (),
        grace: str = "200ms",
        ports: list[int] | None = None,
        more: str = "",
    ) -> None:
        self.daemon_id = daemon_id
        self.folder = folder
        ports = ports or free_ports(4)
        self.callers, self.upstreams, self.admin, self.peers = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.settings = folder / f"{daemon_id}.toml"
        self.process: subprocess.Popen[bytes] | None = None
        member_lines = "".join(
            f'[[control.members]]\nid = "{name}"\naddress = "{address}"\n'
            for name, address in members
        )
        self.settings.write_text(
            f"[daemon]\n"
            f'id = "{daemon_id}"\nzone = "{zone}"\nregion = "{region}"\n'
            f"roles = {json.dumps(roles)}\n"
            f'fleet_key = "{FLEET_KEY}"\n'
            f'data_dir = "{folder / daemon_id}"\n'
            f'grace = "{grace}"\n'
            f"[listen]\n"
            f'callers = "{self.callers}"\nupstreams = "{self.upstreams}"\n'
            f'admin = "{self.admin}"\npeers = "{self.peers}"\n'
            f"[peers]\nseeds = {json.dumps(seeds)}\n"
            f'[upstreams]\nkey = "{UPSTREAM_KEY}"\n' + member_lines + more
        )

    def start(self) -> None:
        """Start the daemon and wait until its admin port answers."""
        self.spawn()
        wait_until(self._serves, f"{self.daemon_id} starts")

    def spawn(self) -> None:
        """Start the daemon without waiting."""
        with (self.folder / f"{self.daemon_id}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "fulmarbarrow.daemon",
                    "--settings",
                    str(self.settings),
                ],
                stdout=output,
                stderr=output,
            )

    def _serves(self) -> bool:
        if self.process is not None and self.process.poll() is not None:
            log = (self.folder / f"{self.daemon_id}.log").read_text()
            raise RuntimeError(f"{self.daemon_id} ended:\n{log}")
        return self.dump() is not None

    def dump(self) -> dict[str, typing.Any] | None:
        """Return the daemon's state, or None if it does not answer."""
        status, body = fetch(f"http://{self.admin}/dump")
        return json.loads(body) if status == 200 else None

    def stop(self) -> int:
        """Stop gracefully and return the exit code."""
        return stop_process(self.process)

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class StandinProcess:
    """One running stand-in upstream."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        kind: str,
        upstream_id: str,
        zone: str,
        offers: str,
        entries: tuple[str, ...],
        **options: typing.Any,
    ) -> None:
        self.upstream_id = upstream_id
        self.port = free_ports(1)[0]
        self.url = f"http://127.0.0.1:{self.port}"
        self._log = folder / f"{upstream_id}.log"
        self._command = [
            sys.executable,
            "-m",
            "fulmarbarrow.standins",
            f"--kind={kind}",
            f"--upstream_id={upstream_id}",
            f"--zone={zone}",
            f"--port={self.port}",
            f"--offers={offers}",
            f"--entries={','.join(entries)}",
            f"--key={UPSTREAM_KEY}",
            *(f"--{name}={value}" for name, value in options.items()),
        ]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the stand-in without waiting."""
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                self._command, stdout=output, stderr=output
            )

    def stop(self) -> int:
        """Stop the stand-in and return its exit code."""
        return stop_process(self.process)

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def stop_process(process: subprocess.Popen[bytes] | None) -> int:
    """End a process with SIGTERM, then with SIGKILL if it stays."""
    if process is None:
        return 0
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
    try:
        return process.wait(timeout=WAIT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def command(*words: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' command line and return its outcome."""
    return subprocess.run(
        [sys.executable, "-m", "fulmarbarrow", *words],
        capture_output=True,
        text=True,
        check=False,
    )
