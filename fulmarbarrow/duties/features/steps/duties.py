"""Steps on the leases of duties, in a model of control hosts."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from benchmarks import duties_world
from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.daemon import cores
from fulmarbarrow.duties import messages
from fulmarbarrow.duties import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

SECOND = datetime.timedelta(seconds=1)


@behave.when("{count:d} random schedules of faults have run")
def run_schedules(context, count):
    context.worlds = [duties_world.explore(seed) for seed in range(count)]


@behave.then("no two hosts ever held a subject at the same time")
def check_schedules(context):
    failed = {
        seed: world.violations[0]
        for seed, world in enumerate(context.worlds)
        if world.violations
    }
    assert not failed, failed


@behave.then("each schedule granted a duty at least once on average")
def check_activity(context):
    grants = sum(world.grants for world in context.worlds)
    assert grants >= len(context.worlds), grants


@behave.when(
    "{count:d} random schedules with clocks {percent:d} percent off have run"
)
def run_schedules_apart(context, count, percent):
    context.worlds = [
        duties_world.explore(seed, rate=percent / 100) for seed in range(count)
    ]


@behave.then("two hosts held a subject at the same time in one of them")
def check_noticed(context):
    found = [text for world in context.worlds for text in world.violations]
    assert any(" hold " in text for text in found), found


@behave.given("the cores of a control host {which} an address of the platform")
def build_cores(context, which):
    address = "127.0.0.1:9" if which == "with" else None
    settings = defaults.Settings(
        daemon=defaults.DaemonSection(
            id="c",
            zone="z",
            region="r",
            roles=(defaults.Role.CONTROL,),
            fleet_key="a key of the tests",
        ),
        listen=defaults.ListenSection(
            peers=options.parse_address("127.0.0.1:7004")
        ),
        control=defaults.ControlSection(form=True, snapshot_entries=1),
        duties=defaults.DutiesSection(
            address=options.parse_address(address) if address else None
        ),
    )
    context.clock = clocks.ManualClock()
    context.bus = buses.Bus(clock=context.clock, strict=True)
    context.held, context.taken = [], set()
    context.bus.subscribe(
        messages.DutyHeld, lambda event, _: context.held.append(event)
    )
    context.bus.subscribe(
        consensus_messages.SnapshotTaken,
        lambda event, _: context.taken.add(event.machine),
    )
    context.cores = cores.Cores(
        settings=settings,
        record=cores.describe(settings, context.clock.now()),
        bus=context.bus,
        metrics=metrics_module.Metrics(),
        rng=random.Random(1),
        now=context.clock.now(),
    ).by_name
    wanted = messages.SubjectsWanted(duty=messages.Duty.USAGE, subjects=("",))
    context.bus.post(wanted)
    _tick(context, 3)


@behave.then("it has no core of duties, and its snapshots do not wait for one")
def check_no_core(context):
    assert "duties" not in context.cores
    assert context.taken and messages.MACHINE not in context.taken


@behave.when('it leads for {seconds:g} seconds and "usage" is wanted')
def lead(context, seconds):
    _tick(context, seconds)


@behave.then('it holds "usage"')
def check_holds(context):
    assert context.held[-1].until > context.clock.now()
    assert messages.MACHINE in context.taken


@behave.given("{count:d} control hosts that hold the duties")
def hold(context, count):
    context.world = duties_world.World(rng=random.Random(1), hosts=count)
    context.world.run(8)
    for duty, subjects in duties_world.WANTED.items():
        for subject in subjects:
            assert context.world.holder((duty, subject)), (duty, subject)


@behave.then("two hosts hold the duties, and neither is the leader")
def check_spread(context):
    holders = {item.host for item in context.world.holds.values()}
    assert len(holders) == 2, holders
    assert context.world.leader not in holders, holders


@behave.when('the holder of "usage" is frozen for {seconds:g} seconds')
def freeze(context, seconds):
    _former(context)
    context.world.freeze(context.former, seconds)
    context.frozen_at = context.world.time
    context.seconds = seconds


@behave.then('the first effect of its next event is the loss of "usage"')
def check_loss(context):
    world, host = context.world, context.world.hosts[context.former]
    world.time += context.seconds  # No event reaches it before.
    effects = host.core.handle(message.Tick(), world.now(host))
    world.time -= context.seconds
    assert isinstance(effects[0], messages.DutyLost), effects
    assert effects[0].reason == messages.Reason.LEASE_ENDED


@behave.then('another host holds "usage" within {seconds:g} seconds')
def check_next(context, seconds):
    world = context.world
    world.run(world.time + seconds)
    holder = world.holder(_usage())
    assert holder and holder != context.former, holder
    assert not world.violations, world.violations


@behave.then(
    'another host of another zone holds "usage" within {seconds:g} seconds'
)
def check_next_zone(context, seconds):
    check_next(context, seconds)
    hosts = context.world.hosts
    holder = context.world.holder(_usage())
    assert hosts[holder].zone != hosts[context.former].zone


@behave.when('the holder of "usage" does not reach the platform')
def lose_platform(context):
    _former(context)
    context.world.post(
        context.former,
        messages.PlatformUnreachable(duty=messages.Duty.USAGE),
    )


@behave.when('the holder of "usage" stops')
def stop(context):
    _former(context)
    context.world.post(context.former, membership_messages.LeaveStarted())


@behave.then('the former holder does not hold "usage" for {seconds:g} seconds')
def check_away(context, seconds):
    world = context.world
    until = world.time + seconds
    while world.time < until:
        world.run(world.time + 0.05)
        assert world.holder(_usage()) != context.former, world.time


@behave.then(
    'a late confirmation of its reports does not give it "usage" back'
)
def check_no_return(context):
    host = context.world.hosts[context.former]
    for sequence in range(1, 64):
        renewed = messages.DutiesRenewed(
            incarnation=host.incarnation,
            sequence=sequence,
            tenures=((messages.Duty.USAGE, context.hold.number),),
        )
        effects = host.core.handle(renewed, context.world.now(host))
        assert not any(
            isinstance(effect, messages.DutyHeld) for effect in effects
        ), effects


@behave.when("all hosts lose power and start again a second later")
def lose_power(context):
    _former(context)
    world = context.world
    for name in world.hosts:
        world.kill(name)
        world.at(1 + world.rng.random(), lambda name=name: world.start(name))


@behave.when(
    'the leader is killed while it grants "usage", and the grant is {fate}'
)
def kill_proposing_leader(context, fate):
    _former(context)
    world = context.world
    leader = world.leader
    world.finds_pending = fate == "committed"
    world.faults.linger = 1.0
    world.kill(context.former)
    while not world.pending:
        world.run(world.time + 0.05)
    world.faults.linger = 0.0
    world.kill(leader)
    for name in (leader, context.former):
        world.at(2, lambda name=name: world.start(name))


@behave.then('"usage" is held with a higher number than before')
def check_higher(context):
    world = context.world
    assert world.holder(_usage())
    assert world.holds[_usage()].number > context.hold.number
    assert not world.violations, world.violations


@behave.when('the holder of "usage" is cut off for {seconds:g} seconds')
def cut_off(context, seconds):
    _former(context)
    context.world.isolate(context.former, seconds)


@behave.when("the leader is killed for {seconds:g} seconds")
def kill_leader(context, seconds):
    world = context.world
    name = world.leader
    world.kill(name)
    world.at(seconds, lambda: world.start(name))


@behave.when("{seconds:g} seconds pass")
def wait(context, seconds):
    context.world.run(context.world.time + seconds)


@behave.then('"usage" was held all the time')
def check_held(context):
    assert context.world.holder(_usage())
    assert len(context.world.gaps[_usage()]) == 1, context.world.gaps


@behave.when('the number of one subject of "scaling" is refused')
def refuse(context):
    duty = messages.Duty.SCALING
    context.subject, context.other = (
        (duty, subject) for subject in duties_world.WANTED[duty]
    )
    context.hold = context.world.holds[context.subject]
    context.world.post(
        context.hold.host,
        messages.DutyRefused(
            duty=duty,
            subject=context.subject[1],
            number=context.hold.number,
        ),
    )


@behave.then('the other subject of "scaling" is still held')
def check_other(context):
    assert context.world.holder(context.other) == context.hold.host


@behave.then("the subject is not held for {seconds:g} seconds")
def check_not_held(context, seconds):
    world = context.world
    until = world.time + seconds
    while world.time < until:
        world.run(world.time + 0.05)
        assert not world.holder(context.subject), world.time


@behave.then(
    "the same host holds the subject with a higher number "
    "{seconds:g} seconds later"
)
def check_number(context, seconds):
    world = context.world
    world.run(world.time + seconds)
    assert world.holder(context.subject) == context.hold.host
    assert world.holds[context.subject].number > context.hold.number


@behave.given("a router that all hosts know")
def know_router(context):
    world = context.world
    context.heard = []
    for name in world.hosts:
        changed = membership_messages.DaemonChanged(daemon=_router(1))
        world.hosts[name].core.handle(changed, world.now(world.hosts[name]))
    send = world._send

    def deliver(host, effect):
        if effect.address != "router":
            send(host, effect)
        elif effect.message.duty is messages.Duty.USAGE:
            context.heard.append((world.time, effect.message))

    world._send = deliver


@behave.when('the number of "usage" is refused')
def refuse_usage(context):
    _former(context)
    context.world.post(
        context.former,
        messages.DutyRefused(
            duty=messages.Duty.USAGE, subject="", number=context.hold.number
        ),
    )


@behave.then(
    'the router was told the next holder of "usage" {count:d} times in '
    "{seconds:g} seconds"
)
def check_repeated(context, count, seconds):
    number = context.world.holds[_usage()].number
    times = [at for at, told in context.heard if told.number == number]
    early = [at for at in times if at <= times[0] + seconds]
    # One more comes at the usual interval, in whatever phase that is.
    assert count <= len(early) <= count + 1, times


@behave.then('the router was not told of "usage"')
def check_not_heard(context):
    assert not context.heard, context.heard


@behave.then('the router is not told the holder of "usage"')
def check_not_told(context):
    assert not _told(context.effects), context.effects


@behave.then(
    'the router was told the same holder of "usage" with a higher number'
)
def check_heard(context):
    _, told = context.heard[0]
    assert told.holder == context.former, told
    assert told.number > context.hold.number, told


@behave.when("a router starts")
def start_router(context):
    if "former" not in context:
        _former(context)
    router = _router(2)
    host = context.world.hosts[context.former]
    context.effects = host.core.handle(
        membership_messages.DaemonChanged(daemon=router),
        context.world.now(host),
    )


@behave.then('the router is told the holder of "usage" at once')
def check_told(context):
    told = _told(context.effects)
    assert [item.holder for item in told] == [context.former], told


@behave.then('the router is told the holder of "usage" every 5 seconds')
def check_told_again(context):
    world, host = context.world, context.world.hosts[context.former]
    times = []
    for _ in range(80):
        # The renewals of the model go on, and messages to routers are kept.
        sent = []
        world._send = lambda _, effect, sent=sent: sent.append(effect)
        effects = host.core.handle(message.Tick(), world.now(host))
        for effect in effects:
            if isinstance(effect, message.Send):
                _answer(host, effect, world)
        if _told(effects):
            times.append(world.time)
        world.time += duties_world.TICK
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(gaps) >= 3 and max(gaps) <= 5, gaps


@behave.given(
    "grants on a log that is lost, and grants on a new log "
    "{seconds:d} seconds later"
)
def lose_log(context, seconds):
    now = duties_world.START
    context.old, context.new = state.Grants(), state.Grants()
    for _ in range(100):
        context.old.apply(_grant(now, context.old), 1)
    context.new.apply(_grant(now + seconds * SECOND, context.new), 1)


@behave.then("the numbers of the new log are higher and have at most 53 bits")
def check_numbers(context):
    assert context.old.highest < context.new.highest < 1 << 53


@behave.when('the holder of "usage" gets a snapshot without grants')
def restore_empty(context):
    _former(context)
    host = context.world.hosts[context.former]
    restored = consensus_messages.SnapshotRestored(
        group=duties_world.GROUP, index=9, state=b"", machine=messages.MACHINE
    )
    context.effects = host.core.handle(restored, context.world.now(host))


@behave.then('it has lost "usage" and has no grants')
def check_empty(context):
    assert any(
        isinstance(effect, messages.DutyLost)
        and effect.reason == messages.Reason.REPLACED
        for effect in context.effects
    ), context.effects
    dump = context.world.hosts[context.former].core.dump()
    assert not dump["granted"] and not dump["held"], dump


@behave.when("the log has unreadable commands and an outdated grant")
def apply_nonsense(context):
    grants = context.grants = state.Grants()
    grants.apply(_grant(duties_world.START, grants), 1)
    outdated = _grant(duties_world.START, grants)
    grants.apply(_grant(duties_world.START, grants), 1)
    context.before = grants.snapshot()
    for command in (b"", b"\xc1", b"\x93\x01\x02\x03", outdated):
        assert grants.apply(command, 1) is None
    of_other_term = _grant(duties_world.START, grants)
    assert grants.apply(of_other_term, 2) is None
    grants.restore(b"\xc1")


@behave.then("the grants are those before")
def check_unchanged(context):
    assert context.grants.snapshot() == context.before


def _tick(context, seconds):
    for _ in range(int(seconds / duties_world.TICK)):
        context.clock.advance(duties_world.TICK * SECOND)
        context.bus.post(message.Tick())


def _grant(now, grants):
    known = grants.get(messages.Duty.USAGE)
    return msgspec.msgpack.encode(
        state.Grant(
            duty=messages.Duty.USAGE,
            holder="a",
            incarnation=1,
            zone="z",
            address="a",
            subjects=("",),
            base=known.number if known else 0,
            term=1,
            floor=state.floor(now),
            lease=3 * SECOND,
        )
    )


def _router(incarnation):
    return membership_messages.Daemon(
        daemon_id="r",
        incarnation=incarnation,
        zone="z0",
        region="r",
        address="router",
        roles=("router",),
    )


def _usage():
    return (messages.Duty.USAGE, "")


def _former(context):
    context.former = context.world.holder(_usage())
    context.hold = context.world.holds[_usage()]


def _told(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, message.Send)
        and effect.address == "router"
        and effect.message.duty is messages.Duty.USAGE
    ]


def _answer(host, effect, world):
    """Confirm a report at once, as the leader does."""
    report = effect.message
    if isinstance(report, messages.RenewDuties):
        renewed = messages.DutiesRenewed(
            incarnation=report.incarnation,
            sequence=report.sequence,
            tenures=report.held,
        )
        host.core.handle(renewed, world.now(host))
