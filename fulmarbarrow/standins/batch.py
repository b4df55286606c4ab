"""Continuous batching: requests share one engine's token rate."""

from __future__ import annotations

import bisect
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Job:
    """One request in the engine, with its work in tokens.

    The first ``resume_offset`` answer events are skipped. ``speed`` is the
    job's own part of the full speed.
    """

    attempt_id: str
    priority: int
    prompt_tokens: float
    answer_tokens: int
    resume_offset: int = 0
    speed: float = 1.0
    generated: float = 0.0
    given: int = 0

    def __post_init__(self) -> None:
        """Start after the events that the caller already has."""
        self.given = min(self.resume_offset, self.answer_tokens)
        self.generated = float(self.given)

    @property
    def remaining(self) -> int:
        """The tokens of prompt and answer that are still to compute."""
        return round(self.prompt_tokens + self.answer_tokens - self.generated)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Progress:
    """New answer tokens of a job, from ``first`` up to ``end``."""

    job: Job
    first: int
    end: int

    @property
    def whole(self) -> bool:
        """Whether these are the last tokens of the answer."""
        return self.end >= self.job.answer_tokens


class Batch:
    """Runs up to ``limit`` jobs at once; the rest wait by priority."""

    def __init__(
        self,
        *,
        limit: int,
        queue_limit: int,
        tokens_per_second: float,
        job_tokens_per_second: float,
        prompt_tokens_per_second: float,
    ) -> None:
        self._limit = limit
        self._queue_limit = queue_limit
        self._rate = tokens_per_second
        self._job_rate = job_tokens_per_second
        self._prompt_rate = prompt_tokens_per_second
        self._running: dict[str, Job] = {}
        self._queue: list[Job] = []

    @property
    def running(self) -> list[Job]:
        """The jobs that run."""
        return list(self._running.values())

    @property
    def queued(self) -> list[Job]:
        """The jobs that wait, the next one first."""
        return list(self._queue)

    def add(self, job: Job) -> bool:
        """Take a job; False if the queue is full and nothing will run."""
        if len(self._running) < self._limit:
            self._running[job.attempt_id] = job
            return True
        if len(self._queue) >= self._queue_limit:
            return False
        bisect.insort(self._queue, job, key=lambda item: item.priority)
        return True

    def cancel(self, attempt_id: str) -> bool:
        """Drop a job and return whether it was there."""
        waiting = len(self._queue)
        self._queue = [
            job for job in self._queue if job.attempt_id != attempt_id
        ]
        found = self._running.pop(attempt_id, None)
        self._fill()
        return found is not None or len(self._queue) < waiting

    def advance(self, elapsed: float, speed: float = 1.0) -> list[Progress]:
        """Compute for ``elapsed`` seconds and return what came out."""
        jobs = list(self._running.values())
        prompts = [job for job in jobs if job.prompt_tokens > 0]
        if prompts:
            share = self._prompt_rate * elapsed * speed / len(prompts)
            for job in prompts:
                job.prompt_tokens = max(0.0, job.prompt_tokens - share)
        answering = [job for job in jobs if job.prompt_tokens <= 0]
        if not answering:
            return []
        rate = min(self._job_rate, self._rate / len(answering)) * speed
        progress = []
        for job in answering:
            progress.extend(self._generate(job, rate * elapsed * job.speed))
        self._fill()
        return progress

    def _generate(self, job: Job, tokens: float) -> list[Progress]:
        job.generated = min(job.generated + tokens, float(job.answer_tokens))
        first, job.given = job.given, int(job.generated)
        if job.given >= job.answer_tokens:
            del self._running[job.attempt_id]
        elif job.given == first:
            return []
        return [Progress(job=job, first=first, end=job.given)]

    def _fill(self) -> None:
        while self._queue and len(self._running) < self._limit:
            job = self._queue.pop(0)
            self._running[job.attempt_id] = job
