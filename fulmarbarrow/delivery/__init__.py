"""Attempts, retries and whole answers."""

from __future__ import annotations
