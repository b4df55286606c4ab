"""The router's side of the journal: sends calls to the leader."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import msgspec

from fulmarbarrow.journal import machine
from fulmarbarrow.journal import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

CONTROL_ROLE = "control"
REPLY_TIMEOUT = datetime.timedelta(milliseconds=500)
INTEND_TIMEOUT = datetime.timedelta(seconds=3)
WRITE_TIMEOUT = datetime.timedelta(seconds=60)

Effects = list[message.Message]


@dataclasses.dataclass(kw_only=True)
class _Call:
    """A call that awaits its final reply."""

    body: machine.CallBody
    first_sent: datetime.datetime
    last_sent: datetime.datetime
    expires_at: datetime.datetime
    address: str = ""
    tried_addresses: set[str] = dataclasses.field(default_factory=set)


class JournalRouter:
    """Sends intents and outcomes to the leader and returns its replies.

    A call keeps its ID across redirects and retries.
    """

    handles = (
        messages.Intend,
        messages.RecordOutcome,
        messages.SealEntry,
        messages.MarkUnknown,
        messages.JournalReply,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._calls: dict[str, _Call] = {}
        self._last_call_number = 0
        self._leader_address = ""
        self._control_addresses: dict[str, str] = {}
        if CONTROL_ROLE in daemon.roles:
            self._control_addresses[daemon.daemon_id] = daemon.address

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return its effects."""
        match event:
            case messages.JournalReply():
                return self._handle_reply(event, now)
            case membership_messages.DaemonChanged():
                daemon = event.daemon
                same_region = daemon.region == self._daemon.region
                if same_region and CONTROL_ROLE in daemon.roles:
                    self._control_addresses[daemon.daemon_id] = daemon.address
                return []
            case membership_messages.DaemonGone():
                self._control_addresses.pop(event.daemon_id, None)
                return []
            case message.Tick():
                return self._retry_calls(now)
        return self._start_call(event, now)

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of open calls and the known control addresses."""
        return {
            "leader": self._leader_address,
            "control": sorted(self._control_addresses.values()),
            "open_calls": len(self._calls),
        }

    def _start_call(
        self, body: machine.CallBody, now: datetime.datetime
    ) -> Effects:
        is_intent = isinstance(body, messages.Intend)
        timeout = INTEND_TIMEOUT if is_intent else WRITE_TIMEOUT
        self._last_call_number += 1
        call_id = (
            f"{self._daemon.daemon_id}-{self._daemon.incarnation:x}"
            f"-{self._last_call_number}"
        )
        call = _Call(
            body=body,
            first_sent=now,
            last_sent=now,
            expires_at=now + timeout,
        )
        self._calls[call_id] = call
        return self._send(call_id, call, now)

    def _send(
        self, call_id: str, call: _Call, now: datetime.datetime
    ) -> Effects:
        address = self._next_address(call)
        call.last_sent = now
        if not address:
            return []
        call.address = address
        call.tried_addresses.add(address)
        journal_call = messages.JournalCall(
            call_id=call_id,
            reply_to=self._daemon.address,
            body=call.body,
        )
        if address == self._daemon.address:
            return [journal_call]
        return [message.Send(address=address, message=journal_call)]

    def _next_address(self, call: _Call) -> str:
        """Return the leader's address, or one not tried in this round."""
        if (
            self._leader_address
            and self._leader_address not in call.tried_addresses
        ):
            return self._leader_address
        addresses = sorted(self._control_addresses.values())
        untried = [
            address
            for address in addresses
            if address not in call.tried_addresses
        ]
        if not untried:
            call.tried_addresses.clear()
            untried = addresses
        return untried[0] if untried else ""

    def _handle_reply(
        self, reply: messages.JournalReply, now: datetime.datetime
    ) -> Effects:
        call = self._calls.get(reply.call_id)
        if call is None:
            return []
        if reply.body is None:
            self._metrics.count("journal_redirects")
            self._leader_address = reply.leader
            if reply.leader in call.tried_addresses or not reply.leader:
                return []
            return self._send(reply.call_id, call, now)
        del self._calls[reply.call_id]
        self._leader_address = call.address
        self._metrics.record("journal_call", now - call.first_sent)
        body = reply.body
        if isinstance(body, messages.IntendResult) and body.lease is not None:
            body = msgspec.structs.replace(
                body, dispatch_until=call.first_sent + body.lease
            )
        return [body]

    def _retry_calls(self, now: datetime.datetime) -> Effects:
        """Retry the calls without a reply and fail the expired ones."""
        effects: Effects = []
        for call_id, call in list(self._calls.items()):
            if call.expires_at <= now:
                del self._calls[call_id]
                effects.extend(self._fail_call(call))
            elif now - call.last_sent >= REPLY_TIMEOUT:
                self._leader_address = ""
                effects.extend(self._send(call_id, call, now))
        return effects

    def _fail_call(self, call: _Call) -> Effects:
        self._metrics.count("journal_calls_given_up")
        if isinstance(call.body, messages.Intend):
            return [
                messages.IntendResult(
                    request_id=call.body.request_id,
                    standing=messages.EntryStanding.UNAVAILABLE,
                )
            ]
        return [
            messages.JournalWritten(
                request_id=call.body.request_id, committed=False
            )
        ]
