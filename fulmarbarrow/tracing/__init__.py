"""Recorded traces of a daemon's messages and their replay."""

from __future__ import annotations
