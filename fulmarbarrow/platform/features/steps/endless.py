"""Steps on workers that send bytes without end, and a daemon's memory."""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import re
import socket
import struct
import subprocess
import sys
import threading
import time

import behave

from fulmarbarrow.platform.features import standin
from tools import fleet

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
TIME_LIMIT_MS = 30_000
SECOND_IP = "127.0.0.2"
# While a router's connections to a worker fail, it asks peers.
CONNECT_SECONDS = 0.3
START_SECONDS = 1.0
ACCEPTED_SECONDS = 5.0
# Faults after which a router sends a worker nothing but a probe at a time.
LEFT_AFTER = ("sends a head without end", "sends an event without end")
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")


class Link:
    """A proxy before a worker that can lose opening packets.

    While its queue of new connections is full, the kernel drops the opening
    packet of another one, which is sent again after a second.
    """

    def __init__(self, *, worker):
        self._worker = worker
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open = threading.Event()
        self._open.set()
        self._fillers = []
        threading.Thread(target=self._accept, daemon=True).start()

    def lose_openings(self):
        """Lose opening packets from now on."""
        self._open.clear()
        lost = 0
        while lost < 2:
            filler = socket.socket()
            filler.settimeout(0.05)
            refused = filler.connect_ex(self._listener.getsockname()) != 0
            lost = lost + 1 if refused else 0
            self._fillers.append(filler)

    def pass_openings(self):
        """Lose none any more."""
        fillers, self._fillers = self._fillers, []
        for filler in fillers:
            filler.close()
        # The relaying peer's connections come all at once.
        self._listener.listen(128)
        self._open.set()

    def _accept(self):
        while True:
            self._open.wait()
            taken, _ = self._listener.accept()
            threading.Thread(
                target=self._join, args=(taken,), daemon=True
            ).start()

    def _join(self, taken):
        host, _, port = self._worker.address.rpartition(":")
        onward = socket.create_connection((host, int(port)))
        for source, target in ((taken, onward), (onward, taken)):
            threading.Thread(
                target=pass_on, args=(source, target), daemon=True
            ).start()


def pass_on(source, target):
    """Pass bytes on, then the end of them: a regular one or a reset."""
    try:
        while data := source.recv(65536):
            target.sendall(data)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)
        return
    except OSError:
        reset = struct.pack("ii", 1, 0)
    for item in (source, target):
        with contextlib.suppress(OSError):
            item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            item.shutdown(socket.SHUT_RD)
        item.close()


def document(version):
    return {
        "Version": version,
        "Routes": [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "RouteType": kind,
                "TimeoutMs": TIME_LIMIT_MS,
                "TargetLatencyMs": 400,
                "Service": service,
                "MaxAttempts": 1,
            }
            for name, kind, service in (
                ("endless", "idempotent", "desk"),
                ("stream", "streaming", "desk"),
                ("order", "non_idempotent", "desk"),
                ("other", "idempotent", "other"),
            )
        ],
        "Services": [
            {"Name": name, "MaxConnections": 110} for name in ("desk", "other")
        ],
        "Tenants": [{"Name": "t1", "ApiKeys": [KEY]}],
    }


def peak_bytes(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(_PEAK.search(status).group(1)) << 10


def head(path, number):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: e{number}\r\nX-Api-Key: {KEY}\r\n"
        f"X-Request-Deadline: {TIME_LIMIT_MS}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@behave.given(
    'a configuration with time limits of 30 s, worker "{name}" and another '
    "service"
)
def step_configure(context, name):
    operators = context.daemon.operators
    body = json.dumps(document(3)).encode()
    fleet.wait_until(
        lambda: standin.call(operators, "PUT", "/v1/config", body)[0] == 200,
        "configured",
    )
    for worker_id, service in ((name, "desk"), ("i-other", "other")):
        worker = standin.Worker(worker_id=worker_id, service=service)
        worker.max_endless_bytes = 4 << 30
        worker.slots = 60
        context.workers[worker_id] = worker
    context.link = Link(worker=context.workers[name])
    for worker in context.workers.values():
        address = worker.address
        if worker.worker_id == name:
            address = context.link.address
        assert worker.beat(operators, Address=address, Slots=60) == 200
    context.router = context.daemon.clients
    fleet.wait_until(
        lambda: ask_other(context) == 200, "the other service answers"
    )


def ask_other(context):
    fields = {
        "Host": HOST,
        "X-Request-Id": f"o{time.monotonic_ns()}",
        "X-Api-Key": KEY,
        "X-Request-Deadline": "4000",
    }
    return standin.call(context.router, "POST", "/other/1", b"", fields)[0]


class SecondRouter:
    """A router without control, on an address of its own."""

    def __init__(self, *, folder, seed):
        ports = fleet.free_ports(4)
        self.clients, self.ready, metrics, peers = (
            f"{SECOND_IP}:{port}" for port in ports
        )
        self._log = folder / "second.log"
        self._settings = folder / "second.toml"
        text = (folder / "node.toml").read_text()
        for pattern, value in (
            (r"^id = .*$", f'id = "{SECOND_IP}"'),
            (r"^roles = .*$", 'roles = ["router"]'),
            (r"^data_dir = .*$", f'data_dir = "{folder / "second"}"'),
            (r"^callers = .*$", f'callers = "{self.clients}"'),
            (r"^ready = .*$", f'ready = "{self.ready}"'),
            (r"^operators = .*$\n", ""),
            (r"^metrics = .*$", f'metrics = "{metrics}"'),
            (r"^peers = .*$", f'peers = "{peers}"'),
            (r"^seeds = .*$", f"seeds = {json.dumps([seed])}"),
            (
                r"^\[timeouts\]$",
                f'[timeouts]\nconnect = "{int(CONNECT_SECONDS * 1000)}ms"',
            ),
        ):
            text, found = re.subn(pattern, value, text, flags=re.M)
            assert found, pattern
        self._settings.write_text(text)
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "fulmarbarrow.platform",
                    str(self._settings),
                ],
                stdout=output,
                stderr=output,
            )

    def kill(self):
        fleet.stop_process(self.process)

    def is_ready(self):
        return fleet.fetch(f"http://{self.ready}/v1/ready")[0] == 200


@behave.given("a second router that the daemon relays for")
def step_second(context):
    context.second = SecondRouter(
        folder=context.path, seed=context.daemon.peers
    )
    context.processes.append(context.second)
    fleet.wait_until(context.second.is_ready, "the second router is ready")
    context.router = context.second.clients
    fleet.wait_until(
        lambda: ask_other(context) == 200, "the second router serves"
    )
    time.sleep(1)  # it has heard of the daemon


def send_all(context, count, name, fault):
    """Open the clients' connections and send their requests."""
    context.workers[name].fault(fault, count)
    host, _, port = context.router.rpartition(":")
    path = "/stream/1" if "event" in fault else "/endless/1"
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        sent = [
            pool.submit(send, (host, int(port)), path, number)
            for number in range(count)
        ]
    return [item.result() for item in sent]


def send(address, path, number):
    """Send a request until it is not refused; return its connection."""
    until = time.monotonic() + ACCEPTED_SECONDS
    for attempt in itertools.count():
        client = socket.create_connection(address)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sendall(head(path, f"{number}-{attempt}"))
        client.settimeout(START_SECONDS)
        start = b""
        with contextlib.suppress(TimeoutError):
            start = client.recv(16, socket.MSG_PEEK)
        # A worker that was found faulty gets no more requests.
        if b" 503 " not in start or time.monotonic() >= until:
            break
        client.close()
        time.sleep(0.1)
    client.settimeout(None)
    return client


def read_all(client):
    with contextlib.suppress(OSError):
        while client.recv(1 << 16):
            pass


def watch(context, clients, seconds, silent):
    """Read all but some clients' answers, and ask for the other service."""
    for client in clients[silent:]:
        threading.Thread(target=read_all, args=(client,), daemon=True).start()
    until = time.monotonic() + seconds
    context.others = []
    while time.monotonic() < until:
        context.others.append(ask_other(context))
        time.sleep(0.1)
    for client in clients:
        client.close()
    context.runs = sum(context.workers["i-1"].runs.values())


def check_reached(context, count, fault):
    """Check that the fault has struck; a faulty head has the worker left."""
    least = 1 if fault in LEFT_AFTER else count // 6
    assert context.runs >= least, context.runs


@behave.when(
    '{count:d} clients ask worker "{name}" for {seconds:d} s, {silent:d} '
    "don't read, and it {fault}"
)
def step_endless(context, count, name, seconds, silent, fault):
    clients = send_all(context, count, name, fault)
    watch(context, clients, seconds, silent)
    check_reached(context, count, fault)


@behave.when(
    '{count:d} clients ask worker "{name}" for {seconds:d} s by way of the '
    "daemon, {silent:d} don't read, and it {fault}"
)
def step_endless_relayed(context, count, name, seconds, silent, fault):
    context.link.lose_openings()
    threading.Timer(CONNECT_SECONDS / 2, context.link.pass_openings).start()
    clients = send_all(context, count, name, fault)
    watch(context, clients, seconds, silent)
    check_reached(context, count, fault)


@behave.when(
    'a client uploads {size:d} MB to worker "{name}" by way of the daemon, '
    "and it {fault}"
)
def step_upload_relayed(context, size, name, fault):
    context.workers[name].fault(fault)
    ask_relayed(context, "/endless/1", b"x" * (size << 20))


@behave.when("a client asks for a stream by way of the daemon")
def step_stream_relayed(context):
    ask_relayed(context, "/stream/1")


@behave.when(
    "a client sends an order by way of the daemon, and its worker {fault}"
)
def step_order_relayed(context, fault):
    context.workers["i-1"].fault(fault)
    ask_relayed(context, "/order/1")


def ask_relayed(context, path, body=b""):
    """Ask the second router, which can't connect to the worker itself."""
    context.link.lose_openings()
    timer = threading.Timer(CONNECT_SECONDS / 2, context.link.pass_openings)
    timer.start()
    context.request_id = "u1"
    fields = {
        "Host": HOST,
        "X-Request-Id": context.request_id,
        "X-Api-Key": KEY,
        "X-Request-Deadline": "4000",
    }
    context.answer = standin.call(context.router, "POST", path, body, fields)


@behave.then("the daemon relayed it")
def step_relayed_one(context):
    page = standin.fetch_text(f"http://{context.daemon.metrics}/metrics")
    found = re.search(r"^fulmarbarrow_relays_opened\S* (\d+)", page, re.M)
    assert found and int(found.group(1)) >= 1, found


@behave.then("the daemon relayed for them")
def step_relayed(context):
    page = standin.fetch_text(f"http://{context.daemon.metrics}/metrics")
    found = re.search(r"^fulmarbarrow_relays_opened\S* (\d+)", page, re.M)
    assert found and int(found.group(1)) >= 12, found


@behave.then("the daemon's memory peaked below {most:d} MB")
def step_peak(context, most):
    peak = peak_bytes(context.daemon.process)
    assert peak < most << 20, peak


@behave.then(
    "the memory of the daemon and of the second router peaked below "
    "{most:d} MB"
)
def step_peaks(context, most):
    for process in (context.daemon.process, context.second.process):
        peak = peak_bytes(process)
        assert peak < most << 20, peak


@behave.then("the other service answered all of its clients")
def step_others(context):
    assert len(context.others) > 10, len(context.others)
    assert set(context.others) == {200}, context.others


@behave.then("within {seconds:d} s the worker's connections are closed")
def step_cut_off(context, seconds):
    def closed():
        return context.workers["i-1"].closed_on >= context.runs

    until = time.monotonic() + seconds
    while not closed():
        assert time.monotonic() < until, context.workers["i-1"].closed_on
        time.sleep(0.05)
