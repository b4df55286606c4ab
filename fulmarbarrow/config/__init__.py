"""Daemon settings and operators' files: defaults, option types, findings."""

from __future__ import annotations
