"""The peer that relays an answer without a length is killed midway."""

from __future__ import annotations

import socket
import threading
import time

import harness

EDGES = 7  # one of them is within the share of 0.16
METRICS_PORT = 9464  # as in the deploy file
PIECES = 30
PIECE = b"0123456789abcdef" * 8
PAUSE_SECONDS = 0.1
ROUNDS = 2
WORK_SECONDS = 1.0  # of the answer, when the relaying process is killed


class UnframedWorker(harness.Worker):
    """Answers without a length and ends the answer with its connection."""

    def serve(self, taken, request_id, path, body):
        """Answer piece by piece."""
        taken.sendall(
            self.head(
                request_id,
                "Content-Type: application/octet-stream",
                "Connection: close",
            )
        )
        for _ in range(PIECES):
            taken.sendall(PIECE)
            time.sleep(PAUSE_SECONDS)
        self.record(f"{self.name} sent all of {request_id}")
        return False


class Link:
    """The network before a worker: a proxy that can lose opening packets.

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
        refused = 0
        while refused < 2:
            # The first one may make room in the queue once it is accepted.
            filler = socket.socket()
            filler.settimeout(0.05)
            lost = filler.connect_ex(self._listener.getsockname()) != 0
            refused = refused + 1 if lost else 0
            self._fillers.append(filler)

    def pass_openings(self):
        """Lose none any more."""
        fillers, self._fillers = self._fillers, []
        for filler in fillers:
            filler.close()
        self._open.set()

    def _accept(self):
        while True:
            self._open.wait()
            taken, _ = self._listener.accept()
            threading.Thread(
                target=self._join, args=(taken,), daemon=True
            ).start()

    def _join(self, taken):
        host, _, port = self._worker.own_address.rpartition(":")
        try:
            onward = socket.create_connection((host, int(port)))
        except OSError:
            taken.close()
            return
        for source, target in ((taken, onward), (onward, taken)):
            threading.Thread(
                target=_pass_on, args=(source, target), daemon=True
            ).start()


def _pass_on(source, target):
    try:
        while data := source.recv(65536):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        for item in (source, target):
            item.close()


def case(record, trouble):
    """Run the case; return whether the rule was broken."""
    fleet = harness.Fleet(record=record, cores=1, edges=EDGES, losses=0)
    operator = harness.Operator(fleet=fleet, record=record)
    worker = UnframedWorker(
        record=record, name="i-unframed", service="die-register"
    )
    link = Link(worker=worker)
    worker.address = link.address
    taking = fleet.edges[0]
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
        broken = 0
        for number in range(ROUNDS):
            harness.wait_until(
                lambda: all(edge.is_ready() for edge in fleet.edges),
                "edges ready",
            )
            time.sleep(5.0)  # the peers know each other and the worker
            broken += _round(fleet, link, worker, taking, trouble)
            if number + 1 < ROUNDS:
                for edge in fleet.edges:
                    if edge.process.poll() is not None:
                        edge.start()
        record(f"{broken} of {ROUNDS} answers were cut and look complete")
        return broken > 0
    finally:
        fleet.close()


def _relays(edge):
    """Return how many connections a router has relayed."""
    address = f"{edge.ip}:{METRICS_PORT}"
    page = harness.call(address, "GET", "/metrics")[1].decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in page.splitlines()
        if "relays_opened" in line and not line.startswith("#")
    )


def _round(fleet, link, worker, taking, trouble):
    """Return whether a success with a part of the body reached the client."""
    record = fleet.record
    earlier = {edge.ip: _relays(edge) for edge in fleet.edges}
    answer = []
    link.lose_openings()
    client = threading.Thread(
        target=lambda: answer.extend(
            harness.send(taking, record, "/order/1", deadline=12000)
        )
    )
    before = len(worker.runs)
    client.start()
    time.sleep(0.12)
    link.pass_openings()
    until = time.monotonic() + 3
    while len(worker.runs) == before and time.monotonic() < until:
        time.sleep(0.01)
    time.sleep(WORK_SECONDS)
    relaying = [
        edge for edge in fleet.edges if _relays(edge) > earlier[edge.ip]
    ]
    if len(relaying) != 1 or relaying[0] is taking:
        raise harness.CannotRunError("no peer relays the request")
    record(f"{relaying[0].ip} relays it")
    if trouble:
        record(f"{relaying[0].ip} is killed")
        relaying[0].kill()
    client.join()
    _, status, body, fields = answer
    if len(worker.runs) == before:
        record("the request reached no worker")
    return (
        status == 200
        and "X-Response-Signature" in fields
        and body != PIECE * PIECES
    )


def _beat(worker, core):
    while True:
        worker.beat(core)
        time.sleep(1.2)


harness.main(case)
