"""Stores the replicated logs of a control host on disk."""

from __future__ import annotations

import datetime
import logging
import pathlib
import time
import typing

from twisted.internet import interfaces

from fulmarbarrow import bus as buses
from fulmarbarrow.consensus import files
from fulmarbarrow.consensus import identity
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import storage
from fulmarbarrow import exceptions
from fulmarbarrow.observe import metrics as metrics_module

log = logging.getLogger(__name__)

FOLDER_NAME = "consensus"
RETRY_SECONDS = 0.5


class ConsensusShell:
    """Writes the logs of all groups.

    Writes of a group that are requested in the same reactor iteration share
    one sync. Writes to a full disk are retried; after any other error writing
    stops until the daemon restarts.

    Raises StorageError if the folder is in use or can't be read, and
    CorruptLogError if the identity or a log is damaged.
    """

    def __init__(
        self,
        *,
        data_folder: pathlib.Path,
        bus: buses.Bus,
        reactor: interfaces.IReactorTime,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._folder = data_folder / FOLDER_NAME
        self._bus = bus
        self._reactor = reactor
        self._metrics = metrics
        files.make_folder(self._folder)
        self._lock = files.FolderLock(folder=self._folder)
        self._identity = identity.IdentityFile(folder=self._folder)
        self._log_storages: dict[records.Group, storage.LogStorage] = {}
        self._pending: dict[records.Group, list[messages.Persist]] = {}
        self._flush_scheduled = False
        self._disk_full = False
        self._disk_failed = False
        bus.subscribe(messages.Persist, self._persist)

    @property
    def host_identity(self) -> str:
        """The identity stored on this host's disk."""
        return self._identity.host

    def open(self, group: records.Group) -> state.StoredState:
        """Return the stored state of a group's log."""
        log_storage = storage.LogStorage(folder=self._folder / group.value)
        self._identity.check(group.value, formed=log_storage.formed)
        self._log_storages[group] = log_storage
        return log_storage.stored()

    def close(self) -> None:
        """Flush waiting writes, close the logs and release the folder lock."""
        self._flush()
        for log_storage in self._log_storages.values():
            log_storage.close()
        self._lock.release()

    def dump(self) -> dict[str, typing.Any]:
        """Return the segment sizes and the state of the disk."""
        return {
            "identity": self._identity.host,
            "full": self._disk_full,
            "failed": self._disk_failed,
            "waiting_writes": sum(map(len, self._pending.values())),
            "segment_bytes": {
                group.value: log_storage.size_bytes
                for group, log_storage in self._log_storages.items()
            },
        }

    def _persist(self, event: messages.Persist, _: datetime.datetime) -> None:
        self._pending.setdefault(event.group, []).append(event)
        self._schedule_flush(0)

    def _schedule_flush(self, delay: float) -> None:
        if not self._flush_scheduled and not self._disk_failed:
            self._flush_scheduled = True
            self._reactor.callLater(delay, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for group in list(self._pending):
            batch = self._pending.pop(group)
            if not self._write(group, batch):
                later = self._pending.get(group, [])
                self._pending[group] = batch + later
                continue
            self._bus.post(
                messages.Persisted(group=group, write_id=batch[-1].write_id)
            )
        if self._pending:
            self._schedule_flush(RETRY_SECONDS if self._disk_full else 0)

    def _write(
        self, group: records.Group, batch: list[messages.Persist]
    ) -> bool:
        """Write and sync a batch; returns whether it succeeded."""
        started = time.perf_counter()
        try:
            self._log_storages[group].write(batch)
            if any(persist.reset for persist in batch):
                self._identity.mark_formed(group.value)
        except exceptions.StorageFullError as error:
            self._metrics.count("consensus_disk_full")
            if not self._disk_full:
                log.error("disk full, writes are not acknowledged: %s", error)
            self._disk_full = True
            return False
        except exceptions.StorageError as error:
            if not self._disk_failed:
                log.error(
                    "disk failed, no writes until a restart: %s",
                    error,
                )
            self._disk_failed = True
            return False
        if self._disk_full:
            log.info("the disk is no longer full")
            self._disk_full = False
        elapsed = time.perf_counter() - started
        self._metrics.count("consensus_syncs", group=group)
        self._metrics.record(
            "consensus_sync", datetime.timedelta(seconds=elapsed)
        )
        return True
