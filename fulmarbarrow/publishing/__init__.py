"""Publishes configuration and activates it on every daemon."""

from __future__ import annotations
