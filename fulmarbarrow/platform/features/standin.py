"""A stand-in worker and operator that speak the platform's protocol."""

from __future__ import annotations

import collections
import http.client
import http.server
import itertools
import json
import re
import socket
import struct
import threading
import time
import urllib.request

WAIT_SECONDS = 10.0
MAX_ENDLESS_BYTES = 64 << 20
_PIECE = b"x" * (16 << 10)
# An event, but for its id.
_EVENTS = b"data: %s\n\n" % _PIECE
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What goes before the bytes without end, and these; the answer's own fields
# stand between the two parts of the start.
_ENDLESS = {
    "sends a head without end": ((_OK, b"X-Endless: "), _PIECE),
    "sends fields without end": ((_OK, b""), b"X-Endless: 1\r\n" * 1000),
    "sends informational heads without end": (
        None,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500,
    ),
    "sends a chunk size without end": ((_OK, _CHUNKED), b"0" * (16 << 10)),
    "sends an event without end": (
        (_OK, _CHUNKED),
        b"%x\r\n%s\r\n" % (len(_PIECE), _PIECE),
    ),
    "sends trailers without end": (
        (_OK, _CHUNKED + b"0\r\n"),
        b"X-Endless: 1\r\n" * 1000,
    ),
    "sends noise without end": (None, _PIECE),
    "sends a body without end": ((_OK, b"Connection: close\r\n\r\n"), _PIECE),
    "sends chunks without end": (
        (_OK, _CHUNKED),
        b"%x\r\n%s\r\n" % (len(_PIECE), _PIECE),
    ),
    "sends events without end": (
        (_OK, b"Connection: close\r\n\r\n"),
        _EVENTS,
    ),
}

# Faults that strike before a request's body is read.
_EARLY = (
    "answers a part and resets",
    "answers a part and ends",
    "answers a part and ends unread",
    "answers with status 000",
)
_AFTER_RUN = re.compile(
    r"answers (?P<status>\d+) (?P<signed>un)?signed after its run"
)
# Streams with neither a length nor chunks.
_UNFRAMED = (
    "ends its connection after the last event",
    "ends its connection before the first event",
    "ends its connection inside an event",
)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    repeats = False

    def log_message(self, *_):
        pass

    def do_POST(self):  # noqa: N802
        fault = self.server.worker.take_fault()
        if fault in _EARLY:
            self._answer_early(fault)
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self._serve(fault)

    def _answer_early(self, fault):
        """Answer in part, without a length, before the body is read."""
        self.close_connection = True
        worker = self.server.worker
        request_id = self.headers["X-Request-Id"]
        worker.runs[request_id] += 1
        own = f"X-Request-Id: {request_id}\r\nX-Response-Signature: s\r\n"
        if fault == "answers with status 000":
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            head = b"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n"
            self.wfile.write(head + own.encode() + b"\r\npart")
            return
        head = _OK + b"Content-Type: a/b\r\nConnection: close\r\n"
        self.wfile.write(head + own.encode() + b"\r\npart")
        if fault == "answers a part and resets":
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.connection.close()
        elif fault == "answers a part and ends":
            self.connection.shutdown(socket.SHUT_WR)
            time.sleep(worker.silence)

    def do_GET(self):  # noqa: N802
        self._serve(self.server.worker.take_fault())

    def _serve(self, fault):
        worker = self.server.worker
        request_id = self.headers["X-Request-Id"]
        worker.seen.append(dict(self.headers))
        worker.arrivals.append(time.monotonic())
        if self.headers.get("X-Expected-Instance") != worker.worker_id:
            misdirected = [
                ("X-Instance-Id", worker.worker_id),
                ("X-Request-Id", request_id),
            ]
            self._answer(421, misdirected)
            return
        if worker.turns_away():
            refusal = [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]
            self._answer(503, refusal)
            return
        if fault == "refuses" or fault == "repeats its refusal":
            refusal = [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]
            self._answer(503, refusal)
            self.repeats = fault == "repeats its refusal"
            return
        worker.runs[request_id] += 1
        if fault == "writes an earlier refusal":
            self._answer(503, [("X-Not-Executed", "1")])
            return
        if fault == "stops inside its head":
            own = f"X-Request-Id: {request_id}\r\nX-Response-Signature: s"
            self.wfile.write(_OK + own.encode() + b"\r\nContent-Le")
            self.close_connection = True
            return
        if self.repeats:
            # The second copy comes where the next answer is expected.
            self._answer(503, [("X-Not-Executed", "1")])
            self.repeats = False
        if fault == "resets":
            self.close_connection = True
            self.connection.close()
            return
        time.sleep(worker.work)
        if fault == "is silent":
            time.sleep(worker.silence)
        if fault == "answers for another":
            request_id = "another"
        fields = [
            ("X-Request-Id", request_id),
            ("X-Response-Signature", f"s-{request_id}"),
        ]
        if fault in _ENDLESS:
            self._send_endless(fields, *_ENDLESS[fault])
        elif fault == "fails":
            self._answer(500, fields, b"failed")
        elif found := _AFTER_RUN.fullmatch(fault):
            del fields[1 if found["signed"] else 2 :]
            self._answer(int(found["status"]), fields, b"failed")
        elif "stream" in self.path:
            self._stream(fields, fault)
        else:
            self._answer(200, fields, f"by {worker.worker_id}".encode())
            if fault == "sends more":
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1")
                self.wfile.write(b"\r\n\r\nx")

    def _answer(self, status, fields, body=b""):
        self.send_response(status)
        if self.server.worker.limit:
            self.send_header("Server-Limit", self.server.worker.limit)
        for name, value in self.server.worker.told:
            self.send_header(name, value)
        if self.server.worker.bears is not None:
            self.send_header("Server-Brittle", str(self.server.worker.bears))
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _send_endless(self, fields, start, piece):
        """Send bytes until the other end closes the connection."""
        worker = self.server.worker
        self.close_connection = True
        if start is not None:
            kind = "text/event-stream" if "stream" in self.path else "a/b"
            lines = [*fields, ("Content-Type", kind)]
            own = "".join(f"{name}: {value}\r\n" for name, value in lines)
            self.wfile.write(start[0] + own.encode() + start[1])
        try:
            for number in itertools.count(1):
                if worker.endless_bytes >= worker.max_endless_bytes:
                    break
                if piece is _EVENTS:
                    self.wfile.write(b"id: %d\n" % number)
                self.wfile.write(piece)
                worker.endless_bytes += len(piece)
        except OSError:
            worker.closed_on += 1

    def _stream(self, fields, fault):
        worker = self.server.worker
        self.send_response(200)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        unframed = fault in _UNFRAMED
        if unframed:
            self.send_header("Connection", "close")
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.close_connection = self.close_connection or unframed
        if fault == "ends its connection before the first event":
            return
        for index, number in enumerate(self._ids(fault)):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if index == 2 and fault == "cuts":
                self.wfile.write(b"20\r\nid: 9")
                self.wfile.flush()
                self.close_connection = True
                self.connection.close()
                return
            if index == 2 and fault.endswith("inside an event"):
                self._send_part(event[: worker.cut_bytes], unframed)
                break
            self._send_part(event, unframed)
            time.sleep(worker.pause)
        if not unframed:
            self.wfile.write(b"0\r\n\r\n")

    def _ids(self, fault):
        """Return the ids of the events that a stream has from here on."""
        ids = self.server.worker.event_ids
        after = self.headers.get("Last-Event-Id")
        if after is None or fault == "starts over":
            return ids
        return [number for number in ids if number > int(after)]

    def _send_part(self, data, unframed):
        if not unframed:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.wfile.write(data)
        self.wfile.flush()


class Worker:
    """One worker; each fault given to it strikes one request."""

    def __init__(self, *, worker_id, service, model=""):
        self.worker_id = worker_id
        self.service = service
        self.model = model
        self.event_ids = range(1, 7)
        self.pause = 0.01
        self.cut_bytes = 8  # of an event in which a stream ends
        self.silence = 3.0
        self.work = 0.0
        self.runs = collections.Counter()
        self.seen = []
        self.told = []  # fields that its answers have besides
        self.limit = ""  # requests a second that its answers name
        self.arrivals = []
        self.bears = None  # refusals a second above which it falls over
        self.full = False
        self.refusals = []
        self.endless_bytes = 0
        self.max_endless_bytes = MAX_ENDLESS_BYTES
        self.closed_on = 0  # connections closed on bytes without end
        self._faults = collections.deque()
        self._sequence = 0
        self._born = int(time.time() * 1000) - 60_000
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _Handler
        )
        self._server.daemon_threads = True
        self._server.worker = self
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def fault(self, name, count=1):
        """Let the next requests meet a fault."""
        self._faults.extend([name] * count)

    def turns_away(self):
        """Return whether there is no room, and count the refusal."""
        if self.full:
            self.refusals.append(time.monotonic())
        return self.full

    def take_fault(self):
        """Return the fault of the request that has just come."""
        return self._faults.popleft() if self._faults else ""

    def beat(self, operators, state="ready", **changes):
        """Send a heartbeat; return the status of its answer."""
        self._sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "attica-a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born,
            **changes,
        }
        if self.model:
            body["Models"] = [{"Name": self.model, "Version": 1}]
        path = f"/v1/instances/{self.worker_id}"
        return call(operators, "PUT", path, json.dumps(body).encode())[0]

    def close(self):
        """Stop to serve."""
        self._server.shutdown()
        self._server.server_close()


def call(address, method, path, body=b"", headers=None):
    """Make a call; return its status, body and header fields."""
    connection = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        try:
            data = answer.read()
        except http.client.IncompleteRead as error:
            return "cut", error.partial, dict(answer.headers)
        return answer.status, data, dict(answer.headers)
    finally:
        connection.close()


def fetch_text(url):
    """Return the text at a URL."""
    with urllib.request.urlopen(url, timeout=WAIT_SECONDS) as answer:
        return answer.read().decode()
