"""Grants duties on the leader of the replicated log."""

from __future__ import annotations

import dataclasses
import datetime
import logging
import typing

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.duties import messages
from fulmarbarrow.duties import state
from fulmarbarrow import message

log = logging.getLogger(__name__)

PROPOSAL_TIMEOUT = datetime.timedelta(seconds=5)
# A host that did not reach the platform, and its zone, come last this long.
UNABLE_TIME = datetime.timedelta(seconds=30)
# Of a lease, in which all hosts report to a new leader.
REPORT_PART = 0.25
MAX_CANDIDATES = 64  # the fleet has at most 12 control hosts

_Place = tuple[messages.Duty, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A control host that may get a duty."""

    report: messages.RenewDuties
    heard_at: datetime.datetime


class Leader:
    """Confirms tenures, and grants duties whose tenure has certainly ended.

    All of this is forgotten at the end of the term. What an earlier leader
    confirmed has ended one lease after the start of the leadership, or when
    the holder says so. Hosts themselves see to it that they do not return
    within a lease; what this knows of it only avoids useless grants.
    """

    def __init__(
        self,
        *,
        daemon_id: str,
        incarnation: int,
        group: consensus_messages.Group,
        lease: datetime.timedelta,
        grants: state.Grants,
    ) -> None:
        self._daemon_id = daemon_id
        self._incarnation = incarnation
        self._group = group
        self._lease = lease
        self._grants = grants
        self._wanted: dict[messages.Duty, tuple[str, ...]] = {}
        self._proposal_count = 0
        self._term = 0
        self.forget()

    def forget(self) -> None:
        """Begin a term, or end one, without any knowledge of leases."""
        self._since: datetime.datetime | None = None
        self._candidates: dict[str, Candidate] = {}
        self._live_until: dict[messages.Duty, datetime.datetime] = {}
        self._over: dict[messages.Duty, int] = {}
        self._lost_at: dict[_Place, datetime.datetime] = {}
        self._unable: dict[_Place, tuple[datetime.datetime, str]] = {}
        self._refused: dict[messages.Duty, tuple[int, datetime.datetime]] = {}
        self._dropped_at: dict[_Place, datetime.datetime] = {}
        self._proposed: dict[
            messages.Duty, tuple[str, str, datetime.datetime]
        ] = {}

    def lead(self, term: int, now: datetime.datetime) -> None:
        """Take note that this host leads now.

        Its lease says that it has applied all that earlier leaders committed.
        """
        self._term = term
        if self._since is None:
            self._since = now

    def want(self, event: messages.SubjectsWanted) -> None:
        """Replace the subjects of a duty."""
        subjects = state.bounded(event.subjects)
        if len(subjects) != len(set(event.subjects)):
            log.warning(
                "too many subjects of a duty, or too long ones",
                extra={"duty": event.duty.value, "kept": len(subjects)},
            )
        self._wanted[event.duty] = subjects

    def take(
        self, event: messages.RenewDuties, now: datetime.datetime
    ) -> messages.DutiesRenewed:
        """Take a report of a control host; return what it still holds."""
        self._add_candidate(event, now)
        for duty, tenure, reason in event.released:
            record = self._record(event, duty, tenure)
            if record is None or self._over.get(duty) == tenure:
                continue
            self._end(record, now)
            if reason is messages.Reason.UNREACHABLE:
                self._unable[duty, event.holder] = (now, event.zone)
        for duty, number in event.refused:
            record = self._grants.get(duty)
            known, _ = self._refused.get(duty, (0, now))
            if record is not None and known < number == record.number:
                self._refused[duty] = (number, now)
        confirmed = []
        for duty, tenure in event.held:
            record = self._record(event, duty, tenure)
            if record is None or self._over.get(duty) == tenure:
                continue
            self._live_until[duty] = now + record.lease
            confirmed.append((duty, tenure))
        return messages.DutiesRenewed(
            incarnation=event.incarnation,
            sequence=event.sequence,
            tenures=tuple(confirmed),
        )

    def applied(
        self,
        before: state.Record | None,
        record: state.Record,
        now: datetime.datetime,
    ) -> None:
        """Take note of a grant that is in force."""
        duty = record.duty
        self._proposed.pop(duty, None)
        self._refused.pop(duty, None)
        if before is not None:
            kept = set(record.subjects)
            for subject in before.subjects:
                if subject not in kept:
                    self._dropped_at[duty, subject] = now
        if before is None or before.tenure != record.tenure:
            # The holder has a lease to ask for its first renewal.
            self._live_until[duty] = now + record.lease

    def proposal_ended(self, event: consensus_messages.ProposeResult) -> None:
        """Let a grant be proposed again that is not committed."""
        for duty, (proposal_id, _, _) in list(self._proposed.items()):
            if proposal_id == event.proposal_id and not event.committed:
                del self._proposed[duty]

    def grant(self, now: datetime.datetime) -> list[message.Message]:
        """Propose the grants that are due."""
        if self._since is None:
            return []
        self._drop_old(now)
        all_over_at = self._since + self._grants.longest_lease(self._lease)
        reported_at = self._since + self._lease * REPORT_PART
        effects: list[message.Message] = []
        for duty, wanted in self._wanted.items():
            _, _, at = self._proposed.get(duty, ("", "", None))
            if at is not None and now < at + PROPOSAL_TIMEOUT:
                continue
            record = self._grants.get(duty)
            released = record and self._over.get(duty) == record.tenure
            if now < (reported_at if released else all_over_at):
                continue
            command = self._next(duty, wanted, now)
            if command is not None:
                effects.append(self._propose(command, now))
        return effects

    def dump(self) -> dict[str, typing.Any]:
        """Return what the leader knows of the candidates and tenures."""
        return {
            "since": self._since.isoformat() if self._since else "",
            "candidates": {
                name: item.heard_at.isoformat()
                for name, item in self._candidates.items()
            },
            "live_until": {
                duty.value: until.isoformat()
                for duty, until in self._live_until.items()
            },
            "proposed": [duty.value for duty in self._proposed],
        }

    def _add_candidate(
        self, event: messages.RenewDuties, now: datetime.datetime
    ) -> None:
        known = self._candidates.get(event.holder)
        if known is None and len(self._candidates) >= MAX_CANDIDATES:
            return
        if known is not None and now < known.heard_at + self._lease:
            # A late message. After a lease it may be a host whose clock was
            # set back before it started again.
            order = (event.incarnation, event.sequence)
            if order < (known.report.incarnation, known.report.sequence):
                return
        self._candidates[event.holder] = Candidate(report=event, heard_at=now)

    def _record(
        self, event: messages.RenewDuties, duty: messages.Duty, tenure: int
    ) -> state.Record | None:
        """Return the grant in force if it is of the sender's tenure."""
        record = self._grants.get(duty)
        if (
            record is None
            or record.tenure != tenure
            or not record.is_of(event.holder, event.incarnation)
        ):
            return None
        return record

    def _end(self, record: state.Record, now: datetime.datetime) -> None:
        """Take note that a tenure has certainly ended."""
        self._over[record.duty] = record.tenure
        self._lost_at[record.duty, record.holder] = now

    def _next(
        self,
        duty: messages.Duty,
        wanted: tuple[str, ...],
        now: datetime.datetime,
    ) -> state.Grant | None:
        """Return the grant of a duty that is due."""
        subjects = tuple(
            subject
            for subject in wanted
            if (duty, subject) not in self._dropped_at
        )
        record = self._grants.get(duty)
        if record is not None and self._over.get(duty) != record.tenure:
            until = self._live_until.get(duty)
            if until is not None and now < until:
                return self._extension(record, subjects, now)
            log.info(
                "lease of a duty has ended",
                extra={"duty": duty.value, "holder": record.holder},
            )
            self._end(record, now)
        if not subjects:
            return None
        chosen = self._choose(duty, now)
        if chosen is None:
            return None
        report = chosen.report
        return state.Grant(
            duty=duty,
            holder=report.holder,
            incarnation=report.incarnation,
            zone=report.zone,
            address=report.address,
            subjects=subjects,
            base=record.number if record else 0,
            term=self._term,
            floor=state.floor(now),
            lease=self._lease,
        )

    def _extension(
        self,
        record: state.Record,
        subjects: tuple[str, ...],
        now: datetime.datetime,
    ) -> state.Grant | None:
        """Return a grant with other subjects or a new number, if needed."""
        number, since = self._refused.get(record.duty, (0, now))
        refused = number == record.number
        if refused and now < since + record.lease:
            return None
        if subjects == record.subjects and not refused:
            return None
        return state.Grant(
            duty=record.duty,
            holder=record.holder,
            incarnation=record.incarnation,
            zone=record.zone,
            address=record.address,
            subjects=subjects,
            base=record.number,
            term=self._term,
            floor=state.floor(now),
            lease=self._lease,
            extends=True,
        )

    def _choose(
        self, duty: messages.Duty, now: datetime.datetime
    ) -> Candidate | None:
        """Return the host that gets a duty.

        Hosts that did not reach the platform come last, before them those of
        their zone. Duties are spread, and the leader is avoided, so that one
        lost host does not end both.
        """
        unable_zones = {
            zone
            for (which, _), (_, zone) in self._unable.items()
            if which is duty
        }
        others = [
            record.holder
            for record in self._grants.records
            if record.duty is not duty
            and self._over.get(record.duty) != record.tenure
        ]
        others += [
            holder
            for which, (_, holder, _) in self._proposed.items()
            if which is not duty
        ]
        free = [
            item
            for item in self._candidates.values()
            if now < item.heard_at + self._lease
            and not item.report.leaving
            and (duty, item.report.holder) not in self._lost_at
        ]
        return min(
            free,
            key=lambda item: (
                (duty, item.report.holder) in self._unable,
                item.report.zone in unable_zones,
                others.count(item.report.holder),
                item.report.holder == self._daemon_id,
                item.report.holder,
            ),
            default=None,
        )

    def _drop_old(self, now: datetime.datetime) -> None:
        """Forget what excludes hosts and subjects no longer."""
        lease = self._grants.longest_lease(self._lease)
        for table in (self._lost_at, self._dropped_at):
            for key, at in list(table.items()):
                if now >= at + lease:
                    del table[key]
        for key, (at, _) in list(self._unable.items()):
            if now >= at + UNABLE_TIME:
                del self._unable[key]

    def _propose(
        self, grant: state.Grant, now: datetime.datetime
    ) -> message.Message:
        self._proposal_count += 1
        proposal_id = (
            f"duty/{self._daemon_id}/{self._incarnation}"
            f"/{self._proposal_count}"
        )
        self._proposed[grant.duty] = (proposal_id, grant.holder, now)
        log.info(
            "duty is granted",
            extra={
                "duty": grant.duty.value,
                "holder": grant.holder,
                "zone": grant.zone,
                "subjects": len(grant.subjects),
                "after": grant.base,
                "extends": grant.extends,
            },
        )
        return consensus_messages.Propose(
            proposal_id=proposal_id,
            group=self._group,
            command=msgspec.msgpack.encode(grant),
            machine=messages.MACHINE,
        )
