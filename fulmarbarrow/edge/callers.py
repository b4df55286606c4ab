"""The HTTP edge towards callers."""

from __future__ import annotations

import functools
import itertools
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.python import failure as failures
from twisted.web import http

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import exchange as exchanges_module
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages as publishing_messages


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
    ) -> None:
        self._prefix = f"{daemon_id}-{incarnation:x}"
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._exchanges = exchanges
        self._done: dict[str, defer.Deferred[bytes]] = {}
        self._numbers = itertools.count(1)
        self._directory = directories.Directory(bundle=bundles.Bundle())
        self._accepting = True
        self._healthy = True
        self.app = klein.Klein()
        self._add_routes()
        for kind in (
            messages.AnswerStarted,
            messages.AnswerData,
            messages.AnswerEnded,
            messages.AnswerBroken,
            messages.RequestRefused,
        ):
            bus.subscribe(kind, lambda event, _: self._write(event))
        bus.subscribe(
            publishing_messages.ConfigurationChanged, self._configure
        )
        self._write = functools.singledispatch(self._write_unknown)
        self._write.register(messages.AnswerStarted, self._write_start)
        self._write.register(messages.AnswerData, self._write_data)
        self._write.register(messages.AnswerEnded, self._write_end)
        self._write.register(messages.AnswerBroken, self._write_break)
        self._write.register(messages.RequestRefused, self._write_refusal)

    def begin_stop(self) -> None:
        """Tell the balancer to send no more requests here."""
        self._healthy = False

    def refuse_new(self) -> None:
        """Refuse new requests; open ones go on."""
        self._accepting = False

    def _add_routes(self) -> None:
        self.app.route("/healthz")(self._health)
        self.app.route("/v1/models")(self._models)
        self.app.route("/", branch=True)(self._take)

    def _configure(
        self, event: publishing_messages.ConfigurationChanged, _: typing.Any
    ) -> None:
        self._directory = directories.Directory(bundle=event.bundle)

    def _health(self, request: http.Request) -> bytes:
        if not self._healthy:
            request.setResponseCode(503)
            return b"stopping\n"
        return b"ok\n"

    def _models(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        data = [
            {"id": name, "object": "model"} for name in self._directory.models
        ]
        return msgspec.json.encode({"object": "list", "data": data})

    def _take(self, request: http.Request) -> defer.Deferred[bytes] | bytes:
        if not self._accepting:
            return self._reject(request, requests.Rejected(code="stopping"))
        request_id = f"{self._prefix}-{next(self._numbers)}"
        body = request.content.read()
        arrived = requests.parse(
            request,
            request_id=request_id,
            body=body,
            directory=self._directory,
            now=self._clock.now(),
        )
        if isinstance(arrived, requests.Rejected):
            return self._reject(request, arrived)
        self._metrics.count(
            "requests", account=arrived.account, service=arrived.service
        )
        self._open(request, arrived, body)
        done: defer.Deferred[bytes] = defer.Deferred()
        self._done[request_id] = done
        self._bus.post(arrived)
        return done

    def _open(
        self,
        request: http.Request,
        arrived: messages.RequestArrived,
        body: bytes,
    ) -> None:
        exchange = exchanges_module.Exchange(
            request=request,
            method=arrived.method,
            target=arrived.path,
            body=body,
            content_type=requests.header(request, "Content-Type"),
            key=arrived.key,
        )
        self._exchanges.add(arrived.request_id, exchange)
        request.notifyFinish().addErrback(self._gone, arrived.request_id)

    def _gone(self, _: failures.Failure, request_id: str) -> None:
        """Tell delivery that a caller closed its connection."""
        if self._exchanges.remove(request_id) is None:
            return
        self._done.pop(request_id, None)
        self._bus.post(messages.CallerGone(request_id=request_id))

    def _reject(
        self, request: http.Request, rejected: requests.Rejected
    ) -> bytes:
        refusal = refusals.REFUSALS[rejected.code]
        self._metrics.count("requests_refused", code=rejected.code)
        request.setResponseCode(refusal.status)
        return self._error_body(request, rejected.code, rejected.detail)

    def _error_body(
        self, request: http.Request, code: str, detail: str = ""
    ) -> bytes:
        refusal = refusals.REFUSALS[code]
        request.setHeader("Content-Type", "application/json")
        text = refusal.message
        if detail:
            text = f"{text}: {detail}"
        return _encode_error(code, text, refusal.ran)

    def _write_unknown(self, event: message.Message) -> None:
        raise TypeError(type(event).__name__)

    def _write_start(self, event: messages.AnswerStarted) -> None:
        exchange = self._exchanges.get(event.request_id)
        if exchange is None:
            return
        request = exchange.request
        request.setResponseCode(event.status)
        if event.content_type:
            request.setHeader("Content-Type", event.content_type)
        if event.length is not None:
            request.setHeader("Content-Length", str(event.length))
        if event.replayed:
            request.setHeader(headers.REPLAYED, "true")
        request.registerProducer(exchange, True)

    def _write_data(self, event: messages.AnswerData) -> None:
        exchange = self._exchanges.get(event.request_id)
        if exchange is not None:
            exchange.request.write(event.data)

    def _write_end(self, event: messages.AnswerEnded) -> None:
        exchange = self._exchanges.remove(event.request_id)
        if exchange is not None:
            exchange.request.unregisterProducer()
            self._done.pop(event.request_id).callback(b"")

    def _write_break(self, event: messages.AnswerBroken) -> None:
        """End a started answer so that the caller sees it is not whole."""
        exchange = self._exchanges.remove(event.request_id)
        if exchange is None:
            return
        self._done.pop(event.request_id)
        refusal = refusals.REFUSALS[event.code]
        error = _encode_error(event.code, refusal.message, event.ran)
        exchange.request.unregisterProducer()
        exchange.request.write(b"event: error\ndata: " + error + b"\n\n")
        exchange.request.loseConnection()

    def _write_refusal(self, event: messages.RequestRefused) -> None:
        exchange = self._exchanges.remove(event.request_id)
        if exchange is None:
            return
        request = exchange.request
        request.setResponseCode(event.status)
        if event.retry_after is not None:
            seconds = max(1, round(event.retry_after.total_seconds()))
            request.setHeader("Retry-After", str(seconds))
        body = self._error_body(request, event.code)
        self._done.pop(event.request_id).callback(body)


def _encode_error(code: str, text: str, ran: messages.Ran) -> bytes:
    error = {"code": code, "message": text, "ran": ran.value}
    return msgspec.json.encode({"error": error})
