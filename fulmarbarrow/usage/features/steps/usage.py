"""Steps for usage reports of a simulated fleet."""

from __future__ import annotations

import collections
import datetime
import itertools

import behave

from benchmarks import usage_fleet as fleets
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.usage import grouping
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import packing

RATE = 60


def start(context, count, skews=(), holds=True):
    context.fleet = fleets.Fleet(routers=count, skews=skews)
    if holds:
        context.fleet.hold(context.fleet.controls[0])
    context.first = context.fleet.window


@behave.given("{count:d} routers")
def step_routers(context, count):
    start(context, count)


@behave.given(
    "{count:d} routers and a control host whose clock is {skew:g} s off"
)
def step_skewed_control(context, count, skew):
    start(context, count, skews=(skew,))


@behave.given(
    "{count:d} routers, one of them with a clock that is {skew:g} s off"
)
def step_skewed_router(context, count, skew):
    start(context, count)
    context.fleet.routers[0].skew = fleets.seconds(skew)


@behave.given("{count:d} routers without a holder")
def step_no_holder(context, count):
    start(context, count, holds=False)


@behave.given("{count:d} routers whose configuration names accounts")
def step_names(context, count):
    context.fleet = fleets.Fleet(routers=count, accounts=8)
    context.fleet.hold(context.fleet.controls[0])
    context.first = context.fleet.window


@behave.when("the accounts of the holder's configuration change")
def step_change_names(context):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(7)
    fleet.configure(fleet.holder, 5)
    fleet.run(5)
    fleet.configure(fleet.routers[0], 9)
    fleet.run(11)


@behave.given("{count:d} routers and a platform that is down")
def step_down(context, count):
    start(context, count)
    context.fleet.platform.down = True


@behave.given(
    "{count:d} routers and a network that repeats and reorders messages"
)
def step_repeats(context, count):
    start(context, count)
    context.fleet.repeats_messages = True


@behave.given(
    "{count:d} routers and a platform whose first {lost:d} answers are lost"
)
def step_lost_answers(context, count, lost):
    start(context, count)
    outcomes = context.fleet.platform.outcomes
    outcomes.extend([fleets.Outcome.UNKNOWN] * lost)
    context.lost = lost


@behave.given("{count:d} routers and a platform that answers superseded")
def step_superseded(context, count):
    start(context, count)
    context.fleet.platform.outcomes.append(fleets.Outcome.SUPERSEDED)


@behave.when("{duration:d} seconds pass with requests")
def step_pass(context, duration):
    context.fleet.load(RATE, 10, duration)
    context.fleet.run(duration)
    context.fleet.run(3)


@behave.when(
    "a router is {fault} at second {at:d} with 10 requests in each 100 ms"
)
def step_fault(context, fault, at):
    fleet = context.fleet
    router = fleet.routers[0]
    for number in range(at * 10 + 30):
        fleet.after(fleets.seconds(number / 10), fleet.begin, router, "a", 10)
    fleet.run(at)
    if fault == "killed":
        router.alive = False
    elif fault == "frozen":
        router.frozen = True
        fleet.after(fleets.seconds(8), router.thaw)
    else:
        router.cut = True
    fleet.run(12)
    context.reported = context.first + 1


@behave.when("a forwarding router is killed at second {at:d} with requests")
def step_kill_forwarder(context, at):
    fleet = context.fleet
    fleet.load(RATE, 10, at)
    fleet.run(at)
    name = fleet.routers[0].core.dump()["forwarder"]
    assert name
    (forwarder,) = (r for r in fleet.routers if r.record.daemon_id == name)
    forwarder.alive = False
    fleet.run(10)
    context.reported = context.first + 1


@behave.then("the report lacks at most 1 second of that router's requests")
def step_lacks_forwarder(context):
    fleet = context.fleet
    reported = sum(fleet.platform.accepted[context.reported].values())
    missing = fleet.truth[context.reported].total() - reported
    assert 0 <= missing <= 2 * RATE / len(fleet.routers), missing


@behave.then("the report lacks at most {lost:d} of its requests")
def step_lacks(context, lost):
    fleet = context.fleet
    reported = fleet.platform.accepted[context.reported].get("a", 0)
    missing = fleet.truth[context.reported]["a"] - reported
    assert 0 <= missing <= lost, missing


@behave.then(
    "the report is made within {limit:g} seconds of the end of its window"
)
def step_in_time(context, limit):
    end = fleets.fleet_time.end_of(context.reported, fleets.WINDOW)
    took = context.fleet.platform.accepted_at[context.reported] - end
    assert took <= fleets.seconds(limit), took


@behave.when("the duty moves to another host at second {at:d} with requests")
def step_move(context, at):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(at)
    fleet.hold(fleet.controls[1])
    fleet.run(23 - at)


@behave.when(
    "the holder is killed at second {at:d} and the platform is up again"
)
def step_kill_holder(context, at):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(at)
    context.before = len(fleet.platform.calls)
    fleet.holder.alive = False
    fleet.platform.down = False
    fleet.hold(fleet.controls[1])
    fleet.run(5)


@behave.when(
    "{duration:d} seconds pass with requests and then a host gains the duty"
)
def step_late_holder(context, duration):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(duration)
    fleet.hold(fleet.controls[1])
    fleet.run(23 - duration)


@behave.when(
    "a host gains the duty after {duration:d} seconds and a router is not told"
)
def step_not_told(context, duration):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(duration)
    fleet.routers[0].cut = True  # only the first announcement is lost
    fleet.hold(fleet.controls[1])
    fleet.routers[0].cut = False
    fleet.run(25 - duration)


@behave.when("the platform is up again with a new holder at second {at:d}")
def step_up_again(context, at):
    fleet = context.fleet
    fleet.load(RATE, 10, at)
    fleet.run(at)
    fleet.platform.down = False
    fleet.platform.calls.clear()
    fleet.hold(fleet.controls[1])
    fleet.run(6)


@behave.then("the windows that can be in time are reported first")
def step_in_time_first(context):
    fleet = context.fleet
    windows = [call.window - context.first for call in fleet.platform.calls]
    assert windows[:2] == [3, 4], windows
    assert set(windows) >= set(range(6)), windows
    assert all(fleet.error_of(context.first + n) == 0 for n in range(5))


@behave.when("the duty moves before the answers to the first calls arrive")
def step_move_open(context):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    while not fleet.platform.calls:
        fleet.run(0.01)
    fleet.holder.core._tenure.until = fleet.now  # as after a lost lease
    fleet.run(0.03)
    assert not any(item.accepted for item in fleet.holder.core._windows)
    fleet.hold(fleet.controls[1])
    fleet.run(20)
    assert len(fleet.platform.accepted) >= 3


@behave.when("the duty is lost before the failure that asks for a handover")
def step_lost_before_failure(context):
    fleet = context.fleet
    while not fleet.notes:
        fleet.run(0.01)
    calls = len(fleet.platform.calls)
    # Once more, up to the moment before the end of the last of these calls.
    step_down(context, 4)
    fleet = context.fleet
    while len(fleet.platform.calls) < calls:
        fleet.run(0.01)
    assert calls >= 3 and not fleet.notes
    fleet.hold(fleet.controls[1])
    fleet.run(0.2)


@behave.then("the host asks for no handover")
def step_no_handover(context):
    assert not context.fleet.notes, context.fleet.notes


@behave.when("the duty moves at each request for {duration:d} seconds")
def step_moves(context, duration):
    fleet = context.fleet
    context.moved_at = []
    for _ in range(duration * 10):
        fleet.run(0.1)
        if fleet.notes:
            fleet.notes.clear()
            context.moved_at.append(fleet.now)
            moves = len(context.moved_at)
            fleet.hold(fleet.controls[moves % len(fleet.controls)])


@behave.then(
    "there were at most {most:d} requests, the last ones {apart:d} seconds "
    "apart"
)
def step_moved(context, most, apart):
    moved_at = context.moved_at
    assert 4 <= len(moved_at) <= most, moved_at
    assert moved_at[-1] - moved_at[-2] >= fleets.seconds(apart), moved_at


@behave.when("another host gains the duty and the first does not learn of it")
def step_two_holders(context):
    fleet = context.fleet
    fleet.load(RATE, 10, 30)
    fleet.run(4.5)
    first = fleet.controls[0]
    first.core._tenure.until += fleets.seconds(60)
    fleet.holder = None
    fleet.hold(fleet.controls[1])
    fleet.run(25)
    holders = {call.holder for call in fleet.platform.calls}
    assert len(holders) == 2, holders


@behave.when("all control hosts restart at second {at:d} with requests")
def step_power(context, at):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(at)
    for control in list(fleet.controls):
        fleet.restart(control)
    fleet.holder = None
    fleet.hold(fleet.controls[1])
    fleet.run(23 - at)


@behave.when("garbage arrives from a router")
def step_garbage(context):
    fleet = context.fleet
    fleet.run(1)
    entries = [
        messages.WindowCounts(
            window=window, whole=True, final=True, packed=packed, others=others
        )
        for window in (fleet.window, -1, 1 << 60)
        for packed in (b"", b"\xff" * 9, b"\x80")
        for others in ((), (("a", -5),), (("b", 1 << 60),))
    ]
    garbage = messages.RouterCounts(
        router="router-9", incarnation=1, windows=tuple(entries)
    )
    packed = packing.pack_routers([garbage])
    for names, routers in itertools.product(
        (packing.Names().digest, 0, -1),
        (packed, packed[:9], b"", packing.compress(b"\0" * (1 << 20))),
    ):
        fleet.holder.post(
            messages.UsageCounts(
                reply_to="router-9",
                sequence=1,
                holder_number=fleet.number,
                names=names,
                routers=routers,
            )
        )


@behave.when("{counts} reach the holder")
def step_counts(context, counts):
    fleet = context.fleet
    fleet.run(1)
    node = fleet.holder
    if counts == "early counts":
        node = fleet.restart(node)
        fleet.hold(node)
    far = counts == "counts of a far window"
    entry = messages.WindowCounts(
        window=fleet.window + (9 if far else 0),
        whole=True,
        final=True,
        packed=b"\xff" * 9 if counts == "unreadable counts" else b"",
        others=(("a", 1),),
    )
    routers = [
        messages.RouterCounts(
            router=f"router-{n}", incarnation=1, windows=(entry,)
        )
        for n in range(1100 if "1100" in counts else 2)
    ]
    event = messages.UsageCounts(
        reply_to="router-9",
        sequence=1,
        holder_number=fleet.number,
        names=packing.Names().digest,
        routers=packing.pack_routers(routers),
    )
    context.effects = node.core.handle(event, fleet.now)


@behave.then("the answer of the holder is {answer}")
def step_answer(context, answer):
    confirmed = [effect.message.sequence for effect in context.effects]
    assert confirmed == ([1] if answer == "yes" else []), confirmed


@behave.when(
    "a router counts more after a sending and the confirmation arrives"
)
def step_late_confirmation(context):
    fleet = context.fleet
    router = fleet.routers[0]
    began = delivery_messages.RequestBegan(account="a")
    fleet.run(4)
    fleet.holder.cut = True
    for core_router in fleet.routers:
        core_router.post(began)
    fleet.run(3.5)  # all have sent their whole counts
    sequences = list(router.core._unanswered) or [0]
    router.core._place("late", router.now() - fleets.seconds(4))
    fleet.run(0.8)
    for sequence in {*sequences, 0}:
        router.post(
            messages.CountsTaken(
                holder_number=fleet.number,
                sequence=sequence,
                settled_before=0,
                windows=(context.first,) if not sequence else (),
            )
        )


@behave.then("the window is not confirmed")
def step_not_confirmed(context):
    router = context.fleet.routers[0]
    routers = router.core.dump()["routers"]
    window = routers[router.record.daemon_id][context.first]
    assert window["requests"] == 2 and not window["confirmed"], window


@behave.when("a router restarts at second {at:d} with requests")
def step_restart_router(context, at):
    fleet = context.fleet
    former = fleet.routers[0]
    context.sequences = set()
    send = fleet.send

    def watch(sender, event):
        if sender is former and isinstance(
            event.message, messages.UsageCounts
        ):
            context.sequences.add(event.message.sequence)
        send(sender, event)

    fleet.send = watch
    fleet.load(RATE, 10, at)
    fleet.run(at)
    fleet.holder.cut = True
    context.former = former.record
    context.restarted = fleet.restart(former)
    for control in fleet.controls:
        told = messages.ClockTold(
            daemon_id=control.record.daemon_id,
            incarnation=control.record.incarnation,
            at=fleet.now,
        )
        context.restarted.post(told)
    announced = duties_messages.HolderAnnounced(
        duty=fleets.USAGE,
        holder=fleet.holder.record.daemon_id,
        address=fleet.holder.record.address,
        number=fleet.number,
    )
    context.restarted.post(announced)
    fleet.run(6)


@behave.then("confirmations for the former process change nothing")
def step_former(context):
    window = context.first + 1
    assert len(context.sequences) > 5
    for sequence in {0, *context.sequences}:
        context.restarted.post(
            messages.CountsTaken(
                holder_number=context.fleet.number,
                sequence=sequence,
                settled_before=0,
                windows=() if sequence else (window,),
                incarnation=0 if sequence else context.former.incarnation,
            )
        )
    core = context.restarted.core
    kept = core.dump()["routers"][context.former.daemon_id][window]
    assert kept["final"] and not kept["confirmed"], kept


@behave.when("every router gets {wrong} at second {at:d} of 20 with requests")
def step_wrong_message(context, wrong, at):
    fleet = context.fleet
    fleet.load(RATE, 10, 20)
    fleet.run(at)
    time = datetime.datetime.max
    if "zone" not in wrong:
        time = time.replace(tzinfo=datetime.UTC)
    for router in fleet.routers:
        for number in range(4):
            told = messages.ClockTold(
                daemon_id=f"control-{number}", incarnation=1, at=time
            )
            taken = messages.CountsTaken(
                holder_number=fleet.number,
                sequence=0,
                settled_before=1 << 60,
            )
            router.post(taken if "settled" in wrong else told)
    fleet.run(23 - at)


@behave.when(
    "copies of {count:d} routers reach a router that has just started"
)
def step_copies(context, count):
    fleet = context.fleet
    router = fleet.restart(fleet.routers[0])
    entry = messages.WindowCounts(
        window=fleet.window, whole=False, final=False, packed=b""
    )
    copies = [
        messages.RouterCounts(
            router=f"other-{n}", incarnation=1, windows=(entry,)
        )
        for n in range(count)
    ]
    event = messages.UsageCounts(
        reply_to="other",
        sequence=1,
        holder_number=fleet.number,
        names=packing.Names().digest,
        routers=packing.pack_routers(copies),
        forward=True,
    )
    router.post(event)
    fleet.load(RATE, 10, 20)
    fleet.run(1)
    router.post(event)
    fleet._announce(fleet.holder, fleet.number)
    fleet.run(22)


@behave.given("{count:d} routers of zones with the weights {weights}")
def step_zones(context, count, weights):
    zones = [
        f"zone-{number}"
        for number, weight in enumerate(weights.split())
        for _ in range(int(weight))
    ]
    context.daemons = [
        membership_messages.Daemon(
            daemon_id=f"router-{n}",
            incarnation=1,
            zone=zones[n % len(zones)],
            region="region",
            address=f"router-{n}",
            roles=("router",),
        )
        for n in range(count)
    ]


@behave.when("each of them chooses a forwarding router")
def step_choose(context):
    context.chosen = [
        (daemon, grouping.forwarder(daemon, context.daemons))
        for daemon in context.daemons
    ]


@behave.then("no router forwards for more than {most:d} others")
def step_most(context, most):
    groups = collections.Counter(head.daemon_id for _, head in context.chosen)
    assert max(groups.values()) <= most, groups


@behave.then("they all forward for routers of other zones")
def step_other_zones(context):
    assert all(head.zone != me.zone for me, head in context.chosen)


@behave.then("every count of {count:d} windows is right")
def step_right(context, count):
    fleet = context.fleet
    for window in range(context.first, context.first + count):
        assert window in fleet.platform.accepted, window
        assert fleet.error_of(window) == 0, (
            fleet.platform.accepted[window],
            fleet.truth[window],
        )


@behave.then("no window is reported twice")
def step_once(context):
    calls = collections.Counter(
        call.window for call in context.fleet.platform.calls
    )
    assert set(calls.values()) == {1}, calls


@behave.then("every call for a window had the same content")
def step_same(context):
    contents = collections.defaultdict(set)
    for call in context.fleet.platform.calls:
        contents[call.window].add(call.counts)
    assert contents
    assert all(len(found) == 1 for found in contents.values()), contents


@behave.then("every window up to then is reported")
def step_reported(context):
    fleet = context.fleet
    assert context.before
    for window in range(context.first, context.first + 2):
        assert fleet.error_of(window) == 0, window


@behave.then("each window is called once after the lost answers")
def step_called_once(context):
    fleet = context.fleet
    calls = len(fleet.platform.calls)
    assert calls == len(fleet.platform.accepted) + context.lost, calls


@behave.then("the holder gives up the duty after {count:d} call")
def step_refused(context, count):
    fleet = context.fleet
    assert len(fleet.platform.calls) == count
    (note,) = fleet.notes
    assert note == duties_messages.DutyRefused(
        duty=fleets.USAGE, subject="", number=fleet.number
    )


@behave.then("the holder asks for a handover")
def step_handover(context):
    unreachable = duties_messages.PlatformUnreachable(duty=fleets.USAGE)
    assert unreachable in context.fleet.notes


@behave.when("a control host is restored from the snapshot of another one")
def step_snapshot(context):
    fleet = context.fleet
    first, second = fleet.controls[:2]
    wanted = consensus_messages.SnapshotWanted(group=fleets.GROUP, index=9)
    (taken,) = first.core.handle(wanted, fleet.now)
    fleet.log.clear()
    context.restored = fleet.restart(second)
    context.restored.post(
        consensus_messages.SnapshotRestored(
            group=fleets.GROUP,
            index=9,
            state=taken.state,
            machine=messages.MACHINE,
        )
    )


@behave.then("both have the same windows and report the same counts")
def step_same_windows(context):
    first = context.fleet.controls[0].core
    second = context.restored.core
    assert first.dump()["windows"] == second.dump()["windows"] != {}
    for item in second._windows:
        counts = dict(second._windows.counts(item))
        assert counts == context.fleet.platform.accepted[item.window]


@behave.when(
    "a host gains the duty of scaling and {duration:d} seconds pass with "
    "requests"
)
def step_scaling(context, duration):
    fleet = context.fleet
    scaling = duties_messages.Duty.SCALING
    fleet.controls[0].post(
        duties_messages.DutyHeld(
            duty=scaling,
            subject="",
            number=3,
            until=fleet.now + fleets.seconds(60),
        )
    )
    for router in fleet.routers:
        router.post(
            duties_messages.HolderAnnounced(
                duty=scaling, holder="control-0", address="control-0", number=3
            )
        )
    step_pass(context, duration)


@behave.then("no window is reported")
def step_none(context):
    assert not context.fleet.platform.calls
    assert not context.fleet.log


@behave.when("the collector is cut off for {duration:d} seconds with requests")
def step_silent_collector(context, duration):
    fleet = context.fleet
    fleet.load(RATE, 10, duration + 5)
    fleet.run(5)
    context.sent = collections.Counter()
    context.duration = duration
    fleet.holder.cut = True
    arrive = fleet._arrive

    def count(sender, event, size):
        if event.address == fleet.holder.record.address:
            context.sent[sender.record.daemon_id] += size
        arrive(sender, event, size)

    fleet._arrive = count
    fleet.run(duration)


@behave.then("the routers send at most {limit:d} bytes a second each to it")
def step_flood(context, limit):
    most = max(context.sent.values()) / context.duration
    assert 0 < most <= limit, most


@behave.when(
    "all control hosts restart at second {at:d} with clocks that are right"
)
def step_set_back(context, at):
    fleet = context.fleet
    fleet.run(at)
    for control in fleet.controls:
        # Until now its clock was ahead, so its next incarnation is lower.
        wrong = messages.ClockTold(
            daemon_id=control.record.daemon_id,
            incarnation=control.record.incarnation + 60_000,
            at=fleet.now + fleets.seconds(60),
        )
        for router in fleet.routers:
            router.post(wrong)
    for control in list(fleet.controls):
        fleet.restart(control)
    fleet.run(5)


@behave.then("every router uses the right time")
def step_right_time(context):
    for router in context.fleet.routers:
        median = router.core.dump()["clock"]["median"]
        assert abs(median) < 0.01, median
