"""``fulmarbarrow record``: records the messages of a running daemon."""

from __future__ import annotations

import msgspec

from fulmarbarrow.commands import client
from fulmarbarrow.tracing import edge


def record(
    path: str = "", *, admin: str, max_bytes: int = edge.DEFAULT_MAX_BYTES
) -> str:
    """Start recording a trace on a daemon; without a path, stop it.

    A replay needs a trace from the daemon's start. To record one, set
    trace.path in the daemon's settings.

    Args:
        path: the trace file, below the daemon's data folder
        admin: the daemon's admin address, such as 127.0.0.1:7003
        max_bytes: the size at which recording stops
    """
    body = msgspec.json.encode(
        edge.RecordBody(path=str(path), max_bytes=max_bytes)
    )
    answer = client.run(lambda: client.post_json(admin, "/v1/record", body))
    if not path:
        return "recording stopped"
    return f"recording to {answer['path']}"
