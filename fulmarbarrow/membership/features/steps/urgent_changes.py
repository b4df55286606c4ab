"""Steps for urgent changes in a fleet that has just started."""

from __future__ import annotations

import datetime

import behave

from benchmarks import membership_fleet
from fulmarbarrow.membership import daemons
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
    context.withdrawn = {}
    context.left_daemons = {}
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
    context.withdrawn[upstream_id] = context.fleet.now
    node = context.fleet.nodes["entry-0"]
    context.fleet.post(node, messages.Withdrawn(upstream_id=upstream_id))
    return upstream_id


def _acknowledged_at(context, upstream_id):
    node = context.fleet.nodes["entry-0"]
    return next(
        (
            at
            for at, effect in node.heard
            if isinstance(effect, messages.AnnounceAccepted)
            and effect.upstream_id == upstream_id
            and at >= context.withdrawn[upstream_id]
        ),
        None,
    )


@behave.when(
    "{count:d} upstreams withdraw at the first daemon, {gap:d} ms apart"
)
def step_withdraw(context, count, gap):
    for _ in range(count):
        _withdraw(context)
        context.fleet.run(gap * MILLISECOND)
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
    fleet.stop("entry-0", lose_frames=True)
    fleet.run(SETTLED)


@behave.when("the first daemon acknowledges {count:d} probes")
def step_probed(context, count):
    fleet = context.fleet
    prober = fleet.nodes["entry-1"].daemon
    for number in range(count):
        fleet.post(
            fleet.nodes["entry-0"],
            messages.Probe(
                daemon_id=prober.daemon_id,
                reply_to=prober.address,
                nonce=-1 - number,
                digest=0,
                view=0,
            ),
        )


@behave.when(
    "the last zone is cut off for {length:d} s, while upstreams withdraw at "
    "the first daemon after {first:d}, {second:d} and {third:d} s"
)
def step_cut_off(context, length, first, second, third):
    fleet = context.fleet
    begun = fleet.now
    fleet.cut.add(f"attica-{ZONES - 1}")
    context.returned = begun + length * SECOND
    for seconds in (first, second, third):
        if fleet.now < context.returned <= begun + seconds * SECOND:
            fleet.run(context.returned - fleet.now)
            fleet.cut.clear()
        fleet.run(begun + seconds * SECOND - fleet.now)
        _withdraw(context)
    fleet.run(SETTLED)


@behave.then("{seconds:d} s after its return all know of each leave")
def step_known_after_return(context, seconds):
    for upstream_id in context.withdrawn:
        at = _acknowledged_at(context, upstream_id)
        assert at is not None, f"{upstream_id} was not acknowledged"
        start = max(at, context.returned)
        _check_unused(context, upstream_id, start, seconds)


@behave.when("all daemons suspect the first one")
def step_all_suspect(context):
    fleet = context.fleet
    suspect = daemons.as_suspect(fleet.nodes["entry-0"].daemon)
    for node in fleet.nodes.values():
        fleet.post(node, messages.Gossip(daemons=(suspect,)))


@behave.then("within {seconds:d} s all consider the first daemon alive again")
def step_refuted(context, seconds):
    context.fleet.run(seconds * SECOND)
    believed = {
        node.daemon.daemon_id: record["state"]
        for node in _others(context, "entry-0")
        for record in node.core.dump()["daemons"]
        if record["daemon_id"] == "entry-0"
    }
    wrong = {
        name: state
        for name, state in believed.items()
        if state != messages.DaemonState.ALIVE
    }
    assert not wrong, f"{len(wrong)} daemons: {_first(wrong)}"


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
        context.left_daemons[node.daemon.daemon_id] = fleet.now
        fleet.post(node, messages.LeaveStarted())
        if number < upstreams:
            crashed = running[-1 - number]
            crashed.running = False
            context.crashed.append(crashed.record.upstream_id)
        fleet.run(gap * MILLISECOND)


def _first(late):
    """Return a few of the late daemons, for the message of a failure."""
    return list(late.items())[:5]


def _serves(effect, upstream_id):
    """Return whether an upstream may be used after an effect.

    None if the effect does not concern the upstream.
    """
    if isinstance(effect, messages.UpstreamGone):
        return False if effect.upstream_id == upstream_id else None
    if not isinstance(effect, messages.UpstreamChanged):
        return None
    if effect.upstream.upstream_id != upstream_id:
        return None
    return effect.upstream.state is not messages.UpstreamState.LEAVING


def _used_until(context, node, upstream_id):
    """Return until when a daemon may have used an upstream, None if never."""
    until = None
    serves = False
    for at, effect in node.heard:
        said = _serves(effect, upstream_id)
        if said is None:
            continue
        if serves or said:
            until = at
        serves = said
    return context.fleet.now if serves else until


def _leaves(context, node, daemon_id):
    """Return when a daemon learned that another one leaves, None if never."""
    for at, effect in node.heard:
        if (
            isinstance(effect, messages.DaemonChanged)
            and effect.daemon.daemon_id == daemon_id
            and effect.daemon.state is messages.DaemonState.LEAVING
        ):
            return at
        if (
            isinstance(effect, messages.DaemonGone)
            and effect.daemon_id == daemon_id
        ):
            return at
    return None


def _others(context, *daemon_ids):
    return [
        node
        for name, node in context.fleet.nodes.items()
        if node.running and name not in daemon_ids
    ]


def _check_unused(context, upstream_id, start, seconds):
    """Check that no daemon uses an upstream for longer after a start."""
    late = {}
    for node in _others(context):
        until = _used_until(context, node, upstream_id)
        if until is not None and until - start > seconds * SECOND:
            late[node.daemon.daemon_id] = (until - start) / SECOND
    assert not late, f"{upstream_id}: {len(late)} daemons late: {_first(late)}"


@behave.then(
    "all know of each leave within {seconds:d} s of its acknowledgement"
)
def step_leaves_known(context, seconds):
    assert context.withdrawn
    for upstream_id in context.withdrawn:
        at = _acknowledged_at(context, upstream_id)
        assert at is not None, f"{upstream_id} was not acknowledged"
        _check_unused(context, upstream_id, at, seconds)


@behave.then(
    "all know of each daemon that left and each lease that ended within "
    "{seconds:d} s of the first one"
)
def step_departures_known(context, seconds):
    for daemon_id, at in context.left_daemons.items():
        learned = {
            node.daemon.daemon_id: _leaves(context, node, daemon_id)
            for node in _others(context, daemon_id)
        }
        late = {
            name: known_at
            for name, known_at in learned.items()
            if known_at is None or known_at - at > seconds * SECOND
        }
        assert not late, (
            f"{daemon_id}: {len(late)} daemons late: {_first(late)}"
        )
    for upstream_id in context.crashed:
        start = min(
            _used_until(context, node, upstream_id)
            for node in _others(context)
        )
        assert start < context.fleet.now, f"the lease of {upstream_id} runs"
        _check_unused(context, upstream_id, start, seconds)
