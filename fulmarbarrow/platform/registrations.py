"""Translates what workers say of themselves."""

from __future__ import annotations

import datetime
import ipaddress
import logging
import typing

import msgspec
from twisted.internet import defer
from twisted.web import http
from twisted.web import resource as resources

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow import decoding
from fulmarbarrow.edge import announce_calls
from fulmarbarrow.membership import messages
from fulmarbarrow.platform import calls

log = logging.getLogger(__name__)

MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_PORT = 65_535
NonNegative = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Below the sequence that a withdrawal gets.
Sequence = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
# What reading a heartbeat may raise.
UNREADABLE = (msgspec.DecodeError, KeyError, ValueError, OverflowError)
# Refusals of an announcement that is late, not wrong: a newer one is known.
LATE_CODES = frozenset(("stale_sequence", "stale_incarnation", "already_left"))

_STATES = {
    "ready": messages.UpstreamState.SERVING,
    "draining": messages.UpstreamState.LEAVING,
}


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A model that a worker runs."""

    name: Name = msgspec.field(name="Name")


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of itself; its id stands in the path."""

    service: Name = msgspec.field(name="Service")
    address: Name = msgspec.field(name="Address")
    zone: Name = msgspec.field(name="Zone")
    # Of the worker's software; the weights of its models have their own.
    version: str = msgspec.field(name="Version")
    slots: NonNegative = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    # Grows with each call of one incarnation.
    sequence: Sequence = msgspec.field(name="Sequence")
    cold_ms: typing.Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        name="ColdRemainingMs", default=0
    )
    models: tuple[ModelEntry, ...] = msgspec.field(name="Models", default=())
    # The moment of the worker's start, in Unix milliseconds.
    born: NonNegative = msgspec.field(name="born", default=0)

    def announced(
        self, upstream_id: str, now: datetime.datetime
    ) -> messages.Announced:
        """Return the announcement.

        Raises KeyError for an unknown state, ValueError for an address that
        is no IP address with a port, ValueError or OverflowError for a time
        that no clock shows.
        """
        host, _, port = self.address.rpartition(":")
        ipaddress.IPv4Address(host)
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"port {port}")
        models = [model.name for model in self.models] or [""]
        cold_until = None
        if self.cold_ms:
            cold_until = now + self.cold_ms * MILLISECOND
        return messages.Announced(
            upstream=messages.Upstream(
                upstream_id=upstream_id,
                incarnation=self.born,
                sequence=self.sequence,
                zone=self.zone,
                url=f"http://{self.address}",
                offers=tuple(
                    messages.Offer(
                        service=self.service,
                        model=model,
                        version=self.version,
                    )
                    for model in models
                ),
                batch_tokens=0,
                tokens_per_second=0,
                state=_STATES[self.state],
                started_at=datetime.datetime.fromtimestamp(
                    self.born / 1000, datetime.UTC
                ),
                cold_until=cold_until,
                slots=self.slots,
            ),
            load=messages.Load(),
        )


class Registrations:
    """Takes workers' heartbeats and departures."""

    def __init__(
        self,
        *,
        root: resources.Resource,
        bus: buses.Bus,
        clock: clocks.Clock,
        watch: calls.CallerWatch,
    ) -> None:
        self._calls = announce_calls.AnnounceCalls(bus=bus)
        self._clock = clock
        self._watch = watch
        root.putChild(
            b"instances",
            calls.NamedResource(
                calls={b"PUT": self._heartbeat, b"DELETE": self._leave}
            ),
        )

    def _heartbeat(
        self, request: http.Request, upstream_id: str
    ) -> calls.Answer:
        try:
            body = decoding.decode_json(request.content.read(), Heartbeat)
            announced = body.announced(upstream_id, self._clock.now())
        except UNREADABLE as error:
            log.warning(
                "heartbeat not understood",
                extra={"upstream": upstream_id, "reason": str(error)},
            )
            request.setResponseCode(http.BAD_REQUEST)
            return b"{}"
        return self._ask(request, announced)

    def _leave(self, request: http.Request, upstream_id: str) -> calls.Answer:
        # It has no sequence, and its worker may have started again since.
        if not self._watch.waits(request):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b"{}"
        return self._ask(request, messages.Withdrawn(upstream_id=upstream_id))

    def _ask(
        self,
        request: http.Request,
        event: messages.Announced | messages.Withdrawn,
    ) -> defer.Deferred[bytes]:
        return self._calls.post(event).addCallback(_answer, request)


def _answer(
    reply: announce_calls.Reply | None, request: http.Request
) -> bytes:
    """Return the body of an answer after setting its status."""
    accepted = isinstance(reply, messages.AnnounceAccepted)
    if not accepted and (reply is None or reply.code not in LATE_CODES):
        # The worker asks another daemon.
        request.setResponseCode(http.SERVICE_UNAVAILABLE)
    return b"{}"
