"""Steps about a daemon's start and stop."""

from __future__ import annotations

import json
import signal
import socket

import behave

from tools import fleet


def make_daemon(context, **options):
    context.daemon = fleet.DaemonProcess(
        folder=context.path,
        daemon_id="entry-1",
        zone="attica-a",
        roles=("router", "control"),
        **options,
    )
    context.processes.append(context.daemon)


def listener(address):
    host, port = address.split(":")
    plug = socket.socket()
    plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    plug.bind((host, int(port)))
    plug.listen()
    return plug


def log_text(context):
    return (context.path / "entry-1.log").read_text()


@behave.given("a daemon")
def step_daemon(context):
    make_daemon(context)


@behave.given("a daemon with a grace of {count:d} {unit}")
def step_grace(context, count, unit):
    make_daemon(context, grace=f"{count}{unit[0]}")


@behave.given("a daemon that logs in JSON")
def step_json(context):
    make_daemon(context, more='[log]\nformat = "json"\n')


@behave.given("a daemon whose settings have two errors")
def step_errors(context):
    make_daemon(context, more="[limits]\nmax_body_bytes = true\n")
    text = context.daemon.settings.read_text()
    context.daemon.settings.write_text(text.replace("region", "regio"))


@behave.given("another program listens on its callers' and its peers' port")
def step_taken(context):
    context.plugs = [
        listener(context.daemon.callers),
        listener(context.daemon.peers),
    ]


@behave.when("the daemon is run")
def step_run(context):
    context.daemon.spawn()


@behave.when("the daemon is started and told to stop")
def step_told(context):
    context.daemon.start()
    context.daemon.process.send_signal(signal.SIGTERM)
    fleet.wait_until(lambda: "is leaving" in log_text(context), "leaving")


@behave.when("it is told to stop again")
def step_again(context):
    context.daemon.process.send_signal(signal.SIGTERM)


@behave.then("its exit code is {code:d}")
def step_exit(context, code):
    status = context.daemon.process.wait(timeout=fleet.WAIT_SECONDS)
    assert status == code, (status, log_text(context))


@behave.then('it says "{first}" and "{second}" and "{third}"')
def step_says(context, first, second, third):
    for text in (first, second, third):
        assert text in log_text(context), log_text(context)


@behave.then("its upstreams' port is free")
def step_free(context):
    listener(context.daemon.upstreams).close()
    for plug in context.plugs:
        plug.close()


@behave.then("its health check says 503")
def step_health(context):
    status, _ = fleet.fetch(f"http://{context.daemon.callers}/healthz")
    assert status == 503, status


@behave.then("it still answers for the models")
def step_models(context):
    status, body = fleet.fetch(f"http://{context.daemon.callers}/v1/models")
    # Nothing is published; the code shows that requests are still taken.
    code = json.loads(body)["error"]["code"]
    assert (status, code) == (503, "no_configuration"), (status, body)


@behave.then(
    "every log line is JSON with a time, a level, a logger and a text"
)
def step_lines(context):
    lines = log_text(context).splitlines()
    assert len(lines) >= 3, lines
    for line in lines:
        fields = json.loads(line)
        assert {"time", "level", "logger", "text"} <= set(fields), fields


@behave.when("the daemon is started and gets garbage from a peer")
def step_garbage(context):
    context.daemon.start()
    host, _, port = str(context.daemon.peers).rpartition(":")
    with socket.create_connection((host, int(port))) as plug:
        for frame in (b"", b"x", b"y" * 5000):
            plug.sendall(len(frame).to_bytes(4, "big") + frame)
        fleet.wait_until(lambda: dropped(context) == 3, "dropped")


def dropped(context):
    counters = context.daemon.dump()["metrics"]["counters"]
    return counters.get("peer_frames_dropped{reason=wrong_key}", 0)


@behave.then("it has dropped and counted {count:d} frames as {reason}")
def step_dropped(context, count, reason):
    state = context.daemon.dump()
    name = f"peer_frames_dropped{{reason={reason}}}"
    assert state["metrics"]["counters"][name] == count
    assert state["errors"] == {}
