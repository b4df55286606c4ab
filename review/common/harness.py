"""A small deployment on loopback: daemons, stand-ins and the network.

The daemons are the project's own programs, started with the command of
``deploy/system.toml`` and with settings that are filled in from
``deploy/settings.toml`` as the platform does it. Clients, workers and the
operator are the stand-ins below.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_SECONDS = 25.0
LIMIT_SECONDS = 110.0  # a script may take 120
HELD, BROKEN, NOT_RUN = 0, 1, 2
# As on the sheet of holt-dies.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RegressionSlackMs": 250,
    "OuterMs": 5000,
    "FailClosed": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 56,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
    "RollbackMs": 5000,
    "ColdOvershoot": 1.5,
    "ColdSlack": 5,
    "EvacuationMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "CapX": 2,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
OPERATOR_TIMEOUT = 1.0  # "a second without a response"


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            moment = time.monotonic() - self._start
            self._file.write(f"{moment:8.3f} {text}\n")
            self._file.flush()


def render(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md tells it."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(text, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(part, scopes, comma=""):
        def expand(match):
            kind, name, inner = match.groups()
            value = look_up(name, scopes)
            present = value is not None and value is not False
            if kind == "^":
                return "" if present else fill(inner, scopes)
            if not present:
                return ""
            if isinstance(value, list):
                last = len(value) - 1
                return "".join(
                    fill(inner, [*scopes, item], "," if at < last else "")
                    for at, item in enumerate(value)
                )
            return fill(inner, [*scopes, value])

        part = section.sub(expand, part).replace("{{,}}", comma)

        def value_of(match):
            name, _, form = match.group(1).partition("|")
            value = look_up(name, scopes)
            return json.dumps(value) if form == "json" else text(value)

        return re.sub(r"\{\{([^}]+)\}\}", value_of, part)

    return fill(template, [fields])


class Machine:
    """One machine of the system with its one process."""

    def __init__(self, *, fleet: Fleet, kind: str, ip: str, zone: str) -> None:
        self.fleet, self.kind, self.ip, self.zone = fleet, kind, ip, zone
        self.process: subprocess.Popen | None = None
        self.front = f"{ip}:{fleet.ports['front']}"
        self.ready = f"{ip}:{fleet.ports['ready']}"
        self.control = f"{ip}:{fleet.ports['control']}"
        self._file = fleet.folder / f"{ip}.toml"
        self.log = fleet.folder / f"{ip}.log"
        self._starts = 0

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        fleet = self.fleet
        if fleet.closed:
            return
        fields = {
            "NodeName": f"{self.kind}-{self.ip}",
            "MachineClass": self.kind,
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "attica",
            "InternalPorts": [fleet.ports["peers"], fleet.ports["peers"] + 15],
            "Seeds": [item.control for item in fleet.cores[:3]],
            "Bootstrap": self._starts == 0,
            "HeartbeatMs": 1200,
            "FaultTolerance": {
                "Machines": fleet.losses,
                "Zones": fleet.losses,
                "Regions": 0,
            },
            "Bounds": BOUNDS,
            "Limits": {"MemoryMb": 300, "MaxFds": 4100},
            "Listen": (
                {"Front": self.front, "Ready": self.ready}
                if self.kind == "edge"
                else {"Control": self.control}
            ),
        }
        if self.kind == "core":
            data = fleet.folder / "data" / self.ip
            data.mkdir(parents=True, exist_ok=True)
            fields["DataDir"] = str(data)
        template = (ROOT / "deploy" / "settings.toml").read_text()
        self._file.write_text(render(template, fields))
        self._starts += 1
        run = fleet.run_command(self.kind)
        words = [
            str(self._file) if word == "/etc/fulmarbarrow/node.toml" else word
            for word in run.split()
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FULMARBARROW_CONFIG"] = str(self._file)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return what the balancer sees."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(self.ready, "GET", "/v1/ready")[0] == 200
        return False


_fleets: list[Fleet] = []


class Fleet:
    """Core and edge machines, each with a loopback address of its own."""

    def __init__(
        self, *, record: Record, cores: int, edges: int, losses: int
    ) -> None:
        self.record = record
        self.losses = losses
        self.closed = False
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.ports = dict(
            zip(
                ("front", "ready", "control", "peers"),
                free_ports(f"{net}.1", 4),
                strict=True,
            )
        )
        zones = ("attica-a", "attica-b", "attica-c")

        def machines(kind, count, first):
            return [
                Machine(
                    fleet=self,
                    kind=kind,
                    ip=f"{net}.{first + number}",
                    zone=zones[number % 3],
                )
                for number in range(count)
            ]

        self.cores = machines("core", cores, 1)
        self.edges = machines("edge", edges, 101)
        _fleets.append(self)

    def run_command(self, kind: str) -> str:
        """Return the command of the role on a class of machines."""
        return next(
            role["run"] for role in self._roles.values() if role["on"] == kind
        )

    def start(self) -> None:
        """Start all machines at once."""
        for machine in (*self.cores, *self.edges):
            machine.start()

    def close(self) -> None:
        """End all processes and remove their files."""
        self.closed = True
        for machine in (*self.cores, *self.edges):
            machine.kill()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free now, below the outgoing range."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12_000, 30_000)
        with contextlib.suppress(OSError), socket.socket() as item:
            item.bind((ip, port))
            if port not in found:
                found.append(port)
    return found


def call(address, method, path, body=None, fields=None, timeout=2.0):
    """Make one call on a connection of its own."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=fields or {})
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.headers)
    finally:
        connection.close()


def wait_until(check, what: str, seconds: float = START_SECONDS) -> None:
    """Poll until a check is true."""
    until = time.monotonic() + seconds
    while not check():
        if time.monotonic() > until:
            raise CannotRunError(f"not in time: {what}")
        time.sleep(0.05)


class Operator:
    """Sends orders; moves on to another machine after a second."""

    def __init__(self, *, fleet: Fleet, record: Record) -> None:
        self._fleet, self._record = fleet, record

    def order(self, method, path, body=None, at=None, tries=30) -> float:
        """Send an order until it is acknowledged; return when it was.

        ``at`` is the machine to ask first.
        """
        cores = list(self._fleet.cores)
        if at is not None:
            cores.remove(at)
            cores.insert(0, at)
        wait = 0.05
        for number in range(tries):
            core = cores[number % len(cores)]
            status = self.once(core, method, path, body)
            if status and 200 <= status < 300:
                return time.monotonic()
            time.sleep(wait)
            wait = min(1.0, wait * 1.6)
        raise CannotRunError(f"{method} {path} is not acknowledged")

    def once(self, core, method, path, body=None) -> int:
        """Send an order to one machine; 0 without a response."""
        self._record(f"operator -> {core.ip} {method} {path}")
        try:
            status, _, _ = call(
                core.control,
                method,
                path,
                body,
                {"Content-Type": "application/json"} if body else None,
                timeout=OPERATOR_TIMEOUT,
            )
        except (OSError, http.client.HTTPException) as error:
            name = type(error).__name__
            self._record(f"operator <- {core.ip} no response ({name})")
            return 0
        self._record(f"operator <- {core.ip} {status} for {method} {path}")
        return status


def configuration(version: int, routes: list, services: list) -> bytes:
    """Return a complete configuration."""
    return json.dumps(
        {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": LIMITS,
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
        }
    ).encode()


def route(prefix: str, service: str, kind: str, **more) -> dict:
    """Return a route."""
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 12000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 1,
        "SkipAuth": False,
        "SessionAffinity": False,
        "StreamResume": False,
        **more,
    }


def service(name: str) -> dict:
    """Return a plain service."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": 110,
        "Protocol": "h1",
        "Tls": False,
        "ColdStartS": 0.0,
        "ColdPerS": 0.0,
    }


class Worker:
    """A sound worker; ``serve`` may be replaced for another answer."""

    def __init__(
        self, *, record, name, service, ip="127.0.0.1", zone="attica-a"
    ) -> None:
        self.record, self.name, self.zone = record, name, zone
        self._service = service
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        self.work_seconds = 0.09
        self.slots = 6
        self.ended = False
        self._sockets: set[socket.socket] = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, 0))
        self._listener.listen(128)
        self.own_address = f"{ip}:{self._listener.getsockname()[1]}"
        self.address = self.own_address
        threading.Thread(target=self._accept, daemon=True).start()

    def body(self, state: str = "ready") -> bytes:
        """Return the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self._service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    @property
    def path(self) -> str:
        """The path of its heartbeats."""
        return f"/v1/instances/{self.name}"

    def beat(self, core: Machine, state: str = "ready") -> int:
        """Send a heartbeat; 0 without an answer within a second."""
        body = self.body(state)
        try:
            return call(core.control, "PUT", self.path, body, timeout=1.0)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def leave(self, core: Machine) -> int:
        """Send the DELETE; 0 without an answer within a second."""
        try:
            status = call(core.control, "DELETE", self.path, timeout=1.0)[0]
        except (OSError, http.client.HTTPException):
            status = 0
        self.record(f"{self.name} -> {core.ip} DELETE: {status}")
        return status

    def end(self) -> None:
        """Exit: close the port and all connections."""
        self.ended = True
        for item in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                taken, _ = self._listener.accept()
                self._sockets.add(taken)
                threading.Thread(
                    target=self._connection, args=(taken,), daemon=True
                ).start()

    def _connection(self, taken: socket.socket) -> None:
        reader = taken.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line.strip():
                    return
                method, path, _ = line.decode("latin-1").split(" ", 2)
                fields = http.client.parse_headers(reader)
                length = int(fields.get("Content-Length") or 0)
                body = reader.read(length)
                if not self._answer(taken, method, path, fields, body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            self._sockets.discard(taken)
            with contextlib.suppress(OSError):
                taken.close()

    def _answer(self, taken, method, path, fields, body) -> bool:
        """Answer one request; return whether to keep the connection."""
        if path == "/health":
            taken.sendall(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            return True
        request_id = fields.get("X-Request-Id", "")
        if fields.get("X-Expected-Instance") not in (None, self.name):
            taken.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Instance-Id: %s\r\nX-Request-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n"
                % (self.name.encode(), request_id.encode())
            )
            return True
        if self.ended:
            return False
        self.runs.append((time.monotonic(), request_id))
        self.record(f"{self.name} runs {request_id} ({method} {path})")
        return self.serve(taken, request_id, path, body)

    def head(self, request_id: str, *fields: str) -> bytes:
        """Return the head of a success."""
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Response-Signature: {self.name}.{request_id}",
            *fields,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def serve(self, taken, request_id, path, body) -> bool:
        """Work, then answer."""
        time.sleep(self.work_seconds)
        answer = f"{self.name} did {request_id}".encode()
        taken.sendall(
            self.head(request_id, f"Content-Length: {len(answer)}") + answer
        )
        return True


_request_numbers = iter(range(1, 1 << 30))


def new_id() -> str:
    """Return the id of a client's attempt."""
    return f"{os.getpid():06x}{next(_request_numbers):010x}"


def send(edge: Machine, record: Record, path: str, *, deadline=4000, body=b""):
    """Send a client's request; return its id, status, body and fields.

    The status is 0 if the connection ends without a complete answer.
    """
    request_id = new_id()
    record(f"client -> {edge.ip} {request_id} POST {path}")
    try:
        status, data, fields = call(
            edge.front,
            "POST",
            path,
            body,
            {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Request-Deadline": str(deadline),
                "X-Api-Key": KEY,
            },
            timeout=deadline / 1000 + 1,
        )
    except (OSError, http.client.HTTPException) as error:
        record(f"client <- {request_id} no answer ({type(error).__name__})")
        return request_id, 0, b"", {}
    signed = "signed" if fields.get("X-Response-Signature") else "unsigned"
    record(f"client <- {request_id} {status} {signed} {len(data)} bytes")
    return request_id, status, data, fields


def _give_up(record: Record) -> None:
    """End everything when the time is over."""
    record("could not run: the time is over")
    for fleet in _fleets:
        fleet.close()
    os._exit(NOT_RUN)


def main(case) -> None:
    """Run a case and exit with its result; TROUBLE=0 leaves trouble out."""
    script = pathlib.Path(sys.argv[0]).resolve()
    record = Record(script.parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    watchdog = threading.Timer(LIMIT_SECONDS, _give_up, args=(record,))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: _give_up(record))
    try:
        broken = case(record, trouble)
    except CannotRunError as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
        os._exit(NOT_RUN)
    text = "the rule was broken" if broken else "the rule held"
    record(text)
    print(text)
    os._exit(BROKEN if broken else HELD)
