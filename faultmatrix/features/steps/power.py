"""Steps that take the power of a fake fleet."""

from __future__ import annotations

import dataclasses
import datetime

import behave

from faultmatrix.checks import configuration
from faultmatrix import fleet as fleets
from faultmatrix import host as hosts
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults

START = datetime.timedelta(seconds=4)
CHANGE_INTERVAL = datetime.timedelta(milliseconds=600)
MILLISECOND = datetime.timedelta(milliseconds=1)


class Play:
    """A fleet with the check of its configurations."""

    def __init__(self, *, seed, snapshot_entries):
        self.check = configuration.Configuration()
        self.fleet = fleets.Fleet(
            seed=seed,
            watchers=[self.check],
            snapshot_entries=snapshot_entries,
        )
        self.check.fleet = self.fleet
        self.fleet.begin()
        self.run(START)

    def run(self, duration):
        self.fleet.timeline.run(self.fleet.timeline.elapsed + duration)

    def publish(self, number, run=CHANGE_INTERVAL):
        name = f"account-{number}"
        account = bundles.Account(
            name=name, key_salt="salt", key_digest=name.encode().hex()
        )
        known = self.fleet.operators.bundle
        self.fleet.operators.publish(
            dataclasses.replace(known, account=(*known.account, account))
        )
        self.run(run)

    def lose_power(self, seconds, roles):
        down = datetime.timedelta(seconds=seconds)
        for host in list(self.fleet.hosts.values()):
            if host.alive and set(host.plan.roles) & set(roles):
                self.fleet.crash_host(host)
                self.fleet.timeline.after(
                    down, self.fleet.start_host, host.plan
                )
        self.run(down)

    def plan(self, name):
        (plan,) = (plan for plan in self.fleet.plans if plan.daemon_id == name)
        return plan

    def revisions(self, zones=hosts.ZONES, roles=tuple(defaults.Role)):
        return {
            host.plan.daemon_id: host.cores.by_name["publishing"].dump()[
                "revision"
            ]
            for host in self.fleet.hosts.values()
            if host.zone in zones and set(host.plan.roles) & set(roles)
        }


@behave.given(
    "{count:d} fleets whose control hosts write a snapshot after "
    "{entries:d} entries"
)
def step_fleets(context, count, entries):
    context.plays = [
        Play(seed=seed, snapshot_entries=entries) for seed in range(count)
    ]


@behave.given("{count:d} changes were published")
def step_published(context, count):
    for play in context.plays:
        for number in range(count):
            play.publish(number)
        assert set(play.revisions().values()) == {count}, play.revisions()


# Of how many routers one is out of the leader's reach.
UNREACHED_ONE_IN = {"half of the routers": 2, "none of the routers": 1}


@behave.when(
    "one more is accepted by a leader that reaches {reached}, and is lost then"
)
def step_leader_lost(context, reached):
    for play in context.plays:
        fleet = play.fleet
        leader = fleet.leader()
        routers = fleet.live(defaults.Role.ROUTER)
        for router in routers[:: UNREACHED_ONE_IN[reached]]:
            fleet.network.separate(leader.address, router.address)
        accepted = len(play.check.results)
        play.publish(accepted, run=MILLISECOND)
        while len(play.check.results) == accepted:
            play.run(MILLISECOND)
        fleet.crash_host(leader)


@behave.when("the two others don't reach each other")
def step_others_separated(context):
    for play in context.plays:
        live = play.fleet.live(defaults.Role.CONTROL)
        one, other = (host.address for host in live)
        play.fleet.network.separate(one, other)


@behave.when('"{name}" is cut off from the other control hosts')
def step_control_cut(context, name):
    for play in context.plays:
        address, *others = sorted(
            (plan.address for plan in play.fleet.control_plans),
            key=lambda item: item != play.plan(name).address,
        )
        for other in others:
            play.fleet.network.separate(address, other)


@behave.when("{count:d} more changes are published")
def step_published_more(context, count):
    for play in context.plays:
        known = max(play.revisions().values())
        for number in range(known, known + count):
            play.publish(number)


@behave.when(
    'the cut ends as "{dark}" goes dark and "{emptied}" loses its disk'
)
def step_majority_lost(context, dark, emptied):
    for play in context.plays:
        fleet = play.fleet
        for name in (dark, emptied):
            fleet.crash_host(fleet.hosts[name])
        fleet.network.heal()
        fleet.disks[emptied] = hosts.HostDisk(identity=f"{emptied}-2")
        fleet.start_host(play.plan(emptied))


@behave.when("all routers lose their power for {seconds:f} s")
def step_routers_lose_power(context, seconds):
    for play in context.plays:
        play.lose_power(seconds, (defaults.Role.ROUTER,))


@behave.when('"{name}" starts again')
def step_starts_again(context, name):
    for play in context.plays:
        play.fleet.start_host(play.plan(name))


@behave.then("no revision is in force on any router of any fleet")
def step_none_on_routers(context):
    for play in context.plays:
        found = play.revisions(roles=(defaults.Role.ROUTER,))
        assert not any(found.values()), found


@behave.when("all hosts lose their power for {seconds:f} s")
def step_all_lose_power(context, seconds):
    for play in context.plays:
        play.lose_power(seconds, tuple(defaults.Role))


@behave.when("all control hosts lose their power for {seconds:f} s")
def step_control_loses_power(context, seconds):
    for play in context.plays:
        play.lose_power(seconds, (defaults.Role.CONTROL,))


@behave.when(
    'zone "{zone}" is cut off and all hosts lose their power for {seconds:f} s'
)
def step_zone_cut(context, zone, seconds):
    for play in context.plays:
        play.fleet.network.cut(zone, hosts.ZONES)
    step_all_lose_power(context, seconds)


@behave.when(
    "all hosts lose their power for {down:f} s, and control hosts reach "
    "nobody for {silent:f} s"
)
def step_control_is_silent(context, down, silent):
    step_all_lose_power(context, down)
    for play in context.plays:
        for plan in play.fleet.control_plans:
            play.fleet.network.isolate(plan.address)
        play.run(datetime.timedelta(seconds=silent))
        assert play.fleet.leader() is None
        play.fleet.network.heal()


@behave.then("each fleet has a leader")
def step_leaders(context):
    without = [
        number
        for number, play in enumerate(context.plays)
        if play.fleet.leader() is None
    ]
    assert not without, without


@behave.when("{seconds:f} s pass")
def step_pass(context, seconds):
    for play in context.plays:
        play.run(datetime.timedelta(seconds=seconds))


@behave.then("no check is breached in any fleet")
def step_no_breach(context):
    found = [
        (number, breach.text)
        for number, play in enumerate(context.plays)
        for breach in play.check.breaches
    ]
    assert not found, found


@behave.then("revision {revision:d} is in force on all hosts of every fleet")
def step_in_force(context, revision):
    for play in context.plays:
        found = play.revisions()
        assert set(found.values()) == {revision}, found


@behave.then("revision {revision:d} is in force on all routers of every fleet")
def step_in_force_on_routers(context, revision):
    for play in context.plays:
        found = play.revisions(roles=(defaults.Role.ROUTER,))
        assert set(found.values()) == {revision}, found


@behave.then(
    "revision {revision:d} is in force on all hosts of the other zones of "
    "every fleet"
)
def step_in_force_elsewhere(context, revision):
    for play in context.plays:
        found = play.revisions(zones=("b", "c"))
        assert set(found.values()) == {revision}, found


@behave.then('no revision is in force in zone "{zone}" of any fleet')
def step_none_in_zone(context, zone):
    for play in context.plays:
        found = play.revisions(zones=(zone,))
        assert not any(found.values()), found


@behave.then(
    'a revision is in force on all routers in zone "{zone}" of every fleet'
)
def step_some_in_zone(context, zone):
    for play in context.plays:
        found = play.revisions(zones=(zone,), roles=(defaults.Role.ROUTER,))
        assert all(found.values()), found
