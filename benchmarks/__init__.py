"""Measurements; each module with a ``measure`` function is run."""

from __future__ import annotations
