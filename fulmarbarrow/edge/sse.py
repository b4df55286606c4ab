"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec

END_MARKER = b"data: [DONE]"
_USAGE_HINT = b'"usage":{'


class _Details(msgspec.Struct, frozen=True):
    cached_tokens: int = 0


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details = _Details()


class _Chunk(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


_ATTEMPT_ID = re.compile(rb'"id":\s?"([^"]+-[0-9a-f]+-[0-9]+-[0-9]+)"')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Part:
    """Whole events: their bytes, number and what they say.

    ``reused_tokens`` is what the engine says it found in its cache, None if
    its protocol doesn't tell; ``echoed`` the attempt ids that the events
    carry, without repetition.
    """

    data: bytes
    events: int
    first_event: int
    end_marker: bool
    tokens: int
    reused_tokens: int | None
    echoed: tuple[str, ...] = ()


class BrokenStreamError(Exception):
    """A stream lacks an event, or one can't be told from another."""


class Splitter(typing.Protocol):
    """Gathers bytes into whole events."""

    def feed(self, data: bytes) -> Part:
        """Return the events that are whole now; raises BrokenStreamError."""

    def rest(self) -> Part:
        """Return what follows the last whole event of a complete body."""


class EventSplitter:
    """Gathers bytes into whole events, counting them from ``first``."""

    def __init__(self, *, first: int = 0) -> None:
        self._buffer = b""
        self._count = first

    def feed(self, data: bytes) -> Part:
        """Return the events that are whole now."""
        self._buffer += data.replace(b"\r\n", b"\n")
        whole, separator, rest = self._buffer.rpartition(b"\n\n")
        self._buffer = rest
        if not separator:
            return Part(
                data=b"",
                events=0,
                first_event=self._count,
                end_marker=False,
                tokens=0,
                reused_tokens=0,
            )
        events = whole.split(b"\n\n")
        first = self._count
        self._count += len(events)
        end = END_MARKER in events[-1]
        return Part(
            data=whole + separator,
            events=len(events),
            first_event=first,
            end_marker=end,
            tokens=len(events) - (1 if end else 0),
            reused_tokens=_reused(whole),
            echoed=_echoed(whole),
        )

    def rest(self) -> Part:
        """Return nothing: an event without its end is not passed on."""
        return Part(
            data=b"",
            events=0,
            first_event=self._count,
            end_marker=False,
            tokens=0,
            reused_tokens=0,
        )


def _echoed(data: bytes) -> tuple[str, ...]:
    """Return the ids in the form of an attempt's that the events carry."""
    found = dict.fromkeys(_ATTEMPT_ID.findall(data))
    return tuple(item.decode("utf-8", "replace") for item in found)


def _reused(data: bytes) -> int:
    if _USAGE_HINT not in data:
        return 0
    for event in data.split(b"\n\n"):
        if _USAGE_HINT not in event:
            continue
        try:
            chunk = msgspec.json.decode(
                event.removeprefix(b"data: "), type=_Chunk
            )
        except msgspec.DecodeError:
            continue
        if chunk.usage is not None:
            return chunk.usage.prompt_tokens_details.cached_tokens
    return 0
