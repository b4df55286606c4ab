"""A router fleet that keeps each chat on the upstream that caches it."""

from __future__ import annotations

__version__ = "0.1.0"
