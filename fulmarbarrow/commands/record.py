"""``fulmarbarrow record``: records a running daemon's messages."""

from __future__ import annotations

import msgspec

from fulmarbarrow.commands import client
from fulmarbarrow.tracing import edge


def record(
    path: str = "", *, admin: str, max_bytes: int = edge.DEFAULT_MAX_BYTES
) -> str:
    """Begin a trace on a daemon, or end it if no path is given.

    A trace from the daemon's start, which a replay needs, is asked for by
    trace.path in its settings.

    Args:
        path: the file, below the daemon's data folder
        admin: the daemon's admin address, such as 127.0.0.1:7003
        max_bytes: where the trace ends by itself
    """
    body = msgspec.json.encode(
        edge.RecordBody(path=str(path), max_bytes=max_bytes)
    )
    answer = client.run(lambda: client.post_json(admin, "/v1/record", body))
    if not path:
        return "the trace has ended"
    return f"recording to {answer['path']}"
