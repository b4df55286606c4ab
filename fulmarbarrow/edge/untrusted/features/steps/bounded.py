"""Steps about crowds of clients before a daemon's real process."""

from __future__ import annotations

import json
import pathlib

import behave

from tools import crowd as crowds
from tools import fleet

OFFICE = pathlib.Path("examples/office").resolve()
KEY = "demo-key-volos"
HEADERS = {"Authorization": f"Bearer {KEY}"}
MIB = 1 << 20
HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: example\r\n"
    b"Authorization: Bearer demo-key-volos\r\n"
)
ANNOUNCE_HEAD = (
    b"POST /v1/announce HTTP/1.1\r\nHost: example\r\n"
    b"Authorization: Bearer %b\r\n" % fleet.UPSTREAM_KEY.encode()
)


def start_router(context, limits):
    context.daemon = fleet.DaemonProcess(
        folder=context.path,
        daemon_id="entry-1",
        zone="attica-a",
        roles=("router", "control"),
        more=f"[limits]\n{limits}\n",
    )
    context.processes.append(context.daemon)
    context.daemon.start()
    engine = fleet.StandinProcess(
        folder=context.path,
        kind="engine",
        upstream_id="engine-1",
        zone="attica-a",
        offers="consultations/lacework/1",
        entries=(context.daemon.upstreams,),
    )
    context.processes.append(engine)
    engine.start()
    done = fleet.command(
        "publish", str(OFFICE), "--admin", context.daemon.admin
    )
    assert done.returncode == 0, done.stderr
    fleet.wait_until(lambda: chat(context)[0] == 200, "a chat is served")


def chat(context):
    body = {
        "model": "lacework",
        "stream": True,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "motif"}],
    }
    return fleet.fetch(
        f"http://{context.daemon.callers}/v1/chat/completions",
        method="POST",
        body=json.dumps(body).encode(),
        headers=HEADERS,
    )


def send(context, payloads, address=""):
    crowd = crowds.Crowd(address=address or context.daemon.callers)
    context.crowds.append(crowd)
    crowd.send(payloads)
    crowds.wait_until_idle(context.daemon.process.pid)


@behave.given(
    "a router with {memory:d} MiB of memory for bodies of {body:d} MiB"
)
def step_router(context, memory, body):
    context.memory_bytes = memory * MIB
    start_router(
        context,
        f"memory_bytes = {memory * MIB}\nmax_body_bytes = {body * MIB}",
    )


@behave.given("a router that accepts {count:d} connections")
def step_connections(context, count):
    start_router(context, f"max_connections = {count}")


@behave.when("{count:d} clients send all but a byte of {size:d} MiB")
def step_unfinished(context, count, size):
    size *= MIB
    send(context, [crowds.whole(HEAD, size, size - 1) for _ in range(count)])


@behave.when("{count:d} upstreams send all but a byte of {size:d} MiB")
def step_announcements(context, count, size):
    size *= MIB
    send(
        context,
        [crowds.whole(ANNOUNCE_HEAD, size, size - 1) for _ in range(count)],
        context.daemon.upstreams,
    )


@behave.when(
    "{count:d} clients send all but a byte of {size:d} MiB in pieces of "
    "{piece:d} KiB"
)
def step_pieces(context, count, size, piece):
    size *= MIB
    send(
        context,
        [
            crowds.pieces(HEAD, size, size - 1, piece << 10)
            for _ in range(count)
        ],
    )


@behave.when("{count:d} clients send {size:d} MiB at once")
def step_whole(context, count, size):
    size *= MIB
    send(context, [crowds.whole(HEAD, size, size) for _ in range(count)])


@behave.when(
    "{count:d} clients send {size:d} MiB in chunks of {chunk:d} bytes "
    "without the last chunk"
)
def step_chunks(context, count, size, chunk):
    send(
        context,
        [crowds.chunked(HEAD, size * MIB, chunk) for _ in range(count)],
    )


@behave.when("{count:d} clients announce {size:d} MiB and send {sent:d} MiB")
def step_oversized(context, count, size, sent):
    send(
        context,
        [crowds.whole(HEAD, size * MIB, sent * MIB) for _ in range(count)],
    )


@behave.when(
    "{count:d} clients send forms of {size:d} MiB with a field each "
    "{field:d} bytes"
)
def step_forms(context, count, size, field):
    number = size * MIB // field
    form = b"".join(b"%05x&" % index for index in range(number))[: size * MIB]
    head = HEAD + b"Content-Type: application/x-www-form-urlencoded\r\n"
    start = b"%bContent-Length: %d\r\n\r\n" % (head, len(form))
    send(context, [iter((start, form)) for _ in range(count)])


@behave.when(
    "{count:d} clients send requests for {size:d} KiB and read nothing"
)
def step_pipelined(context, count, size):
    request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    requests = request * ((size << 10) // len(request))
    send(context, [iter((requests,)) for _ in range(count)])


@behave.when("{count:d} clients send half of a request's headers")
def step_headers(context, count):
    send(context, [iter((HEAD,)) for _ in range(count)])


@behave.then("the process has kept within its memory")
def step_memory(context):
    assert context.daemon.process.poll() is None, "the process has ended"
    peak = crowds.peak_memory_bytes(context.daemon.process.pid)
    assert peak <= context.memory_bytes, f"{peak / MIB:.0f} MiB"


@behave.then("the process has at most {count:d} descriptors open")
def step_descriptors(context, count):
    found = crowds.open_descriptors(context.daemon.process.pid)
    assert found <= count, found


@behave.then("an ordinary request is answered")
def step_answered(context):
    status, answer = chat(context)
    assert status == 200, (status, answer)
    assert context.daemon.process.poll() is None, "the process has ended"
