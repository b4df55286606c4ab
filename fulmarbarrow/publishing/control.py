"""Accepts revisions on control hosts and pushes them to all daemons."""

from __future__ import annotations

import datetime
import typing

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import state


class PublishingControl:
    """Publish requests in, results and pushed revisions out."""

    handles = (
        messages.PublishRequested,
        messages.RevisionAck,
        messages.RevisionFetch,
        consensus_messages.Applied,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        message.Tick,
    )

    def __init__(self, *, daemon: membership_messages.Daemon) -> None:
        self._daemon = daemon
        self._current = state.EMPTY
        self._daemons: dict[str, membership_messages.Daemon] = {
            daemon.daemon_id: daemon
        }
        self._acknowledged: dict[str, int] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.PublishRequested():
                return [self._propose(event)]
            case consensus_messages.Applied(machine=messages.MACHINE):
                return self._applied(event)
            case messages.RevisionAck():
                return self._acknowledge(event)
            case messages.RevisionFetch():
                if event.revision < self._current.number:
                    return [self._push(event.reply_to)]
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
            case message.Tick():
                return self._push_missing()
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the current revision and who has it in force."""
        return {
            "revision": self._current.number,
            "digest": self._current.digest,
            "publisher": self._current.publisher,
            "daemons": {
                daemon.daemon_id: {
                    "zone": daemon.zone,
                    "revision": self._acknowledged.get(daemon.daemon_id, 0),
                }
                for daemon in self._daemons.values()
            },
        }

    def _propose(self, event: messages.PublishRequested) -> message.Message:
        return consensus_messages.Propose(
            proposal_id=event.publish_id,
            group=consensus_messages.Group.CONFIGURATION,
            command=msgspec.msgpack.encode(event),
            machine=messages.MACHINE,
        )

    def _applied(
        self, event: consensus_messages.Applied
    ) -> list[message.Message]:
        request = msgspec.msgpack.decode(
            event.command, type=messages.PublishRequested
        )
        before = self._current
        self._current, result = state.decide(before, request)
        if self._current is before:
            return [result]
        return [result, *self._push_missing()]

    def _acknowledge(
        self, event: messages.RevisionAck
    ) -> list[message.Message]:
        known = self._acknowledged.get(event.daemon_id, 0)
        self._acknowledged[event.daemon_id] = max(known, event.revision)
        return [
            messages.DaemonInForce(
                daemon_id=event.daemon_id, revision=event.revision
            )
        ]

    def _push_missing(self) -> list[message.Message]:
        return [
            self._push(daemon.address)
            for daemon in self._daemons.values()
            if self._acknowledged.get(daemon.daemon_id, 0)
            < self._current.number
        ]

    def _push(self, address: str) -> message.Message:
        push = messages.RevisionPush(
            sender=self._daemon.address,
            revision=self._current.number,
            digest=self._current.digest,
            bundle=self._current.bundle,
        )
        if address == self._daemon.address:
            return push
        return message.Send(address=address, message=push, urgent=True)
