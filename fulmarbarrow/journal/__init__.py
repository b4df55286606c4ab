"""At-most-once actions."""

from __future__ import annotations
