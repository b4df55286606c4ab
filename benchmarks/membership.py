"""Traffic, cost and speed of membership at three sizes of the fleet."""

from __future__ import annotations

import datetime
import random
import tracemalloc
import typing

import msgspec

from benchmarks import measure as measures
from benchmarks import membership_fleet
from fulmarbarrow.membership import messages
from fulmarbarrow.observe import metrics
from fulmarbarrow.wire import codec
from fulmarbarrow.zones import core as zones_core
from fulmarbarrow.zones import messages as zones_messages

COMMAND = "python -m benchmarks membership"
SEED = 11
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
REGISTRARS = tuple(f"entry-{number}" for number in range(5))
STEADY = 8 * SECOND
UPSTREAMS = 4_700
REGIONS = (4, 4, 3, 3)  # availability zones of each region
PART_BYTES = 4_000  # of the 7 KB/s that all control traffic may take
ALL_BYTES = 7_000


def _cores(daemon: messages.Daemon, rng: random.Random) -> tuple[typing.Any]:
    """Return the core that adds the zones' summaries to the traffic."""
    core = zones_core.ZonesCore(
        daemon=daemon, metrics=metrics.Metrics(), rng=rng
    )
    return (core,)


def make(
    *,
    daemons: int,
    upstreams: int,
    zones: tuple[int, ...],
    seed: int = SEED,
    loss: float = 0.0,
) -> membership_fleet.Fleet:
    """Return a settled fleet, spread evenly over the regions' zones."""
    fleet = membership_fleet.Fleet(seed=seed, others=_cores, loss=loss)
    names = [
        (f"region-{region}", f"zone-{region}-{number}")
        for region, count in enumerate(zones)
        for number in range(count)
    ]
    for number in range(daemons):
        region, zone = names[number % len(names)]
        fleet.add_daemon(f"entry-{number}", zone=zone, region=region)
    for number in range(upstreams):
        region, zone = names[number % len(names)]
        fleet.add_upstream(f"engine-{number}", zone=zone, region=region)
    fleet.preload()
    return fleet


def _row(name: str, value: float, unit: str, **more: typing.Any):
    return measures.Measure(
        slice="membership",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        seed=SEED,
        **more,
    )


def _steady(
    fleet: membership_fleet.Fleet, label: str
) -> list[measures.Measure]:
    fleet.run(2 * SECOND)
    before = {
        name: (node.sent_bytes, node.cpu_seconds)
        for name, node in fleet.nodes.items()
    }
    fleet.run(STEADY)
    seconds = STEADY / SECOND
    sent = [
        (node.sent_bytes - before[name][0]) / seconds
        for name, node in fleet.nodes.items()
    ]
    cpu = [
        (node.cpu_seconds - before[name][1]) / seconds
        for name, node in fleet.nodes.items()
    ]
    return [
        _row(
            f"control bytes sent a second, mean of {label}",
            sum(sent) / len(sent),
            "bytes/s",
            target=PART_BYTES,
        ),
        _row(
            f"control bytes sent a second, most of {label}",
            max(sent),
            "bytes/s",
            target=PART_BYTES,
        ),
        _row(
            f"processor time a second, mean of {label}",
            sum(cpu) / len(cpu) * 1e3,
            "ms/s",
        ),
    ]


def _leaving(fleet: membership_fleet.Fleet, label: str) -> measures.Measure:
    """Let five upstreams in turn say that they leave."""
    worst = datetime.timedelta()
    names = [name for name in fleet.upstreams if name.endswith("7")][:5]
    for name in names:
        upstream = fleet.upstreams[name]
        upstream.record = msgspec.structs.replace(
            upstream.record, state=messages.UpstreamState.LEAVING
        )
        nodes = fleet.region_nodes(upstream.region)
        accepted = upstream.accepted
        fleet.announce(upstream, fleet.rng.choice(nodes))
        fleet.run_until(
            lambda upstream=upstream, accepted=accepted: (
                upstream.accepted > accepted
            ),
            within=20 * SECOND,
            step=MILLISECOND,
        )

        def known(nodes=nodes, name=name) -> bool:
            return all(
                node.live[name].state is messages.UpstreamState.LEAVING
                for node in nodes
            )

        took = fleet.run_until(known, within=20 * SECOND, step=MILLISECOND)
        worst = max(worst, 20 * SECOND if took is None else took)
    return _row(
        "leaving reaches every router of the region after its "
        f"acknowledgement, {label}",
        worst / SECOND,
        "s",
        target=2.0,
    )


def _zone_out(fleet: membership_fleet.Fleet, label: str) -> measures.Measure:
    """Let one router tell that a zone is out."""
    zone = fleet.nodes["entry-1"].daemon.zone
    region = fleet.nodes["entry-1"].daemon.region
    notice = zones_messages.ZoneNotice(zone=zone, out=True, revision=9)
    event = zones_messages.ZoneNoticesAnnounced(notices=(notice,))
    start = fleet.now
    fleet.post(fleet.nodes["entry-1"], event)
    fleet.run(3 * SECOND)
    times = [
        at - start
        for node in fleet.region_nodes(region)
        for at, effect in node.heard
        if isinstance(effect, zones_messages.ZoneNoticesReceived)
        and at >= start
    ]
    missing = len(fleet.region_nodes(region)) - 1 - len(times)
    took = 20.0 if missing else max(times) / SECOND
    return _row(
        f"a zone's leave reaches every router of the region, {label}",
        took,
        "s",
        target=2.0,
    )


def _leaving_after_start(daemons: int) -> list[measures.Measure]:
    """Let upstreams withdraw at one daemon of a fleet that just started."""
    fleet = membership_fleet.Fleet(
        seed=SEED, registrars=REGISTRARS, names_owner=False
    )
    for number in range(daemons):
        fleet.add_daemon(
            f"entry-{number}",
            zone=f"z{number % 5}",
            region="r",
            seeds=REGISTRARS,
        )
    for number in range(44):
        fleet.add_upstream(f"u{number}", zone=f"z{number % 5}", region="r")
    fleet.run(20 * SECOND)
    host = fleet.nodes[REGISTRARS[0]]
    before = host.sent_bytes
    worst = 0.0
    for number in range(12):
        fleet.upstreams[f"u{number}"].running = False
        start = fleet.now
        fleet.post(host, messages.Withdrawn(upstream_id=f"u{number}"))
        worst = max(worst, _lag_after_reply(fleet, host, f"u{number}"))
        fleet.run(start + 1.5 * SECOND - fleet.now)
    label = f"{daemons} daemons of one region that just started"
    return [
        _row(
            f"leaves known to all after the acknowledgement, {label}",
            worst,
            "s",
            target=1.0,
        ),
        _row(
            f"bytes a second, daemon with a leave each 1.5 s, {label}",
            (host.sent_bytes - before) / 18,
            "bytes/s",
            target=ALL_BYTES,
        ),
        _row(
            f"bytes in the busiest second meanwhile, {label}",
            max(
                amount
                for node in fleet.nodes.values()
                for second, amount in node.bytes_by_second.items()
                if second >= 20
            ),
            "bytes/s",
        ),
    ]


def _lag_after_reply(
    fleet: membership_fleet.Fleet,
    host: membership_fleet.Node,
    upstream_id: str,
) -> float:
    """Return for how many seconds after its reply a leave is not known."""
    start = fleet.now

    def replied() -> bool:
        return any(
            at >= start
            and isinstance(effect, messages.AnnounceAccepted)
            and effect.upstream_id == upstream_id
            for at, effect in host.heard[-200:]
        )

    def unused() -> bool:
        return all(
            node.live[upstream_id].state is messages.UpstreamState.LEAVING
            for node in fleet.nodes.values()
            if upstream_id in node.live
        )

    fleet.run_until(replied, within=SECOND, step=MILLISECOND)
    lag = fleet.run_until(unused, within=20 * SECOND, step=MILLISECOND)
    return (20 * SECOND if lag is None else lag) / SECOND


def _hard_leaving() -> measures.Measure:
    """Let upstreams leave while frames are lost and daemons have crashed."""
    fleet = make(daemons=100, upstreams=1_175, zones=(4,), loss=0.05)
    fleet.run(2 * SECOND)
    for number in (13, 31, 50, 71, 90):
        fleet.stop(f"entry-{number}")
    return _leaving(fleet, "100 daemons, 5% loss, 5 just crashed")


def _state_bytes(daemons: int, upstreams: int, zones: tuple[int, ...]) -> int:
    """Return what one daemon's records take in memory."""
    fleet = membership_fleet.Fleet(seed=SEED)
    names = [
        (f"region-{region}", f"zone-{region}-{number}")
        for region, count in enumerate(zones)
        for number in range(count)
    ]
    for number in range(daemons):
        region, zone = names[number % len(names)]
        fleet.add_daemon(f"entry-{number}", zone=zone, region=region)
    for number in range(upstreams):
        region, zone = names[number % len(names)]
        fleet.add_upstream(f"engine-{number}", zone=zone, region=region)
    node = fleet.nodes["entry-0"]
    encoder = msgspec.msgpack.Encoder()
    known = encoder.encode(
        messages.Gossip(
            daemons=tuple(
                item.daemon for item in fleet.nodes.values() if item != node
            ),
            upstreams=tuple(
                item.record
                for item in fleet.upstreams.values()
                if item.region == node.daemon.region
            ),
            syncs=True,
        )
    )
    tracemalloc.start()
    gossip = msgspec.msgpack.decode(known, type=messages.Gossip)
    node.core.handle(gossip, fleet.now)
    del gossip
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _partition() -> list[measures.Measure]:
    """Cut one zone of a region of 100 daemons off and heal it."""
    fleet = make(daemons=100, upstreams=1_175, zones=(4,))
    cut = "zone-0-1"
    fleet.run(2 * SECOND)
    fleet.cut = {cut}
    fleet.run(15 * SECOND)
    for number in range(60):
        old = fleet.upstreams[f"engine-{number}"].record
        fleet.add_upstream(
            old.upstream_id,
            zone=old.zone,
            region="region-0",
            incarnation=old.incarnation + 1,
        )
    fleet.run(30 * SECOND)
    fleet.cut = set()
    healed = int((fleet.now - membership_fleet.START) / SECOND)
    names = set(fleet.upstreams)

    def whole() -> bool:
        return all(set(node.live) == names for node in fleet.nodes.values())

    def equal() -> bool:
        found = {node.core.digest for node in fleet.nodes.values()}
        return len(found) == 1

    step = datetime.timedelta(milliseconds=250)
    served = fleet.run_until(whole, within=60 * SECOND, step=step)
    rest = fleet.run_until(equal, within=60 * SECOND, step=step)
    fleet.run(5 * SECOND)
    peak = max(
        sent
        for node in fleet.nodes.values()
        for second, sent in node.bytes_by_second.items()
        if second >= healed
    )
    start = healed
    end = int((fleet.now - membership_fleet.START) / SECOND)
    mean = sum(
        node.bytes_by_second[second]
        for node in fleet.nodes.values()
        for second in range(start, end)
    ) / (len(fleet.nodes) * (end - start))
    total = (served or 60 * SECOND) + (rest or 60 * SECOND)
    return [
        _row(
            "a zone of 25 of 100 daemons returns: all upstreams usable after",
            (served or 60 * SECOND) / SECOND,
            "s",
        ),
        _row(
            "a zone of 25 of 100 daemons returns: all records equal after",
            total / SECOND,
            "s",
        ),
        _row(
            "the same: bytes a daemon in the busiest second",
            peak,
            "bytes/s",
            target=ALL_BYTES,
        ),
        _row(
            "the same: bytes a second, mean until all is equal and 5 s more",
            mean,
            "bytes/s",
            target=ALL_BYTES,
        ),
    ]


def _join() -> measures.Measure:
    """Start one more daemon in a region of 100."""
    fleet = make(daemons=100, upstreams=1_175, zones=(4,))
    fleet.run(2 * SECOND)
    node = fleet.add_daemon(
        "newcomer", zone="zone-0-1", region="region-0", seeds=("entry-3",)
    )
    names = set(fleet.upstreams)
    took = fleet.run_until(lambda: set(node.live) == names, within=60 * SECOND)
    return _row(
        "a new daemon knows 1,175 upstreams by one seed after",
        (took or 60 * SECOND) / SECOND,
        "s",
    )


def _loss() -> measures.Measure:
    """Count daemons that lost frames alone made look dead."""
    fleet = make(daemons=40, upstreams=470, zones=(4,), loss=0.05)
    fleet.run(60 * SECOND)
    dead = sum(
        isinstance(event, messages.DaemonGone)
        for node in fleet.nodes.values()
        for _, event in node.heard
    )
    return _row(
        "daemons wrongly believed dead, 40 daemons, 5% loss, 60 s",
        dead,
        "count",
        target=0,
    )


def _lease_ways() -> list[measures.Measure]:
    """Encode three ways to let a zone know of its leases, 400 daemons."""
    fleet = make(daemons=14, upstreams=14, zones=REGIONS)
    upstream = fleet.upstreams["engine-0"].record
    sender = codec.Codec(
        fleet_key="f" * 16,
        sender="entry-100",
        address="10.0.0.100:7004",
        incarnation=1_800_000_000_000,
    )
    a_second = UPSTREAMS / 400
    zone_routers = 400 / 14
    region_upstreams = UPSTREAMS / 4
    load = messages.Load(
        running_tokens=3_000,
        queued_tokens=400,
        running_requests=12,
        measured_at=fleet.now,
    )
    renewal = messages.LeaseRenewal(
        reply_to="10.0.0.100:7004",
        upstream_id=upstream.upstream_id,
        incarnation=upstream.incarnation,
        sequence=70_000,
        load=load,
    )
    listed = messages.SyncListing(
        reply_to="10.0.0.100:7004",
        bucket=1,
        entries=tuple(
            messages.RecordVersion(key=2**63 + number, version=(1, 70_000, 0))
            for number in range(round(a_second))
        ),
    )
    entry = len(msgspec.msgpack.encode(upstream))
    holder = len(sender.encode("10.0.0.101:7004", (renewal,)))
    listing = len(sender.encode("10.0.0.101:7004", (listed,)))
    return [
        _row(
            "leases: every renewal gossiped once in the region",
            region_upstreams * entry,
            "bytes/s",
        ),
        _row(
            "leases: each router lists its renewals to its zone",
            zone_routers * listing,
            "bytes/s",
        ),
        _row(
            "leases: each renewal goes to the holder",
            a_second * holder,
            "bytes/s",
        ),
    ]


def measure() -> list[measures.Measure]:
    """Measure all sizes; bytes are those of really encoded frames."""
    rows = []
    for daemons, upstreams, zones, label in (
        (8, 11, (3,), "8 daemons, 11 upstreams"),
        (8, UPSTREAMS // 50, (3,), "8 daemons, 94 upstreams"),
        (40, UPSTREAMS // 10, (4,), "40 daemons, 470 upstreams"),
        (400, UPSTREAMS, REGIONS, "400 daemons, 4,700 upstreams"),
    ):
        fleet = make(daemons=daemons, upstreams=upstreams, zones=zones)
        rows.extend(_steady(fleet, label))
        rows.append(_leaving(fleet, label))
        rows.append(_zone_out(fleet, label))
        size = _state_bytes(daemons, upstreams, zones)
        rows.append(_row(f"records in memory, {label}", size, "bytes"))
    return [
        *rows,
        _hard_leaving(),
        *_leaving_after_start(200),
        *_leaving_after_start(400),
        *_partition(),
        _join(),
        _loss(),
        *_lease_ways(),
    ]
