"""Messages and processor time of a version move at 8, 40 and 400 routers."""

from __future__ import annotations

import datetime
import time

from benchmarks import measure as measures
from benchmarks import version_model
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import control
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import router
from fulmarbarrow.wire import codec

COMMAND = "python -m benchmarks version_cost"
EXCLUSIVE = True
ROUTERS = (8, 40, 400)
ATTEMPTS = 20_000
ROUNDS = 20
ROUTES = ("/v1/chat/completions", "/v1/checks")


def measure() -> list[measures.Measure]:
    """Measure reports, pushes and attempts."""
    rows = [_observe()]
    frame = _frame(_evidence(1))
    rows.append(
        _row("bytes of a router's evidence, two routes", len(frame), "bytes")
    )
    push = messages.SharesPush(
        move_id="move-1", sequence=9, share=0.25, incarnation=1_800_000_000_000
    )
    rows.append(_row("bytes of a share's push", len(_frame(push)), "bytes"))
    for count in ROUTERS:
        spent = _weigh(count)
        rows.append(
            _row(
                f"leader's share of a core, {count} routers",
                spent * 100,
                "%",
                2.2,
            )
        )
        rows.append(
            _row(
                f"evidence that the leader receives from {count} routers",
                len(frame) * min(count, router.REPORTS_PER_SECOND) / 1000,
                "KB/s",
                7.0,
            )
        )
    return rows


def _row(
    name: str, value: float, unit: str, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="versions",
        name=name,
        value=value,
        unit=unit,
        target=target,
        command=COMMAND,
    )


def _frame(item: messages.VersionEvidence | messages.SharesPush) -> bytes:
    sender = codec.Codec(
        fleet_key="k" * 16, sender="entry-1", address="a", incarnation=1
    )
    return sender.encode("127.0.0.1:7104", (item,))


def _evidence(number: int) -> messages.VersionEvidence:
    return messages.VersionEvidence(
        daemon_id=f"entry-{number}",
        move_id="move-1",
        routes=tuple(
            messages.RouteEvidence(
                route=route,
                attempts=3,
                errors=0,
                old_attempts=9,
                judged_first=3,
                slow_first=1,
                judged_between=3,
                slow_between=1,
            )
            for route in ROUTES
        ),
    )


def _daemon(name: str, role: str) -> membership_messages.Daemon:
    return membership_messages.Daemon(
        daemon_id=name,
        incarnation=1,
        zone="attica-a",
        region="attica",
        address=f"127.0.0.1:{hash(name) % 50_000 + 1024}",
        roles=(role,),
    )


def _configuration(
    now: datetime.datetime,
) -> publishing_messages.ConfigurationChanged:
    move = bundles.VersionMove(
        id="move-1",
        service=version_model.SERVICE,
        model=version_model.MODEL,
        old="1",
        new="2",
        deadline=now + datetime.timedelta(hours=1),
    )
    service = bundles.Service(
        name=version_model.SERVICE,
        kind=bundles.ServiceKind.MODEL,
        routes=(bundles.Route(path=ROUTES[0]),),
        models=(bundles.Model(name=version_model.MODEL, version="1"),),
    )
    return publishing_messages.ConfigurationChanged(
        revision=1,
        bundle=bundles.Bundle(service=(service,), version_move=(move,)),
    )


def _weigh(count: int) -> float:
    """Return the leader's seconds of processor time for each second.

    A quiet fleet sends at most REPORTS_PER_SECOND reports.
    """
    clock = clocks.ManualClock()
    leader = _daemon("control-1", "control")
    group = consensus_messages.Group.CONFIGURATION
    core = control.VersionsControl(daemon=leader, group=group)
    core.handle(_configuration(clock.now()), clock.now())
    led = consensus_messages.LeaderChanged(
        group=group,
        term=1,
        leader=leader.daemon_id,
        address=leader.address,
        fencing_number=1,
        lease_until=clock.now() + datetime.timedelta(days=1),
    )
    core.handle(led, clock.now())
    for number in range(count):
        known = _daemon(f"entry-{number}", "router")
        changed = membership_messages.DaemonChanged(daemon=known)
        core.handle(changed, clock.now())
    due = min(count, router.REPORTS_PER_SECOND)
    reports = [_evidence(number) for number in range(due)]
    started = time.process_time()
    for _ in range(ROUNDS):
        now = clock.advance(datetime.timedelta(seconds=1))
        for report in reports:
            core.handle(report, now)
    return (time.process_time() - started) / ROUNDS


def make_router(
    count: int,
) -> tuple[router.VersionsRouter, publishing_messages.ConfigurationChanged]:
    """Return a router that knows ``count`` daemons, one of them control."""
    clock = clocks.ManualClock()
    core = router.VersionsRouter(
        daemon=_daemon("entry-x", "router"), metrics=metrics.Metrics()
    )
    others = [
        _daemon(f"entry-{number}", "router") for number in range(count - 1)
    ]
    for known in (*others, _daemon("control-1", "control")):
        changed = membership_messages.DaemonChanged(daemon=known)
        core.handle(changed, clock.now())
    return core, _configuration(clock.now())


def _observe() -> measures.Measure:
    clock = clocks.ManualClock()
    core = router.VersionsRouter(
        daemon=_daemon("entry-1", "router"), metrics=metrics.Metrics()
    )
    core.handle(_configuration(clock.now()), clock.now())
    events = [
        delivery_messages.AttemptObserved(
            account="volos",
            service=version_model.SERVICE,
            model=version_model.MODEL,
            version="2" if number % 10 == 0 else "1",
            route=ROUTES[0],
            upstream_id="engine-1",
            incarnation=1,
            outcome=placement_messages.WorkOutcome.COMPLETED,
            first_token=datetime.timedelta(milliseconds=150 + number % 90),
            between_tokens=datetime.timedelta(milliseconds=20 + number % 7),
        )
        for number in range(ATTEMPTS)
    ]
    started = time.process_time()
    for event in events:
        core.handle(event, clock.now())
    spent = time.process_time() - started
    return _row(
        "processor time of a router for one attempt of a move",
        spent / ATTEMPTS * 1e6,
        "us",
    )
