"""Replicated journal for actions that run at most once."""

from __future__ import annotations
