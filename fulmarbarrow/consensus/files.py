"""Durable file operations."""

from __future__ import annotations

import collections.abc
import contextlib
import errno
import fcntl
import os
import pathlib

from fulmarbarrow import exceptions


@contextlib.contextmanager
def storage_errors(path: pathlib.Path) -> collections.abc.Iterator[None]:
    """Convert an OSError about ``path`` to a StorageError."""
    try:
        yield
    except OSError as error:
        reason = f"{path}: {error.strerror or error}"
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            raise exceptions.StorageFullError(reason) from error
        raise exceptions.StorageError(reason) from error


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that new and renamed files survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: pathlib.Path) -> None:
    """Create a folder and its parents durably."""
    with storage_errors(folder):
        missing = []
        while not folder.exists():
            missing.append(folder)
            folder = folder.parent
        for item in reversed(missing):
            item.mkdir()
            sync_folder(item.parent)


def replace(path: pathlib.Path, data: bytes) -> None:
    """Replace a file atomically and durably."""
    temporary = path.with_name(f"{path.name}.tmp")
    with storage_errors(path):
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
        sync_folder(path.parent)


class FolderLock:
    """An exclusive lock of a data folder by one process."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        path = folder / "lock"
        with storage_errors(path):
            self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._descriptor)
            reason = f"{folder} is in use by another process"
            raise exceptions.StorageError(reason) from error

    def release(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)
