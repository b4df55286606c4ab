"""One checker for each thing that must always hold."""

from __future__ import annotations
