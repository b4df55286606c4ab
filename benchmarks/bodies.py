"""Peak memory of a router while clients send large bodies.

Complete bodies are refused by the route that they name, so that they are held
for a short time only; unfinished ones stay. 24 small requests run beside them.
"""

from __future__ import annotations

import pathlib
import tempfile
import threading

from benchmarks import measure as measures
from tools import crowd as crowds
from tools import fleet

COMMAND = "python -m benchmarks bodies"
EXCLUSIVE = True
MIB = 1 << 20
BODY_BYTES = 4 * MIB
CALLERS = 24
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: example\r\n"


def measure() -> list[measures.Measure]:
    """Measure each memory with complete and with unfinished bodies."""
    return [
        _peak(memory, count, missing)
        for memory in (200, 300)
        for count, missing in ((1, 0), (16, 0), (64, 0), (64, 1), (2000, 1))
    ]


def _peak(memory: int, count: int, missing: int) -> measures.Measure:
    size = BODY_BYTES if count <= 64 else MIB // 8
    with tempfile.TemporaryDirectory() as folder:
        daemon = fleet.DaemonProcess(
            folder=pathlib.Path(folder),
            daemon_id="entry-1",
            zone="attica-a",
            roles=("router", "control"),
            more=(
                f"[limits]\nmemory_bytes = {memory * MIB}\n"
                f"max_body_bytes = {BODY_BYTES}\n"
            ),
        )
        crowd = crowds.Crowd(address=daemon.callers)
        try:
            daemon.start()
            pid = daemon.process.pid
            callers = [
                threading.Thread(target=_call, args=(daemon.callers,))
                for _ in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            crowd.send(
                [
                    crowds.whole(HEAD, size, size - missing)
                    for _ in range(count)
                ]
            )
            crowds.wait_until_idle(pid)
            for caller in callers:
                caller.join()
            peak = crowds.peak_memory_bytes(pid)
        finally:
            crowd.close()
            daemon.kill()
    kind = "unfinished" if missing else "complete"
    return measures.Measure(
        slice="edge",
        name=f"peak memory, {count} {kind} bodies of {size / MIB:g} MiB "
        f"on a host of {memory} MiB",
        value=peak / MIB,
        unit="MiB",
        command=COMMAND,
        target=memory,
    )


def _call(address: str) -> None:
    for _ in range(20):
        fleet.fetch(f"http://{address}/healthz")
