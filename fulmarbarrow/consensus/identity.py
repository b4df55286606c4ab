"""The identity of a control host, stored on its disk."""

from __future__ import annotations

import pathlib
import secrets

import msgspec

from fulmarbarrow.consensus import files
from fulmarbarrow import exceptions

IDENTITY_BYTES = 8
FILE_NAME = "identity"


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The host's identity and the groups whose log it stores."""

    host: str
    formed: tuple[str, ...] = ()


class IdentityFile:
    """Generates the identity of a new data folder and stores it.

    It also records which logs were formed, so that a host that lost only its
    log does not continue under its old identity.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._path = folder / FILE_NAME
        if self._path.exists():
            self._identity = self._read()
        else:
            host = secrets.token_hex(IDENTITY_BYTES)
            self._identity = Identity(host=host)
            self._write()

    @property
    def host(self) -> str:
        """The identity stored on this host's disk."""
        return self._identity.host

    def check(self, group: str, *, formed: bool) -> None:
        """Raise CorruptLogError if a log that was formed is missing."""
        if formed:
            self.mark_formed(group)
        elif group in self._identity.formed:
            reason = f"{self._path.parent / group} lost its log"
            raise exceptions.CorruptLogError(reason)

    def mark_formed(self, group: str) -> None:
        """Record that this host stores the log of a group."""
        if group in self._identity.formed:
            return
        before = self._identity
        self._identity = msgspec.structs.replace(
            before, formed=(*before.formed, group)
        )
        try:
            self._write()
        except exceptions.StorageError:
            self._identity = before
            raise

    def _read(self) -> Identity:
        with files.storage_errors(self._path):
            data = self._path.read_bytes()
        try:
            return msgspec.json.decode(data, type=Identity)
        except msgspec.DecodeError as error:
            reason = f"{self._path} is damaged at offset 0: {error}"
            raise exceptions.CorruptLogError(reason) from error

    def _write(self) -> None:
        files.replace(self._path, msgspec.json.encode(self._identity))
