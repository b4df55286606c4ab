"""Finds upstreams that lost their cache without saying so."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.placement import messages

FAST_GAIN = 0.25
SLOW_GAIN = 0.02
LEAST_SAMPLES = 8
COLD_RATIO = 0.4
LEAST_REUSE = 0.1  # part of the prompt; below it a loss can't be told
REPEAT_AFTER = datetime.timedelta(seconds=30)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Reuse:
    """Reused part of prompts: its usual value and its value of late."""

    incarnation: int
    slow: float
    fast: float
    samples: int = 1
    told_at: datetime.datetime | None = None


class ColdDetector:
    """Watches the part of each prompt that an upstream found in its cache."""

    def __init__(self) -> None:
        self._seen: dict[str, _Reuse] = {}

    def forget(self, upstream_id: str) -> None:
        """Start anew for a fresh incarnation."""
        self._seen.pop(upstream_id, None)

    def observe(
        self, event: messages.WorkEnded, cost: int, now: datetime.datetime
    ) -> bool:
        """Return whether the upstream seems to have turned cold just now."""
        if event.outcome is not messages.WorkOutcome.COMPLETED:
            return False
        prompt = event.prompt_tokens or cost
        part = min(1.0, event.reused_tokens / max(1, prompt))
        reuse = self._seen.get(event.upstream_id)
        if reuse is None or reuse.incarnation != event.incarnation:
            self._seen[event.upstream_id] = _Reuse(
                incarnation=event.incarnation, slow=part, fast=part
            )
            return False
        reuse.samples += 1
        gain = max(SLOW_GAIN, 1 / reuse.samples)
        reuse.slow += gain * (part - reuse.slow)
        reuse.fast += max(FAST_GAIN, 1 / reuse.samples) * (part - reuse.fast)
        if reuse.samples < LEAST_SAMPLES or reuse.slow < LEAST_REUSE:
            return False
        if reuse.fast > COLD_RATIO * reuse.slow:
            return False
        if reuse.told_at and now - reuse.told_at < REPEAT_AFTER:
            return False
        reuse.told_at = now
        return True
