"""Steps for urgent changes in a fleet that has just started."""

from __future__ import annotations

import datetime

import behave

from benchmarks import membership_fleet
from fulmarbarrow.membership import messages

REGION = "attica"
ZONES = 5
SECOND = membership_fleet.SECOND
MILLISECOND = datetime.timedelta(milliseconds=1)
SETTLED = datetime.timedelta(seconds=4)


@behave.given(
    "{daemons:d} daemons that start at once and {upstreams:d} upstreams that "
    "announce themselves at the first {hosts:d}"
)
def step_started(context, daemons, upstreams, hosts):
    registrars = tuple(f"entry-{number}" for number in range(hosts))
    loss = context.fleet.loss if "fleet" in context else 0.0
    context.fleet = membership_fleet.Fleet(
        seed=7, loss=loss, registrars=registrars, names_owner=False
    )
    context.acknowledged = {}
    context.left_daemons = []
    context.crashed = []
    for number in range(daemons):
        context.fleet.add_daemon(
            f"entry-{number}",
            zone=f"attica-{number % ZONES}",
            region=REGION,
            seeds=registrars,
        )
    for number in range(upstreams):
        context.fleet.add_upstream(
            f"engine-{number}", zone=f"attica-{number % ZONES}", region=REGION
        )


def _withdraw(context):
    upstream = next(
        upstream
        for upstream in context.fleet.upstreams.values()
        if upstream.running
    )
    upstream.running = False
    upstream_id = upstream.record.upstream_id
    context.acknowledged[upstream_id] = None
    node = context.fleet.nodes["entry-0"]
    context.fleet.post(node, messages.Withdrawn(upstream_id=upstream_id))
    return upstream_id


def _acknowledged_at(context, upstream_id):
    node = context.fleet.nodes["entry-0"]
    return next(
        (
            at
            for at, effect in reversed(node.heard)
            if isinstance(effect, messages.AnnounceAccepted)
            and effect.upstream_id == upstream_id
        ),
        None,
    )


@behave.when(
    "{count:d} upstreams withdraw at the first daemon, {gap:d} ms apart"
)
def step_withdraw(context, count, gap):
    for _ in range(count):
        upstream_id = _withdraw(context)
        context.fleet.run(gap * MILLISECOND)
        context.fleet.run_until(
            lambda name=upstream_id: _acknowledged_at(context, name),
            within=SECOND,
        )
        context.acknowledged[upstream_id] = _acknowledged_at(
            context, upstream_id
        )
    context.fleet.run(SETTLED)


@behave.when(
    "an upstream withdraws at the first daemon, which is lost with its last "
    "frames as it acknowledges"
)
def step_lost_host(context):
    fleet = context.fleet
    upstream_id = _withdraw(context)
    fleet.run_until(
        lambda: _acknowledged_at(context, upstream_id),
        within=SECOND,
        step=MILLISECOND,
    )
    context.acknowledged[upstream_id] = _acknowledged_at(context, upstream_id)
    fleet.stop("entry-0", lose_frames=True)
    fleet.run(SETTLED)


@behave.when("all daemons of the last zone stop answering")
def step_zone_lost(context):
    for node in context.fleet.nodes.values():
        if node.daemon.zone == f"attica-{ZONES - 1}":
            context.fleet.stop(node.daemon.daemon_id)


@behave.when(
    "{daemons:d} daemons leave and {upstreams:d} upstreams crash, "
    "{gap:d} ms apart"
)
def step_leave_and_crash(context, daemons, upstreams, gap):
    fleet = context.fleet
    running = list(fleet.upstreams.values())
    for number in range(daemons):
        node = fleet.nodes[f"entry-{5 + number}"]
        context.left_daemons.append(node.daemon.daemon_id)
        fleet.post(node, messages.LeaveStarted())
        if number < upstreams:
            crashed = running[-1 - number]
            crashed.running = False
            context.crashed.append(crashed.record.upstream_id)
        fleet.run(gap * MILLISECOND)


def _is_leave(effect, upstream_id):
    if isinstance(effect, messages.UpstreamGone):
        return effect.upstream_id == upstream_id
    return (
        isinstance(effect, messages.UpstreamChanged)
        and effect.upstream.upstream_id == upstream_id
        and effect.upstream.state is messages.UpstreamState.LEAVING
    )


def _is_departure(effect, daemon_id):
    if isinstance(effect, messages.DaemonGone):
        return effect.daemon_id == daemon_id
    return (
        isinstance(effect, messages.DaemonChanged)
        and effect.daemon.daemon_id == daemon_id
        and effect.daemon.state is messages.DaemonState.LEAVING
    )


def _learned(context, matches, member_id):
    """Return when each running daemon first learned of a change."""
    return {
        node.daemon.daemon_id: next(
            (at for at, effect in node.heard if matches(effect, member_id)),
            None,
        )
        for node in context.fleet.nodes.values()
        if node.running and node.daemon.daemon_id != member_id
    }


def _check_in_time(learned, start, seconds, member_id):
    late = {
        name: (at - start) / SECOND if at is not None else None
        for name, at in learned.items()
        if at is None or at - start > seconds * SECOND
    }
    assert not late, f"{member_id}: {len(late)} daemons late: {late}"


@behave.then(
    "all know of each leave within {seconds:d} s of its acknowledgement"
)
def step_leaves_known(context, seconds):
    assert context.acknowledged
    for upstream_id, at in context.acknowledged.items():
        assert at is not None, f"{upstream_id} was not acknowledged"
        learned = _learned(context, _is_leave, upstream_id)
        _check_in_time(learned, at, seconds, upstream_id)


@behave.then(
    "all know of each daemon that left and each lease that ended within "
    "{seconds:d} s of the first one"
)
def step_departures_known(context, seconds):
    for matches, member_ids in (
        (_is_departure, context.left_daemons),
        (_is_leave, context.crashed),
    ):
        for member_id in member_ids:
            learned = _learned(context, matches, member_id)
            first = min(at for at in learned.values() if at is not None)
            _check_in_time(learned, first, seconds, member_id)
