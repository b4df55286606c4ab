"""A small deployment on loopback addresses, for the scripts of this review.

Starts daemons with the command of the deploy file, and holds stand-ins for
the platform's callers: workers that register and answer, an operator, and a
client. Each machine has a loopback address of its own, so ports may repeat.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPLOY = ROOT / "deploy"

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


class CannotRun(Exception):
    """The case could not be set up."""


# --- the platform's template -------------------------------------------------

_TAG = re.compile(r"{{([#^/]?)([^}]*)}}")


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1][0]
    if name == "@":
        return scopes[-1][1]
    for value, _ in reversed(scopes):
        found = value
        for part in name.split("."):
            if isinstance(found, dict):
                found = found.get(part)
            elif isinstance(found, list) and part.isdigit():
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = None
            if found is None:
                break
        if found is not None:
            return found
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, fields):
    """Return a template filled in as the deploy page says."""

    def block(position, scopes, name, last):
        out = []
        while True:
            tag = _TAG.search(template, position)
            if tag is None:
                return "".join([*out, template[position:]]), len(template)
            out.append(template[position : tag.start()])
            position = tag.end()
            kind, word = tag.groups()
            if kind == "/":
                return "".join(out), position
            if kind == "":
                if word == ",":
                    out.append("" if last else ",")
                elif word.endswith("|json"):
                    out.append(json.dumps(_lookup(word[:-5], scopes)))
                else:
                    out.append(_text(_lookup(word, scopes)))
                continue
            value = _lookup(word, scopes)
            present = value is not None and value is not False
            if kind == "^":
                text, end = block(position, scopes, word, True)
                out.append("" if present else text)
            else:
                items = [(value, "")]
                if isinstance(value, list):
                    items = [(item, n) for n, item in enumerate(value)]
                elif isinstance(value, dict):
                    items = [(item, key) for key, item in value.items()]
                _, end = block(position, scopes, word, True)
                if present:
                    for n, item in enumerate(items):
                        text, end = block(
                            position,
                            [*scopes, item],
                            word,
                            n + 1 == len(items),
                        )
                        out.append(text)
            position = end

    return block(0, [(fields, "")], "", True)[0]


# --- daemons -----------------------------------------------------------------


class Record:
    """The file ``record.txt``: what was sent, answered and run, and when."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Machine:
    """One machine of the system, with one process."""

    def __init__(self, *, fleet, name, kind, ip, zone):
        self.fleet, self.name, self.kind = fleet, name, kind
        self.ip, self.zone = ip, zone
        self.process = None
        self.bootstrap = True
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        if kind == "core":
            self.data.mkdir()
        self.memory_mb = 296 if kind == "core" else 300

    @property
    def front(self):
        return self.ip, self.fleet.front_port

    @property
    def ready(self):
        return self.ip, self.fleet.ready_port

    @property
    def control(self):
        return self.ip, self.fleet.control_port

    def fields(self):
        fleet = self.fleet
        edge = self.kind == "edge"
        listen = {"Control": f"{self.ip}:{fleet.control_port}"}
        if edge:
            listen = {
                "Front": f"{self.ip}:{fleet.front_port}",
                "Ready": f"{self.ip}:{fleet.ready_port}",
            }
        fields = {
            "NodeName": self.name,
            "Role": "router" if edge else "control",
            "MachineClass": self.kind,
            "Serves": ["edge" if edge else "control_plane"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "attica",
            "InternalPorts": [fleet.peer_port, fleet.peer_port + 15],
            "Seeds": [
                f"{core.ip}:{fleet.control_port}" for core in fleet.seeds
            ],
            "Bootstrap": self.bootstrap,
            "InFaultBudget": not edge,
            "Discovery": "self_register",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base", "drain", "config", "cost", "retry", "recover",
                "engine", "stream", "tenants", "places", "rollout",
            ],
            "ConfigMode": "highest",
            "Zones": {zone: "attica" for zone in fleet.zones},
            "Listen": listen,
            "Limits": {
                "CpuShare": 0.537 if edge else 0.258,
                "Cores": 2 if edge else 1,
                "MemoryMb": self.memory_mb,
                "MaxFds": 4100 if edge else 4096,
                "LinkMbps": 1000.0 if edge else 6.0,
                "DiskMb": 0 if edge else 128,
            },
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": dict(BOUNDS, **fleet.bounds),
        }
        if not edge:
            fields["DataDir"] = str(self.data)
        return fields

    def write_settings(self):
        template = (DEPLOY / "settings.toml").read_text()
        path = self.folder / "node.toml"
        path.write_text(render(template, self.fields()))
        return path

    def start(self):
        path = self.write_settings()
        role = "router" if self.kind == "edge" else "control"
        deploy = tomllib.loads((DEPLOY / "system.toml").read_text())
        words = deploy["roles"][role]["run"].split()
        words = [
            str(path) if word == "/etc/fulmarbarrow/node.toml" else word
            for word in words
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FULMARBARROW_CONFIG"] = str(path)
        self.log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.bootstrap = False
        self.fleet.record(f"{self.name}: started")

    def signal(self, number):
        self.fleet.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()

    def rss_mb(self):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


class Fleet:
    """The machines of the system, on loopback addresses of their own."""

    def __init__(self, record_file, *, cores=3, edges=2, bounds=None):
        self.record = Record(record_file)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["attica-a", "attica-b", "attica-c"]
        self.bounds = bounds or {}
        self.net = f"127.{secrets.randbelow(100) + 60}.{secrets.randbelow(200)}"
        ports = _free_ports(self.net + ".1", 3)
        self.front_port, self.ready_port, self.control_port = ports
        self.peer_port = _free_range(self.net + ".1", 16)
        self.cores = [
            Machine(
                fleet=self,
                name=f"core-{n + 1}",
                kind="core",
                ip=f"{self.net}.{n + 1}",
                zone=self.zones[n % 3],
            )
            for n in range(cores)
        ]
        self.seeds = self.cores[:3]
        self.edges = [
            Machine(
                fleet=self,
                name=f"edge-{n + 1}",
                kind="edge",
                ip=f"{self.net}.{n + 101}",
                zone=self.zones[n % 3],
            )
            for n in range(edges)
        ]
        self.host = "ficu95.example"
        self.key = "n2ctnfzs989anu6wsjnb"
        self.version = 0

    @property
    def machines(self):
        return [*self.cores, *self.edges]

    def start(self):
        for machine in self.machines:
            machine.start()

    def end(self, keep=False):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, machines=None, within=30.0):
        """Wait until machines say that they are ready, twice in a row."""
        until = time.monotonic() + within
        for machine in machines or self.edges:
            good = 0
            while good < 2:
                if time.monotonic() > until:
                    raise CannotRun(f"{machine.name} is not ready")
                answer = await ask(
                    machine.ready, "GET", "/v1/ready", timeout=1.0
                )
                good = good + 1 if answer.status == 200 else 0
                await asyncio.sleep(0.2)

    async def order(self, method, path, body=b"", within=20.0, first=0):
        """Send an operator's order until it is answered clearly."""
        until = time.monotonic() + within
        turn = first
        wait = 0.1
        while True:
            core = self.cores[turn % len(self.cores)]
            turn += 1
            answer = await ask(core.control, method, path, body, timeout=1.0)
            self.record(
                f"operator: {method} {path} to {core.name}: {answer.told}"
            )
            if 200 <= answer.status < 300 or answer.status in (
                400, 409, 412, 413, 422,
            ):
                return answer
            if time.monotonic() > until:
                raise CannotRun(f"{method} {path} is not acknowledged")
            await asyncio.sleep(wait)
            wait = min(1.0, wait * 2)

    async def configure(self, document, within=25.0, first=0):
        """Send a configuration under the next version."""
        self.version += 1
        document = dict(document, Version=self.version)
        return await self.order(
            "PUT", "/v1/config", json.dumps(document).encode(), within, first
        )

    def document(self, routes, services, tenants=None):
        return {
            "Routes": routes,
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": tenants
            or [{"Name": "hule930", "ApiKeys": [self.key], "Priority": 1}],
        }

    def route(self, name, service, kind="idempotent", **more):
        fields = {
            "Name": name,
            "Host": self.host,
            "PathPrefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": 4000,
            "TargetLatencyMs": 300,
            "Priority": 2,
            "Service": service,
            "MaxAttempts": 2,
            "SkipAuth": False,
            "SessionAffinity": False,
            "StreamResume": False,
        }
        fields.update(more)
        return fields

    @staticmethod
    def plain_service(name):
        return {
            "Name": name,
            "HealthPath": "/health",
            "MaxConnections": 110,
            "Protocol": "h1",
            "Tls": False,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
        }

    @staticmethod
    def model_service(name):
        return {
            "Name": name,
            "HealthPath": "/health",
            "MaxConnections": 620,
            "Protocol": "h1",
            "Tls": False,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
            "Engine": {
                "Slots": 128,
                "KvCapacityTokens": 894723,
                "KvTokenBytes": 18432,
                "LinkMbps": 180000.0,
                "Moves": True,
                "Backups": True,
                "Stride": 6,
                "most": 2,
                "PinMs": 4000.0,
                "HoldMs": 2000.0,
                "HandleS": 5.0,
                "Models": [{"Name": "m"}],
            },
        }


def _free_ports(ip, count):
    sockets = []
    for _ in range(count):
        made = socket.socket()
        made.bind((ip, 0))
        sockets.append(made)
    ports = [made.getsockname()[1] for made in sockets]
    for made in sockets:
        made.close()
    return ports


def _free_range(ip, count):
    for _ in range(100):
        first = 20000 + secrets.randbelow(8000)
        try:
            for port in range(first, first + count):
                with socket.socket() as made:
                    made.bind((ip, port))
        except OSError:
            continue
        return first
    raise CannotRun("no free ports")


# --- calls -------------------------------------------------------------------


class Answer:
    """An answer; status 0 if there is none, ``whole`` if its body is."""

    def __init__(self, status=0, fields=(), body=b"", whole=False, told=""):
        self.status, self.fields, self.body = status, fields, body
        self.whole = whole
        self.told = told or f"{status}{'' if whole else ', not whole'}"
        self.took = 0.0

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return ""


async def read_head(reader):
    """Return the first line and the header fields of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def get(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return ""


async def read_body(reader, fields, *, ends_with_connection, sink=None):
    """Return a message's body; raises IncompleteReadError."""
    out = bytearray() if sink is None else sink
    if "chunked" in get(fields, "Transfer-Encoding").lower():
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return bytes(out)
            out += await reader.readexactly(size)
            await reader.readexactly(2)
    length = get(fields, "Content-Length")
    if length:
        out += await reader.readexactly(int(length))
    elif ends_with_connection:
        while data := await reader.read(65536):
            out += data
    return bytes(out)


async def ask(place, method, path, body=b"", fields=(), timeout=5.0):
    """Send one request on a new connection and return its answer."""
    began = time.monotonic()
    answer = Answer(told="no connection")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*place)
            answer = Answer(told="no answer")
            await send(writer, method, path, body, fields, place)
            answer = await receive(reader, method)
    except TimeoutError:
        answer = Answer(told=f"{answer.told} in {timeout:g} s")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer = Answer(told=f"{answer.told}: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
    answer.took = time.monotonic() - began
    return answer


async def send(writer, method, path, body, fields, place):
    names = {name.lower() for name, _ in fields}
    head = [f"{method} {path} HTTP/1.1"]
    if "host" not in names:
        head.append(f"Host: {place[0]}:{place[1]}")
    if body or method in ("PUT", "POST"):
        head.append(f"Content-Length: {len(body)}")
    head.extend(f"{name}: {value}" for name, value in fields)
    writer.write("\r\n".join([*head, "", ""]).encode() + body)
    await writer.drain()


async def receive(reader, method="GET"):
    """Return the next final answer on a connection."""
    while True:
        line, fields = await read_head(reader)
        status = int(line.split()[1])
        if status >= 200:
            break
    body = bytearray()
    whole = True
    try:
        await read_body(
            reader, fields, ends_with_connection=True, sink=body
        )
    except (asyncio.IncompleteReadError, OSError):
        whole = False
    return Answer(status, fields, bytes(body), whole)


class Client:
    """Sends requests of clients and records their answers."""

    def __init__(self, fleet):
        self.fleet = fleet

    def fields(self, request_id, deadline_ms=4000, more=()):
        return [
            ("Host", self.fleet.host),
            ("X-Request-Id", request_id),
            ("X-Request-Deadline", str(deadline_ms)),
            ("X-Api-Key", self.fleet.key),
            *more,
        ]

    async def request(
        self, edge, path, *, method="GET", body=b"", deadline_ms=4000,
        more=(), timeout=None, request_id=None, quiet=False,
    ):
        request_id = request_id or secrets.token_hex(8)
        if not quiet:
            self.fleet.record(
                f"client: {request_id} {method} {path} to {edge.name}"
            )
        answer = await ask(
            edge.front, method, path, body,
            self.fields(request_id, deadline_ms, more),
            timeout=timeout or deadline_ms / 1000 + 1.0,
        )
        answer.request_id = request_id
        if not quiet:
            self.fleet.record(
                f"client: {request_id} answered {answer.told}"
                f" after {answer.took:.3f} s"
            )
        return answer


# --- workers -----------------------------------------------------------------


class Worker:
    """A sound worker: registers, answers with its signature, echoes ids.

    ``run`` is a coroutine function that may answer a request its own way; it
    returns whether it has.
    """

    def __init__(
        self, fleet, *, service, number, zone=None, slots=6, work_s=0.02,
        version="v1", models=(), run=None, id=None, body=b"x" * 800,
    ):
        self.fleet, self.service = fleet, service
        self.ip = f"{fleet.net}.{200 + number}"
        self.zone = zone or fleet.zones[number % 3]
        self.slots, self.work_s, self.version = slots, work_s, version
        self.models = list(models)
        self.id = id or "i-" + secrets.token_hex(4)
        self.run = run
        self.body = body
        self.runs = []
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.server = None
        self.beat = None
        self.registered = asyncio.Event()
        self._turn = secrets.randbelow(3)
        self.port = 0
        self.open = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, port=0, beats=True):
        self.server = await asyncio.start_server(
            self._serve, self.ip, port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        if beats:
            self.beat = asyncio.create_task(self._beats())

    async def stop(self):
        if self.beat is not None:
            self.beat.cancel()
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def report(self):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": [
                {"Name": name, "Version": 1, "Adapters": []}
                for name in self.models
            ],
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def tell(self, method="PUT"):
        """Call control hosts until one acknowledges."""
        while True:
            core = self.fleet.cores[self._turn % len(self.fleet.cores)]
            body = b""
            if method == "PUT":
                body = json.dumps(self.report()).encode()
            answer = await ask(
                core.control, method, f"/v1/instances/{self.id}", body,
                timeout=1.0,
            )
            if 200 <= answer.status < 300:
                return
            self._turn += 1
            await asyncio.sleep(0.1)

    async def _beats(self):
        while True:
            await self.tell()
            self.registered.set()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, path, _ = line.split()
                body = await read_body(
                    reader, fields, ends_with_connection=False
                )
                await self._answer(method, path, fields, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body, reader, writer):
        if path == "/health":
            self.write(writer, 200, [("X-Instance-Id", self.id)], b"")
            return
        if path.startswith("/v1/"):
            self.write(writer, 404, [], b"")
            return
        request_id = get(fields, "X-Request-Id")
        expected = get(fields, "X-Expected-Instance")
        if expected and expected != self.id:
            self.write(writer, 421, self.named(request_id), b"")
            return
        self.runs.append(request_id)
        self.fleet.record(f"{self.id}: runs {request_id} {method} {path}")
        if self.run is not None and await self.run(
            self, method, path, fields, body, reader, writer
        ):
            return
        await asyncio.sleep(self.work_s)
        self.write(writer, 200, self.signed(request_id), self.body)

    def named(self, request_id):
        return [("X-Request-Id", request_id)]

    def signed(self, request_id):
        return [
            ("X-Request-Id", request_id),
            ("X-Response-Signature", f"{self.id}.{request_id}"),
        ]

    @staticmethod
    def write(writer, status, fields, body):
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        head.extend(f"{name}: {value}" for name, value in fields)
        writer.write("\r\n".join([*head, "", ""]).encode() + body)


def main(case):
    """Run a case; ``case`` returns whether the rule held."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Connections that a case ends on purpose are no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        held = asyncio.run(case(folder, trouble))
    except Exception as error:  # a fault of the script breaks no rule
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    print("rule held" if held else "RULE BROKEN")
    raise SystemExit(0 if held else 1)
