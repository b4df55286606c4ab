"""The duties that this host holds: its leases and what ends them."""

from __future__ import annotations

import collections
import datetime
import logging
import typing

from fulmarbarrow.duties import messages
from fulmarbarrow.duties import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message

log = logging.getLogger(__name__)

# Of the lease, for clocks that run at different rates.
MARGIN_PART = 0.02
MAX_QUESTIONS = 64  # requests whose answer may still come


class Holder:
    """Holds tenures of this process that the leader has confirmed.

    A tenure that ended once, for whatever reason, never begins again. The
    leader relies on that when it grants a duty to the next host. A subject
    that this host has lost is not held again within a lease, nor is any within
    a lease of the start, as an earlier process may have held it until then.
    A grant that was proposed before the loss may be committed after it.
    """

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        lease: datetime.timedelta,
        grants: state.Grants,
        now: datetime.datetime,
    ) -> None:
        self._first_at = now + lease
        self._daemon = daemon
        self._lease = lease
        self._grants = grants
        self._ended: dict[messages.Duty, int] = {}
        self._reasons: dict[messages.Duty, messages.Reason] = {}
        self._held: dict[messages.Duty, state.Record] = {}
        self._until: dict[messages.Duty, datetime.datetime] = {}
        # The subjects of which this host has told that it holds them.
        self._told: dict[messages.Duty, set[str]] = {}
        self._refused: dict[messages.Duty, tuple[int, set[str]]] = {}
        self._lost_at: dict[tuple[messages.Duty, str], datetime.datetime] = {}
        self._sequence = 0
        self._sent: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )
        self._leaving = False

    @property
    def usable(self) -> tuple[state.Record, ...]:
        """The held grants of which at least one subject is held."""
        return tuple(
            record for duty, record in self._held.items() if self._told[duty]
        )

    @property
    def awaits_lease(self) -> bool:
        """Whether a duty is granted to this host and not confirmed yet.

        The leader ignores a report that comes before it has applied the grant.
        """
        return any(
            record.duty not in self._held and not self._has_ended(record)
            for record in self._mine()
        )

    def check(self, now: datetime.datetime) -> list[message.Message]:
        """Give up every duty whose lease has ended."""
        effects: list[message.Message] = []
        for duty, until in list(self._until.items()):
            if now >= until:
                effects += self._end(duty, messages.Reason.LEASE_ENDED, now)
        lease = self._grants.longest_lease(self._lease)
        for key, at in list(self._lost_at.items()):
            if now >= at + lease:
                del self._lost_at[key]
        return effects

    def follow(self, now: datetime.datetime) -> list[message.Message]:
        """Follow the replicated state after it has changed."""
        effects: list[message.Message] = []
        for duty, before in list(self._held.items()):
            record = self._grants.get(duty)
            if record is None or record.tenure != before.tenure:
                effects += self._end(duty, messages.Reason.REPLACED, now)
                continue
            if record.number == before.number:
                continue
            kept = set(record.subjects)
            effects += [
                self._lost(before, subject, messages.Reason.UNWANTED, now)
                for subject in sorted(self._told[duty] - kept)
            ]
            self._held[duty] = record
            self._refused.pop(duty, None)
            effects += self._tell_held(duty, now)
        return effects

    def report(self, now: datetime.datetime) -> messages.RenewDuties:
        """Return the message that this host sends to the leader."""
        self._sequence += 1
        self._sent[self._sequence] = now
        if len(self._sent) > MAX_QUESTIONS:
            self._sent.popitem(last=False)
        mine = self._mine()
        return messages.RenewDuties(
            holder=self._daemon.daemon_id,
            incarnation=self._daemon.incarnation,
            zone=self._daemon.zone,
            address=self._daemon.address,
            sequence=self._sequence,
            held=tuple(
                (record.duty, record.tenure)
                for record in mine
                if not self._has_ended(record)
            ),
            released=tuple(
                (
                    record.duty,
                    record.tenure,
                    self._reasons.get(record.duty, messages.Reason.LEAVING),
                )
                for record in mine
                if self._has_ended(record)
            ),
            refused=tuple(
                (duty, number) for duty, (number, _) in self._refused.items()
            ),
            leaving=self._leaving,
        )

    def renewed(
        self, event: messages.DutiesRenewed, now: datetime.datetime
    ) -> list[message.Message]:
        """Take the leader's confirmation of a request of this process."""
        sent_at = self._sent.get(event.sequence)
        if event.incarnation != self._daemon.incarnation or sent_at is None:
            return []
        effects: list[message.Message] = []
        for duty, tenure in event.tenures:
            record = self._grants.get(duty)
            if (
                record is None
                or record.tenure != tenure
                or not record.is_of(
                    self._daemon.daemon_id, self._daemon.incarnation
                )
                or self._has_ended(record)
                or now < self._first_at
            ):
                continue
            until = sent_at + record.lease * (1 - MARGIN_PART)
            if until <= max(now, self._until.get(duty, now)):
                continue
            if duty not in self._held:
                _log_held(record, until)
            self._held[duty] = record
            self._until[duty] = until
            effects += self._tell_held(duty, now)
        return effects

    def refuse(
        self, event: messages.DutyRefused, now: datetime.datetime
    ) -> list[message.Message]:
        """Give up a subject whose number the platform has refused."""
        record = self._held.get(event.duty)
        if (
            record is None
            or record.number != event.number
            or event.subject not in self._told[event.duty]
        ):
            return []
        _, subjects = self._refused.setdefault(
            event.duty, (record.number, set())
        )
        subjects.add(event.subject)
        return [
            self._lost(record, event.subject, messages.Reason.REFUSED, now)
        ]

    def release(
        self,
        duty: messages.Duty,
        reason: messages.Reason,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Give up a duty, which the next report tells to the leader."""
        return self._end(duty, reason, now) if duty in self._held else []

    def leave(self, now: datetime.datetime) -> list[message.Message]:
        """Give up everything, and take nothing any more."""
        self._leaving = True
        effects: list[message.Message] = []
        for duty in list(self._held):
            effects += self._end(duty, messages.Reason.LEAVING, now)
        return effects

    def dump(self) -> dict[str, typing.Any]:
        """Return the leases as plain data."""
        return {
            duty.value: {
                "number": record.number,
                "tenure": record.tenure,
                "until": self._until[duty].isoformat(),
                "refused": sorted(self._refused.get(duty, (0, set()))[1]),
            }
            for duty, record in self._held.items()
        }

    def _mine(self) -> list[state.Record]:
        return [
            record
            for record in self._grants.records
            if record.is_of(self._daemon.daemon_id, self._daemon.incarnation)
        ]

    def _has_ended(self, record: state.Record) -> bool:
        ended = self._ended.get(record.duty, 0)
        return self._leaving or record.tenure <= ended

    def _end(
        self,
        duty: messages.Duty,
        reason: messages.Reason,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """End a tenure for good."""
        record = self._held.pop(duty)
        self._until.pop(duty, None)
        self._ended[duty] = record.tenure
        self._reasons[duty] = reason
        lost = [
            self._lost(record, subject, reason, now)
            for subject in sorted(self._told[duty])
        ]
        del self._told[duty]
        self._refused.pop(duty, None)
        return lost

    def _tell_held(
        self, duty: messages.Duty, now: datetime.datetime
    ) -> list[message.Message]:
        """Return what tells of the subjects that this host may use now."""
        record = self._held[duty]
        _, refused = self._refused.get(duty, (0, set()))
        told = self._told.setdefault(duty, set())
        told.update(
            subject
            for subject in record.subjects
            if subject not in refused and (duty, subject) not in self._lost_at
        )
        return [
            messages.DutyHeld(
                duty=duty,
                subject=subject,
                number=record.number,
                until=self._until[duty],
            )
            for subject in record.subjects
            if subject in told
        ]

    def _lost(
        self,
        record: state.Record,
        subject: str,
        reason: messages.Reason,
        now: datetime.datetime,
    ) -> message.Message:
        self._told[record.duty].discard(subject)
        self._lost_at[record.duty, subject] = now
        log.info(
            "duty lost",
            extra={
                "duty": record.duty.value,
                "subject": subject,
                "number": record.number,
                "reason": reason.value,
            },
        )
        return messages.DutyLost(
            duty=record.duty,
            subject=subject,
            number=record.number,
            reason=reason.value,
        )


def _log_held(record: state.Record, until: datetime.datetime) -> None:
    log.info(
        "duty held",
        extra={
            "duty": record.duty.value,
            "subjects": len(record.subjects),
            "number": record.number,
            "until": until.isoformat(),
        },
    )
