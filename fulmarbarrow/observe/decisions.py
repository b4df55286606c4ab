"""Logs each decision that touches a request or changes a belief."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import logging
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages as zones_messages

log = logging.getLogger(__name__)

MILLISECOND = datetime.timedelta(milliseconds=1)
DIGEST_CHARACTERS = 8
MAX_PARTS = 8  # of a prompt, in a line
PART_CHARACTERS = 16
LOWEST_ERROR_STATUS = 400
MAX_OPEN = 20_000  # requests whose lines still miss their end


@dataclasses.dataclass(kw_only=True, slots=True)
class _Open:
    """What the lines of an open request repeat."""

    caller_id: str
    arrived_at: datetime.datetime
    deadline: datetime.datetime
    first_at: datetime.datetime | None = None
    upstream: str = ""
    attempts: int = 0
    framing: str | None = None
    error_status: int | None = None
    peer: str | None = None


class DecisionLog:
    """Turns the messages that carry decisions into log lines."""

    handles = (
        delivery_messages.RequestArrived,
        delivery_messages.StartAttempt,
        delivery_messages.AttemptSent,
        delivery_messages.AttemptHeaders,
        delivery_messages.AttemptEnded,
        delivery_messages.AttemptFailed,
        delivery_messages.CancelAttempt,
        delivery_messages.ResponseStarted,
        delivery_messages.ResponseEnded,
        delivery_messages.ResponseAborted,
        delivery_messages.RequestRefused,
        delivery_messages.RequestRejected,
        delivery_messages.CallerDisconnected,
        delivery_messages.PartQuarantined,
        delivery_messages.PartReleased,
        delivery_messages.RequestQuarantined,
        delivery_messages.RequestReleased,
        placement_messages.Placed,
        placement_messages.NotPlaced,
        membership_messages.Withdrawn,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.UrgentChangeQueued,
        membership_messages.UrgentChangeSent,
        membership_messages.UrgentChangesDelayed,
        membership_messages.OwnerChanged,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.AnnounceRefused,
        publishing_messages.ConfigurationChanged,
        publishing_messages.ConfigurationConfirmed,
        publishing_messages.AmendResult,
        publishing_messages.DocumentResponse,
        consensus_messages.LeaderChanged,
        versions_messages.VersionShares,
        zones_messages.ZoneWeights,
        zones_messages.AdmissionThreshold,
    )

    def __init__(self, *, bus: buses.Bus) -> None:
        self._open: dict[str, _Open] = {}
        self._revision = 0
        self._term = 0
        self._confirmed_at: datetime.datetime | None = None
        self._leader: tuple[str, int] | None = None
        for kind in self.handles:
            bus.subscribe(kind, self._take)

    def _take(self, event: message.Message, now: datetime.datetime) -> None:
        self._on(event, now)

    @functools.singledispatchmethod
    def _on(self, event: message.Message, now: datetime.datetime) -> None:
        """Log the event by its type."""

    @_on.register
    def _(
        self, event: delivery_messages.RequestArrived, now: datetime.datetime
    ) -> None:
        if len(self._open) >= MAX_OPEN:
            del self._open[next(iter(self._open))]
        self._open[event.request_id] = _Open(
            caller_id=event.caller_id or event.request_id,
            arrived_at=now,
            deadline=event.deadline,
        )
        self._request(
            "request taken",
            event.request_id,
            now,
            account=event.account,
            service=event.service,
            route=event.route,
            revision=self._revision,
            left_ms=(event.deadline - now) // MILLISECOND,
            cost=event.cost,
            rank=event.rank,
            digest=_digest(event.digest),
            parts=_names(event.parts),
        )

    @_on.register
    def _(
        self, event: delivery_messages.StartAttempt, now: datetime.datetime
    ) -> None:
        entry = self._open.get(event.request_id)
        if entry is not None:
            entry.attempts += 1
            entry.upstream = event.upstream_id
        self._request(
            "attempt sent",
            event.request_id,
            now,
            attempt=event.attempt_id,
            upstream=event.upstream_id,
            incarnation=event.incarnation,
            url=event.url,
            resume_after=(
                event.resume_offset - 1 if event.resume_offset else None
            ),
        )

    @_on.register
    def _(
        self, event: delivery_messages.AttemptSent, now: datetime.datetime
    ) -> None:
        entry = self._open.get(event.attempt_id.rpartition("-")[0])
        if entry is not None:
            entry.peer = event.peer or None
        if event.peer:
            self._attempt(
                "attempt relayed", event.attempt_id, now, peer=event.peer
            )

    @_on.register
    def _(
        self, event: delivery_messages.AttemptHeaders, now: datetime.datetime
    ) -> None:
        entry = self._open.get(event.attempt_id.rpartition("-")[0])
        if entry is not None:
            entry.framing = event.framing.value
        if event.status < LOWEST_ERROR_STATUS and event.echoed_attempt:
            return
        self._attempt(
            "attempt answered with an error",
            event.attempt_id,
            now,
            status=event.status,
            not_run=event.not_run,
            echoed=bool(event.echoed_attempt),
        )

    @_on.register
    def _(
        self, event: delivery_messages.AttemptEnded, now: datetime.datetime
    ) -> None:
        if event.unfinished_bytes:
            self._attempt(
                "attempt ended inside an event",
                event.attempt_id,
                now,
                logging.WARNING,
                unfinished_bytes=event.unfinished_bytes,
            )

    @_on.register
    def _(
        self, event: delivery_messages.AttemptFailed, now: datetime.datetime
    ) -> None:
        self._attempt(
            "attempt failed",
            event.attempt_id,
            now,
            logging.WARNING,
            kind=event.kind.value,
            sent=event.sent,
        )

    @_on.register
    def _(
        self, event: delivery_messages.CancelAttempt, now: datetime.datetime
    ) -> None:
        if event.kind is delivery_messages.FailureKind.SILENT:
            self._attempt(
                "attempt left in silence",
                event.attempt_id,
                now,
                logging.WARNING,
                upstream=event.upstream_id,
            )

    @_on.register
    def _(
        self, event: placement_messages.Placed, now: datetime.datetime
    ) -> None:
        if not event.reserved:
            self._request(
                "attempt placed without a reservation",
                event.request_id,
                now,
                attempt=event.attempt_id,
                upstream=event.upstream_id,
            )

    @_on.register
    def _(
        self, event: placement_messages.NotPlaced, now: datetime.datetime
    ) -> None:
        self._request(
            "attempt not placed",
            event.request_id,
            now,
            level=logging.WARNING,
            attempt=event.attempt_id,
            code=event.code,
            retry_after_ms=(
                event.retry_after // MILLISECOND if event.retry_after else None
            ),
        )

    @_on.register
    def _(
        self, event: delivery_messages.ResponseStarted, now: datetime.datetime
    ) -> None:
        entry = self._open.get(event.request_id)
        if entry is not None:
            entry.first_at = now
            if event.status >= LOWEST_ERROR_STATUS:
                entry.error_status = event.status

    @_on.register
    def _(
        self, event: delivery_messages.ResponseEnded, now: datetime.datetime
    ) -> None:
        self._end(
            "answer complete",
            event.request_id,
            now,
            logging.INFO,
            events=event.events or None,
            last_event=event.last_event,
        )

    @_on.register
    def _(
        self, event: delivery_messages.ResponseAborted, now: datetime.datetime
    ) -> None:
        self._end(
            "answer broken off",
            event.request_id,
            now,
            logging.WARNING,
            code=event.code,
            ran=event.ran.value,
            events=event.events or None,
            last_event=event.last_event,
            no_retry=event.no_retry or None,
        )

    @_on.register
    def _(
        self, event: delivery_messages.RequestRefused, now: datetime.datetime
    ) -> None:
        after = event.retry_after
        self._end(
            "request refused",
            event.request_id,
            now,
            logging.WARNING,
            code=event.code,
            ran=event.ran.value,
            retry_after_ms=after // MILLISECOND if after else None,
            no_retry=event.no_retry or None,
        )

    @_on.register
    def _(
        self, event: delivery_messages.RequestRejected, now: datetime.datetime
    ) -> None:
        after = event.retry_after
        log.warning(
            "request rejected",
            extra={
                "request": event.caller_id,
                "code": event.code,
                "revision": self._revision,
                **self._confirmation(now),
                "retry_after_ms": after // MILLISECOND if after else None,
            },
        )

    @_on.register
    def _(
        self,
        event: delivery_messages.CallerDisconnected,
        now: datetime.datetime,
    ) -> None:
        self._end("caller gone", event.request_id, now, logging.INFO)

    @_on.register
    def _(
        self, event: delivery_messages.PartQuarantined, now: datetime.datetime
    ) -> None:
        log.warning(
            "prompt part quarantined",
            extra={"part": event.part, "upstreams": list(event.upstreams)},
        )

    @_on.register
    def _(
        self, event: delivery_messages.PartReleased, now: datetime.datetime
    ) -> None:
        log.warning("prompt part released", extra={"part": event.part})

    @_on.register
    def _(
        self,
        event: delivery_messages.RequestQuarantined,
        now: datetime.datetime,
    ) -> None:
        log.warning(
            "request quarantined",
            extra={
                "digest": event.key[:DIGEST_CHARACTERS],
                "upstreams": list(event.upstreams),
            },
        )

    @_on.register
    def _(
        self, event: delivery_messages.RequestReleased, now: datetime.datetime
    ) -> None:
        log.info(
            "request released",
            extra={"digest": event.key[:DIGEST_CHARACTERS]},
        )

    @_on.register
    def _(
        self, event: membership_messages.Withdrawn, now: datetime.datetime
    ) -> None:
        log.info("withdrawal taken", extra={"upstream": event.upstream_id})

    @_on.register
    def _(
        self,
        event: membership_messages.UpstreamChanged,
        now: datetime.datetime,
    ) -> None:
        upstream = event.upstream
        cold = upstream.cold_until
        log.info(
            "upstream changed",
            extra={
                "upstream": upstream.upstream_id,
                "incarnation": upstream.incarnation,
                "sequence": upstream.sequence,
                "state": upstream.state.value,
                "zone": upstream.zone,
                "url": upstream.url,
                "services": [offer.service for offer in upstream.offers],
                "versions": [offer.version for offer in upstream.offers],
                "cold_ms": (cold - now) // MILLISECOND if cold else None,
            },
        )

    @_on.register
    def _(
        self, event: membership_messages.UpstreamGone, now: datetime.datetime
    ) -> None:
        log.info(
            "upstream gone",
            extra={
                "upstream": event.upstream_id,
                "incarnation": event.incarnation,
                "reason": event.reason,
            },
        )

    @_on.register
    def _(
        self,
        event: membership_messages.UrgentChangeQueued,
        now: datetime.datetime,
    ) -> None:
        log.info(
            "urgent change queued",
            extra={
                "change": event.key,
                "relayed": event.relayed,
                "available_bytes": event.available_bytes,
                "pending": event.pending,
            },
        )

    @_on.register
    def _(
        self,
        event: membership_messages.UrgentChangeSent,
        now: datetime.datetime,
    ) -> None:
        log.info(
            "urgent change sent",
            extra={
                "change": event.key,
                "relayed": event.relayed,
                "waited_ms": event.waited // MILLISECOND,
                "receivers": event.receivers,
                "available_bytes": event.available_bytes,
            },
        )

    @_on.register
    def _(
        self,
        event: membership_messages.UrgentChangesDelayed,
        now: datetime.datetime,
    ) -> None:
        log.warning(
            "urgent changes delayed",
            extra={
                "changes": list(event.keys),
                "oldest_ms": event.oldest // MILLISECOND,
                "available_bytes": event.available_bytes,
                "sent_bytes": event.sent_bytes,
            },
        )

    @_on.register
    def _(
        self, event: membership_messages.OwnerChanged, now: datetime.datetime
    ) -> None:
        log.info(
            "owner changed",
            extra={
                "upstream": event.upstream_id,
                "owner": event.owner,
                "epoch": event.owner_epoch,
            },
        )

    @_on.register
    def _(
        self, event: membership_messages.DaemonChanged, now: datetime.datetime
    ) -> None:
        daemon = event.daemon
        log.info(
            "daemon changed",
            extra={
                "daemon": daemon.daemon_id,
                "incarnation": daemon.incarnation,
                "state": daemon.state.value,
                "refutation": daemon.refutation,
            },
        )

    @_on.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        log.warning(
            "daemon lost",
            extra={
                "daemon": event.daemon_id,
                "incarnation": event.incarnation,
            },
        )

    @_on.register
    def _(
        self,
        event: membership_messages.AnnounceRefused,
        now: datetime.datetime,
    ) -> None:
        log.info(
            "announcement refused",
            extra={"upstream": event.upstream_id, "code": event.code},
        )

    @_on.register
    def _(
        self,
        event: publishing_messages.ConfigurationChanged,
        now: datetime.datetime,
    ) -> None:
        self._revision = event.revision
        self._term = event.term
        self._confirmed_at = event.confirmed_at
        log.info(
            "configuration in force",
            extra={
                "revision": event.revision,
                **self._confirmation(now),
                "routes": len(event.bundle.host_route),
                "services": len(event.bundle.service),
                "accounts": len(event.bundle.account),
            },
        )

    @_on.register
    def _(
        self,
        event: publishing_messages.ConfigurationConfirmed,
        now: datetime.datetime,
    ) -> None:
        self._term = event.term
        self._confirmed_at = event.confirmed_at

    def _confirmation(self, now: datetime.datetime) -> dict[str, typing.Any]:
        """Return which leader confirmed the revision in force, and when."""
        if self._confirmed_at is None:
            return {}
        return {
            "confirmed_term": self._term,
            "confirmed_ms_ago": (now - self._confirmed_at) // MILLISECOND,
        }

    @_on.register
    def _(
        self, event: publishing_messages.AmendResult, now: datetime.datetime
    ) -> None:
        log.log(
            logging.WARNING if event.code else logging.INFO,
            "amendment ended",
            extra={
                "amendment": event.amend_id,
                "code": event.code,
                "revision": event.revision,
                "number": event.number,
            },
        )

    @_on.register
    def _(
        self,
        event: publishing_messages.DocumentResponse,
        now: datetime.datetime,
    ) -> None:
        log.log(
            logging.WARNING if event.code else logging.INFO,
            "document read",
            extra={"code": event.code, "number": event.number},
        )

    @_on.register
    def _(
        self, event: consensus_messages.LeaderChanged, now: datetime.datetime
    ) -> None:
        leader = (event.leader, event.term)
        if leader == self._leader:
            return
        self._leader = leader
        log.log(
            logging.INFO if event.leader else logging.WARNING,
            "leader changed",
            extra={"leader": event.leader, "term": event.term},
        )

    @_on.register
    def _(
        self, event: versions_messages.VersionShares, now: datetime.datetime
    ) -> None:
        log.info(
            "version shares",
            extra={
                "service": event.service,
                "model": event.model,
                "shares": dict(event.shares),
            },
        )

    @_on.register
    def _(
        self, event: zones_messages.ZoneWeights, now: datetime.datetime
    ) -> None:
        log.info(
            "zone weights",
            extra={"revision": event.revision, "weights": dict(event.weights)},
        )

    @_on.register
    def _(
        self, event: zones_messages.AdmissionThreshold, now: datetime.datetime
    ) -> None:
        log.warning(
            "capacity",
            extra={
                "service": event.service,
                "floor": event.floor,
                "part": event.part,
            },
        )

    def _attempt(
        self,
        text: str,
        attempt_id: str,
        now: datetime.datetime,
        level: int = logging.INFO,
        **fields: typing.Any,
    ) -> None:
        request_id = attempt_id.rpartition("-")[0]
        self._request(
            text, request_id, now, level=level, attempt=attempt_id, **fields
        )

    def _end(
        self,
        text: str,
        request_id: str,
        now: datetime.datetime,
        level: int,
        **fields: typing.Any,
    ) -> None:
        entry = self._open.get(request_id)
        if entry is not None:
            fields["framing"] = entry.framing
            fields["status"] = entry.error_status
            fields["peer"] = entry.peer
        self._request(text, request_id, now, level=level, **fields)
        self._open.pop(request_id, None)

    def _request(
        self,
        text: str,
        request_id: str,
        now: datetime.datetime,
        *,
        level: int = logging.INFO,
        **fields: typing.Any,
    ) -> None:
        entry = self._open.get(request_id)
        known: dict[str, typing.Any] = {"request": request_id}
        if entry is not None:
            known["request"] = entry.caller_id
            known["age_ms"] = (now - entry.arrived_at) // MILLISECOND
            if entry.first_at is not None:
                first = entry.first_at - entry.arrived_at
                known["first_ms"] = first // MILLISECOND
            if entry.upstream:
                known["last_upstream"] = entry.upstream
            if entry.attempts:
                known["attempts"] = entry.attempts
        known.update(fields)
        log.log(
            level,
            text,
            extra={k: v for k, v in known.items() if v is not None},
        )


def _digest(digest: str) -> str | None:
    """Return what lines show of a request's digest, as its quarantine does."""
    if not digest:
        return None
    key = evidence_exchange.request_key(digest)
    return crash_evidence.key_name(key)[:DIGEST_CHARACTERS]


def _names(parts: tuple[tuple[str, int], ...]) -> list[str] | None:
    """Return the ids of the shared parts of a prompt, without the last.

    The last one belongs to the session and is found by the request's id.
    """
    shared = [name[:PART_CHARACTERS] for name, _ in parts[:-1][:MAX_PARTS]]
    return shared or None
