"""Writes a daemon's turns to a bounded trace file."""

from __future__ import annotations

import datetime
import logging
import os
import pathlib

import msgspec

from fulmarbarrow import bus as buses
from fulmarbarrow import exceptions
from fulmarbarrow import message as messages
from fulmarbarrow.tracing import trace

log = logging.getLogger(__name__)

OWNER_ONLY = 0o600


class Recorder:
    """Records one bus until ``max_bytes`` are written.

    ``name`` is the file's path below ``data_dir``, which it may not leave.
    """

    def __init__(
        self,
        *,
        bus: buses.Bus,
        data_dir: pathlib.Path,
        name: str,
        max_bytes: int,
        settings: str,
        started: datetime.datetime,
        from_start: bool,
        host_identity: str = "",
    ) -> None:
        self._bus = bus
        self._path = _below(data_dir, name)
        self._max_bytes = max_bytes
        self._codec = trace.TurnCodec(started=started)
        self._header = trace.Header(
            format=trace.FORMAT,
            settings=trace.redact(settings),
            started=started,
            from_start=from_start,
            host_identity=host_identity,
        )
        self.written_bytes = 0

    @property
    def path(self) -> pathlib.Path:
        """Where the trace is written."""
        return self._path

    def start(self) -> None:
        """Write the header, then every turn of the bus."""
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            handle = os.open(self._path, flags, OWNER_ONLY)
        except OSError as error:
            raise exceptions.StorageError(f"{self._path}: {error}") from error
        self._file = os.fdopen(handle, "wb")
        self._write(msgspec.json.encode(self._header) + b"\n")
        self._bus.record(self._record)
        log.info("trace %s begins", self._path)

    def stop(self) -> None:
        """Write what waits and end the trace."""
        self._bus.record(None)
        self._file.close()
        log.info("trace %s ends", self._path)

    def _record(self, turn: buses.Turn) -> None:
        line = self._codec.encode(turn)
        if self.written_bytes + len(line) > self._max_bytes:
            self.stop()
            return
        try:
            self._write(line)
            if isinstance(turn.message, messages.Tick):
                self._file.flush()
        except OSError:
            log.exception("trace %s can't be written", self._path)
            self._bus.record(None)

    def _write(self, data: bytes) -> None:
        self._file.write(data)
        self.written_bytes += len(data)


def _below(data_dir: pathlib.Path, name: str) -> pathlib.Path:
    folder = data_dir.resolve()
    path = (folder / name).resolve()
    if not name or path == folder or not path.is_relative_to(folder):
        raise exceptions.ConfigurationError(
            f"{name!r} is not a file below the data folder"
        )
    return path
