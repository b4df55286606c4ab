"""Stand-in upstreams for the demo, tests and measurements."""

from __future__ import annotations
