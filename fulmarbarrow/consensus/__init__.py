"""A replicated log based on the Raft consensus algorithm."""

from __future__ import annotations
