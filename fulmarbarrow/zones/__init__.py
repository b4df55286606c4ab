"""Evacuation and return of availability zones, and load shedding."""

from __future__ import annotations
