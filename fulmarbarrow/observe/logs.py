"""Sets up structured logging."""

from __future__ import annotations

import datetime
import logging

import msgspec

from fulmarbarrow.config import defaults


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object on a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        fields = {
            "time": at.isoformat(),
            "level": record.levelname,
            "logger": record.name,
            "text": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def set_up(settings: defaults.LogSection) -> None:
    """Send all log records to standard error in the configured format."""
    handler = logging.StreamHandler()
    if settings.format is defaults.LogFormat.JSON:
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    logging.basicConfig(
        level=logging.getLevelNamesMapping()[settings.level],
        handlers=[handler],
        force=True,
    )
