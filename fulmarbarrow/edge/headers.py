"""Names of the HTTP headers between callers, daemons and upstreams."""

from __future__ import annotations

CHAT = "X-Chat-Id"
DEADLINE = "X-Deadline-Ms"
INCARNATION = "X-Expected-Incarnation"
KEY = "Idempotency-Key"
ATTEMPT = "X-Attempt-Id"
PRIORITY = "X-Priority"
RESUME_OFFSET = "X-Resume-Offset"
NOT_RUN = "X-Not-Run"
REPLAYED = "X-Replayed"
FLEET_KEY = "X-Upstream-Key"
VERSION = "X-Model-Version"
