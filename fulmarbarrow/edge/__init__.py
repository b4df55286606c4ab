"""HTTP towards callers, upstreams and operators."""

from __future__ import annotations
