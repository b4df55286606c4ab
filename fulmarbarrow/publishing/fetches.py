"""Answers fetches on a control host, from state that a leader confirmed."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import state as states
from fulmarbarrow.publishing import status as status_module

GROUP = consensus_messages.Group.CONFIGURATION
# A daemon without a configuration fetches again after this long.
FETCH_LIFETIME = datetime.timedelta(milliseconds=500)
# The leader is asked again if it has not answered by then.
READ_TIMEOUT = datetime.timedelta(milliseconds=500)

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
    fetch has arrived, and answers once it has applied that one. One read at a
    time covers all fetches that arrived before it.

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
        self._pending: dict[str, _Pending] = {}
        self._received = 0
        self._unconfirmed: list[messages.RevisionFetch] = []
        self._read: _Read | None = None
        self._reads = 0

    def add(
        self, fetch: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        """Hold a fetch; it replaces an earlier one of the same daemon."""
        if not fetch.confirm and fetch.revision >= self._state.revision:
            return []
        self._received += 1
        self._pending[fetch.daemon_id] = _Pending(
            fetch=fetch, number=self._received, received_at=now
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
        read = self._read
        if read is None or read.read_id != event.status_id:
            return []
        if not event.status.current:
            self._read = None
            return []
        # A leader of an earlier release does not tell its term.
        term = event.status.term or self._status.term
        self._read = dataclasses.replace(
            read, term=term, revision=event.status.revision
        )
        return self.on_applied(now)

    def on_applied(self, now: datetime.datetime) -> list[message.Message]:
        """Answer the covered fetches once the leader's revision is applied."""
        read = self._read
        if read is None or read.revision is None:
            return []
        if self._state.revision < read.revision:
            return []
        self._read = None
        effects: list[message.Message] = []
        for daemon_id, pending in list(self._pending.items()):
            if pending.number <= read.covers:
                del self._pending[daemon_id]
                effects.extend(self._answer(pending.fetch, read.term, now))
        return [*effects, *self._start_read(now)]

    def on_tick(self, now: datetime.datetime) -> list[message.Message]:
        """Drop old fetches; read again if the leader has not answered."""
        effects: list[message.Message] = []
        for daemon_id, pending in list(self._pending.items()):
            if now - pending.received_at > FETCH_LIFETIME:
                del self._pending[daemon_id]
                if self._status.leader:
                    effects += self._leave_unconfirmed(pending.fetch, now)
        read = self._read
        if read is not None and now - read.started_at >= READ_TIMEOUT:
            self._status.cancel(read.read_id)
            self._read = None
        return [*effects, *self._start_read(now)]

    def _start_read(self, now: datetime.datetime) -> list[message.Message]:
        if not self._pending or self._read is not None:
            return []
        self._reads += 1
        read_id = (
            f"fetch-{self._daemon.daemon_id}-{self._daemon.incarnation:x}"
            f"-{self._reads}"
        )
        self._read = _Read(
            read_id=read_id, covers=self._received, started_at=now
        )
        request = messages.StatusRequested(status_id=read_id)
        return self._status.on_requested(request, now, brief=True)

    def _leave_unconfirmed(
        self, fetch: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        if fetch.daemon_id == self._daemon.daemon_id:
            return self._answer(fetch, 0, now)
        self._unconfirmed.append(fetch)
        if len(self._unconfirmed) > 1:
            return []
        return [consensus_messages.ContactsWanted(group=GROUP)]
