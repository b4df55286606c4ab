"""A fake model engine in simulated time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import typing

from fulmarbarrow.placement import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Speeds and sizes of an engine, in tokens and seconds."""

    batch_tokens: int = 96_000
    cache_tokens: int = 480_000
    prefill_tokens_per_second: float = 8_000.0
    token_interval: float = 0.02
    cold_start: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """One request of the workload on its way through the fleet."""

    request: messages.PlaceRequest
    arrived: float
    prompt_tokens: int
    answer_tokens: int
    router: int
    dispatched: float | None = None
    started: float | None = None
    ended: float | None = None
    engine: str = ""
    reused_tokens: int = 0
    priority: int = 0
    refused: str = ""
    cancelled: bool = False
    incarnation: int = 1
    version: str = ""


class FakeEngine:
    """Runs jobs while their cost fits its batch; the rest wait by priority.

    It keeps the prefixes of the chats that it ran last.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        model: EngineModel,
        schedule: typing.Callable[[float, typing.Callable[[], None]], None],
        ended: typing.Callable[[Job], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.model = model
        self.alive = True
        self.running: dict[str, Job] = {}
        self.work = 0
        self._running_cost = 0
        self._queue: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached = 0
        self._schedule = schedule
        self._ended = ended

    @property
    def queued(self) -> int:
        """The number of jobs that wait in the engine."""
        return len(self._queue)

    @property
    def running_cost(self) -> int:
        """The work of the running jobs in tokens."""
        return self._running_cost

    def take(self, job: Job, now: float) -> None:
        """Run a job now or queue it."""
        self.work += job.request.cost
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._start(now)

    def cancel(self, job: Job, now: float) -> None:
        """Stop a job at once."""
        job.cancelled = True
        if job.request.attempt_id in self.running:
            self._finish(job, now)
            return
        self._queue = [item for item in self._queue if item[2] is not job]
        heapq.heapify(self._queue)
        self.work -= job.request.cost

    def crash(self) -> list[Job]:
        """Stop at once and return the jobs that were lost."""
        self.alive = False
        lost = [*self.running.values(), *(item[2] for item in self._queue)]
        self.running.clear()
        self._queue.clear()
        self.work = self._running_cost = 0
        return lost

    def clear_cache(self) -> None:
        """Turn cold without a word."""
        self._cache.clear()
        self._cached = 0

    def _start(self, now: float) -> None:
        while self._queue and self.alive:
            job = self._queue[0][2]
            cost = job.request.cost
            fits = self._running_cost + cost <= self.model.batch_tokens
            if self.running and not fits:
                return
            heapq.heappop(self._queue)
            self._run(job, now)

    def _run(self, job: Job, now: float) -> None:
        model = self.model
        job.started = now
        chat = job.request.chat
        job.reused_tokens = min(self._cache.get(chat, 0), job.prompt_tokens)
        fresh = job.prompt_tokens - job.reused_tokens
        seconds = fresh / model.prefill_tokens_per_second
        seconds += job.answer_tokens * model.token_interval
        self.running[job.request.attempt_id] = job
        self._running_cost += job.request.cost
        self._schedule(
            now + seconds, lambda: self._complete(job, now, seconds)
        )

    def _complete(self, job: Job, now: float, seconds: float) -> None:
        if not job.cancelled and self.alive:
            self._store(
                job.request.chat, job.prompt_tokens + job.answer_tokens
            )
            self._finish(job, now + seconds)

    def _finish(self, job: Job, now: float) -> None:
        del self.running[job.request.attempt_id]
        self._running_cost -= job.request.cost
        self.work -= job.request.cost
        job.ended = now
        self._ended(job)
        self._start(now)

    def _store(self, chat: str, tokens: int) -> None:
        self._cached += tokens - self._cache.pop(chat, 0)
        self._cache[chat] = tokens
        while self._cached > self.model.cache_tokens:
            _, evicted = self._cache.popitem(last=False)
            self._cached -= evicted
