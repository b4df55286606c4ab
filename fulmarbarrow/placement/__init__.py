"""Choice of the upstream for a chat."""

from __future__ import annotations
