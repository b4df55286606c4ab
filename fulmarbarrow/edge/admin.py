"""The HTTP edge for operators and their command line."""

from __future__ import annotations

import datetime
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http

from fulmarbarrow import bus as buses
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import messages


class PublishBody(msgspec.Struct, frozen=True, kw_only=True):
    """What the command line sends to ``POST /v1/publish``."""

    publish_id: str
    publisher: str
    base_revision: int
    digest: str
    bundle: msgspec.Raw


class AdminEdge:
    """Answers dumps and metrics, and takes publish requests."""

    def __init__(
        self,
        *,
        bus: buses.Bus,
        metrics: metrics_module.Metrics,
        dump: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self._bus = bus
        self._metrics = metrics
        self._dump = dump
        self._publishing: dict[str, defer.Deferred[bytes]] = {}
        self.app = klein.Klein()
        self.app.route("/dump")(self._give_dump)
        self.app.route("/metrics")(self._give_metrics)
        self.app.route("/v1/publish", methods=["POST"])(self._publish)
        bus.subscribe(messages.PublishResult, self._published)

    def _give_dump(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._dump())

    def _give_metrics(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.exposition()

    def _publish(self, request: http.Request) -> defer.Deferred[bytes] | bytes:
        request.setHeader("Content-Type", "application/json")
        try:
            body = msgspec.json.decode(
                request.content.read(), type=PublishBody
            )
        except msgspec.DecodeError as error:
            request.setResponseCode(400)
            return msgspec.json.encode({"error": {"code": str(error)}})
        done: defer.Deferred[bytes] = defer.Deferred()
        self._publishing[body.publish_id] = done
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
        done = self._publishing.pop(event.publish_id, None)
        if done is not None:
            result = {
                "code": event.code,
                "revision": event.revision,
                "winner": event.winner,
                "differs": event.differs,
            }
            done.callback(msgspec.json.encode(result))
