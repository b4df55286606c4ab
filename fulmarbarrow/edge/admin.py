"""The HTTP edge for operators and their command line."""

from __future__ import annotations

import datetime
import typing
import uuid

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http

from fulmarbarrow import bus as buses
from fulmarbarrow import decoding
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages


class PublishBody(msgspec.Struct, frozen=True, kw_only=True):
    """What the command line sends to ``POST /v1/publish``."""

    publish_id: str
    publisher: str
    base_revision: int
    digest: str
    bundle: msgspec.Raw


class PublishAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What ``POST /v1/publish`` answers; ``code`` is empty on acceptance."""

    code: str
    revision: int
    winner: str
    differs: tuple[str, ...]


class AdminEdge:
    """Answers dumps, metrics and the status, and takes publish requests."""

    def __init__(
        self,
        *,
        bus: buses.Bus,
        metrics: metrics_module.Metrics,
        dump: typing.Callable[[], dict[str, typing.Any]],
        publishes: bool = True,
    ) -> None:
        self._bus = bus
        self._metrics = metrics
        self._dump = dump
        self._publishes = publishes
        self._publishing: dict[str, list[defer.Deferred[bytes]]] = {}
        self._asking: dict[str, defer.Deferred[bytes]] = {}
        self.app = klein.Klein()
        self.app.route("/dump")(self._give_dump)
        self.app.route("/metrics")(self._give_metrics)
        self.app.route("/v1/status")(self._give_status)
        self.app.route("/v1/publish", methods=["POST"])(self._publish)
        bus.subscribe(messages.PublishResult, self._published)
        bus.subscribe(messages.StatusResponse, self._status_given)

    def _give_dump(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._dump())

    def _give_metrics(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.exposition()

    def _give_status(
        self, request: http.Request
    ) -> defer.Deferred[bytes] | bytes:
        request.setHeader("Content-Type", "application/json")
        if not self._publishes:
            return _refuse(request, "not_a_control_host")
        status_id = uuid.uuid4().hex
        done: defer.Deferred[bytes] = defer.Deferred()
        self._asking[status_id] = done
        self._bus.post(messages.StatusRequested(status_id=status_id))
        return done

    def _status_given(
        self, event: messages.StatusResponse, _: datetime.datetime
    ) -> None:
        done = self._asking.pop(event.status_id, None)
        if done is not None:
            done.callback(msgspec.json.encode(event.status))

    def _publish(self, request: http.Request) -> defer.Deferred[bytes] | bytes:
        request.setHeader("Content-Type", "application/json")
        if not self._publishes:
            return _refuse(request, "not_a_control_host")
        try:
            body = decoding.decode_json(request.content.read(), PublishBody)
        except msgspec.DecodeError as error:
            return _refuse(request, "publish_invalid", str(error))
        done: defer.Deferred[bytes] = defer.Deferred()
        self._publishing.setdefault(body.publish_id, []).append(done)
        self._bus.post(
            messages.PublishRequested(
                publish_id=body.publish_id,
                publisher=body.publisher,
                base_revision=body.base_revision,
                digest=body.digest,
                bundle=bytes(body.bundle),
            )
        )
        return done

    def _published(
        self, event: messages.PublishResult, _: datetime.datetime
    ) -> None:
        answer = PublishAnswer(
            code=event.code,
            revision=event.revision,
            winner=event.winner,
            differs=event.differs,
        )
        for done in self._publishing.pop(event.publish_id, ()):
            done.callback(msgspec.json.encode(answer))


def _refuse(request: http.Request, code: str, text: str = "") -> bytes:
    request.setResponseCode(http.BAD_REQUEST)
    return msgspec.json.encode({"error": {"code": code, "message": text}})
