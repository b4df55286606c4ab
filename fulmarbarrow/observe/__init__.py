"""Counters, histograms, state dumps and logs."""

from __future__ import annotations
