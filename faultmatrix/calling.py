"""The callers of the fake fleet, as the balancer sends them to hosts."""

from __future__ import annotations

import datetime
import itertools
import typing

from faultmatrix import callers
from faultmatrix import host as hosts
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.placement import messages as placement_messages

CHATS = 20
CHAT_SERVICE = "consultations"
CHAT_MODEL = "lacework"
PLAIN_SERVICE = "register"
CHAT_COST = 150
PLAIN_COST = 100
DEADLINE = datetime.timedelta(seconds=5)


class Callers:
    """Sends requests, collects answers, and sends again what failed."""

    def __init__(self, *, fleet: typing.Any) -> None:
        self._fleet = fleet
        self._timeline = fleet.timeline
        self._rng = fleet.rng
        self.calls: dict[str, callers.Call] = {}
        self._intentions: list[callers.Intention] = []
        self._numbers = itertools.count(1)

    def attach(self, host: hosts.Host) -> None:
        """Take the answers that a host gives."""
        edge = self._fleet.edge
        edge(host, messages.ResponseStarted, self._answer_started)
        edge(host, messages.ResponseData, self._answer_data)
        edge(host, messages.ResponseEnded, self._answer_ended)
        edge(host, messages.ResponseAborted, self._answer_broken)
        edge(host, messages.RequestRefused, self._refused)

    def request(self, request_id: str) -> messages.RequestArrived:
        """Return a request by its id."""
        return self.calls[request_id].request

    def open_at(self, host: hosts.Host) -> list[callers.Call]:
        """Return the calls that a host has open."""
        name = incarnation(host)
        return [
            call
            for call in self.calls.values()
            if call.open and call.host_id == name
        ]

    def lose(self, host: hosts.Host) -> None:
        """Break the connections of a host's callers."""
        for call in self.open_at(host):
            call.lost = True
            self._call_ended(call)

    def chat(self, *, account: str = "volos", digest: str = "") -> None:
        """Let a caller send a chat."""
        number = next(self._numbers)
        chat = f"chat-{self._rng.randrange(CHATS)}"
        self._intend(
            f"chat {number}",
            account=account,
            service=CHAT_SERVICE,
            model=CHAT_MODEL,
            chat=chat,
            route="/v1/chat/completions",
            method="POST",
            path="/v1/chat/completions",
            digest=digest or f"digest-{number}",
            stream=True,
            cost=CHAT_COST,
            cost_class=placement_messages.CostClass.LONG,
            worth=2.0,
        )

    def place_order(self) -> None:
        """Let a caller place an order that must run at most once."""
        number = next(self._numbers)
        self._intend(
            f"order {number}",
            account="patras",
            service=PLAIN_SERVICE,
            chat=f"order-{number}",
            route="/register/orders",
            method="POST",
            path="/register/orders",
            digest=f"digest-{number}",
            idempotent=False,
            key=f"key-{number}",
            cost=PLAIN_COST,
            worth=10.0,
            lookup_path="/register/orders/by-key",
        )

    def look_up(self) -> None:
        """Let a caller read from the plain service."""
        number = next(self._numbers)
        self._intend(
            f"look-up {number}",
            account="volos",
            service=PLAIN_SERVICE,
            chat=f"look-up-{number}",
            route="/register",
            method="GET",
            path="/register/dies",
            digest=f"digest-{number}",
            cost=PLAIN_COST,
            worth=1.0,
        )

    def _intend(self, name: str, **fields: typing.Any) -> None:
        base = {
            "request_id": "",
            "model": "",
            "idempotent": True,
            "key": "",
            "stream": False,
            "cost_class": placement_messages.CostClass.SHORT,
            "best_effort": False,
            "deadline": self._timeline.now + DEADLINE,
        }
        request = messages.RequestArrived(**{**base, **fields})
        intention = callers.Intention(name=name, request=request)
        self._intentions.append(intention)
        self._send(intention)

    def _send(self, intention: callers.Intention) -> None:
        """Send an intention's request through any entry host."""
        near = self._fleet.live(defaults.Role.ROUTER)
        if intention.done or not near:
            return
        host = self._rng.choice(near)
        number = next(self._numbers)
        old = intention.request
        fields = {name: getattr(old, name) for name in old.__struct_fields__}
        fields["request_id"] = f"{incarnation(host)}-{number}"
        fields["deadline"] = self._timeline.now + DEADLINE
        request = messages.RequestArrived(**fields)
        call = callers.Call(
            request=request,
            host_id=incarnation(host),
            sent_at=self._timeline.now,
        )
        intention.calls.append(call)
        self.calls[request.request_id] = call
        host.take(request)

    def _call_ended(self, call: callers.Call) -> None:
        for watcher in self._fleet.watchers:
            watcher.ended(call)
        if call.answered:
            return
        for intention in self._intentions[::-1]:
            if intention.calls and intention.calls[-1] is call:
                if len(intention.calls) < callers.MAX_SENDS:
                    delay = callers.RESEND_DELAY
                    self._timeline.after(delay, self._send, intention)
                return

    def _answer_started(
        self, host: hosts.Host, event: messages.ResponseStarted
    ) -> None:
        call = self.calls[event.request_id]
        call.status = event.status
        call.length = event.length
        call.replayed = event.replayed

    def _answer_data(
        self, host: hosts.Host, event: messages.ResponseData
    ) -> None:
        self.calls[event.request_id].body += event.data

    def _answer_ended(
        self, host: hosts.Host, event: messages.ResponseEnded
    ) -> None:
        call = self.calls[event.request_id]
        call.ended = True
        self._call_ended(call)

    def _answer_broken(
        self, host: hosts.Host, event: messages.ResponseAborted
    ) -> None:
        self._end_with(event.request_id, event.code, event.ran)

    def _refused(
        self, host: hosts.Host, event: messages.RequestRefused
    ) -> None:
        self._end_with(event.request_id, event.code, event.ran)

    def _end_with(self, request_id: str, code: str, ran: messages.Ran) -> None:
        call = self.calls[request_id]
        call.code = code
        call.ran = ran
        call.ended = True
        self._call_ended(call)


def incarnation(host: hosts.Host) -> str:
    """Return a name of this incarnation of a host."""
    return f"{host.plan.daemon_id}.{host.record.incarnation}"
