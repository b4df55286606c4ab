"""Runs one daemon with its upstreams for all scenarios of the folder."""

from __future__ import annotations

import pathlib
import tempfile

from tools import fleet

OFFICE = pathlib.Path("examples/office").resolve()


def before_all(context):
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    context.daemon = fleet.DaemonProcess(
        folder=folder,
        daemon_id="entry-1",
        zone="attica-a",
        roles=("router", "control"),
    )
    entries = (context.daemon.upstreams,)
    context.engine = fleet.StandinProcess(
        folder=folder,
        kind="engine",
        upstream_id="engine-1",
        zone="attica-a",
        offers="consultations/lacework/1",
        entries=entries,
        batch_tokens=500_000,
        tokens_per_second=200_000,
        token_interval_ms=0.005,
    )
    context.plain = fleet.StandinProcess(
        folder=folder,
        kind="plain",
        upstream_id="register-1",
        zone="attica-a",
        offers="register",
        entries=entries,
    )
    context.daemon.start()
    context.engine.start()
    context.plain.start()
    fleet.wait_until(lambda: upstreams(context.daemon) == 2, "announced")
    done = fleet.command(
        "publish", str(OFFICE), "--admin", context.daemon.admin
    )
    assert done.returncode == 0, done.stderr


def after_all(context):
    for process in (context.engine, context.plain, context.daemon):
        process.kill()
    context.folder.cleanup()


def upstreams(daemon):
    state = daemon.dump()
    return len(state["cores"]["membership"]["upstreams"]) if state else 0
