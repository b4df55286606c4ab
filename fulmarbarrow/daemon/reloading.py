"""Follows changes of the settings file while the daemon runs."""

from __future__ import annotations

import datetime
import logging
import pathlib

from fulmarbarrow import bus as buses
from fulmarbarrow.config import defaults
from fulmarbarrow.config import settings_file
from fulmarbarrow.membership import messages

log = logging.getLogger(__name__)

# The file may change without a signal.
CHECK_INTERVAL = datetime.timedelta(seconds=2)


class Reloader:
    """Reads the settings again and applies what can change at run time.

    That is how other daemons are found; everything else takes a restart.
    Settings with errors are logged and left aside.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path | None,
        settings: defaults.Settings,
        bus: buses.Bus,
    ) -> None:
        self._path = path
        self._settings = settings
        self._bus = bus
        self._stamp = self._read_stamp()

    def check(self) -> None:
        """Reload if the file has changed."""
        if self._path is not None and self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Read the settings now."""
        if self._path is None:
            return
        self._stamp = self._read_stamp()
        settings, found = settings_file.load_settings(self._path)
        if settings is None:
            log.error(
                "settings not reloaded",
                extra={"findings": [str(finding) for finding in found]},
            )
            return
        seeds = tuple(map(str, settings.peers.addresses))
        changed = settings != self._settings
        self._settings = settings
        log.info(
            "settings reloaded", extra={"changed": changed, "seeds": seeds}
        )
        self._bus.post(messages.SeedsChanged(addresses=seeds))

    def _read_stamp(self) -> tuple[int, int] | None:
        """Return the file's time of change and size, None without a file."""
        if self._path is None:
            return None
        try:
            found = self._path.stat()
        except OSError as error:
            log.warning("settings not found", extra={"reason": str(error)})
            return None
        return found.st_mtime_ns, found.st_size
