"""Which daemons and upstreams are alive."""

from __future__ import annotations
