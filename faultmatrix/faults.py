"""The faults: how each is injected, and how it heals."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from faultmatrix import calling
from faultmatrix import fleet as fleets
from faultmatrix import host as hosts
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults

SHORT = datetime.timedelta(milliseconds=500)
LONG = datetime.timedelta(seconds=3)
SURGE = 60  # chats
POISON_RESENDS = 6
CLOSED = ("b",)

Injection = collections.abc.Callable[[fleets.Fleet, hosts.Host], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault; ``inject`` gets the host on which the step happened."""

    name: str
    inject: Injection


def _engine(fleet: fleets.Fleet) -> object:
    """Return the busiest engine, on which a fault shows most."""
    return max(fleet.engines(), key=lambda item: (item.up, item.work))


def _upstream_fault(flag: str) -> Injection:
    """Return a fault that flags the busiest upstreams for a while."""

    def inject(fleet: fleets.Fleet, host: hosts.Host) -> None:
        targets = [_engine(fleet), _plain(fleet)]
        for target in targets:
            target.faults.add(flag)
            fleet.timeline.after(LONG, target.faults.discard, flag)

    return inject


def _plain(fleet: fleets.Fleet) -> object:
    plain = [
        item
        for item in fleet.upstreams.values()
        if item.offer.service == calling.PLAIN_SERVICE
    ]
    return max(plain, key=lambda item: (item.up, item.work))


def _upstream_joins(fleet: fleets.Fleet, host: hosts.Host) -> None:
    name = f"engine-a{len(fleet.upstreams)}"
    fleet.add_engine(name, "a").start()


def _upstream_leaves(fleet: fleets.Fleet, host: hosts.Host) -> None:
    _engine(fleet).leave()


def _upstream_crashes(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for target in (_engine(fleet), _plain(fleet)):
        target.crash()
        fleet.timeline.after(LONG, target.start)


def _upstream_flaps(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = _engine(fleet)
    for number in range(3):
        fleet.timeline.after(2 * number * SHORT, target.crash)
        fleet.timeline.after((2 * number + 1) * SHORT, target.start)


def _connections_go_silent(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for target in fleet.upstreams.values():
        target.go_silent()


def _engine_turns_cold(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = _engine(fleet)
    target.faults.add("slow")
    fleet.timeline.after(SHORT, target.faults.discard, "slow")


def _stale_fencing(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for target in fleet.engines():
        target.fencing += 1


def _routers_disagree(fleet: fleets.Fleet, host: hosts.Host) -> None:
    fleet.network.loss = 0.3
    fleet.timeline.after(LONG, fleet.network.heal)


def _messages_cross(fleet: fleets.Fleet, host: hosts.Host) -> None:
    fleet.network.double(True)
    fleet.timeline.after(LONG, fleet.network.heal)


def _account_surges(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for _ in range(SURGE):
        fleet.callers.chat(account="patras")


def _bad_version(flag: str) -> Injection:
    def inject(fleet: fleets.Fleet, host: hosts.Host) -> None:
        fleet.bad_versions.add(f"2 {flag}")

    return inject


def _control_isolated(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = fleet.leader()
    if target is not None:
        fleet.network.isolate(target.address)
        fleet.timeline.after(LONG, fleet.network.heal)


def _crash_for(
    fleet: fleets.Fleet, target: hosts.Host, length: datetime.timedelta
) -> None:
    if target.alive:
        fleet.crash_host(target)
        fleet.timeline.after(length, fleet.start_host, target.plan)


def _control_crashes(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = fleet.leader()
    if target is not None:
        _crash_for(fleet, target, LONG)


def _crash_leader_again(fleet: fleets.Fleet) -> None:
    target = fleet.leader()
    up = fleet.live(defaults.Role.CONTROL)
    if target is not None and len(up) == len(fleet.control_plans):
        _crash_for(fleet, target, LONG)


def _second_loss(fleet: fleets.Fleet, host: hosts.Host) -> None:
    """Lose a control host, repair it, and lose the next right after."""
    target = fleet.leader()
    if target is None:
        return
    _crash_for(fleet, target, 2 * SHORT)
    later = 2 * SHORT + SHORT / 2
    fleet.timeline.after(later, _crash_leader_again, fleet)


def _disk_lost(fleet: fleets.Fleet, host: hosts.Host) -> None:
    """Replace a control host by one with an empty disk."""
    target = fleet.leader()
    if target is None:
        return
    name = target.plan.daemon_id
    fleet.disks[name] = hosts.HostDisk(identity=f"{name}-replaced")
    _crash_for(fleet, target, LONG)


def _disk_full(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = fleet.leader()
    if target is None:
        return
    disk = target.disk
    disk.full = True

    def heal() -> None:
        disk.full = False
        target.sync_again()

    fleet.timeline.after(LONG, heal)


def _operators_race(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for publisher in ("ada", "grace"):
        account = bundles.Account(
            name=publisher, key_salt="salt", key_digest=publisher
        )
        changed = dataclasses.replace(
            fleet.operators.bundle,
            account=(*fleet.operators.bundle.account, account),
        )
        fleet.operators.publish(changed, publisher)


def _poison(fleet: fleets.Fleet, host: hosts.Host) -> None:
    for number in range(POISON_RESENDS):
        fleet.timeline.after(
            number * SHORT, lambda: fleet.callers.chat(digest="poison")
        )


def _zone_cut_off(fleet: fleets.Fleet, host: hosts.Host) -> None:
    fleet.network.cut("b", hosts.ZONES)
    fleet.timeline.after(LONG, fleet.network.heal)


def _zone_taken_out(fleet: fleets.Fleet, host: hosts.Host) -> None:
    fleet.operators.publish(
        with_zone(fleet.operators.bundle, "b", bundles.ZoneState.OUT)
    )


def with_zone(
    bundle: bundles.Bundle, name: str, state: bundles.ZoneState
) -> bundles.Bundle:
    """Return a bundle with another state of one availability zone."""
    zones = tuple(
        dataclasses.replace(zone, state=state) if zone.name == name else zone
        for zone in bundle.zone
    )
    return dataclasses.replace(bundle, zone=zones)


def _router_crashes(fleet: fleets.Fleet, host: hosts.Host) -> None:
    target = host if host.is_router else None
    for other in fleet.live(defaults.Role.ROUTER):
        target = target or other
    if target is not None and target.alive:
        _crash_for(fleet, target, LONG)


def _host_stops(fleet: fleets.Fleet, host: hosts.Host) -> None:
    if host.alive and not host.leaving:
        fleet.stop_host(host)


_NAMED: tuple[tuple[str, Injection], ...] = (
    ("upstream joins", _upstream_joins),
    ("upstream leaves", _upstream_leaves),
    ("upstream flaps", _upstream_flaps),
    ("upstreams crash", _upstream_crashes),
    ("open connections go silent", _connections_go_silent),
    ("upstreams answer nothing", _upstream_fault("silent")),
    ("upstreams are slow", _upstream_fault("slow")),
    ("engine turns cold", _engine_turns_cold),
    ("answers cross", _upstream_fault("crossed")),
    ("answers are cut", _upstream_fault("cut")),
    ("upstreams refuse requests", _upstream_fault("refuse")),
    ("upstreams stop announcing", _upstream_fault("mute")),
    ("engines refuse orders", _upstream_fault("refuse_orders")),
    ("fencing number is stale", _stale_fencing),
    ("routers disagree", _routers_disagree),
    ("messages double and cross", _messages_cross),
    ("account surges", _account_surges),
    ("new version fails", _bad_version("cut")),
    ("new version is slow", _bad_version("slow")),
    ("control host is isolated", _control_isolated),
    ("control host crashes", _control_crashes),
    ("second loss after a repair", _second_loss),
    ("control host's disk is lost", _disk_lost),
    ("disk is full", _disk_full),
    ("operators race", _operators_race),
    ("poison request is resent", _poison),
    ("zone is cut off", _zone_cut_off),
    ("zone is taken out", _zone_taken_out),
    ("entry host crashes", _router_crashes),
    ("host stops as planned", _host_stops),
)

FAULTS = {name: Fault(name=name, inject=inject) for name, inject in _NAMED}
PLANNED_STOP = "host stops as planned"
DISK_LOST = "control host's disk is lost"
