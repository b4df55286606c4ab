"""Group membership of daemons and service discovery of upstreams."""

from __future__ import annotations
