"""The form of a trace file: a header, then a line for each turn, as JSON."""

from __future__ import annotations

import collections.abc
import datetime
import pathlib
import re

import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow import exceptions
from fulmarbarrow import message as messages
from fulmarbarrow.tracing import registry

FORMAT = 1
REDACTED = "x" * 16

_SECRET = re.compile(
    r"""((?:fleet_key|admin_key|key)["']?\s*=\s*)(["']).*?\2""", re.MULTILINE
)


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """What a replay needs to know of the daemon that was recorded.

    ``settings`` is the text of its settings without keys. ``from_start``
    says that nothing happened before the first turn, neither in the daemon
    nor in an earlier run. ``host_identity`` is that of its disk.
    """

    format: int
    settings: str
    started: datetime.datetime
    from_start: bool
    host_identity: str = ""


class Line(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """One turn; ``micros`` counts from the header's ``started``."""

    micros: int
    message: msgspec.Raw
    queued: int
    nested: tuple[tuple[int, msgspec.Raw], ...] = ()


def redact(settings: str) -> str:
    """Return the text of settings with every key made unreadable."""
    return _SECRET.sub(rf"\1\2{REDACTED}\2", settings)


class TurnCodec:
    """Turns to lines and back."""

    def __init__(self, *, started: datetime.datetime) -> None:
        self._started = started
        self._encoder = msgspec.json.Encoder()
        self._lines = msgspec.json.Decoder(Line)
        self._messages = msgspec.json.Decoder(registry.union())

    def encode(self, turn: buses.Turn) -> bytes:
        """Return a turn as a line."""
        line = Line(
            micros=(turn.at - self._started)
            // datetime.timedelta(microseconds=1),
            message=self._raw(turn.message),
            queued=turn.queued,
            nested=tuple(
                (place, self._raw(nested)) for place, nested in turn.nested
            ),
        )
        return self._encoder.encode(line) + b"\n"

    def decode(self, data: bytes) -> buses.Turn:
        """Return the turn in a line; raises msgspec.DecodeError."""
        line = self._lines.decode(data)
        return buses.Turn(
            at=self._started + datetime.timedelta(microseconds=line.micros),
            message=self._messages.decode(line.message),
            nested=[
                (place, self._messages.decode(raw))
                for place, raw in line.nested
            ],
            queued=line.queued,
        )

    def _raw(self, message: messages.Message) -> msgspec.Raw:
        return msgspec.Raw(self._encoder.encode(message))


def read(
    path: pathlib.Path,
) -> tuple[Header, collections.abc.Iterator[buses.Turn]]:
    """Return a trace's header and its turns; raises ConfigurationError.

    An incomplete last line, as a crash leaves it, is ignored.
    """
    try:
        lines = path.read_bytes().split(b"\n")
        header = msgspec.json.decode(lines[0], type=Header)
    except (OSError, msgspec.DecodeError) as error:
        raise exceptions.ConfigurationError(f"{path}: {error}") from error
    if header.format != FORMAT:
        raise exceptions.ConfigurationError(
            f"{path}: format {header.format}, this program reads {FORMAT}"
        )
    return header, _turns(path, header, lines[1:-1])


def _turns(
    path: pathlib.Path, header: Header, lines: list[bytes]
) -> collections.abc.Iterator[buses.Turn]:
    codec = TurnCodec(started=header.started)
    for number, line in enumerate(lines, start=2):
        try:
            yield codec.decode(line)
        except msgspec.DecodeError as error:
            raise exceptions.ConfigurationError(
                f"{path}:{number}: {error}"
            ) from error
