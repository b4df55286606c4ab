"""Distributes the accepted revision and tracks which daemons have it."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import logging

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import history as histories
from fulmarbarrow.publishing import messages

log = logging.getLogger(__name__)

# Above this number of daemons, pushes go through one relay per zone.
MAX_DIRECT_PUSHES = 16
NOTICE_INTERVAL = datetime.timedelta(seconds=1)
# A revision that is not confirmed then is sent again, on a new connection.
REPAIR_AFTER = datetime.timedelta(milliseconds=500)
ACK_TIMEOUT = datetime.timedelta(seconds=30)
# A daemon that takes longer to confirm a revision is logged.
CONFIRM_TARGET = datetime.timedelta(seconds=2)
# Daemons that have been gone for longer are dropped from the status.
REMOVE_AFTER = datetime.timedelta(minutes=10)


@dataclasses.dataclass(kw_only=True)
class FollowerState:
    """A control host's view of one daemon."""

    daemon: membership_messages.Daemon
    seen_at: datetime.datetime
    revision: int = 0
    gone: bool = False
    notice_sent_at: datetime.datetime | None = None
    pushed_at: datetime.datetime | None = None
    behind_since: datetime.datetime | None = None
    late_logged: bool = False

    @property
    def leaving(self) -> bool:
        """Whether the daemon ends its open requests and takes no new work."""
        leaving = membership_messages.DaemonState.LEAVING
        return self.daemon.state is leaving

    def is_unreachable(self, now: datetime.datetime) -> bool:
        """Return whether the daemon has stopped answering."""
        return self.gone or now - self.seen_at > ACK_TIMEOUT

    def confirm(self, revision: int, now: datetime.datetime) -> None:
        """Record that the daemon has a revision."""
        self.seen_at = now
        self.revision = max(self.revision, revision)

    def check_late(self, revision: int, now: datetime.datetime) -> None:
        """Log, once each time that it falls behind, that it is late."""
        if self.revision >= revision:
            if self.late_logged and self.behind_since is not None:
                self._log("late revision confirmed", now)
            self.behind_since = None
            self.late_logged = False
        elif self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since > CONFIRM_TARGET and not self.late_logged:
            self.late_logged = True
            self._log("revision not confirmed in time", now)

    def _log(self, text: str, now: datetime.datetime) -> None:
        late = now - (self.behind_since or now)
        log.warning(
            text,
            extra={
                "daemon": self.daemon.daemon_id,
                "revision": self.revision,
                "late_ms": round(late.total_seconds() * 1000),
                "gone": self.gone,
            },
        )

    def repair_due(self, revision: int, now: datetime.datetime) -> bool:
        """Return whether a push seems to be lost, once for each push."""
        if self.pushed_at is None or now - self.pushed_at < REPAIR_AFTER:
            return False
        self.pushed_at = None
        return self.revision < revision and not self.is_unreachable(now)

    def notice_due(self, revision: int, now: datetime.datetime) -> bool:
        """Return whether to send the daemon a notice, or another one.

        Every daemon gets at least one, from which it learns the address to
        acknowledge to.
        """
        if self.notice_sent_at is None:
            return True
        if now - self.notice_sent_at < NOTICE_INTERVAL:
            return False
        return self.revision < revision or self.is_unreachable(now)


class FanOut:
    """The known daemons and the revision that is active on each."""

    def __init__(
        self, *, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> None:
        self._daemon = daemon
        self._followers = {
            daemon.daemon_id: FollowerState(daemon=daemon, seen_at=now)
        }

    def daemon_changed(
        self, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> None:
        """Add or update a daemon.

        One that is leaving stays until it is gone, as it still decides on
        requests.
        """
        follower = self._followers.get(daemon.daemon_id)
        if (
            follower is None
            or follower.daemon.incarnation < daemon.incarnation
        ):
            self._followers[daemon.daemon_id] = FollowerState(
                daemon=daemon, seen_at=now
            )
            return
        follower.daemon = daemon
        if follower.gone:
            follower.gone = False
            follower.seen_at = now

    def daemon_gone(self, event: membership_messages.DaemonGone) -> None:
        """Mark a daemon that membership considers dead."""
        follower = self._followers.get(event.daemon_id)
        if follower and follower.daemon.incarnation <= event.incarnation:
            follower.gone = True

    def acknowledge(
        self, event: messages.RevisionAck, now: datetime.datetime
    ) -> None:
        """Record the revision that a daemon acknowledged.

        What an earlier process had in force does not count for this one.
        """
        follower = self._followers.get(event.daemon_id)
        if follower is None:
            return
        if event.incarnation in (0, follower.daemon.incarnation):
            follower.confirm(event.revision, now)

    def handed_out(self, daemon_id: str, now: datetime.datetime) -> None:
        """Record that a daemon was sent the newest revision at its request.

        A notice on top would have it ask for the same revision again.
        """
        follower = self._followers.get(daemon_id)
        if follower is not None:
            follower.notice_sent_at = now

    def push(
        self, delta: messages.Delta, term: int, now: datetime.datetime
    ) -> list[message.Message]:
        """Return the messages that send a delta to all reachable daemons.

        The leader of ``term`` confirms it as the newest one, unless that is 0.
        A daemon that is leaving may be gone before it has relayed the delta.
        """
        reachable = [
            item
            for item in self._followers.values()
            if not item.is_unreachable(now)
        ]
        for item in self._followers.values():
            # A notice to a daemon that is behind must not wait for longer.
            if item.revision >= delta.base:
                item.notice_sent_at = item.pushed_at = now
        if len(reachable) <= MAX_DIRECT_PUSHES:
            return [
                self._push(delta, item.daemon, (), term) for item in reachable
            ]
        zones: dict[str, list[FollowerState]] = {}
        for item in sorted(reachable, key=lambda item: item.daemon.daemon_id):
            if item.daemon.daemon_id != self._daemon.daemon_id:
                zones.setdefault(item.daemon.zone, []).append(item)
        effects = [self._push(delta, self._daemon, (), term)]
        for items in zones.values():
            relays = [item for item in items if not item.leaving] or items
            relay = relays[delta.base % len(relays)]
            addresses = tuple(
                item.daemon.address for item in items if item is not relay
            )
            effects.append(self._push(delta, relay.daemon, addresses, term))
        return effects

    def notices(
        self,
        history: histories.History,
        revision: int,
        term: int,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Return the notices that are due, and lost pushes once more.

        The leader of ``term`` confirms ``revision`` as the newest one.

        Whatever follows a push that is not confirmed goes on new connections:
        the one that it went on may be silent, and the kernel takes longer to
        find out than a revision may take.
        """
        effects = []
        notice = messages.RevisionNotice(
            control=self._daemon.address,
            revision=revision,
            term=term,
            question=0,
        )
        for item in self._followers.values():
            item.check_late(revision, now)
            if item.repair_due(revision, now):
                missing = history.after(item.revision)
                again = self._deltas(missing, (), term) if missing else notice
                effects.append(
                    self._send(item.daemon.address, again, fresh=True)
                )
            elif item.notice_due(revision, now):
                fresh = item.notice_sent_at is not None
                item.notice_sent_at = now
                effects.append(
                    self._send(item.daemon.address, notice, fresh=fresh)
                )
        return effects

    def remove_gone(self, now: datetime.datetime) -> None:
        """Remove daemons that have been gone for a long time.

        One that is leaving may be slow and not gone, so it is removed only
        when it has not answered for ``ACK_TIMEOUT`` either.
        """
        for daemon_id, item in list(self._followers.items()):
            after = ACK_TIMEOUT if item.leaving else REMOVE_AFTER
            if item.gone and now - item.seen_at > after:
                del self._followers[daemon_id]

    def start_leading(self, now: datetime.datetime) -> None:
        """Reset acknowledgement times; a new leader has received none yet."""
        for item in self._followers.values():
            item.notice_sent_at = None
            if not item.gone:
                item.seen_at = now

    def zone_statuses(
        self, revision: int, now: datetime.datetime
    ) -> tuple[messages.ZoneStatus, ...]:
        """Return the rollout status of a revision by zone.

        Daemons that are leaving are not counted.
        """
        zones = collections.defaultdict(list)
        for item in self._followers.values():
            if not item.leaving:
                zones[item.daemon.zone].append(item)
        return tuple(
            _zone_status(zone, items, revision, now)
            for zone, items in sorted(zones.items())
        )

    def _push(
        self,
        delta: messages.Delta,
        daemon: membership_messages.Daemon,
        relay_to: tuple[str, ...],
        term: int,
    ) -> message.Message:
        deltas = self._deltas((delta,), relay_to, term)
        return self._send(daemon.address, deltas)

    def _deltas(
        self,
        deltas: tuple[messages.Delta, ...],
        relay_to: tuple[str, ...],
        term: int,
    ) -> message.Message:
        return messages.RevisionDeltas(
            sender=self._daemon.address,
            control=self._daemon.address,
            deltas=deltas,
            relay_to=relay_to,
            term=term,
            question=0,
        )

    def _send(
        self, address: str, body: message.Message, *, fresh: bool = False
    ) -> message.Message:
        if address == self._daemon.address:
            return body
        return message.Send(
            address=address, message=body, urgent=True, fresh=fresh
        )


def _zone_status(
    zone: str,
    items: list[FollowerState],
    revision: int,
    now: datetime.datetime,
) -> messages.ZoneStatus:
    missing = [item for item in items if item.revision < revision]
    behind = sorted(
        item.daemon.daemon_id
        for item in missing
        if not item.is_unreachable(now)
    )
    unreachable = [
        messages.UnreachableDaemon(
            daemon_id=item.daemon.daemon_id,
            revision=item.revision,
            since=item.seen_at,
        )
        for item in items
        if item.is_unreachable(now)
    ]
    return messages.ZoneStatus(
        zone=zone,
        daemons=len(items),
        in_force=len(items) - len(missing),
        behind=tuple(behind),
        cut_off=tuple(sorted(unreachable, key=lambda item: item.daemon_id)),
    )
