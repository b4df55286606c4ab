"""Steps over real sockets on loopback."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import threading
import time

import behave

from tools import fleet

OFFICE = pathlib.Path("examples/office").resolve()
HEADERS = {"Authorization": "Bearer demo-key-volos"}


def upstreams(daemon):
    state = daemon.dump()
    return state["cores"]["membership"]["upstreams"] if state else []


@behave.given("a daemon with an engine and a plain service")
def step_fleet(context):
    context.daemon = fleet.DaemonProcess(
        folder=context.path,
        daemon_id="entry-1",
        zone="attica-a",
        roles=("router", "control"),
    )
    context.engine, context.plain = (
        fleet.StandinProcess(
            folder=context.path,
            kind=kind,
            upstream_id=f"{kind}-1",
            zone="attica-a",
            offers=offers,
            entries=(context.daemon.upstreams,),
        )
        for kind, offers in (
            ("engine", "consultations/lacework/1"),
            ("plain", "register"),
        )
    )
    context.processes += [context.daemon, context.engine, context.plain]
    context.daemon.start()
    context.engine.start()
    context.plain.start()
    fleet.wait_until(lambda: len(upstreams(context.daemon)) == 2, "announced")


@behave.given("the Office's files are published")
def step_publish(context):
    done = fleet.command(
        "publish", str(OFFICE), "--admin", context.daemon.admin
    )
    assert done.returncode == 0, done.stderr


def stream(context, tokens):
    body = {
        "model": "lacework",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "motif"}],
    }
    context.status, context.answer = fleet.fetch(
        f"http://{context.daemon.callers}/v1/chat/completions",
        method="POST",
        body=json.dumps(body).encode(),
        headers=HEADERS,
    )


@behave.when("a chat of {tokens:d} tokens is streamed")
def step_stream(context, tokens):
    stream(context, tokens)


@behave.when("a chat of {tokens:d} tokens is streamed while the daemon stops")
def step_stream_stop(context, tokens):
    thread = threading.Thread(target=stream, args=(context, tokens))
    thread.start()
    fleet.wait_until(
        lambda: (context.daemon.dump() or {}).get("open_requests"), "opened"
    )
    context.exit_code = context.daemon.stop()
    thread.join()


@behave.then("the answer has the {tokens:d} tokens and the end marker")
def step_whole(context, tokens):
    assert context.status == 200, (context.status, context.answer)
    events = context.answer.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    words = [
        json.loads(event.removeprefix("data: "))["choices"][0]["delta"]
        for event in events[:-1]
    ]
    assert [word["content"] for word in words] == [
        f"w{number} " for number in range(tokens)
    ]


@behave.when("the order is placed {times:d} times with one key")
def step_order(context, times):
    context.answers = [
        fleet.fetch(
            f"http://{context.daemon.callers}/register/orders",
            method="POST",
            body=b'{"die": "rosette-12"}',
            headers={**HEADERS, "Idempotency-Key": "order-1"},
        )
        for _ in range(times)
    ]


@behave.then("every answer is the same")
def step_same(context):
    assert context.answers[0][0] == 200, context.answers
    assert len(set(context.answers)) == 1


@behave.then("the plain service ran it once")
def step_once(context):
    _, counts = fleet.fetch(f"{context.plain.url}/counts")
    assert json.loads(counts) == {"order-1": 1}


@behave.then("the daemon's exit code is {code:d}")
def step_exit(context, code):
    assert context.exit_code == code


@behave.given("a fast engine")
def step_fast(context):
    context.engine.stop()
    fleet.wait_until(lambda: len(upstreams(context.daemon)) == 1, "left")
    fast = fleet.StandinProcess(
        folder=context.path,
        kind="engine",
        upstream_id="engine-2",
        zone="attica-a",
        offers="consultations/lacework/1",
        entries=(context.daemon.upstreams,),
        batch_tokens=500_000,
        tokens_per_second=200_000,
        token_interval_ms=0.005,
    )
    context.processes.append(fast)
    fast.start()
    fleet.wait_until(lambda: len(upstreams(context.daemon)) == 2, "joined")


@behave.when(
    "a chat of {tokens:d} tokens is read slowly while the daemon stops"
)
def step_slowly(context, tokens):
    body = json.dumps(
        {
            "model": "lacework",
            "stream": True,
            "max_tokens": tokens,
            "messages": [],
        }
    )
    host, port = context.daemon.callers.split(":")
    with socket.socket() as plug:
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        plug.settimeout(fleet.WAIT_SECONDS)
        plug.connect((host, int(port)))
        plug.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: {HEADERS['Authorization']}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        context.slow_answer = bytearray(plug.recv(1))
        context.daemon.process.send_signal(signal.SIGTERM)
        while part := plug.recv(64 * 1024):
            context.slow_answer += part
            time.sleep(0.002)
    # Another signal would end the daemon at once.
    context.exit_code = context.daemon.process.wait(fleet.WAIT_SECONDS)


@behave.then("the slow caller has the {tokens:d} tokens and the end marker")
def step_slow_whole(context, tokens):
    assert context.slow_answer.count(b'"delta"') == tokens
    assert b"data: [DONE]" in context.slow_answer
