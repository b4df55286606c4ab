"""Fake upstreams that count what they run and can fail in every way."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import typing

from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages

EVENTS = 6
EVENT_GAP = datetime.timedelta(milliseconds=20)
WORK = datetime.timedelta(milliseconds=15)
FOREIGN_ATTEMPT = "entry-9-1-1-1"
FOREIGN_EVENT = b"data: foreign\n\n"
DONE = b"data: [DONE]\n\n"


@dataclasses.dataclass(kw_only=True)
class Run:
    """One attempt at an upstream."""

    node: typing.Any
    start: messages.StartAttempt
    caller: typing.Any
    echo: str
    incarnation: int
    silent: bool = False
    ended: bool = False
    cut_after: int | None = None


class Upstream:
    """An upstream of a pool; ``faults`` counts those still to come."""

    def __init__(self, *, world: typing.Any, pool: str, number: int) -> None:
        self._world = world
        self.pool = pool
        self.upstream_id = f"{pool}-{number}"
        self.incarnation = 1
        self.up = True
        self.state = membership_messages.UpstreamState.SERVING
        self.faults: collections.Counter[str] = collections.Counter()
        self.delay = datetime.timedelta(0)
        self.status_after_run = 503  # of the fault "unavailable"
        self.slow_once: datetime.timedelta | None = None
        self.runs: dict[str, Run] = {}
        self.calls = 0
        self.crashes = 0
        self._resumes_at = world.now

    def serves(self, service: str) -> bool:
        """Return whether placement may choose this upstream."""
        serving = membership_messages.UpstreamState.SERVING
        return self.pool == service and self.state is serving

    def announce(self) -> None:
        """Tell every router of the upstream's state."""
        record = membership_messages.Upstream(
            upstream_id=self.upstream_id,
            incarnation=self.incarnation,
            sequence=1,
            zone="attica-a",
            url=f"http://{self.upstream_id}",
            offers=(membership_messages.Offer(service=self.pool),),
            batch_tokens=1000,
            tokens_per_second=1000,
            state=self.state,
            started_at=self._world.now,
        )
        self._world.tell_routers(
            membership_messages.UpstreamChanged(upstream=record)
        )

    def crash(self) -> None:
        """Break every open answer; nothing more is taken until a restart."""
        self.up = False
        self.crashes += 1
        self.break_connections()

    def break_connections(
        self, kind: messages.FailureKind = messages.FailureKind.CUT
    ) -> None:
        """Lose every open connection, as a proxy between does."""
        for run in list(self.runs.values()):
            self._end(run, kind)

    def _crash_by(self, run: Run) -> None:
        if self.up and run.incarnation == self.incarnation:
            self.crash()

    def restart(self) -> None:
        """Come back as a new incarnation."""
        self.up = True
        self.incarnation += 1
        self.state = membership_messages.UpstreamState.SERVING
        self.announce()

    def leave(self) -> None:
        """Take no new work and finish the old."""
        self.state = membership_messages.UpstreamState.LEAVING
        self.announce()

    def go_silent(self) -> None:
        """Say nothing more on the open connections."""
        for run in self.runs.values():
            run.silent = True

    def pause(self, duration: datetime.timedelta) -> None:
        """Make no event for a while; the connections stay open."""
        self._resumes_at = self._world.now + duration

    def cancel(self, attempt_id: str) -> None:
        """Stop an answer; work that has begun may still be done."""
        run = self.runs.pop(attempt_id, None)
        if run is not None:
            run.ended = True

    def take(
        self,
        node: typing.Any,
        start: messages.StartAttempt,
        caller: typing.Any,
    ) -> None:
        """Take a request that was written to an open connection."""
        self.calls += 1
        run = Run(
            node=node,
            start=start,
            caller=caller,
            echo=start.attempt_id,
            incarnation=self.incarnation,
        )
        self.runs[start.attempt_id] = run
        if self._faulty("crossed"):
            run.echo = FOREIGN_ATTEMPT
        if self._faulty("mute"):
            run.silent = True
        if self._faulty("cut"):
            run.cut_after = 2
        if caller.poison:
            self._world.after(WORK, self._crash_by, run)
            return
        if start.lookup:
            self._world.after(WORK, self._look_up, run)
        elif self._faulty("refuse"):
            self._headers(run, 503, not_run=True)
        elif self._faulty("error"):
            self._headers(run, 500, length=0)
            self._post(run, messages.AttemptEnded(attempt_id=run.echo))
        else:
            caller.queued += 1
            self._world.after(WORK + self._delay(), self._work, run)

    def _delay(self) -> datetime.timedelta:
        """Return the extra time, which ``slow_once`` gives to one request."""
        if self.slow_once is None:
            return self.delay
        slow = self.slow_once
        for upstream in self._world.upstreams.values():
            upstream.slow_once = None
        return slow

    def _faulty(self, name: str) -> bool:
        if self.faults[name] <= 0:
            return False
        self.faults[name] -= 1
        return True

    def _work(self, run: Run) -> None:
        """Do the work, which a broken connection does not undo."""
        run.caller.queued -= 1
        if not self.up or run.incarnation != self.incarnation:
            return
        caller = run.caller
        caller.ran(run.start.request_id)
        if self._faulty("unavailable"):
            self._headers(run, self.status_after_run, length=0)
            self._post(run, messages.AttemptEnded(attempt_id=run.echo))
            return
        if caller.stream:
            self._headers(
                run,
                200,
                content_type="text/event-stream",
                resume_offset=self._offset(run),
            )
            self._event(run, self._offset(run))
            return
        body = caller.whole_answer
        self._headers(run, 200, length=len(body))
        self._body(run, body)

    def _offset(self, run: Run) -> int:
        if self.faults["ignore_offset"] > 0:
            return 0
        if self.faults["pass_over"] > 0 and run.start.resume_offset:
            return run.start.resume_offset + 1
        return run.start.resume_offset

    def _body(self, run: Run, body: bytes) -> None:
        attempt_id = run.start.attempt_id
        if run.echo == FOREIGN_ATTEMPT:
            body = body[::-1]
        if run.cut_after is not None:
            body = body[: run.cut_after]
        self._post(run, messages.AttemptData(attempt_id=attempt_id, data=body))
        if run.cut_after is not None:
            self._post(run, messages.AttemptEnded(attempt_id=attempt_id))
            return
        self._finish(run)

    def _event(self, run: Run, number: int) -> None:
        """Send one event of a stream and plan the next."""
        if run.ended:
            return
        if self._resumes_at > self._world.now:
            pause = self._resumes_at - self._world.now
            self._world.after(pause, self._event, run, number)
            return
        if run.cut_after is not None and number >= run.cut_after:
            self._finish(run)
            return
        last = number == EVENTS
        data = DONE if last else run.caller.event(number)
        if run.echo == FOREIGN_ATTEMPT and not last:
            data = FOREIGN_EVENT
        echoed = ()
        if self._faulty("crossed_event"):
            data, echoed = FOREIGN_EVENT, (FOREIGN_ATTEMPT,)
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
        self._world.after(EVENT_GAP, self._event, run, number + 1)

    def _look_up(self, run: Run) -> None:
        caller = run.caller
        if caller.key_runs() == 0:
            promise = caller.promises and caller.queued == 0
            self._headers(run, 404, not_run=promise, length=0)
            return
        body = caller.whole_answer
        self._headers(run, 200, length=len(body))
        self._body(run, body)

    def _headers(
        self,
        run: Run,
        status: int,
        *,
        content_type: str = "application/json",
        length: int | None = None,
        not_run: bool = False,
        resume_offset: int = 0,
    ) -> None:
        self._post(
            run,
            messages.AttemptHeaders(
                attempt_id=run.start.attempt_id,
                status=status,
                echoed_attempt=run.echo,
                content_type=content_type,
                length=length,
                not_run=not_run,
                resume_offset=resume_offset,
            ),
        )

    def _finish(self, run: Run) -> None:
        self._post(run, messages.AttemptEnded(attempt_id=run.start.attempt_id))
        self.runs.pop(run.start.attempt_id, None)

    def _end(self, run: Run, kind: messages.FailureKind) -> None:
        self.runs.pop(run.start.attempt_id, None)
        self._post(
            run,
            messages.AttemptFailed(
                attempt_id=run.start.attempt_id, kind=kind, sent=True
            ),
        )
        run.ended = True

    @staticmethod
    def _post(run: Run, event: typing.Any) -> None:
        """Say something on the connection, if it is still there."""
        if not run.ended and not run.silent:
            run.node.post(event)
