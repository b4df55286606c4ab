"""The HTTP edge towards callers."""

from __future__ import annotations

import functools
import io
import itertools
import random
import typing

from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources
from twisted.web import server

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.edge import answer as answers
from fulmarbarrow.edge import dialect as dialects
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import exchange as exchanges_module
from fulmarbarrow.edge import guard as guards
from fulmarbarrow.edge import own_dialect
from fulmarbarrow.edge import site as sites
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages

_ANSWERS = (
    messages.ResponseStarted,
    messages.ResponseData,
    messages.ResponseEnded,
    messages.ResponseAborted,
    messages.RequestRefused,
)


class FixedRoutes(typing.Protocol):
    """Paths that are answered without any upstream."""

    paths: tuple[bytes, ...]

    def render(self, request: http.Request) -> bytes | int:
        """Answer a request for one of the paths."""


class CallersEdge:
    """Takes callers' requests and writes their answers."""

    def __init__(
        self,
        *,
        daemon_id: str,
        incarnation: int,
        bus: buses.Bus,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        exchanges: exchanges_module.Exchanges,
        limits: defaults.LimitsSection,
        dialect: dialects.CallerDialect | None = None,
        guard: guards.Guard | None = None,
    ) -> None:
        self._prefix = f"{daemon_id}-{incarnation:x}"
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._exchanges = exchanges
        self._limits = limits
        self._retry_delays = refusals.RetryDelays(
            rng=random.Random(incarnation), started=clock.now()
        )
        self._dialect = dialect or own_dialect.OwnCallers()
        self._answers: dict[str, answers.Answer] = {}
        self._largest_backlog = 0
        self._numbers = itertools.count(1)
        self._directory = directories.Directory(
            bundle=bundles.Bundle(), in_force=False
        )
        self._accepting = True
        self._healthy = True
        self._configured = False
        self._root = _Root(take=self._take)
        self.site = sites.BoundedSite(
            resource=self._root,
            max_body_bytes=limits.max_body_bytes,
            metrics=metrics,
            guard=guard,
        )
        write = self._write  # bound once, as binding costs more than a call
        for kind in _ANSWERS:
            bus.subscribe(kind, lambda event, _: write(event))
        bus.subscribe(
            publishing_messages.ConfigurationChanged, self._configure
        )
        bus.watch_errors(self._handling_failed)

    @property
    def healthy(self) -> bool:
        """Whether the balancer should send requests here."""
        return self._healthy

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._configured

    @property
    def directory(self) -> directories.Directory:
        """The accounts and routes in force."""
        return self._directory

    def serve_fixed(self, fixed: FixedRoutes) -> None:
        """Answer some paths without any upstream."""
        self._root.fixed = fixed

    def begin_stop(self) -> None:
        """Tell the balancer to send no more requests here.

        Callers are told to open no second request on their connections.
        """
        self._healthy = False

    def refuse_new(self) -> None:
        """Refuse new requests; open ones go on."""
        self._accepting = False

    def answered(self) -> bool:
        """Return whether no request is open."""
        return not self._answers

    def drained(self) -> bool:
        """Return whether every answer is sent and its connection closed."""
        return self.site.close_idle() == 0 and not self._answers

    def dump(self) -> dict[str, typing.Any]:
        """Return the open answers and the largest backlog of any."""
        return {
            "open": sorted(self._answers),
            "largest_backlog_bytes": self._largest_backlog,
            "backlog_limit_bytes": self._limits.max_answer_buffer_bytes,
        }

    def _configure(
        self, event: publishing_messages.ConfigurationChanged, _: typing.Any
    ) -> None:
        self._directory = directories.Directory(bundle=event.bundle)
        self._configured = True

    def _take(self, request: http.Request) -> bytes | None:
        """Take a request; the bytes of an error if it is refused here."""
        if not self._healthy:
            request.setHeader("Connection", "close")
            request.channel.persistent = False
        if not self._accepting:
            return self.reject(request, dialects.Rejected(code="stopping"))
        request_id = f"{self._prefix}-{next(self._numbers)}"
        body = request.content.read()
        # The exchange holds the body from now on.
        request.content = io.BytesIO()
        taken = self._dialect.parse(
            request,
            request_id=request_id,
            body=body,
            directory=self._directory,
            now=self._clock.now(),
        )
        if isinstance(taken, dialects.Rejected):
            return self.reject(request, taken)
        arrived = taken.arrived
        self._metrics.count(
            "requests", account=arrived.account, service=arrived.service
        )
        self._open(request, taken, body)
        self._bus.post(arrived)
        return None

    def _open(
        self,
        request: http.Request,
        taken: dialects.Taken,
        body: bytes,
    ) -> None:
        arrived = taken.arrived
        exchange = exchanges_module.Exchange(
            request=request,
            method=arrived.method,
            target=arrived.path,
            body=body,
            content_type=taken.content_type,
            key=taken.key,
            chat=arrived.chat if arrived.model else "",
            fields=taken.fields,
            echo=taken.echo,
            once=not arrived.idempotent,
            account=arrived.account,
        )
        self._exchanges.add(arrived.request_id, exchange)
        self._answers[arrived.request_id] = answers.Answer(
            request=request,
            exchange=exchange,
            arrived=arrived,
            opened_at=self._clock.now(),
            max_backlog_bytes=self._limits.max_answer_buffer_bytes,
            dialect=self._dialect,
        )
        request.notifyFinish().addErrback(self._gone, arrived.request_id)

    def _gone(self, _: failures.Failure, request_id: str) -> None:
        """Tell delivery that a caller closed its connection."""
        if self._close(request_id) is not None:
            self._metrics.count("callers_gone")
            self._bus.post(messages.CallerDisconnected(request_id=request_id))

    def _close(self, request_id: str) -> answers.Answer | None:
        """Forget an open answer and return it if it was open."""
        self._exchanges.remove(request_id)
        answer = self._answers.pop(request_id, None)
        if answer is not None:
            self._metrics.record(
                "request",
                self._clock.now() - answer.opened_at,
                account=answer.account,
                service=answer.service,
            )
        return answer

    def reject(
        self, request: http.Request, rejected: dialects.Rejected
    ) -> bytes:
        """Return the error of a request that is not taken."""
        self._metrics.count("requests_refused", code=rejected.code)
        retry_after = self._retry_delays.for_code(
            rejected.code, self._clock.now()
        )
        refused = self._dialect.refuse(
            rejected.code,
            detail=rejected.detail,
            retry_after=retry_after,
        )
        self._bus.post(
            messages.RequestRejected(
                caller_id=rejected.caller_id,
                code=rejected.code,
                retry_after=retry_after,
            )
        )
        request.setResponseCode(refused.status)
        for name, value in refused.fields:
            request.setHeader(name, value)
        if rejected.allow:
            request.setHeader("Allow", ", ".join(rejected.allow))
        return refused.body

    def _handling_failed(self, failed: message.Message) -> None:
        """Answer the caller whose request met an error in a core."""
        request_id = getattr(failed, "request_id", "")
        if not request_id:
            attempt_id = getattr(failed, "attempt_id", "")
            request_id = attempt_id.rpartition("-")[0]
        answer = self._close(request_id)
        if answer is None:
            return
        self._end(answer, "internal_error", messages.Ran.UNKNOWN)
        self._bus.post(messages.CallerDisconnected(request_id=request_id))

    def _end(
        self, answer: answers.Answer, code: str, ran: messages.Ran
    ) -> None:
        if answer.started:
            answer.break_off(code, ran)
        else:
            answer.refuse(code, ran=ran)

    @functools.singledispatchmethod
    def _write(self, event: message.Message) -> None:
        raise TypeError(type(event).__name__)

    @_write.register(messages.ResponseStarted)
    def _write_start(self, event: messages.ResponseStarted) -> None:
        answer = self._answers.get(event.request_id)
        if answer is not None:
            answer.start(event)

    @_write.register(messages.ResponseData)
    def _write_data(self, event: messages.ResponseData) -> None:
        answer = self._answers.get(event.request_id)
        if answer is None:
            return
        kept_up = answer.write(event.data)
        if answer.backlog_bytes > self._largest_backlog:
            self._largest_backlog = answer.backlog_bytes
        if not kept_up:
            self._metrics.count("answers_overrun")
            self._close(event.request_id)
            answer.abort()
            self._bus.post(
                messages.CallerDisconnected(request_id=event.request_id)
            )

    @_write.register(messages.ResponseEnded)
    def _write_end(self, event: messages.ResponseEnded) -> None:
        answer = self._close(event.request_id)
        if answer is not None:
            answer.finish()

    @_write.register(messages.ResponseAborted)
    def _write_break(self, event: messages.ResponseAborted) -> None:
        answer = self._close(event.request_id)
        if answer is not None:
            self._metrics.count("answers_broken", code=event.code)
            answer.break_off(event.code, event.ran)

    @_write.register(messages.RequestRefused)
    def _write_refusal(self, event: messages.RequestRefused) -> None:
        answer = self._close(event.request_id)
        if answer is not None:
            answer.refuse(
                event.code,
                ran=event.ran,
                retry_after=event.retry_after,
            )


class _Root(resources.Resource):
    """Gives the fixed paths away and all others to the edge itself."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, *, take: typing.Callable[[http.Request], bytes | None]
    ) -> None:
        super().__init__()
        self.fixed: FixedRoutes | None = None
        self._take = take

    def render(self, request: http.Request) -> bytes | int:
        """Answer a request, now or when its answer comes."""
        if self.fixed is not None and request.path in self.fixed.paths:
            return self.fixed.render(request)
        body = self._take(request)
        return server.NOT_DONE_YET if body is None else body
