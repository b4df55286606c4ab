"""Open HTTP exchanges with callers, shared by the two HTTP edges."""

from __future__ import annotations

import dataclasses
import typing

from twisted.web import http


class Pausable(typing.Protocol):
    """The source of an answer, slowed down by a slow caller."""

    def pause(self) -> None:
        """Stop reading from the upstream."""

    def resume(self) -> None:
        """Go on reading from the upstream."""


@dataclasses.dataclass(kw_only=True)
class Exchange:
    """One caller's request while its answer is open.

    ``fields`` go to upstreams with it, whose answers repeat ``echo``; one
    that is to run ``once`` must not run a second time.
    """

    request: http.Request
    method: str
    target: str
    body: bytes
    content_type: str
    key: str
    chat: str = ""
    fields: tuple[tuple[bytes, bytes], ...] = ()
    echo: str = ""
    once: bool = False
    account: str = ""
    source: Pausable | None = None
    paused: bool = False

    def attach(self, source: Pausable | None) -> None:
        """Set where the answer comes from."""
        self.source = source
        if source is not None and self.paused:
            source.pause()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop the upstream; the caller's buffer is full."""
        self.paused = True
        if self.source is not None:
            self.source.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the upstream go on; the caller's buffer has room."""
        self.paused = False
        if self.source is not None:
            self.source.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the end of the connection is reported elsewhere."""


class Exchanges:
    """All open exchanges of a daemon by request id."""

    def __init__(self) -> None:
        self._open: dict[str, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._open)

    def add(self, request_id: str, exchange: Exchange) -> None:
        """Open an exchange."""
        self._open[request_id] = exchange

    def get(self, request_id: str) -> Exchange | None:
        """Return an open exchange."""
        return self._open.get(request_id)

    def remove(self, request_id: str) -> Exchange | None:
        """Close an exchange and return it if it was open."""
        return self._open.pop(request_id, None)
