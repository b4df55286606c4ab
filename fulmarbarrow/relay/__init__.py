"""Connections to upstreams by way of peers, while this host has no path."""

from __future__ import annotations
