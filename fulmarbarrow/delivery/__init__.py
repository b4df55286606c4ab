"""Delivery of requests to upstreams: attempts, retries and responses."""

from __future__ import annotations
