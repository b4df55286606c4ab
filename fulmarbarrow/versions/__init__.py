"""Moves between versions of a model."""

from __future__ import annotations
