"""Sets up structured logging that never holds the daemon up."""

from __future__ import annotations

import collections
import datetime
import logging
import os
import time
import typing

import msgspec

from fulmarbarrow.config import defaults

STDOUT = 1
# Lines a second; what is above it is counted and left out. Failures may use
# twice as many, so that they are told when successes no longer are.
LINES_PER_SECOND = 150
MAX_WAITING_BYTES = 256 << 10  # for a reader of the lines that is slow

_STANDARD = frozenset(
    (*vars(logging.makeLogRecord({})), "message", "asctime", "taskName")
)


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object on a line.

    The text names the event; what a call gives as ``extra`` are its fields.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        fields: dict[str, typing.Any] = {
            "time": at.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "logger": record.name,
            "text": record.getMessage(),
        }
        fields.update(
            (name, value)
            for name, value in vars(record).items()
            if name not in _STANDARD
        )
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader."""

    def __init__(
        self,
        *,
        descriptor: int = STDOUT,
        lines_per_second: int = LINES_PER_SECOND,
        seconds: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._limit = lines_per_second
        self._seconds = seconds
        self._second = 0
        self._lines = 0
        self._left_out: collections.Counter[str] = collections.Counter()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        second = int(self._seconds())
        if second != self._second:
            self._second, self._lines = second, 0
            self._tell_left_out()
        allowed = self._limit
        if record.levelno >= logging.WARNING:
            allowed *= 2
        if self._lines >= allowed:
            self._left_out[record.levelname] += 1
            return
        self._lines += 1
        try:
            line = self.format(record)
        except Exception:  # a field that has no JSON form
            self.handleError(record)
            return
        self._write(line.encode() + b"\n", record.levelname)

    def _tell_left_out(self) -> None:
        if not self._left_out:
            return
        left_out, self._left_out = self._left_out, collections.Counter()
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "msg": "log lines left out",
                "lines": dict(left_out),
            }
        )
        self._write(self.format(record).encode() + b"\n", "WARNING")

    def _write(self, line: bytes, level: str) -> None:
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._left_out[level] += 1
            self._flush()
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # nobody reads any more; there is no place to say
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]


def set_up(settings: defaults.LogSection) -> None:
    """Send all log records out in the configured format.

    JSON lines go to standard output and are never waited for.
    """
    handler: logging.Handler
    if settings.format is defaults.LogFormat.JSON:
        os.set_blocking(STDOUT, False)
        handler = BoundedHandler()
        handler.setFormatter(JsonFormatter())
    else:
        handler = logging.StreamHandler()
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    logging.basicConfig(
        level=logging.getLevelNamesMapping()[settings.level],
        handlers=[handler],
        force=True,
    )
