"""Fair shares, priority, admission and deadlines."""

from __future__ import annotations
