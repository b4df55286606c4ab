"""Steps that speak raw HTTP to a running daemon."""

from __future__ import annotations

import http.client
import json
import re
import socket
import time

import behave

from tools import fleet

KEY = "Authorization: Bearer demo-key-volos\r\n"
TIMEOUT_SECONDS = 10
CHUNK_BYTES = 64 * 1024


def connect(context, receive_buffer=None):
    host, port = context.daemon.callers.split(":")
    plug = socket.socket()
    if receive_buffer:
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    plug.settimeout(TIMEOUT_SECONDS)
    plug.connect((host, int(port)))
    return plug


def read_response(plug):
    """Return status and body of a response."""
    response = http.client.HTTPResponse(plug)
    response.begin()
    return response.status, response.read()


@behave.when("a caller sends")
def step_send(context):
    head, _, body = context.text.partition("\n\n")
    line, _, fields = head.partition("\n")
    fields = re.sub(
        r"<(\d+) digits>", lambda match: "9" * int(match.group(1)), fields
    ).replace("\\n", "\r\n")
    version = " HTTP/1.1" if " " in line else ""
    with connect(context) as plug:
        plug.sendall(
            f"{line}{version}\r\nHost: x\r\n{fields}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        context.status, context.body = read_response(plug)


@behave.then("the status is {status:d} with code {code} that did not run")
def step_error(context, status, code):
    error = json.loads(context.body)["error"]
    assert (context.status, error["code"], error["ran"]) == (
        status,
        code,
        "no",
    ), (context.status, error)


@behave.when("a caller announces a body of {count:d} bytes")
def step_announce(context, count):
    with connect(context) as plug:
        plug.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{KEY}"
            f"Content-Length: {count}\r\n\r\n".encode()
        )
        context.status, context.body = read_response(plug)


@behave.when("a caller sends {count:d} bytes in chunks")
def step_chunks(context, count):
    with connect(context) as plug:
        plug.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{KEY}"
            f"Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
        for _ in range(count // CHUNK_BYTES):
            try:
                plug.sendall(chunk)
            except OSError:
                break
        context.status, context.body = read_response(plug)


@behave.when("the models are fetched with a valid key")
def step_models(context):
    context.status, context.body = fleet.fetch(
        f"http://{context.daemon.callers}/v1/models",
        headers={"Authorization": "Bearer demo-key-volos"},
    )


@behave.then("the models are {names}")
def step_model_names(context, names):
    assert context.status == 200, context.body
    data = json.loads(context.body)["data"]
    assert [item["id"] for item in data] == names.split(", ")


@behave.when(
    "a caller asks for {tokens:d} tokens and reads nothing for a while"
)
def step_slow(context, tokens):
    body = json.dumps(
        {
            "model": "lacework",
            "stream": True,
            "max_tokens": tokens,
            "messages": [],
        }
    )
    context.plug = connect(context, receive_buffer=4096)
    context.plug.sendall(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{KEY}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        f"{body}".encode()
    )
    context.tokens = tokens


@behave.then("the daemon's largest backlog is within its stated bound")
def step_backlog(context):
    def dump():
        return context.daemon.dump()["callers"]

    fleet.wait_until(lambda: dump()["largest_backlog_bytes"], "a backlog")
    time.sleep(1)
    callers = dump()
    assert len(callers["open"]) == 1, callers
    backlog = callers["largest_backlog_bytes"]
    assert backlog <= callers["backlog_limit_bytes"], callers


@behave.then("the caller then reads the whole answer")
def step_rest(context):
    with context.plug as plug:
        data = bytearray()
        while part := plug.recv(CHUNK_BYTES):
            data += part
    assert data.count(b'"delta"') == context.tokens
    assert b"data: [DONE]" in data


@behave.when('a chat named "{name}" in its header is answered')
def step_named(context, name):
    context.status, context.body = fleet.fetch(
        f"http://{context.daemon.callers}/v1/chat/completions",
        method="POST",
        body=b'{"model": "lacework", "messages": [], "max_tokens": 3}',
        headers={"Authorization": "Bearer demo-key-volos", "X-Chat-Id": name},
    )
    assert context.status == 200, context.body


@behave.then('the engine\'s cache names the chat "{name}"')
def step_cached(context, name):
    _, body = fleet.fetch(f"{context.engine.url}/admin/state")
    assert name in json.loads(body)["cached_chats"], body
