"""The replicated log."""

from __future__ import annotations
