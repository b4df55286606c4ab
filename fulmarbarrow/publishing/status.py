"""Status requests, answered by the leader or marked as not current."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import messages

ANSWER_TIMEOUT = datetime.timedelta(seconds=2)

Describe = collections.abc.Callable[[datetime.datetime], messages.Status]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingRequest:
    """A pending status request; ``reply_to`` is empty for a local one.

    The answer to a ``brief`` one has no zones.
    """

    deadline: datetime.datetime
    reply_to: str = ""
    brief: bool = False


class StatusService:
    """Forwards status requests to the leader and returns the answers."""

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        describe: Describe,
        now: datetime.datetime,
    ) -> None:
        self._daemon = daemon
        self._describe = describe
        self._pending: dict[str, PendingRequest] = {}
        self._leader_address = ""
        self.leader = ""
        self.term = 0
        self.leaderless_since: datetime.datetime | None = now

    @property
    def leader_address(self) -> str:
        """The leader's address, empty if there is no leader."""
        return self._leader_address

    def on_leader_changed(
        self,
        event: consensus_messages.LeaderChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Record the leader and repeat the local requests that wait for one.

        Those were refused while this host was not the leader.
        """
        self.leader = event.leader
        self.term = event.term
        self._leader_address = event.address
        if event.leader:
            self.leaderless_since = None
        elif self.leaderless_since is None:
            self.leaderless_since = now
        local = [
            status_id
            for status_id, request in self._pending.items()
            if not request.reply_to
        ]
        if event.lease_until is not None:
            return [_barrier(status_id) for status_id in local]
        return [
            effect
            for status_id in local
            for effect in self._forward(status_id)
        ]

    def on_requested(
        self,
        event: messages.StatusRequested,
        now: datetime.datetime,
        *,
        brief: bool = False,
    ) -> list[message.Message]:
        """Handle a local request."""
        request = PendingRequest(deadline=now + ANSWER_TIMEOUT, brief=brief)
        return self._start_read(event.status_id, request)

    def cancel(self, status_id: str) -> None:
        """Drop a local request, which gets no answer."""
        self._pending.pop(status_id, None)

    def on_call(self, event: messages.StatusCall) -> list[message.Message]:
        """Handle a request forwarded by another control host."""
        request = PendingRequest(
            deadline=datetime.datetime.max.replace(tzinfo=datetime.UTC),
            reply_to=event.reply_to,
            brief=event.brief,
        )
        return self._start_read(event.status_id, request)

    def on_read_ready(
        self, event: consensus_messages.ReadReady, now: datetime.datetime
    ) -> list[message.Message]:
        """Answer as leader, or forward the request."""
        request = self._pending.get(event.read_id)
        if request is None:
            return []
        if event.ready:
            del self._pending[event.read_id]
            status = msgspec.structs.replace(self._describe(now), current=True)
            if request.brief:
                status = msgspec.structs.replace(status, zones=())
            return [self._answer(event.read_id, request, status)]
        if request.reply_to:
            del self._pending[event.read_id]
            return []
        return self._forward(event.read_id)

    def on_reply(self, event: messages.StatusReply) -> list[message.Message]:
        """Return the leader's answer."""
        if self._pending.pop(event.status_id, None) is None:
            return []
        return [
            messages.StatusResponse(
                status_id=event.status_id, status=event.status
            )
        ]

    def on_tick(self, now: datetime.datetime) -> list[message.Message]:
        """Answer timed-out requests from local state, marked not current."""
        effects = []
        for status_id, request in list(self._pending.items()):
            if request.deadline <= now:
                del self._pending[status_id]
                status = msgspec.structs.replace(
                    self._describe(now), current=False
                )
                effects.append(self._answer(status_id, request, status))
        return effects

    def _forward(self, status_id: str) -> list[message.Message]:
        if self._leader_address in ("", self._daemon.address):
            return []
        call = messages.StatusCall(
            status_id=status_id,
            reply_to=self._daemon.address,
            brief=self._pending[status_id].brief,
        )
        return [message.Send(address=self._leader_address, message=call)]

    def _start_read(
        self, status_id: str, request: PendingRequest
    ) -> list[message.Message]:
        self._pending[status_id] = request
        return [_barrier(status_id)]

    @staticmethod
    def _answer(
        status_id: str, request: PendingRequest, status: messages.Status
    ) -> message.Message:
        if not request.reply_to:
            return messages.StatusResponse(status_id=status_id, status=status)
        reply = messages.StatusReply(status_id=status_id, status=status)
        return message.Send(address=request.reply_to, message=reply)


def _barrier(status_id: str) -> message.Message:
    return consensus_messages.ReadBarrier(
        read_id=status_id, group=consensus_messages.Group.CONFIGURATION
    )
