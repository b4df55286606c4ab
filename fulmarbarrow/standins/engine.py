"""A stand-in model engine that streams made-up words."""

from __future__ import annotations

import dataclasses
import datetime
import itertools
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http

from fulmarbarrow import clock as clocks
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.edge import upstreams
from fulmarbarrow.standins import answers
from fulmarbarrow.standins import bad_version
from fulmarbarrow.standins import batch as batches
from fulmarbarrow.standins import cache_events
from fulmarbarrow.standins import faults as faults_module
from fulmarbarrow.standins import guard as guards
from fulmarbarrow.standins import identity as identities
from fulmarbarrow.standins import kv
from fulmarbarrow.standins import load_lag
from fulmarbarrow.standins import options as options_module
from fulmarbarrow.standins import orders
from fulmarbarrow.standins import prefix_cache

STEP_SECONDS = 0.005


class CancelBody(msgspec.Struct, frozen=True, kw_only=True):
    """What the fleet sends to ``POST /v1/cancel``."""

    attempt_id: str


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request and its answer so far."""

    request: http.Request
    body: bytes
    chat: str
    stream: bool
    prompt_tokens: int
    cached_tokens: int
    cut_after: int | None
    done: defer.Deferred[bytes]


class Engine:
    """Answers chat completions in batches."""

    def __init__(
        self,
        *,
        options: options_module.StandinOptions,
        reactor: typing.Any,
        clock: clocks.Clock,
        faults: faults_module.Faults,
        identity: identities.Identity,
    ) -> None:
        self._options = options
        self._reactor = reactor
        self._clock = clock
        self._faults = faults
        self._guard = guards.Guard(
            faults=faults, identity=identity, reactor=reactor
        )
        self._bad = bad_version.BadVersion(faults=faults, clock=clock)
        self._batch = batches.Batch(
            limit=options.batch_requests,
            queue_limit=options.queue_requests,
            tokens_per_second=options.tokens_per_second,
            job_tokens_per_second=1000 / options.token_interval_ms,
            prompt_tokens_per_second=options.prompt_tokens_per_second,
        )
        self._cache = prefix_cache.PrefixCache(
            capacity_tokens=options.cache_tokens
        )
        self._cache_reporter = cache_events.CacheReporter(
            options=options,
            reactor=reactor,
            identity=identity,
        )
        self._kv = kv.KvMover(cache=self._cache, stored=self._stored)
        self._orders = orders.OrderDesk(
            offers=options.offers,
            move_kv=self._kv.move,
            faults=faults,
            checks_fencing=options.checks_fencing,
        )
        self._load = load_lag.LoadLag(
            clock=clock,
            lag=datetime.timedelta(milliseconds=options.load_lag_ms),
        )
        self._runs: dict[str, Run] = {}
        self._unnamed = itertools.count(1)
        self._stepped_at: datetime.datetime | None = None
        self._cold_until = clock.now()
        faults.watch(faults_module.FaultKind.COLD, self._turn_cold)
        self.app = klein.Klein()
        for path, handler in (
            (requests.CHAT_PATH, self._chat),
            ("/v1/cancel", self._cancel),
            ("/v1/orders", self._order),
            (kv.PATH, self._kv.take),
        ):
            self.app.route(path, methods=["POST"])(handler)
        self.app.route(kv.PATH, methods=["GET"])(self._kv.give)

    def load(self) -> upstreams.LoadBody:
        """Return the work as it was a while ago."""
        self._sample()
        return self._load.report()

    def offers(self) -> tuple[str, ...]:
        """Return the versions that the engine can run now."""
        return self._orders.offers

    def state(self) -> dict[str, typing.Any]:
        """Return everything that a test may want to know."""
        return {
            "running": [job.attempt_id for job in self._batch.running],
            "queued": [job.attempt_id for job in self._batch.queued],
            "cached_chats": self._cache.chats,
            "cached_tokens": self._cache.used_tokens,
            "offers": self._orders.offers,
            "role": self._orders.role,
            "orders": self._orders.counts,
        }

    async def _chat(self, request: http.Request) -> bytes:
        body = request.content.read()
        refused = await self._guard.enter(request, body)
        if refused is not None:
            return refused
        chat = msgspec.json.decode(body, type=requests.ChatRequest)
        version = requests.header(request, headers.VERSION)
        bad = self._bad.strikes(
            version=version,
            path=request.path.decode(),
            running=len(self._runs),
        )
        if bad is faults_module.BadMode.FAIL:
            request.setResponseCode(500)
            return b'{"error": {"code": "bad_version"}}'
        return await self._run(request, body, chat, bad)

    async def _run(
        self,
        request: http.Request,
        body: bytes,
        chat: requests.ChatRequest,
        bad: faults_module.BadMode | None,
    ) -> bytes:
        run = self._make_run(request, body, chat)
        job = self._make_job(request, chat, run)
        if bad is faults_module.BadMode.SLOW:
            job.speed = 1 / self._bad.factor
        if not self._batch.add(job):
            return guards.refuse(request, "queue_full")
        self._runs[job.attempt_id] = run
        request.notifyFinish().addErrback(self._gone, job.attempt_id)
        kind = "text/event-stream" if run.stream else "application/json"
        request.setHeader("Content-Type", kind)
        offset = requests.header(request, headers.RESUME_OFFSET)
        if run.stream and offset:
            request.setHeader(headers.RESUME_OFFSET, offset)
        self._plan_step()
        return await run.done

    def _make_run(
        self, request: http.Request, body: bytes, chat: requests.ChatRequest
    ) -> Run:
        identity = requests.chat_identity(
            requests.header(request, headers.CHAT), chat, ""
        )
        prompt = max(1, len(body) // requests.BYTES_PER_TOKEN)
        return Run(
            request=request,
            body=body,
            chat=identity,
            stream=chat.stream,
            prompt_tokens=prompt,
            cached_tokens=min(prompt, self._cache.find(identity)),
            cut_after=self._guard.cut_after(),
            done=defer.Deferred(),
        )

    def _make_job(
        self, request: http.Request, chat: requests.ChatRequest, run: Run
    ) -> batches.Job:
        def number(name: str) -> int:
            return int(requests.header(request, name) or 0)

        return batches.Job(
            attempt_id=requests.header(request, headers.ATTEMPT)
            or f"unnamed-{next(self._unnamed)}",
            priority=number(headers.PRIORITY),
            prompt_tokens=float(run.prompt_tokens - run.cached_tokens),
            answer_tokens=chat.max_tokens or requests.DEFAULT_ANSWER_TOKENS,
            resume_offset=number(headers.RESUME_OFFSET),
        )

    def _gone(self, _: object, attempt_id: str) -> None:
        """Stop the work of a request whose connection was closed."""
        self._batch.cancel(attempt_id)
        self._runs.pop(attempt_id, None)

    def _cancel(self, request: http.Request) -> bytes:
        body = msgspec.json.decode(request.content.read(), type=CancelBody)
        found = self._batch.cancel(body.attempt_id)
        run = self._runs.pop(body.attempt_id, None)
        if run is not None:
            run.request.loseConnection()
        return msgspec.json.encode({"cancelled": found})

    def _order(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        order = msgspec.json.decode(
            request.content.read(), type=orders.OrderBody
        )
        reply = self._orders.take(order)
        if reply.code:
            stale = reply.code == orders.STALE_FENCING
            request.setResponseCode(409 if stale else 503)
        return msgspec.json.encode(reply)

    def _plan_step(self) -> None:
        if self._stepped_at is None:
            self._stepped_at = self._clock.now()
            self._reactor.callLater(STEP_SECONDS, self._step)

    def _step(self) -> None:
        now = self._clock.now()
        elapsed = (now - self._stepped_at).total_seconds()
        self._stepped_at = now
        for progress in self._batch.advance(elapsed, self._speed()):
            run = self._runs.get(progress.job.attempt_id)
            if run is not None:
                self._give(run, progress)
        self._sample()
        if self._runs:
            self._reactor.callLater(STEP_SECONDS, self._step)
        else:
            self._stepped_at = None

    def _speed(self) -> float:
        slow = self._faults.get(faults_module.FaultKind.SLOW)
        cold = self._faults.get(faults_module.FaultKind.COLD)
        speed = 1 / slow.factor if slow else 1.0
        if cold and self._clock.now() < self._cold_until:
            speed /= cold.factor
        return speed

    def _give(self, run: Run, progress: batches.Progress) -> None:
        """Write new words; a silent connection gets nothing any more."""
        if self._guard.silent(run.request):
            return
        job, end = progress.job, progress.end
        cut = run.cut_after is not None and end >= run.cut_after
        if cut:
            end = max(progress.first, run.cut_after)
        if run.stream:
            self._write_words(run, job, range(progress.first, end))
        if cut:
            self._gone(None, job.attempt_id)
            run.request.loseConnection()
        elif progress.whole:
            self._finish(run, job)

    def _write_words(self, run: Run, job: batches.Job, numbers: range) -> None:
        last = job.answer_tokens - 1
        run.request.write(
            b"".join(
                answers.event(
                    job.attempt_id,
                    number,
                    self._usage(run, job) if number == last else None,
                )
                for number in numbers
            )
        )

    def _usage(self, run: Run, job: batches.Job) -> dict[str, object]:
        return answers.usage(
            prompt_tokens=run.prompt_tokens,
            answer_tokens=job.answer_tokens,
            cached_tokens=run.cached_tokens,
        )

    def _finish(self, run: Run, job: batches.Job) -> None:
        del self._runs[job.attempt_id]
        self._guard.ran(run.body)
        tokens = run.prompt_tokens + job.answer_tokens
        self._stored(run.chat, self._cache.store(run.chat, tokens))
        if run.stream:
            run.done.callback(answers.END)
            return
        whole = answers.completion(
            job.attempt_id, job.answer_tokens, self._usage(run, job)
        )
        run.done.callback(msgspec.json.encode(whole))

    def _stored(self, chat: str, evicted: list[str]) -> None:
        self._cache_reporter.add(stored=chat, evicted=evicted)

    def _turn_cold(self, fault: faults_module.Fault) -> None:
        if fault.on:
            self._cache_reporter.add(stored="", evicted=self._cache.clear())
            self._cold_until = self._clock.now() + datetime.timedelta(
                seconds=fault.seconds
            )

    def _sample(self) -> None:
        running, queued = self._batch.running, self._batch.queued
        self._load.sample(
            running_tokens=sum(job.remaining for job in running),
            queued_tokens=sum(job.remaining for job in queued),
            running_requests=len(running),
            queued_requests=len(queued),
        )
