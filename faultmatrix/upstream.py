"""Fake upstreams that answer, count and fail."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import typing

from faultmatrix import world
from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.versions import messages as versions_messages

EVENT_GAP = datetime.timedelta(milliseconds=40)
FIRST_EVENT = datetime.timedelta(milliseconds=120)
PLAIN_WORK = datetime.timedelta(milliseconds=30)
RENEWAL = datetime.timedelta(seconds=1)
LOAD_TIME = datetime.timedelta(seconds=3)
SLOW = 6
ANSWER_EVENTS = 10
END = b"data: [DONE]\n\n"
FOREIGN = "entry-x-1"
BATCH_TOKENS = 2000

_LOADS = (
    versions_messages.OrderKind.LOAD_MODEL,
    versions_messages.OrderKind.LOAD_ADAPTER,
)


def answer_event(chat: str, number: int) -> bytes:
    """Return one event of the only right answer for a chat."""
    return f"data: {chat} {number}\n\n".encode()


def whole_answer(chat: str) -> bytes:
    """Return the only right answer for a chat."""
    events = (answer_event(chat, number) for number in range(ANSWER_EVENTS))
    return b"".join(events) + END


@dataclasses.dataclass(kw_only=True)
class Run:
    """One attempt that an upstream works on."""

    start: messages.StartAttempt
    request: messages.RequestArrived
    host: typing.Any
    cost: int
    silent: bool = False
    over: bool = False


class Upstream:
    """One upstream with its faults."""

    def __init__(
        self,
        *,
        upstream_id: str,
        zone: str,
        offer: membership_messages.Offer,
        timeline: world.Timeline,
        fleet: typing.Any,
    ) -> None:
        self.upstream_id = upstream_id
        self.zone = zone
        self.offer = offer
        self._timeline = timeline
        self._fleet = fleet
        self.incarnation = 0
        self.sequence = 0
        self.state = membership_messages.UpstreamState.SERVING
        self.up = False
        self.serving_since = timeline.now
        self.leaving_since: datetime.datetime | None = None
        self.leave_acknowledged_at: datetime.datetime | None = None
        self.runs: dict[str, Run] = {}
        self.ran: collections.Counter[str] = collections.Counter()
        self.faults: set[str] = set()
        self.fencing = 0
        self.crashes = 0
        self._owner = ("", 0)

    @property
    def work(self) -> int:
        """The work in tokens of the attempts that run."""
        return sum(run.cost for run in self.runs.values())

    def start(self, age: datetime.timedelta = datetime.timedelta()) -> None:
        """Start as a new incarnation, or have done so some time ago."""
        self.up = True
        self.incarnation += 1
        self.sequence = 0
        self.state = membership_messages.UpstreamState.SERVING
        self.serving_since = self._timeline.now - age
        self.leaving_since = None
        self.leave_acknowledged_at = None
        self._owner = ("", 0)
        self._renew(self.incarnation)

    def crash(self) -> None:
        """Break all connections and be gone."""
        self.up = False
        self.crashes += 1
        for run in list(self.runs.values()):
            self._break(run, messages.FailureKind.CUT)

    def leave(self) -> None:
        """Announce that no new work is wanted, and finish the old.

        ``leaving_since`` is the first announcement that a router took.
        """
        self.state = membership_messages.UpstreamState.LEAVING
        self._announce()

    def go_silent(self) -> None:
        """Say nothing more on the connections that are open now."""
        for run in self.runs.values():
            run.silent = True

    def take(self, host: typing.Any, start: messages.StartAttempt) -> None:
        """Take an attempt from a host."""
        request = self._fleet.request(start.request_id)
        run = Run(start=start, request=request, host=host, cost=request.cost)
        if not self.up or not self._fleet.reachable(host, self.zone):
            self._fail(run, messages.FailureKind.CONNECT, sent=False)
            return
        if not start.lookup and start.incarnation != self.incarnation:
            self._turn_away(run)
            return
        self._fleet.dispatched(self, run)
        self.runs[start.attempt_id] = run
        host.take(messages.AttemptSent(attempt_id=start.attempt_id))
        if "refuse" in self.faults:
            self._refuse(run)
        elif "silent" in self.faults:
            run.silent = True
            self._do(run)
        elif "poison" in request.digest:
            self._timeline.after(PLAIN_WORK, self._crash_by, run)
        elif start.lookup:
            self._timeline.after(PLAIN_WORK, self._look_up, run)
        elif request.stream:
            delay = FIRST_EVENT * self._slowness
            self._timeline.after(delay, self._begin_stream, run)
        else:
            self._timeline.after(PLAIN_WORK * self._slowness, self._serve, run)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt."""
        run = self.runs.pop(attempt_id, None)
        if run is not None:
            run.over = True

    def order(
        self, order: versions_messages.Order
    ) -> versions_messages.OrderResult:
        """Take an order, unless its fencing number is old."""
        code = ""
        if "refuse_orders" in self.faults or not self.up:
            code = "refused"
        elif order.fencing_number < self.fencing:
            code = "stale_fencing_number"
        else:
            self.fencing = order.fencing_number
            if order.kind in _LOADS:
                self._timeline.after(LOAD_TIME, self._load, order)
        return versions_messages.OrderResult(
            order_id=order.order_id, upstream_id=self.upstream_id, code=code
        )

    @property
    def _slowness(self) -> int:
        return SLOW if self._faulty("slow") else 1

    def _faulty(self, flag: str) -> bool:
        """Whether the upstream, or the version it runs, has a fault."""
        bad = f"{self.offer.version} {flag}" in self._fleet.bad_versions
        return bad or flag in self.faults

    def _load(self, order: versions_messages.Order) -> None:
        self.offer = membership_messages.Offer(
            service=self.offer.service,
            model=self.offer.model,
            version=order.version,
        )
        if self.up:
            self._announce()

    def _renew(self, incarnation: int) -> None:
        if self.up and incarnation == self.incarnation:
            self._announce()
            self._timeline.after(RENEWAL, self._renew, incarnation)

    def _announce(self) -> None:
        """Announce through any entry host that can be reached."""
        host = self._fleet.entry_for(self.zone)
        if host is None or "mute" in self.faults:
            return
        self.sequence += 1
        record = membership_messages.Upstream(
            upstream_id=self.upstream_id,
            incarnation=self.incarnation,
            sequence=self.sequence,
            zone=self.zone,
            url=f"http://{self.upstream_id}",
            offers=(self.offer,),
            batch_tokens=BATCH_TOKENS,
            tokens_per_second=BATCH_TOKENS,
            state=self.state,
            started_at=self.serving_since,
            checks_fencing=True,
            owner=self._owner[0],
            owner_epoch=self._owner[1],
        )
        load = membership_messages.Load(
            running_tokens=self.work, running_requests=len(self.runs)
        )
        host.take(membership_messages.Announced(upstream=record, load=load))
        leaving = membership_messages.UpstreamState.LEAVING
        if self.state is leaving and self.leaving_since is None:
            self.leaving_since = self._timeline.now

    def accepted(self, event: membership_messages.AnnounceAccepted) -> None:
        """Take the owner that an announcement's answer suggests."""
        if event.incarnation != self.incarnation:
            return
        if event.owner:
            self._owner = (event.owner, event.owner_epoch)
        leaving = membership_messages.UpstreamState.LEAVING
        if self.state is leaving and self.leave_acknowledged_at is None:
            self.leave_acknowledged_at = self._timeline.now

    def _turn_away(self, run: Run) -> None:
        """Refuse a request that is meant for another incarnation."""
        run.host.take(messages.AttemptSent(attempt_id=run.start.attempt_id))
        self._post(run, self._headers(run, 421, not_run=True, length=0))
        run.over = True

    def _refuse(self, run: Run) -> None:
        self._post(run, self._headers(run, 503, not_run=True, length=0))
        self.runs.pop(run.start.attempt_id, None)
        run.over = True

    def _crash_by(self, run: Run) -> None:
        if self.up and not run.over:
            self.crash()
            self._timeline.after(RENEWAL, self.start)

    def _do(self, run: Run) -> None:
        """Count that the request ran; a broken connection does not undo it."""
        self.ran[run.request.request_id] += 1
        self._fleet.executed(self, run)

    def _begin_stream(self, run: Run) -> None:
        if run.over or not self.up:
            return
        self._do(run)
        offset = run.start.resume_offset
        headers = self._headers(
            run, 200, content_type="text/event-stream", resume_offset=offset
        )
        self._post(run, headers)
        self._stream(run, offset)

    def _stream(self, run: Run, number: int) -> None:
        if run.over or not self.up:
            return
        if self._faulty("cut") and number == ANSWER_EVENTS // 2:
            self._break(run, messages.FailureKind.CUT)
            return
        last = number == ANSWER_EVENTS
        data = END if last else answer_event(run.request.chat, number)
        if "crossed" in self.faults and number == 1:
            data = answer_event("somebody-else", number)
        echoed = (FOREIGN,) if "crossed" in self.faults and number == 1 else ()
        self._post(
            run,
            messages.AttemptData(
                attempt_id=run.start.attempt_id,
                data=data,
                events=1,
                first_event=number,
                end_marker=last,
                tokens=0 if last else 1,
                echoed=echoed,
            ),
        )
        if last:
            self._finish(run)
            return
        gap = EVENT_GAP * self._slowness
        self._timeline.after(gap, self._stream, run, number + 1)

    def _serve(self, run: Run) -> None:
        if run.over or not self.up:
            return
        self._do(run)
        self._answer(run)

    def _look_up(self, run: Run) -> None:
        if run.over or not self.up:
            return
        if not self._fleet.key_runs(run.request):
            self._post(run, self._headers(run, 404, length=0))
            self._finish(run)
            return
        self._answer(run)

    def _answer(self, run: Run) -> None:
        body = f"done {run.request.key or run.request.chat}".encode()
        self._post(run, self._headers(run, 200, length=len(body)))
        if self._faulty("cut"):
            self._break(run, messages.FailureKind.CUT)
            return
        data = messages.AttemptData(attempt_id=run.start.attempt_id, data=body)
        self._post(run, data)
        self._finish(run)

    def _headers(
        self,
        run: Run,
        status: int,
        *,
        content_type: str = "application/json",
        length: int | None = None,
        not_run: bool = False,
        resume_offset: int = 0,
    ) -> messages.AttemptHeaders:
        crossed = "crossed" in self.faults and not run.request.stream
        return messages.AttemptHeaders(
            attempt_id=run.start.attempt_id,
            status=status,
            echoed_attempt=FOREIGN if crossed else run.start.attempt_id,
            content_type=content_type,
            length=length,
            not_run=not_run,
            resume_offset=resume_offset,
        )

    def _finish(self, run: Run) -> None:
        attempt_id = run.start.attempt_id
        self._post(run, messages.AttemptEnded(attempt_id=attempt_id))
        self.runs.pop(attempt_id, None)
        run.over = True

    def _break(self, run: Run, kind: messages.FailureKind) -> None:
        self.runs.pop(run.start.attempt_id, None)
        if not run.over:
            self._fail(run, kind, sent=True)
        run.over = True

    def _fail(
        self, run: Run, kind: messages.FailureKind, *, sent: bool
    ) -> None:
        failed = messages.AttemptFailed(
            attempt_id=run.start.attempt_id, kind=kind, sent=sent
        )
        self._post(run, failed)

    def _post(self, run: Run, event: typing.Any) -> None:
        """Say something on the connection, if it still carries anything."""
        if run.silent or run.over:
            return
        if self._fleet.reachable(run.host, self.zone):
            run.host.take(event)
