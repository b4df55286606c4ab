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
class Question:
    """A pending status request; ``reply_to`` is empty for a local one."""

    until: datetime.datetime
    reply_to: str = ""


class StatusDesk:
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
        self._questions: dict[str, Question] = {}
        self._leader_address = ""
        self.leader = ""
        self.leaderless_since: datetime.datetime | None = now

    def leader_changed(
        self,
        event: consensus_messages.LeaderChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Record the leader and forward the requests that wait for one."""
        self.leader = event.leader
        self._leader_address = event.address
        if event.leader:
            self.leaderless_since = None
        elif self.leaderless_since is None:
            self.leaderless_since = now
        return [
            effect
            for status_id, question in self._questions.items()
            if not question.reply_to
            for effect in self._pass_on(status_id)
        ]

    def requested(
        self, event: messages.StatusRequested, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle a local request."""
        return self._ask(event.status_id, Question(until=now + ANSWER_TIMEOUT))

    def called(self, event: messages.StatusCall) -> list[message.Message]:
        """Handle a request forwarded by another control host."""
        question = Question(
            until=datetime.datetime.max.replace(tzinfo=datetime.UTC),
            reply_to=event.reply_to,
        )
        return self._ask(event.status_id, question)

    def read(
        self, event: consensus_messages.ReadReady, now: datetime.datetime
    ) -> list[message.Message]:
        """Answer as leader, or forward the request."""
        question = self._questions.get(event.read_id)
        if question is None:
            return []
        if event.ready:
            del self._questions[event.read_id]
            status = msgspec.structs.replace(self._describe(now), current=True)
            return [self._answer(event.read_id, question, status)]
        if question.reply_to:
            del self._questions[event.read_id]
            return []
        return self._pass_on(event.read_id)

    def replied(self, event: messages.StatusReply) -> list[message.Message]:
        """Return the leader's answer."""
        if self._questions.pop(event.status_id, None) is None:
            return []
        return [
            messages.StatusGiven(
                status_id=event.status_id, status=event.status
            )
        ]

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Answer timed-out requests from local state, marked not current."""
        effects = []
        for status_id, question in list(self._questions.items()):
            if question.until <= now:
                del self._questions[status_id]
                status = msgspec.structs.replace(
                    self._describe(now), current=False
                )
                effects.append(self._answer(status_id, question, status))
        return effects

    def _pass_on(self, status_id: str) -> list[message.Message]:
        if self._leader_address in ("", self._daemon.address):
            return []
        call = messages.StatusCall(
            status_id=status_id, reply_to=self._daemon.address
        )
        return [message.Send(address=self._leader_address, message=call)]

    def _ask(
        self, status_id: str, question: Question
    ) -> list[message.Message]:
        self._questions[status_id] = question
        return [
            consensus_messages.ReadBarrier(
                read_id=status_id,
                group=consensus_messages.Group.CONFIGURATION,
            )
        ]

    @staticmethod
    def _answer(
        status_id: str, question: Question, status: messages.Status
    ) -> message.Message:
        if not question.reply_to:
            return messages.StatusGiven(status_id=status_id, status=status)
        reply = messages.StatusReply(status_id=status_id, status=status)
        return message.Send(address=question.reply_to, message=reply)
