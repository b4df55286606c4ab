"""Callers that resend what failed, and remember all that they were told."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import typing

from benchmarks import delivery_upstreams as upstreams
from fulmarbarrow.delivery import messages
from fulmarbarrow.placement import messages as placement_messages

DEADLINE = datetime.timedelta(seconds=5)
RESEND_AFTER = datetime.timedelta(milliseconds=100)
MAX_SENDINGS = 5
FINAL_CODES = ("not_run", "key_reused")


class Kind(enum.StrEnum):
    """What a caller asks for."""

    STREAM = "stream"
    LOOKUP = "lookup"
    ORDER = "order"
    ORDER_WITH_LOOKUP = "order_with_lookup"


@dataclasses.dataclass(kw_only=True)
class Sending:
    """One request of a caller and what came back."""

    request_id: str
    node: typing.Any
    data: bytes = b""
    started: bool = False
    status: int = 0
    ended: bool = False
    broken: bool = False
    replayed: bool = False
    gone: bool = False
    code: str = ""
    ran: messages.Ran | None = None
    parts_after_end: int = 0

    @property
    def over(self) -> bool:
        """Whether nothing more can come."""
        return self.ended or self.broken or self.gone or bool(self.code)


class Caller:
    """A caller with one wish, sent again under one key until answered."""

    def __init__(
        self,
        *,
        world: typing.Any,
        tag: str,
        kind: Kind,
        poison: bool = False,
        promises: bool = False,
        resends: int = MAX_SENDINGS,
        padding: int = 0,
        parts: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self._world = world
        self._resends = resends
        self.tag = tag
        self.kind = kind
        self.poison = poison
        self.promises = promises
        self.sendings: dict[str, Sending] = {}
        self._padding = b"." * padding
        self._parts = parts
        self.queued = 0
        self.runs: collections.Counter[str] = collections.Counter()

    @property
    def stream(self) -> bool:
        """Whether the answer is a stream."""
        return self.kind is Kind.STREAM

    @property
    def action(self) -> bool:
        """Whether the wish must not run twice."""
        return self.kind in (Kind.ORDER, Kind.ORDER_WITH_LOOKUP)

    @property
    def settled(self) -> bool:
        """Whether the caller has its answer or has given up."""
        if not self.sendings:
            return False
        if not all(sending.over for sending in self.sendings.values()):
            return False
        return self.answered or not self._may_resend()

    @property
    def answered(self) -> bool:
        """Whether a whole answer came."""
        return any(sending.ended for sending in self.sendings.values())

    @property
    def whole_answer(self) -> bytes:
        """The body of the answer, with the number of the run."""
        number = self.key_runs() if self.action else 1
        return f"{self.tag} run {number}".encode() + self._padding

    def key_runs(self) -> int:
        """Return how often the wish ran."""
        return sum(self.runs.values())

    def ran(self, request_id: str) -> None:
        """Count a run."""
        self.runs[request_id] += 1

    def event(self, number: int) -> bytes:
        """Return one event of the stream."""
        return f"data: {self.tag}-{number}\n\n".encode()

    def expected(self, status: int) -> set[bytes]:
        """Return the whole answers that are right.

        An upstream's own error is passed on as it is.
        """
        if status >= 500:
            return {b""}
        if self.stream:
            events = map(self.event, range(upstreams.EVENTS))
            return {b"".join(events) + upstreams.DONE}
        return {f"{self.tag} run 1".encode() + self._padding}

    def send(self, router: typing.Any) -> None:
        """Send the wish through a router."""
        if not router.alive:
            return
        number = len(self._world.callers) + 1
        request_id = f"{router.name}-1-{number}"
        self.sendings[request_id] = Sending(request_id=request_id, node=router)
        self._world.callers[request_id] = self
        router.post(
            messages.RequestArrived(
                request_id=request_id,
                account="volos",
                service="engine" if self.stream else "register",
                model="",
                chat=self.tag,
                route="/",
                method="POST",
                path="/",
                digest=self.tag,
                idempotent=not self.action,
                key=self.tag if self.action else "",
                stream=self.stream,
                cost=10,
                cost_class=placement_messages.CostClass.SHORT,
                worth=1.0,
                best_effort=False,
                deadline=self._world.now + DEADLINE,
                parts=self._parts,
                lookup_path=(
                    "/by-key" if self.kind is Kind.ORDER_WITH_LOOKUP else ""
                ),
            )
        )

    def leave(self) -> None:
        """Close every open connection, as a caller that lost patience."""
        for sending in self.sendings.values():
            if not sending.over:
                sending.gone = True
                sending.node.post(
                    messages.CallerDisconnected(request_id=sending.request_id)
                )
                self._resend_later()

    def router_died(self, node: typing.Any) -> None:
        """See the connections to a daemon break."""
        for sending in self.sendings.values():
            if sending.node is node and not sending.over:
                sending.gone = True
                self._resend_later()

    def take(self, event: typing.Any) -> None:
        """Take a part of an answer."""
        sending = self.sendings[event.request_id]
        if not sending.node.alive or sending.gone:
            return
        if sending.over:
            sending.parts_after_end += 1
            return
        match event:
            case messages.ResponseStarted():
                sending.started = True
                sending.status = event.status
                sending.replayed = event.replayed
            case messages.ResponseData():
                sending.data += event.data
            case messages.ResponseEnded():
                sending.ended = True
            case messages.ResponseAborted():
                sending.broken = True
                sending.ran = event.ran
                self._resend_later()
            case messages.RequestRefused():
                sending.code = event.code
                sending.ran = event.ran
                self._resend_later()

    def _may_resend(self) -> bool:
        codes = {sending.code for sending in self.sendings.values()}
        if codes & set(FINAL_CODES):
            return False
        return len(self.sendings) < self._resends

    def _resend_later(self) -> None:
        if self._may_resend():
            self._world.after(RESEND_AFTER, self._resend)

    def _resend(self) -> None:
        if self.answered or not self._may_resend():
            return
        alive = [node for node in self._world.routers if node.alive]
        self.send(self._world.rng.choice(alive))
