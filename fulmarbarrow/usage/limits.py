"""Bounds of the tables of counts."""

from __future__ import annotations

import datetime

MAX_ACCOUNTS = 4096  # of a window
MAX_ROUTERS = 1024  # of a window
MAX_SOURCES = 64  # other routers of which a router keeps counts
MAX_COUNT = 1 << 40
# A window whose end is longer ago is not reported any more.
REPORT_FOR = datetime.timedelta(seconds=60)


def kept_windows(window: datetime.timedelta) -> int:
    """Return how many windows that have ended can still be reported."""
    return -(-REPORT_FOR // window) + 1
