"""Answers fetches on a control host, from state that a leader confirmed."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import state as states
from fulmarbarrow.publishing import status as status_module

GROUP = consensus_messages.Group.CONFIGURATION
# A daemon without a configuration fetches from another host after this long.
FETCH_INTERVAL = datetime.timedelta(milliseconds=500)
# A fetch is left unconfirmed if the leader has not answered by then.
FETCH_LIFETIME = datetime.timedelta(seconds=2)
# The leader is asked again after this long; earlier answers still count.
READ_INTERVAL = datetime.timedelta(milliseconds=500)

# Answers a fetch as confirmed by the leader of a term, 0 for no leader.
Answer = collections.abc.Callable[
    [messages.RevisionFetch, int, datetime.datetime], list[message.Message]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pending:
    """A fetch without an answer; ``number`` counts the fetches received."""

    fetch: messages.RevisionFetch
    number: int
    received_at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Read:
    """A read of the leader's revision.

    It covers the fetches up to number ``covers``, which had arrived before it.
    Once the leader of ``term`` has answered, ``revision`` has to be applied on
    this host.
    """

    read_id: str
    covers: int
    started_at: datetime.datetime
    term: int = 0
    revision: int | None = None


class ConfirmedFetches:
    """Holds fetches until this host knows that its revision is the newest.

    A control host that has restarted has applied its last snapshot, which may
    be older than what was accepted. So it reads the leader's revision after a
    fetch has arrived, and answers once it has applied that one. A read covers
    all fetches that arrived before it; a slow leader is asked by several.

    Without a leader the fetch is left to what this daemon has in force, and
    the sender is told which control hosts this one hears. Only the daemon
    itself gets the host's revision unconfirmed: it does not act on it unless
    its zone is cut off.
    """

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        state: states.PublishedState,
        status: status_module.StatusService,
        answer: Answer,
    ) -> None:
        self._daemon = daemon
        self._state = state
        self._status = status
        self._answer = answer
        self._pending: list[_Pending] = []
        self._received = 0
        self._unconfirmed: list[messages.RevisionFetch] = []
        self._reads: dict[str, _Read] = {}
        self._reads_started = 0

    def add(
        self, fetch: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        """Hold a fetch, and read the leader's revision for it."""
        if not fetch.confirm and fetch.revision >= self._state.revision:
            return []
        self._received += 1
        self._pending.append(
            _Pending(fetch=fetch, number=self._received, received_at=now)
        )
        effects = self._start_read(now)
        if not self._status.leader:
            effects += self._leave_unconfirmed(fetch, now)
        return effects

    def on_contacts(
        self, event: consensus_messages.Contacts
    ) -> list[message.Message]:
        """Leave the fetches that can't be confirmed to this daemon."""
        fetches, self._unconfirmed = self._unconfirmed, []
        return [
            messages.FetchUnconfirmed(fetch=fetch, reached=event.addresses)
            for fetch in fetches
        ]

    def on_status(
        self, event: messages.StatusResponse, now: datetime.datetime
    ) -> list[message.Message]:
        """Process the leader's answer to a read."""
        read = self._reads.pop(event.status_id, None)
        if read is None or not event.status.current:
            return []
        # A leader of an earlier release does not tell its term.
        term = event.status.term or self._status.term
        self._reads[read.read_id] = dataclasses.replace(
            read, term=term, revision=event.status.revision
        )
        return self.on_applied(now)

    def on_applied(self, now: datetime.datetime) -> list[message.Message]:
        """Answer the covered fetches once the leader's revision is applied."""
        done = [
            read
            for read in self._reads.values()
            if read.revision is not None
            and read.revision <= self._state.revision
        ]
        if not done:
            return []
        latest = max(done, key=lambda read: read.covers)
        self._drop_reads(latest.covers)
        covered, self._pending = _split(self._pending, latest.covers)
        # The latest fetch of a daemon stands for the earlier ones.
        by_daemon = {item.fetch.daemon_id: item for item in covered}
        effects: list[message.Message] = []
        for item in by_daemon.values():
            fetch = item.fetch
            if fetch.confirm and now - item.received_at > FETCH_INTERVAL:
                # Another host is asked for the content; it is confirmed only.
                fetch = msgspec.structs.replace(
                    fetch, revision=self._state.revision
                )
            effects.extend(self._answer(fetch, latest.term, now))
        return [*effects, *self._start_read(now)]

    def on_tick(self, now: datetime.datetime) -> list[message.Message]:
        """Drop old fetches; read again if the leader has not answered."""
        effects: list[message.Message] = []
        leads = self._status.leader
        lifetime = FETCH_LIFETIME if leads else FETCH_INTERVAL
        expired = [
            item for item in self._pending if now - item.received_at > lifetime
        ]
        if expired:
            last = expired[-1].number
            self._drop_reads(last)
            _, self._pending = _split(self._pending, last)
        if leads:
            for item in expired:
                effects += self._leave_unconfirmed(item.fetch, now)
        return [*effects, *self._start_read(now)]

    def _start_read(self, now: datetime.datetime) -> list[message.Message]:
        latest = max(
            (read.started_at for read in self._reads.values()), default=None
        )
        if not self._pending or (
            latest is not None and now - latest < READ_INTERVAL
        ):
            return []
        self._reads_started += 1
        read_id = (
            f"fetch-{self._daemon.daemon_id}-{self._daemon.incarnation:x}"
            f"-{self._reads_started}"
        )
        self._reads[read_id] = _Read(
            read_id=read_id, covers=self._received, started_at=now
        )
        request = messages.StatusRequested(status_id=read_id)
        return self._status.on_requested(request, now, brief=True)

    def _drop_reads(self, covers: int) -> None:
        """Drop the reads that cover no fetch after number ``covers``."""
        for read_id, read in list(self._reads.items()):
            if read.covers <= covers:
                del self._reads[read_id]
                self._status.cancel(read_id)

    def _leave_unconfirmed(
        self, fetch: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        if fetch.daemon_id == self._daemon.daemon_id:
            return self._answer(fetch, 0, now)
        self._unconfirmed.append(fetch)
        if len(self._unconfirmed) > 1:
            return []
        return [consensus_messages.ContactsWanted(group=GROUP)]


def _split(
    pending: list[_Pending], covers: int
) -> tuple[list[_Pending], list[_Pending]]:
    """Return the fetches up to number ``covers``, and those after it."""
    covered = [item for item in pending if item.number <= covers]
    return covered, pending[len(covered) :]
