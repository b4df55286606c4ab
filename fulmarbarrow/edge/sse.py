"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import dataclasses
import re
import typing

import msgspec

from fulmarbarrow import decoding

END_MARKER = b"data: [DONE]"
SEPARATOR = b"\n\n"
# Memory that one stream may hold for an event whose end has not come.
MAX_EVENT_BYTES = 256 << 10
_USAGE_HINT = b'"usage":{'


class _Details(msgspec.Struct, frozen=True):
    cached_tokens: int = 0


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details = _Details()


class _Chunk(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


_COMMENTS = re.compile(rb"(?:\n|:[^\n]*(?:\n|$))*")
_ATTEMPT_ID = re.compile(rb'"id":\s?"([^"]+-[0-9a-f]+-[0-9]+-[0-9]+)"')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Part:
    """Whole events: their bytes, number and what they say.

    ``reused_tokens`` is what the engine says it found in its cache, None if
    its protocol doesn't tell; ``echoed`` the attempt ids that the events
    carry, without repetition; ``ids`` their own ids, if the protocol tells
    them apart by these and not by their index.
    """

    data: bytes
    events: int
    first_event: int
    end_marker: bool
    tokens: int
    reused_tokens: int | None
    echoed: tuple[str, ...] = ()
    ids: tuple[int, ...] = ()


class BrokenStreamError(Exception):
    """A stream lacks an event, or one can't be told from another."""


class Splitter(typing.Protocol):
    """Gathers bytes into whole events."""

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event without its end; comments are no event."""

    def feed(self, data: bytes) -> Part:
        """Return the events that are whole now; raises BrokenStreamError."""

    def rest(self) -> Part:
        """Return what follows the last event, but no part of another one."""


class EventBuffer:
    """Bytes of a stream up to the end of its last whole event.

    Each byte is searched once, so that an event without an end costs time in
    proportion to its length. ``max_event_bytes`` bounds what is kept of it.
    """

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._pending = bytearray()

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event without its end; comments are no event."""
        if _COMMENTS.fullmatch(self._pending):
            return 0
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole now, with their separators.

        Raises BrokenStreamError for an event above the limit.
        """
        # A separator may begin with the last byte that was searched before.
        searched = max(0, len(self._pending) - len(SEPARATOR) + 1)
        self._pending += data
        end = self._pending.rfind(SEPARATOR, searched)
        whole = b""
        if end >= 0:
            end += len(SEPARATOR)
            whole = bytes(self._pending[:end])
            del self._pending[:end]
        if len(self._pending) > self._max_event_bytes:
            raise BrokenStreamError(
                f"an event has more than {self._max_event_bytes} bytes"
            )
        return whole

    def take_rest(self) -> bytes:
        """Return and forget what follows the last whole event."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest


class EventSplitter:
    """Gathers bytes into whole events, counting them from ``first``.

    Blocks that hold only comments or nothing are left out: they are no
    events, and must neither count as progress nor shift the resume offset.
    """

    def __init__(self, *, first: int = 0) -> None:
        self._buffer = EventBuffer()
        self._carriage_return = b""
        self._count = first

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event without its end; comments are no event."""
        return self._buffer.unfinished_bytes

    def feed(self, data: bytes) -> Part:
        """Return the events that are whole now."""
        whole = self._buffer.feed(self._normalize(data))
        events = [
            event
            for event in whole.split(SEPARATOR)
            if not _COMMENTS.fullmatch(event)
        ]
        if not events:
            return self._empty_part()
        first = self._count
        self._count += len(events)
        end = END_MARKER in events[-1]
        forwarded = SEPARATOR.join((*events, b""))
        return Part(
            data=forwarded,
            events=len(events),
            first_event=first,
            end_marker=end,
            tokens=len(events) - (1 if end else 0),
            reused_tokens=_reused(forwarded),
            echoed=_echoed(forwarded),
        )

    def rest(self) -> Part:
        """Return nothing: an event without its end is not passed on."""
        return self._empty_part()

    def _normalize(self, data: bytes) -> bytes:
        """Replace CRLF by LF, also where a read ends between the two."""
        data = self._carriage_return + data
        self._carriage_return = data[-1:] if data.endswith(b"\r") else b""
        if self._carriage_return:
            data = data[:-1]
        return data.replace(b"\r\n", b"\n")

    def _empty_part(self) -> Part:
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
    for event in data.split(SEPARATOR):
        if _USAGE_HINT not in event:
            continue
        try:
            chunk = decoding.decode_json(event.removeprefix(b"data: "), _Chunk)
        except msgspec.DecodeError:
            continue
        if chunk.usage is not None:
            return chunk.usage.prompt_tokens_details.cached_tokens
    return 0
