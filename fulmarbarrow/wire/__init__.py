"""Authenticated messages between the system's own processes."""

from __future__ import annotations
