"""Reports the offered work of a router to the holder of the scaling duty."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import math
import typing

from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import plain
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import messages

MILLISECOND = datetime.timedelta(milliseconds=1)
MIN_INTERVAL = datetime.timedelta(seconds=1)
# Reports without a notable change that the holder gets from all routers in a
# second; one takes about 120 bytes with two services.
REPORTS_PER_SECOND = 20
MIN_VALID = datetime.timedelta(seconds=6)
# A change of the arrivals beyond this share and random deviation is notable.
NOTABLE_SHARE = 0.25
NOTABLE_DEVIATIONS = 3.0
# The holder repeats its announcement at least every 5 s.
HOLDER_TIMEOUT = datetime.timedelta(seconds=20)
MAX_OPEN = 20_000
MAX_SERVICES = 64
CAPACITY_CODES = frozenset(
    (
        "overloaded",
        "capacity_short",
        "no_upstream",
        "upstream_refused",
        "deadline_exceeded",
    )
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Open:
    """An open request; ``running`` attempts of it were sent."""

    service: str
    running: int = 0
    served: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class _Attempt:
    request_id: str
    service: str
    sent_at: datetime.datetime | None = None
    ran: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class _Counts:
    arrived: int = 0
    refused: int = 0
    served: int = 0
    busy: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Holder:
    number: int
    address: str
    heard_at: datetime.datetime


class OfferedWorkReporter:
    """Counts the requests of services whose number of upstreams may change.

    Requests are counted when they arrive, so that those that are refused or
    lost are offered work too.
    """

    handles = (
        publishing_messages.ConfigurationChanged,
        duties_messages.HolderAnnounced,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        delivery_messages.RequestArrived,
        delivery_messages.StartAttempt,
        delivery_messages.AttemptSent,
        delivery_messages.AttemptHeaders,
        delivery_messages.AttemptEnded,
        delivery_messages.AttemptFailed,
        delivery_messages.CancelAttempt,
        delivery_messages.ResponseEnded,
        delivery_messages.ResponseAborted,
        delivery_messages.RequestRefused,
        delivery_messages.CallerDisconnected,
        message.Tick,
    )

    def __init__(
        self, *, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> None:
        self._daemon = daemon
        self._services: frozenset[str] = frozenset()
        self._routers: set[str] = {daemon.daemon_id}
        self._holder: _Holder | None = None
        self._open: dict[str, _Open] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._counts: dict[str, _Counts] = {}
        self._span_from = now
        self._sequence = 0
        self._last: messages.OfferedWork | None = None
        self._last_at = now

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        return self._on(event, now) or []

    def dump(self) -> dict[str, typing.Any]:
        """Return the holder and the last report for debugging."""
        return {
            "holder": plain.plain(self._holder),
            "services": sorted(self._services),
            "open": len(self._open),
            "last": plain.plain(self._last),
        }

    @functools.singledispatchmethod
    def _on(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message] | None:
        """Handle an event by its type."""

    @_on.register
    def _(
        self,
        event: publishing_messages.ConfigurationChanged,
        now: datetime.datetime,
    ) -> None:
        names = [item.name for item in event.bundle.service if item.scaling]
        self._services = frozenset(names[:MAX_SERVICES])
        for name in set(self._counts) - self._services:
            del self._counts[name]

    @_on.register
    def _(
        self, event: duties_messages.HolderAnnounced, now: datetime.datetime
    ) -> None:
        if event.duty is not duties_messages.Duty.SCALING:
            return
        if self._holder and event.number < self._holder.number:
            return
        if self._holder is None or self._holder.address != event.address:
            self._last = None  # the new holder has no report yet
        self._holder = _Holder(
            number=event.number, address=event.address, heard_at=now
        )

    @_on.register
    def _(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> None:
        if defaults.Role.ROUTER in event.daemon.roles:
            self._routers.add(event.daemon.daemon_id)

    @_on.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        self._routers.discard(event.daemon_id)

    @_on.register
    def _(
        self, event: delivery_messages.RequestArrived, now: datetime.datetime
    ) -> None:
        if event.service not in self._services:
            return
        if len(self._open) >= MAX_OPEN:
            del self._open[next(iter(self._open))]
        self._open[event.request_id] = _Open(service=event.service)
        self._count(event.service).arrived += 1

    @_on.register
    def _(
        self, event: delivery_messages.StartAttempt, now: datetime.datetime
    ) -> None:
        entry = self._open.get(event.request_id)
        if entry is None or event.lookup:
            return
        if len(self._attempts) >= MAX_OPEN:
            del self._attempts[next(iter(self._attempts))]
        self._attempts[event.attempt_id] = _Attempt(
            request_id=event.request_id, service=entry.service
        )

    @_on.register
    def _(
        self, event: delivery_messages.AttemptSent, now: datetime.datetime
    ) -> None:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None or attempt.sent_at is not None:
            return
        attempt.sent_at = now
        entry = self._open.get(attempt.request_id)
        if entry is not None:
            entry.running += 1

    @_on.register
    def _(
        self, event: delivery_messages.AttemptHeaders, now: datetime.datetime
    ) -> None:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is not None:
            attempt.ran = not event.not_run and event.status < 500

    @_on.register
    def _(
        self, event: delivery_messages.AttemptEnded, now: datetime.datetime
    ) -> None:
        attempt = self._end_attempt(event.attempt_id)
        if attempt is None or attempt.sent_at is None:
            return
        if not attempt.ran or event.unfinished_bytes:
            return  # its time is not that of a whole request
        counts = self._count(attempt.service)
        counts.served += 1
        counts.busy += now - attempt.sent_at
        entry = self._open.get(attempt.request_id)
        if entry is not None:
            entry.served = True

    @_on.register(delivery_messages.AttemptFailed)
    @_on.register(delivery_messages.CancelAttempt)
    def _(
        self,
        event: (
            delivery_messages.AttemptFailed | delivery_messages.CancelAttempt
        ),
        now: datetime.datetime,
    ) -> None:
        self._end_attempt(event.attempt_id)

    @_on.register
    def _(
        self, event: delivery_messages.RequestRefused, now: datetime.datetime
    ) -> None:
        entry = self._open.pop(event.request_id, None)
        if entry is not None and event.code in CAPACITY_CODES:
            self._count(entry.service).refused += 1

    @_on.register(delivery_messages.ResponseEnded)
    @_on.register(delivery_messages.ResponseAborted)
    @_on.register(delivery_messages.CallerDisconnected)
    def _(
        self,
        event: (
            delivery_messages.ResponseEnded
            | delivery_messages.ResponseAborted
            | delivery_messages.CallerDisconnected
        ),
        now: datetime.datetime,
    ) -> None:
        self._open.pop(event.request_id, None)

    @_on.register
    def _(
        self, event: message.Tick, now: datetime.datetime
    ) -> list[message.Message]:
        if now - self._span_from < MIN_INTERVAL:
            return []
        if self._holder and now - self._holder.heard_at > HOLDER_TIMEOUT:
            self._holder = None
        if self._holder is None or not self._services:
            self._restart_span(now)
            return []
        interval = self._quiet_interval()
        report = self._report(now, interval)
        due = now - self._last_at >= interval
        if not due and not _notable(self._last, report):
            return []
        self._sequence += 1
        self._last, self._last_at = report, now
        self._restart_span(now)
        if self._holder.address == self._daemon.address:
            return [report]
        return [message.Send(address=self._holder.address, message=report)]

    def _restart_span(self, now: datetime.datetime) -> None:
        self._counts.clear()
        self._span_from = now

    def _quiet_interval(self) -> datetime.timedelta:
        """Return the time between two reports without a notable change.

        It grows with the number of routers, as one holder gets them all.
        """
        seconds = len(self._routers) / REPORTS_PER_SECOND
        return max(MIN_INTERVAL, datetime.timedelta(seconds=seconds))

    def _report(
        self, now: datetime.datetime, interval: datetime.timedelta
    ) -> messages.OfferedWork:
        running: dict[str, int] = {}
        waiting: dict[str, int] = {}
        for entry in self._open.values():
            if entry.running:
                running[entry.service] = running.get(entry.service, 0) + 1
            elif not entry.served:
                waiting[entry.service] = waiting.get(entry.service, 0) + 1
        services = []
        for name in sorted(self._services):
            counts = self._counts.get(name)
            if counts is None and name not in running | waiting:
                continue
            counts = counts or _Counts()
            services.append(
                messages.ServiceWork(
                    service=name,
                    arrived=counts.arrived,
                    running=running.get(name, 0),
                    waiting=waiting.get(name, 0),
                    refused=counts.refused,
                    served=counts.served,
                    busy_ms=counts.busy // MILLISECOND,
                )
            )
        return messages.OfferedWork(
            daemon_id=self._daemon.daemon_id,
            incarnation=self._daemon.incarnation,
            sequence=self._sequence + 1,
            span_ms=(now - self._span_from) // MILLISECOND,
            valid_ms=max(MIN_VALID, 3 * interval) // MILLISECOND,
            services=tuple(services),
        )

    def _count(self, service: str) -> _Counts:
        return self._counts.setdefault(service, _Counts())

    def _end_attempt(self, attempt_id: str) -> _Attempt | None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None and attempt.sent_at is not None:
            entry = self._open.get(attempt.request_id)
            if entry is not None:
                entry.running -= 1
        return attempt


def _notable(
    last: messages.OfferedWork | None, report: messages.OfferedWork
) -> bool:
    """Whether a report differs from the last one beyond random deviation."""
    if last is None:
        return True
    before = {item.service: item for item in last.services}
    after = {item.service: item for item in report.services}
    for name in before.keys() | after.keys():
        old = before.get(name) or messages.ServiceWork(service=name, arrived=0)
        new = after.get(name) or messages.ServiceWork(service=name, arrived=0)
        expected = old.arrived * report.span_ms / max(1, last.span_ms)
        deviation = NOTABLE_DEVIATIONS * math.sqrt(expected + 1)
        difference = abs(new.arrived - expected)
        if difference > NOTABLE_SHARE * expected + deviation:
            return True
        if bool(new.refused) != bool(old.refused):
            return True
        queue = NOTABLE_DEVIATIONS * math.sqrt(old.waiting + 1)
        if abs(new.waiting - old.waiting) > queue + old.waiting:
            return True
    return False
