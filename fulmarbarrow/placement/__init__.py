"""Selects the upstream for each request and reserves its capacity."""

from __future__ import annotations
