"""Calls of control hosts to the platform's API."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import functools
import logging
import re
import typing

import h11
import msgspec
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as failures

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.duties import messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.platform import headers
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.usage import messages as usage_messages

log = logging.getLogger(__name__)

USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
# Of the fleet's calls, by duty, as each duty may be held by another host. The
# rest is for jitter: the calls of both stay within the limit in any second.
SHARES = {messages.Duty.USAGE: 0.25, messages.Duty.SCALING: 0.55}
MAX_WAITING = 512  # calls of a duty
MAX_OPEN = 8  # calls of a duty
MAX_HEAD_BYTES = 16 << 10
MAX_BODY_BYTES = 64 << 10
# Without a time named by the platform, doubled at each further refusal.
BACKOFF = datetime.timedelta(seconds=1)
MAX_BACKOFF = datetime.timedelta(seconds=30)
# Of a time that the platform names; a wrong one must not stop a duty for good.
MAX_TOLD_PAUSE = datetime.timedelta(hours=1)
CONFLICT = 409
TOO_MANY_REQUESTS = 429

_ZERO = datetime.timedelta()
_SECONDS = re.compile(r"\d{1,6}(?:\.\d{1,6})?")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call to the platform."""

    call_id: str
    duty: messages.Duty
    subject: str
    number: int
    valid_until: datetime.datetime
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What is known of a call that has ended."""

    outcome: messages.CallOutcome
    reason: str
    retry_after: datetime.timedelta | None = None


@functools.singledispatch
def translate(event: message.Message) -> Call:
    """Return the call that carries out an effect."""
    raise TypeError(type(event))


@translate.register
def _(event: usage_messages.ReportUsage) -> Call:
    body = {"Window": event.window, "Counts": dict(event.counts)}
    return Call(
        call_id=event.call_id,
        duty=messages.Duty.USAGE,
        subject="",
        number=event.number,
        valid_until=event.valid_until,
        path=USAGE_PATH,
        body=msgspec.json.encode(body),
    )


@translate.register
def _(event: scaling_messages.OrderUpstreams) -> Call:
    body = {
        "Service": event.service,
        "Zone": event.zone,
        "Desired": event.wanted,
    }
    return Call(
        call_id=event.call_id,
        duty=messages.Duty.SCALING,
        subject=scaling_messages.subject(event.service, event.zone),
        number=event.number,
        valid_until=event.valid_until,
        path=SCALE_PATH,
        body=msgspec.json.encode(body),
    )


def outcome_of(status: int) -> messages.CallOutcome:
    """Return what a status of the platform says about a call."""
    if 200 <= status < 300:
        return messages.CallOutcome.ACCEPTED
    if status == CONFLICT:
        return messages.CallOutcome.SUPERSEDED
    if status == TOO_MANY_REQUESTS:
        return messages.CallOutcome.LIMITED
    if 400 <= status < 500:
        return messages.CallOutcome.REFUSED
    return messages.CallOutcome.UNKNOWN


class Pace:
    """When the next call of a duty may be sent."""

    def __init__(self, *, calls_per_second: float) -> None:
        self._interval = datetime.timedelta(seconds=1 / calls_per_second)
        self._next_at: datetime.datetime | None = None
        self._limited_until: datetime.datetime | None = None
        self._backoff = BACKOFF

    def wait(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long to wait until the next call."""
        return max(_ZERO, self._next_at - now) if self._next_at else _ZERO

    def limited(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the platform still takes no calls."""
        until = self._limited_until
        return max(_ZERO, until - now) if until else _ZERO

    def sent(self, now: datetime.datetime) -> None:
        """Take note of a call that is made now."""
        self._next_at = now + self._interval

    def answered(self) -> None:
        """Take note of a call that was not limited."""
        self._backoff = BACKOFF

    def refused(
        self, now: datetime.datetime, told: datetime.timedelta | None
    ) -> datetime.timedelta:
        """Take note of a 429; return how long to send nothing."""
        pause = max(self._backoff, min(MAX_TOLD_PAUSE, told or _ZERO))
        self._backoff = min(MAX_BACKOFF, 2 * self._backoff)
        until = now + pause
        self._limited_until = max(until, self._limited_until or until)
        return self._limited_until - now


class CloudClient:
    """Makes the calls of the duties that this host holds.

    Each call has a connection of its own: a call on a kept one that the
    platform has just closed would have an unknown outcome.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        bus: buses.Bus,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        settings: defaults.DutiesSection,
        daemon_id: str,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._clock = clock
        self._metrics = metrics
        self._settings = settings
        self._holder = settings.name or daemon_id
        self._paces = {
            duty: Pace(calls_per_second=settings.calls_per_second * share)
            for duty, share in SHARES.items()
        }
        self._waiting: dict[messages.Duty, collections.deque[Call]] = {
            duty: collections.deque() for duty in SHARES
        }
        self._open: dict[messages.Duty, dict[str, Exchange]] = {
            duty: {} for duty in SHARES
        }
        self._timers: dict[messages.Duty, interfaces.IDelayedCall] = {}
        bus.subscribe(usage_messages.ReportUsage, self._take)
        bus.subscribe(scaling_messages.OrderUpstreams, self._take)
        bus.subscribe(messages.DutyLost, self._lost)

    def _take(self, event: message.Message, now: datetime.datetime) -> None:
        call = translate(event)
        waiting = self._waiting[call.duty]
        if len(waiting) >= MAX_WAITING:
            self._end(
                call,
                Answer(
                    outcome=messages.CallOutcome.LIMITED,
                    reason="too many calls wait on this host",
                    retry_after=BACKOFF,
                ),
            )
            return
        waiting.append(call)
        self._send_due(call.duty)

    def _lost(self, event: messages.DutyLost, now: datetime.datetime) -> None:
        """Send no more calls of a subject that this host has lost."""
        answer = Answer(
            outcome=messages.CallOutcome.NOT_SENT, reason=event.reason
        )
        lost = [
            call for call in self._waiting[event.duty] if _is_lost(call, event)
        ]
        self._drop(event.duty, lost)
        for call in lost:
            self._end(call, answer)
        for exchange in list(self._open[event.duty].values()):
            if _is_lost(exchange.call, event):
                exchange.give_up(answer)

    def _send_due(self, duty: messages.Duty) -> None:
        """Send the calls of a duty that may be sent now."""
        pace, waiting = self._paces[duty], self._waiting[duty]
        self._end_stale(duty)
        now = self._clock.now()
        if waiting and not pace.wait(now):
            call = self._next(duty)
            if call is None:
                return  # The end of an open call sends the next one.
            pace.sent(now)
            self._start(call)
        if not waiting:
            return
        soonest = min(call.valid_until for call in waiting) - now
        pause = max(_ZERO, min(pace.wait(now), soonest))
        timer = self._timers.get(duty)
        if timer is not None and timer.active():
            timer.cancel()
        self._timers[duty] = self._reactor.callLater(
            pause.total_seconds(), self._send_due, duty
        )

    def _end_stale(self, duty: messages.Duty) -> None:
        """End the waiting calls that can't be sent in their time."""
        now = self._clock.now()
        limited = self._paces[duty].limited(now)
        reason = "waited longer than the lease"
        if limited:
            reason = "the platform takes no calls yet"
        answer = Answer(
            outcome=messages.CallOutcome.LIMITED,
            reason=reason,
            retry_after=limited or None,
        )
        stale = [
            call
            for call in self._waiting[duty]
            if limited or now >= call.valid_until
        ]
        self._drop(duty, stale)
        for call in stale:
            self._end(call, answer)

    def _drop(
        self, duty: messages.Duty, calls: collections.abc.Iterable[Call]
    ) -> None:
        """Remove waiting calls before their end is told.

        What hears of the end may add calls in the same turn.
        """
        waiting = self._waiting[duty]
        for call in calls:
            waiting.remove(call)

    def _next(self, duty: messages.Duty) -> Call | None:
        """Return the first waiting call whose subject has no open one."""
        open_calls = self._open[duty]
        if len(open_calls) >= MAX_OPEN:
            return None
        subjects = {item.call.subject for item in open_calls.values()}
        for call in self._waiting[duty]:
            if call.subject not in subjects:
                self._waiting[duty].remove(call)
                return call
        return None

    def _start(self, call: Call) -> None:
        exchange = Exchange(
            call=call,
            holder=self._holder,
            address=str(self._settings.address),
            reactor=self._reactor,
            clock=self._clock,
            timeout=self._settings.call_timeout,
            ended=self._ended,
        )
        self._open[call.duty][call.call_id] = exchange
        exchange.start(self._settings.address)

    def _ended(self, call: Call, answer: Answer) -> None:
        self._open[call.duty].pop(call.call_id, None)
        pace = self._paces[call.duty]
        if answer.outcome is messages.CallOutcome.LIMITED:
            pause = pace.refused(self._clock.now(), answer.retry_after)
            answer = dataclasses.replace(answer, retry_after=pause)
        elif answer.outcome is not messages.CallOutcome.NOT_SENT:
            pace.answered()
        self._end(call, answer)
        self._send_due(call.duty)

    def _end(self, call: Call, answer: Answer) -> None:
        self._metrics.count(
            "platform_calls",
            duty=call.duty.value,
            outcome=answer.outcome.value,
        )
        log.info(
            "call to the platform ended",
            extra={
                "call": call.call_id,
                "duty": call.duty.value,
                "subject": call.subject,
                "number": call.number,
                "outcome": answer.outcome.value,
                "reason": answer.reason,
            },
        )
        self._bus.post(
            messages.CallEnded(
                call_id=call.call_id,
                outcome=answer.outcome,
                retry_after=answer.retry_after,
            )
        )


class Exchange(protocol.ClientFactory):
    """One call: its connection, its request and its answer."""

    noisy = False

    def __init__(
        self,
        *,
        call: Call,
        holder: str,
        address: str,
        reactor: typing.Any,
        clock: clocks.Clock,
        timeout: datetime.timedelta,
        ended: typing.Callable[[Call, Answer], None],
    ) -> None:
        self.call = call
        self._holder = holder
        self._address = address
        self._reactor = reactor
        self._clock = clock
        self._timeout = timeout
        self._ended = ended
        self._sent = False
        self._done = False
        self._connector: interfaces.IConnector | None = None
        self._connection: Connection | None = None
        self._timer: interfaces.IDelayedCall | None = None

    def start(self, address: typing.Any) -> None:
        """Open the connection."""
        seconds = self._timeout.total_seconds()
        self._timer = self._reactor.callLater(seconds, self._time_out)
        self._connector = self._reactor.connectTCP(
            address.host, address.port, self, timeout=seconds
        )

    def give_up(self, answer: Answer) -> None:
        """End a call of which no byte was sent."""
        if not self._sent:
            self.end(answer)
            self._disconnect()

    def buildProtocol(self, addr: typing.Any) -> Connection:  # noqa: N802
        """Return the connection, which sends once it is made."""
        self._connection = Connection(exchange=self)
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """End a call whose connection could not be opened."""
        self.end(
            Answer(
                outcome=messages.CallOutcome.NOT_SENT,
                reason=reason.getErrorMessage(),
            )
        )

    def request(self) -> bytes:
        """Return the request."""
        call = self.call
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="POST",
            target=call.path,
            headers=[
                ("Host", self._address),
                (headers.LEASE_HOLDER, self._holder),
                (headers.FENCING_NUMBER, str(call.number)),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(call.body))),
                ("Connection", "close"),
            ],
        )
        return (http.send(head) or b"") + call.body

    def may_write(self) -> bool:
        """Return whether the first byte may be written at this moment."""
        if self._done:
            return False
        if self._clock.now() < self.call.valid_until:
            self._sent = True
            return True
        self.give_up(
            Answer(
                outcome=messages.CallOutcome.NOT_SENT,
                reason="lease ended before the first byte",
            )
        )
        return False

    def failed(self, reason: str) -> None:
        """End a call whose connection ended without an answer."""
        outcome = messages.CallOutcome.UNKNOWN
        if not self._sent:
            outcome = messages.CallOutcome.NOT_SENT
        self.end(Answer(outcome=outcome, reason=reason))

    def end(self, answer: Answer) -> None:
        """Tell the end of the call, once."""
        if self._done:
            return
        self._done = True
        self._ended(self.call, answer)

    def closed(self) -> None:
        """Stop the timer of a connection that is closed."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _time_out(self) -> None:
        self.failed("no answer in time")
        self._disconnect()

    def _disconnect(self) -> None:
        self.closed()
        if self._connection is not None:
            self._connection.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()


class Connection(protocol.Protocol):
    """The connection of one call.

    The outcome is told at the head of the answer; its body is read to its end
    so that the platform can write it, up to a limit.
    """

    def __init__(self, *, exchange: Exchange) -> None:
        self._exchange = exchange
        self._head = bytearray()
        self._body_bytes = 0
        self._answered = False
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The request is written apart from this state machine, which only
        # has to know the method to read the answer.
        self._http.send(
            h11.Request(method="GET", target="/", headers=[("Host", "-")])
        )
        self._http.send(h11.EndOfMessage())

    def connectionMade(self) -> None:  # noqa: N802
        """Write the request, if its lease still holds.

        The first bytes go to the socket at once: the reactor would write them
        in a later turn, and the host may be frozen in between.
        """
        data = self._exchange.request()
        if not self._exchange.may_write():
            self.transport.abortConnection()
            return
        written = self.transport.writeSomeData(data)
        if not isinstance(written, int):
            self.transport.abortConnection()
            return
        if written < len(data):
            self.transport.write(data[written:])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the head of the answer, then drop its body."""
        if self._answered:
            self._body_bytes += len(data)
            if self._body_bytes > MAX_BODY_BYTES:
                self.transport.abortConnection()
            return
        try:
            self._http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as error:
            self._exchange.failed(f"not HTTP: {error}")
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """End a call that has no answer yet."""
        self._exchange.closed()
        self._exchange.failed(reason.getErrorMessage())

    def _read(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._answered = True
                status = event.status_code
                outcome = outcome_of(status)
                self._exchange.end(
                    Answer(
                        outcome=outcome,
                        reason=f"status {status}",
                        retry_after=_retry_after(event.headers),
                    )
                )
                return
            if not isinstance(event, h11.InformationalResponse):
                return


def _retry_after(
    fields: typing.Iterable[tuple[bytes, bytes]],
) -> datetime.timedelta | None:
    """Return the longest time named; a date is no time."""
    told = [
        float(value)
        for name, value in fields
        if name == b"retry-after"
        and _SECONDS.fullmatch(value.decode("latin-1"))
    ]
    return datetime.timedelta(seconds=max(told)) if told else None


def _is_lost(call: Call, event: messages.DutyLost) -> bool:
    return call.subject == event.subject and call.number <= event.number
