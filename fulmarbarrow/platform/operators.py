"""Translates the operators' calls."""

from __future__ import annotations

import datetime
import logging
import typing
import uuid

import msgspec
from twisted.internet import defer
from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import decoding
from fulmarbarrow.platform import calls
from fulmarbarrow.platform import documents
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.versions import messages as versions_messages

log = logging.getLogger(__name__)

Answer = defer.Deferred[bytes]
Name = typing.Annotated[str, msgspec.Meta(max_length=255)]


class RolloutOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order of a rollout."""

    service: Name = msgspec.field(name="Service")
    target: Name = msgspec.field(name="Target")
    duration_s: float = msgspec.field(name="DurationS")

    def duration(self) -> datetime.timedelta:
        """Return the duration, 0 for one that no rollout can have."""
        limit = versions_messages.MAX_ROLLOUT_DURATION.total_seconds()
        if not 0 < self.duration_s <= limit:
            return datetime.timedelta()
        return datetime.timedelta(seconds=self.duration_s)


class Operators:
    """Takes configurations and evacuations, and reads configurations."""

    def __init__(
        self,
        *,
        root: resources.Resource,
        bus: buses.Bus,
        clock: clocks.Clock,
        watch: calls.CallerWatch,
        rollouts: bool = False,
    ) -> None:
        self._bus = bus
        self._clock = clock
        self._watch = watch
        self._amending: dict[str, tuple[http.Request, Answer]] = {}
        self._reading: dict[str, tuple[http.Request, Answer]] = {}
        root.putChild(
            b"config",
            calls.CallResource(
                calls={b"PUT": self._configure, b"GET": self._read}
            ),
        )
        root.putChild(
            b"evacuations",
            calls.NamedResource(
                calls={b"POST": self._evacuate, b"DELETE": self._return}
            ),
        )
        self._ordering: dict[str, tuple[http.Request, Answer]] = {}
        if rollouts:
            root.putChild(
                b"rollouts",
                calls.CollectionResource(
                    calls={b"POST": self._roll_out},
                    named={b"GET": self._tell_rollout},
                ),
            )
            bus.subscribe(versions_messages.RolloutOrderResult, self._ordered)
            bus.subscribe(versions_messages.RolloutResponse, self._told)
        bus.subscribe(messages.AmendResult, self._amended)
        bus.subscribe(messages.DocumentResponse, self._given)

    def _configure(self, request: http.Request) -> Answer | bytes:
        data = request.content.read()
        try:
            document = documents.decode(data)
        except msgspec.DecodeError as error:
            return _refuse(request, [str(error)])
        bundle, findings = documents.check(document)
        if bundle is None:
            return _refuse(request, findings)
        encoded = bundles.encode(bundle)
        return self._amend(
            request,
            amendments.ReplaceServices(
                number=document.number,
                bundle=packing.pack(encoded),
                document=packing.pack(data),
            ),
        )

    def _evacuate(self, request: http.Request, zone: str) -> Answer | bytes:
        return self._set_zone(request, zone, out=True)

    def _return(self, request: http.Request, zone: str) -> Answer | bytes:
        return self._set_zone(request, zone, out=False)

    def _set_zone(
        self, request: http.Request, zone: str, *, out: bool
    ) -> Answer | bytes:
        """Order a zone's state, but not in place of a later order.

        Unlike documents, such orders have no number.
        """
        if not self._watch.waits(request):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"{}"
        return self._amend(request, amendments.SetZone(zone=zone, out=out))

    def _amend(
        self, request: http.Request, amendment: amendments.AnyAmendment
    ) -> Answer:
        amend_id = uuid.uuid4().hex
        done: Answer = defer.Deferred()
        self._amending[amend_id] = request, done
        request.notifyFinish().addErrback(self._abandon, amend_id)
        self._bus.post(
            messages.AmendRequested(
                amend_id=amend_id,
                amendment=amendment,
                until=self._clock.now() + calls.PATIENCE,
            )
        )
        return done

    def _abandon(self, _: failures.Failure, amend_id: str) -> None:
        """Tell that the caller has closed its connection."""
        self._amending.pop(amend_id, None)
        self._bus.post(messages.AmendAbandoned(amend_id=amend_id))

    def _amended(
        self, event: messages.AmendResult, _: datetime.datetime
    ) -> None:
        waiting = self._amending.pop(event.amend_id, None)
        if waiting is None:
            return
        request, done = waiting
        if event.code:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        done.callback(b"{}")

    def _read(self, request: http.Request) -> Answer:
        read_id = uuid.uuid4().hex
        done: Answer = defer.Deferred()
        self._reading[read_id] = request, done
        self._bus.post(messages.DocumentRequested(read_id=read_id))
        return done

    def _given(
        self, event: messages.DocumentResponse, _: datetime.datetime
    ) -> None:
        waiting = self._reading.pop(event.read_id, None)
        if waiting is None:
            return
        request, done = waiting
        if event.code or not event.document:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        done.callback(event.document or b"{}")

    def _roll_out(self, request: http.Request) -> Answer | bytes:
        if not self._watch.waits(request):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"{}"
        try:
            order = decoding.decode_json(request.content.read(), RolloutOrder)
        except (msgspec.DecodeError, ValueError) as error:
            return _refuse(request, [str(error)])
        order_id, done = self._wait(request, self._ordering)
        self._bus.post(
            versions_messages.RolloutOrdered(
                order_id=order_id,
                service=order.service,
                target=order.target,
                duration=order.duration(),
            )
        )
        return done

    def _tell_rollout(self, request: http.Request, service: str) -> Answer:
        read_id, done = self._wait(request, self._reading)
        self._bus.post(
            versions_messages.RolloutRequested(
                read_id=read_id, service=service
            )
        )
        return done

    def _wait(
        self,
        request: http.Request,
        waiting: dict[str, tuple[http.Request, Answer]],
    ) -> tuple[str, Answer]:
        call_id = uuid.uuid4().hex
        done: Answer = defer.Deferred()
        waiting[call_id] = request, done
        return call_id, done

    def _ordered(
        self,
        event: versions_messages.RolloutOrderResult,
        _: datetime.datetime,
    ) -> None:
        waiting = self._ordering.pop(event.order_id, None)
        if waiting is None:
            return
        request, done = waiting
        if event.findings:
            done.callback(_refuse(request, list(event.findings)))
            return
        if event.code:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        done.callback(b"{}")

    def _told(
        self, event: versions_messages.RolloutResponse, _: datetime.datetime
    ) -> None:
        waiting = self._reading.pop(event.read_id, None)
        if waiting is None:
            return
        request, done = waiting
        if event.code:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        elif not event.target:
            request.setResponseCode(http.NOT_FOUND)
        else:
            answer = {"State": event.state, "Target": event.target}
            done.callback(msgspec.json.encode(answer))
            return
        done.callback(b"{}")


def _refuse(request: http.Request, findings: list[str]) -> bytes:
    """Refuse a call and tell everything that is wrong with its body."""
    log.warning("configuration refused", extra={"findings": findings[:20]})
    request.setResponseCode(http.BAD_REQUEST)
    return msgspec.json.encode({"findings": findings})
