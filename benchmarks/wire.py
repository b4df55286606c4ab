"""Cost of framing and proving messages between daemons."""

from __future__ import annotations

import datetime
import time

from benchmarks import measure as measures
from fulmarbarrow.placement import messages
from fulmarbarrow.wire import codec

COMMAND = "python -m benchmarks wire"
EXCLUSIVE = True
FRAMES = 20_000


def measure() -> list[measures.Measure]:
    """Measure one small message a frame."""
    sender, receiver = (
        codec.Codec(
            fleet_key="k" * 16, sender=name, address=name, incarnation=1
        )
        for name in ("a", "b")
    )
    message = messages.Reserved(
        attempt_id="entry-1-18f3a-17-1",
        upstream_id="engine-1",
        incarnation=1_800_000_000_000,
        priority=0,
        lease=datetime.timedelta(seconds=3),
    )
    started = time.perf_counter()
    for _ in range(FRAMES):
        frame = sender.encode("b", (message,))
        receiver.decode(frame)
    elapsed = time.perf_counter() - started
    return [
        measures.Measure(
            slice="wire",
            name="encode and decode one reservation reply",
            value=elapsed / FRAMES * 1e6,
            unit="us",
            command=COMMAND,
        ),
        measures.Measure(
            slice="wire",
            name="frame of one reservation reply",
            value=len(frame),
            unit="bytes",
            command=COMMAND,
        ),
    ]
