"""Admission control, fair queueing, account priority and deadlines."""

from __future__ import annotations
