"""Persists the active revision on a daemon's disk."""

from __future__ import annotations

import datetime
import logging
import pathlib

import msgspec
import xxhash

from fulmarbarrow import bus as buses
from fulmarbarrow.consensus import files
from fulmarbarrow import exceptions
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages

log = logging.getLogger(__name__)

FOLDER = "publishing"
FILE_NAME = "revision"
CHECKSUM_BYTES = 8


class RevisionFile:
    """Syncs each revision to disk before it is activated.

    The constructor raises CorruptLogError if the stored revision is damaged.
    """

    def __init__(
        self,
        *,
        data_folder: pathlib.Path,
        bus: buses.Bus,
        metrics: metrics_module.Metrics,
    ) -> None:
        folder = data_folder / FOLDER
        files.make_folder(folder)
        self._path = folder / FILE_NAME
        self._bus = bus
        self._metrics = metrics
        self._failing = False
        self.restored = self._read()
        bus.subscribe(messages.StoreRevision, self._store)

    def _read(self) -> messages.StoreRevision | None:
        if not self._path.exists():
            return None
        with files.storage_errors(self._path):
            data = self._path.read_bytes()
        checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
        if xxhash.xxh3_64_digest(body) != checksum:
            reason = f"{self._path} is damaged at offset 0"
            raise exceptions.CorruptLogError(reason)
        return msgspec.msgpack.decode(body, type=messages.StoreRevision)

    def _store(
        self, event: messages.StoreRevision, _: datetime.datetime
    ) -> None:
        body = msgspec.msgpack.encode(event)
        try:
            files.replace(self._path, xxhash.xxh3_64_digest(body) + body)
            stored = True
        except exceptions.StorageError as error:
            stored = False
            self._metrics.count("revisions_not_stored")
            if not self._failing:
                log.error(
                    "could not store revision %d: %s", event.revision, error
                )
        self._failing = not stored
        self._bus.post(
            messages.RevisionStored(revision=event.revision, stored=stored)
        )
