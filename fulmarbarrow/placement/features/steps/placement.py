"""Steps for owners, ownerless placement and rendezvous."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random

import behave
import msgspec

from fulmarbarrow import clock as clocks
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.membership import messages as membership
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import core
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import recent_chats
from fulmarbarrow.placement import rendezvous
from fulmarbarrow.versions import messages as versions
from fulmarbarrow.zones import messages as zones

TICK = datetime.timedelta(milliseconds=50)
SERVICE = "consultations"


@dataclasses.dataclass(kw_only=True)
class Network:
    """Routers with messages that arrive at once, are held back or lost."""

    routers: list[core.PlacementCore]
    daemons: list[membership.Daemon]
    clock: clocks.ManualClock
    held_back: set[int] = dataclasses.field(default_factory=set)
    held_messages: list = dataclasses.field(default_factory=list)
    dead: set[int] = dataclasses.field(default_factory=set)
    placed: dict = dataclasses.field(default_factory=dict)
    refused: list = dataclasses.field(default_factory=list)
    refused_at: list = dataclasses.field(default_factory=list)
    requests: dict = dataclasses.field(default_factory=dict)
    replies: list = dataclasses.field(default_factory=list)
    sent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def deliver(self, index, event):
        queue = collections.deque([(index, event)])
        while queue:
            router_index, item = queue.popleft()
            if router_index in self.dead:
                continue
            for effect in self.routers[router_index].handle(
                item, self.clock.now()
            ):
                self._apply_effect(queue, router_index, effect)

    def _apply_effect(self, queue, router_index, effect):
        match effect:
            case message.Send():
                self.sent[type(effect.message)] += 1
                receiver = self.index(effect.address)
                if receiver is None:
                    self.replies.append(effect.message)
                elif receiver in self.held_back:
                    self.held_messages.append((receiver, effect.message))
                else:
                    queue.append((receiver, effect.message))
            case messages.Placed():
                self.placed[effect.attempt_id] = (router_index, effect)
            case messages.NotPlaced():
                self.refused.append(effect)
                self.refused_at.append(self.clock.now())

    def index(self, address):
        for index, daemon in enumerate(self.daemons):
            if daemon.address == address:
                return index
        return None

    def broadcast(self, event):
        for index in range(len(self.routers)):
            self.deliver(index, event)

    def work(self, upstream_id):
        return sum(
            self.requests[attempt_id].cost
            for attempt_id, (_, placed) in self.placed.items()
            if placed.upstream_id == upstream_id
        )

    def reserved_tokens(self, index, upstream_id):
        owned = self.routers[index].dump()["owned"]
        return owned.get(upstream_id, {}).get("reserved_tokens", 0)


def daemon(index):
    return membership.Daemon(
        daemon_id=f"entry-{index}",
        incarnation=1,
        zone=f"zone-{index % 3}",
        region="attica",
        address=f"10.0.0.{index}:7004",
        roles=("router",),
    )


def build_routers(context, routers, upstreams, bounds=None):
    clock = clocks.ManualClock()
    daemons = [daemon(index) for index in range(routers)]
    context.net = Network(
        clock=clock,
        daemons=daemons,
        routers=[
            core.PlacementCore(
                daemon=item,
                policy=policies.Policy(),
                metrics=metrics.Metrics(),
                rng=random.Random(item.daemon_id),
                bounds=bounds,
            )
            for item in daemons
        ],
    )
    context.upstreams = {item.upstream_id: item for item in upstreams}
    context.count = 0
    for item in daemons if routers > 1 else ():
        for router in context.net.routers:
            router.handle(membership.DaemonChanged(daemon=item), clock.now())
    for item in upstreams:
        context.net.broadcast(membership.UpstreamChanged(upstream=item))


def upstream(index, batch, offer, zone="zone-0"):
    return membership.Upstream(
        upstream_id=f"engine-{index}",
        incarnation=1,
        sequence=1,
        zone=zone,
        url=f"http://engine-{index}",
        offers=(offer,),
        batch_tokens=batch,
        tokens_per_second=batch,
        state=membership.UpstreamState.SERVING,
        started_at=clocks.ManualClock().now() - datetime.timedelta(hours=1),
    )


@behave.given(
    "{routers:d} routers and {count:d} engines with a batch of "
    "{batch:d} tokens"
)
def step_build(context, routers, count, batch):
    offer = membership.Offer(service=SERVICE, model="lacework", version="1")
    build_routers(
        context, routers, [upstream(i, batch, offer) for i in range(count)]
    )


@behave.given(
    "{routers:d} routers and {count:d} engines, bounded by twice the mean "
    "number of requests"
)
def step_build_counted(context, routers, count):
    offer = membership.Offer(service=SERVICE, model="lacework", version="1")
    build_routers(
        context,
        routers,
        [upstream(i, 100_000, offer) for i in range(count)],
        bounds_module.Bounds(
            requests_factor=2.0,
            requests_slack=2.0,
            least_requests=6,
            placed_factor=0.0,
            uncached_part=1.0,
            stranger_part=1.0,
        ),
    )


@behave.given("{routers:d} routers and {count:d} plain upstreams in 3 zones")
def step_build_plain(context, routers, count):
    offer = membership.Offer(service="register")
    build_routers(
        context,
        routers,
        [upstream(i, 1000, offer, f"zone-{i % 3}") for i in range(count)],
    )


def announce_owner(context, index, epoch, receivers):
    for upstream_id in context.upstreams:
        event = membership.OwnerChanged(
            upstream_id=upstream_id,
            incarnation=context.upstreams[upstream_id].incarnation,
            owner=context.net.daemons[index].daemon_id,
            address=context.net.daemons[index].address,
            owner_epoch=epoch,
        )
        for receiver in receivers:
            context.net.deliver(receiver, event)


@behave.given("the owner of every engine is router {index:d}")
def step_owner(context, index):
    announce_owner(context, index, 1, range(len(context.net.routers)))


@behave.given(
    "router {index:d} is the owner of every engine with epoch {epoch:d}"
)
@behave.when(
    "the owner of every engine becomes router {index:d} with epoch {epoch:d}"
)
def step_new_owner(context, index, epoch):
    announce_owner(context, index, epoch, range(len(context.net.routers)))


@behave.when(
    "router {index:d} becomes the owner of every engine with epoch "
    "{epoch:d} and places {count:d} more requests"
)
def step_new_owner_places(context, index, epoch, count):
    announce_owner(context, index, epoch, {index})
    for _ in range(count):
        place_request(context, index, "a", 200)


@behave.when("the other routers learn of it 250 ms later")
def step_owner_announced_late(context):
    advance_time(context, 0.25)
    announce_owner(context, 2, 2, range(len(context.net.routers)))


@behave.given(
    "router {told:d} is told that router {index:d} owns every "
    "engine with epoch {epoch:d}"
)
def step_owner_announced_to(context, told, index, epoch):
    announce_owner(context, index, epoch, {told, index})


@behave.given("no engine has an owner")
def step_no_owner(context):
    for router in context.net.routers:
        assert not router.dump()["owned"]


@behave.given("router {index:d} is dead")
@behave.when("router {index:d} dies")
def step_router_dead(context, index):
    context.net.dead.add(index)


@behave.given("replies to router {index:d} are held back")
def step_hold_back(context, index):
    context.net.held_back.add(index)


@behave.when("the replies to router {index:d} arrive")
def step_replies_arrive(context, index):
    context.net.held_back.clear()
    held, context.net.held_messages = context.net.held_messages, []
    for receiver, event in held:
        context.net.deliver(receiver, event)


def place_request(
    context,
    index,
    chat,
    cost,
    service=SERVICE,
    model="lacework",
    excluded=(),
):
    context.count += 1
    request = messages.PlaceRequest(
        request_id=f"r{context.count}",
        attempt_id=f"r{context.count}-1",
        account="volos",
        service=service,
        model=model,
        chat=chat,
        cost=cost,
        cost_class=messages.CostClass.LONG,
        worth=1.0,
        deadline=context.net.clock.now()
        + datetime.timedelta(seconds=getattr(context, "deadline_seconds", 60)),
        excluded=excluded,
        start_by=start_by(context),
    )
    context.net.requests[request.attempt_id] = request
    context.net.deliver(index, request)


def start_by(context):
    if not hasattr(context, "start_within"):
        return None
    return context.net.clock.now() + context.start_within


@behave.given("requests must start within {limit:d} ms")
def step_start_within(context, limit):
    context.start_within = datetime.timedelta(milliseconds=limit)


@behave.given("requests should have started {late:d} ms ago")
def step_start_late(context, late):
    context.start_within = -datetime.timedelta(milliseconds=late)


@behave.when(
    "a burst of {count:d} requests of {cost:d} tokens reaches each router"
)
def step_burst(context, count, cost):
    context.burst_at = context.net.clock.now()
    for _ in range(count):
        for index in range(len(context.net.routers)):
            place_request(context, index, "a", cost)
    context.net.clock.advance(TICK)
    context.net.broadcast(messages.PlacementTick())


@behave.then(
    "more than {count:d} requests are rejected as overloaded within "
    "{limit:d} ms"
)
def step_rejected_early(context, count, limit):
    passed = context.net.clock.now() - context.burst_at
    assert passed <= datetime.timedelta(milliseconds=limit), passed
    codes = collections.Counter(item.code for item in context.net.refused)
    assert codes["overloaded"] > count, codes


@behave.then("their return times are spread over {span:d} ms or more")
def step_return_spread(context, span):
    delays = [item.retry_after for item in context.net.refused]
    assert None not in delays, delays
    found = max(delays) - min(delays)
    assert found >= datetime.timedelta(milliseconds=span), found


@behave.then("no router has a request that waits")
def step_none_waits(context):
    waits = {
        index: router.dump()["walks"]
        for index, router in enumerate(context.net.routers)
        if index not in context.net.dead
    }
    assert not any(waits.values()), waits


@behave.then("a router has a request that waits")
def step_one_waits(context):
    assert any(router.dump()["walks"] for router in context.net.routers)


@behave.then("every rejection came within {limit:d} ms")
def step_rejected_within(context, limit):
    assert context.net.refused_at
    latest = max(context.net.refused_at) - context.burst_at
    assert latest <= datetime.timedelta(milliseconds=limit), latest


def advance_time(context, seconds=1.0):
    until = context.net.clock.now() + datetime.timedelta(seconds=seconds)
    while context.net.clock.now() < until:
        context.net.clock.advance(TICK)
        context.net.broadcast(messages.PlacementTick())


@behave.when(
    "router {index:d} places {count:d} requests of {cost:d} "
    'tokens of the chat "{chat}"'
)
def step_place(context, index, count, cost, chat):
    for _ in range(count):
        place_request(context, index, chat, cost)
    if not context.net.held_back and not context.net.dead:
        advance_time(context, 0.5)


@behave.when(
    "router {index:d} places a request of {cost:d} tokens of the chat "
    '"{chat}" and {passed:d} ms pass'
)
def step_place_soon(context, index, cost, chat, passed):
    place_request(context, index, chat, cost)
    advance_time(context, passed / 1000)


@behave.when(
    "each router places {count:d} requests of {cost:d} tokens of "
    'the chat "{chat}"'
)
def step_place_each(context, count, cost, chat):
    for index in range(len(context.net.routers)):
        step_place(context, index, count, cost, chat)


@behave.when(
    "each router places {count:d} requests of {cost:d} tokens of many chats"
)
def step_place_many(context, count, cost):
    for index in range(len(context.net.routers)):
        for number in range(count):
            place_request(context, index, f"chat-{index}-{number}", cost)
    context.net.broadcast(messages.PlacementTick())


@behave.when(
    "each router places {count:d} requests of {cost:d} tokens to "
    "the plain service"
)
def step_place_plain(context, count, cost):
    for index in range(len(context.net.routers)):
        for _ in range(count):
            place_request(
                context, index, "", cost, service="register", model=""
            )


@behave.when("{seconds:d} seconds pass")
def step_time_passes(context, seconds):
    advance_time(context, seconds)


def upstream_order(context, chat="a"):
    weights = {
        name: item.weight * item.batch_tokens
        for name, item in context.upstreams.items()
    }
    return rendezvous.order(chat, weights)


@behave.then("they are all placed at the chat's first engine")
def step_all_first(context):
    found = {item.upstream_id for _, item in context.net.placed.values()}
    assert found == {upstream_order(context)[0]}, found
    assert len(context.net.placed) == context.count


@behave.then(
    "{first:d} are at the chat's first engine and {second:d} at its second"
)
def step_split(context, first, second):
    found = collections.Counter(
        item.upstream_id for _, item in context.net.placed.values()
    )
    names = upstream_order(context)
    assert [found[names[0]], found[names[1]]] == [first, second], found


@behave.then("no engine has more than {limit:d} tokens")
def step_work_limit(context, limit):
    for name in context.upstreams:
        assert 0 < context.net.work(name) <= limit, context.net.work(name)


@behave.then('engine "{name}" has at most {limit:d} tokens of work')
def step_engine_work_limit(context, name, limit):
    assert context.net.work(name) <= limit, context.net.work(name)
    if limit:
        assert context.net.work(name) > 0


@behave.then("{count:d} requests are placed")
def step_placed_count(context, count):
    assert len(context.net.placed) == count, context.net.refused


@behave.then(
    "router {index:d} has {work:d} tokens reserved at the first engine"
)
def step_reserved(context, index, work):
    reserved = context.net.reserved_tokens(index, upstream_order(context)[0])
    assert reserved == work, reserved


@behave.then(
    "the reservations at router {owner:d} match the running work of "
    "router {index:d}"
)
def step_reservations_match(context, owner, index):
    for name in context.upstreams:
        reserved = context.net.reserved_tokens(owner, name)
        assert reserved == context.net.work(name), (name, reserved)
    assert len(context.net.placed) == 1


def reserve_message(context, epoch=1):
    return messages.Reserve(
        reply_to="outside",
        attempt_id="x-1",
        upstream_id=upstream_order(context)[0],
        incarnation=1,
        owner_epoch=epoch,
        account="volos",
        service=SERVICE,
        cost=400,
        cost_class=messages.CostClass.LONG,
        worth=1.0,
        wait_ms=0,
        deadline_ms=1000,
    )


@behave.when("a reservation of 400 tokens reaches router 0 twice")
def step_duplicate_reservation(context):
    for _ in range(2):
        context.net.deliver(0, reserve_message(context))


@behave.then("both replies grant it")
def step_both_granted(context):
    kinds = [type(item) for item in context.net.replies]
    assert kinds == [messages.Reserved] * 2, kinds


@behave.when(
    "the release of a reservation of 400 tokens reaches router 0 first"
)
def step_early_release(context):
    release = messages.Release(
        attempt_ids=("x-1",), upstream_id=upstream_order(context)[0]
    )
    context.net.deliver(0, release)
    context.net.deliver(0, reserve_message(context))


@behave.when("a reservation with epoch {epoch:d} reaches router 0")
def step_wrong_epoch(context, epoch):
    context.net.deliver(0, reserve_message(context, epoch))


@behave.then('the reservation is refused with "{code}"')
def step_reservation_refused(context, code):
    assert [item.code for item in context.net.replies] == [code]


def change_upstream(context, name, **fields):
    item = msgspec.structs.replace(context.upstreams[name], **fields)
    context.upstreams[name] = item
    context.net.broadcast(membership.UpstreamChanged(upstream=item))


@behave.given('engine "{name}" restarts now')
def step_restart(context, name):
    now = context.net.clock.now()
    change_upstream(context, name, incarnation=2, started_at=now)


@behave.given(
    'engine "{name}" restarts now and names router {index:d} with epoch '
    "{epoch:d}"
)
def step_restart_named(context, name, index, epoch):
    change_upstream(
        context,
        name,
        incarnation=2,
        started_at=context.net.clock.now(),
        owner=context.net.daemons[index].daemon_id,
        owner_epoch=epoch,
    )


@behave.given('engine "{name}" is leaving')
def step_leaving(context, name):
    change_upstream(context, name, state=membership.UpstreamState.LEAVING)


@behave.given('engine "{name}" is in a zone that is taken out')
def step_zone_excluded(context, name):
    change_upstream(context, name, zone="zone-out", sequence=2)
    context.net.broadcast(
        zones.ZoneWeights(revision=1, weights=(("zone-out", 0.0),))
    )


@behave.given('engine "{name}" is of a stopped version')
def step_stopped_version(context, name):
    offer = membership.Offer(service=SERVICE, model="lacework", version="2")
    change_upstream(context, name, offers=(offer,), sequence=2)
    context.net.broadcast(
        versions.VersionShares(
            service=SERVICE,
            model="lacework",
            shares=(("1", 1.0), ("2", 0.0)),
        )
    )


@behave.given('version "{version}" of the service runs at "{names}"')
def step_version_runs(context, version, names):
    offer = membership.Offer(
        service=SERVICE, model="lacework", version=version
    )
    for name in names.split():
        change_upstream(context, name, offers=(offer,), sequence=2)


@behave.given('engine "{name}" reports {work:d} tokens')
def step_reports_load(context, name, work):
    context.net.broadcast(
        membership.LoadReported(
            upstream_id=name,
            incarnation=1,
            load=membership.Load(
                running_tokens=work, measured_at=context.net.clock.now()
            ),
        )
    )


def run_attempt(context, name, chat, reused):
    """Reserve at an engine for a chat and release it as a hit or miss."""
    event = msgspec.structs.replace(
        reserve_message(context),
        upstream_id=name,
        attempt_id=f"{chat}-{context.net.clock.now()}",
        cost=1,
        chat=recent_chats.chat_hash(chat),
    )
    context.net.deliver(0, event)
    context.net.deliver(
        0,
        messages.Release(
            attempt_ids=(event.attempt_id,),
            upstream_id=name,
            hits=int(reused),
            misses=int(not reused),
        ),
    )
    context.net.clock.advance(TICK)


@behave.given('{count:d} chats have hit the cache of "{name}"')
def step_hits(context, count, name):
    for _ in range(2):
        for number in range(count):
            run_attempt(context, name, f"chat-{number}", True)


@behave.when('{count:d} chats miss the cache of "{name}"')
def step_misses(context, count, name):
    for number in range(count):
        run_attempt(context, name, f"chat-{number}", False)


@behave.then('"{name}" is ramped again')
def step_ramp_restarted(context, name):
    owned = context.net.routers[0].dump()["owned"]
    assert owned[name]["cold_since"] is not None


@behave.given(
    'the chat "{chat}" was moved from its first engine to its second'
)
def step_chat_moved(context, chat):
    first, second = upstream_order(context, chat)[:2]
    context.net.deliver(
        0,
        messages.ChatMoved(
            upstream_id=first,
            chat=recent_chats.chat_hash(chat),
            moved_to=second,
        ),
    )


@behave.given("the chat's second engine is gone")
def step_second_gone(context):
    context.net.broadcast(
        membership.UpstreamGone(
            upstream_id=upstream_order(context)[1],
            incarnation=1,
            reason="left",
        )
    )


@behave.then("every request is placed in its router's zone")
def step_placed_in_zone(context):
    assert len(context.net.placed) == context.count
    for index, placed in context.net.placed.values():
        zone = context.upstreams[placed.upstream_id].zone
        assert zone == context.net.daemons[index].zone


def home_engines(context, members):
    ring = rendezvous.Ring(weights=dict.fromkeys(members, 1.0))
    return {chat: ring.best(chat, 1)[0] for chat in context.chats}


@behave.given("a ring of {count:d} engines and {chats:d} chats")
def step_ring(context, count, chats):
    context.members = [f"engine-{number}" for number in range(count)]
    context.chats = [f"chat-{number}" for number in range(chats)]
    context.home_engines = home_engines(context, context.members)


@behave.when("one engine leaves")
def step_engine_leaves(context):
    context.new_home_engines = home_engines(context, context.members[1:])


@behave.then(
    "at most 1.1 in {count:d} chats move, all of them from that engine"
)
def step_moved_chats(context, count):
    moved = [
        chat
        for chat in context.chats
        if context.home_engines[chat] != context.new_home_engines[chat]
    ]
    assert 0 < len(moved) <= 1.1 * len(context.chats) / count, len(moved)
    assert {context.home_engines[chat] for chat in moved} == {
        context.members[0]
    }


@behave.when("it returns")
def step_engine_returns(context):
    context.new_home_engines = home_engines(context, context.members)


@behave.then("every chat is at its former engine")
def step_homes_unchanged(context):
    assert context.new_home_engines == context.home_engines


@behave.then(
    "the best {count:d} engines of every chat come first in its full order"
)
def step_best_match_order(context, count):
    ring = rendezvous.Ring(weights=dict.fromkeys(context.members, 1.0))
    for chat in context.chats:
        assert ring.best(chat, count) == ring.order(chat)[:count]


@behave.given('the versions "1" and "2" of a model')
def step_versions(context):
    context.chats = [f"chat-{number}" for number in range(10000)]


@behave.when('the share of "2" grows from {before:g} to {after:g}')
def step_share_grows(context, before, after):
    first, second = (
        rendezvous.Ring(weights={"1": 1 - share, "2": share})
        for share in (before, after)
    )
    context.moves = [
        (first.best(chat, 1)[0], second.best(chat, 1)[0])
        for chat in context.chats
    ]


@behave.then('chats move only from "1" to "2", about one in five')
def step_moves_to_new_version(context):
    moved = [pair for pair in context.moves if pair[0] != pair[1]]
    assert set(moved) == {("1", "2")}
    assert 0.18 < len(moved) / len(context.moves) < 0.22, len(moved)


@behave.given(
    "router {index:d} has {count:d} requests of {cost:d} tokens of the "
    'chat "{chat}" in progress'
)
def step_requests_in_progress(context, index, count, cost, chat):
    for _ in range(count):
        place_request(context, index, chat, cost)
    advance_time(context, 1)
    first = upstream_order(context)[0]
    context.work_before = context.net.work(first)
    owned = context.net.routers[0].dump()["owned"]
    assert sum(item["queued"] for item in owned.values()) > 0, owned


@behave.then('router {index:d} has {count:d} request queued at "{name}"')
def step_queued(context, index, count, name):
    owned = context.net.routers[index].dump()["owned"]
    assert owned[name]["queued"] == count, owned


@behave.when("the zone of the chat's first engine is taken out")
def step_first_zone_excluded(context):
    step_zone_excluded(context, upstream_order(context)[0])


@behave.then("none of them is queued at the chat's first engine")
def step_none_queued(context):
    first = upstream_order(context)[0]
    owned = context.net.routers[0].dump()["owned"]
    assert owned[first]["queued"] == 0, owned
    assert context.net.work(first) == context.work_before


@behave.when("the chat's first engine restarts")
def step_first_restarts(context):
    step_restart(context, upstream_order(context)[0])


@behave.then("no request waits for its place in a queue that is gone")
def step_none_orphaned(context):
    asked, queued = collections.Counter(), collections.Counter()
    for router in context.net.routers:
        state = router.dump()
        for walk in state["walks"].values():
            if walk["asked"]:
                asked[walk["asked"]] += 1
        for name, owned in state["owned"].items():
            queued[name] += owned["queued"]
    assert asked == +queued, (asked, queued)


@behave.when(
    'engine "{name}" restarts and router {index:d} is announced as '
    "owner with epoch {epoch:d}"
)
def step_restart_owned(context, name, index, epoch):
    change_upstream(context, name, incarnation=2)
    announce_owner(context, index, epoch, range(len(context.net.routers)))


@behave.when("another router joins")
def step_router_joins(context):
    joined = membership.DaemonChanged(daemon=daemon(99))
    context.net.broadcast(joined)


@behave.then(
    'router {router:d} regards router {index:d} as the owner of "{name}"'
)
def step_regards_owner(context, router, index, name):
    owners = context.net.routers[router].dump()["owners"]
    wanted = context.net.daemons[index].daemon_id
    assert owners[name].startswith(f"{wanted} "), owners


@behave.when("every router learns that router {index:d} is gone")
def step_router_gone(context, index):
    gone = context.net.daemons[index]
    context.net.broadcast(
        membership.DaemonGone(
            daemon_id=gone.daemon_id, incarnation=gone.incarnation
        )
    )


@behave.when("router {index:d} finds another engine at its upstream's address")
def step_misdirected(context, index):
    for attempt_id, (_, placed) in list(context.net.placed.items()):
        context.net.deliver(
            index,
            messages.WorkEnded(
                request_id=placed.request_id,
                attempt_id=attempt_id,
                upstream_id=placed.upstream_id,
                incarnation=placed.incarnation,
                outcome=messages.WorkOutcome.MISDIRECTED,
            ),
        )


@behave.when(
    "router {index:d} places a request of {cost:d} tokens of the chat "
    '"{chat}" that its second engine has failed'
)
def step_place_excluded(context, index, cost, chat):
    second = upstream_order(context, chat)[1]
    place_request(context, index, chat, cost, excluded=(second,))
    advance_time(context, 0.5)


@behave.given("requests have a deadline of {seconds:d} seconds")
def step_request_deadline(context, seconds):
    context.deadline_seconds = seconds


@behave.when(
    "router {index:d} renews {cost:d} tokens of a request with a "
    "deadline of {seconds:d} seconds"
)
def step_renew(context, index, cost, seconds):
    held = messages.HeldWork(
        attempt_id="lost-1",
        left_ms=seconds * 1000,
        cost=cost,
        cost_class=messages.CostClass.LONG,
        account="volos",
    )
    renewal = messages.Renew(
        reply_to=context.net.daemons[index].address,
        upstream_id=upstream_order(context)[0],
        incarnation=1,
        owner_epoch=1,
        held=(held,),
    )
    context.net.deliver(0, renewal)


@behave.given("engines that do not report cache hits")
def step_no_cache_reports(context):
    context.reused_tokens = None


@behave.when(
    "router {index:d} serves {count:d} chats {times:d} times each, one "
    "request after the other"
)
def step_serve(context, index, count, times):
    for _ in range(times):
        for number in range(count):
            place_request(context, index, f"chat-{number}", 100)
            ((attempt_id, (_, placed)),) = context.net.placed.items()
            context.net.placed.clear()
            context.net.deliver(
                index,
                messages.WorkEnded(
                    request_id=placed.request_id,
                    attempt_id=attempt_id,
                    upstream_id=placed.upstream_id,
                    incarnation=placed.incarnation,
                    outcome=messages.WorkOutcome.COMPLETED,
                    reused_tokens=context.reused_tokens,
                ),
            )
            advance_time(context, 0.05)


@behave.when('the chat "{chat}" is placed at its second engine once')
def step_chat_placed_away(context, chat):
    step_chat_moved(context, chat)


@behave.then('the chat "{chat}" is placed at its first engine again')
def step_home_again(context, chat):
    place_request(context, 1, chat, 100)
    advance_time(context, 0.5)
    ((_, placed),) = context.net.placed.values()
    assert placed.upstream_id == upstream_order(context, chat)[0], placed


def reserve_at(context, name, attempt_id):
    """Request 100 tokens at an engine from its owner; return the reply."""
    context.net.replies.clear()
    request = msgspec.structs.replace(
        reserve_message(context),
        upstream_id=name,
        attempt_id=attempt_id,
        cost=100,
        deadline_ms=60_000,
    )
    context.net.deliver(0, request)
    (reply,) = context.net.replies
    return reply


def release_at(context, name, attempt_id, **outcome_bits):
    context.net.deliver(
        0,
        messages.Release(
            attempt_ids=(attempt_id,), upstream_id=name, **outcome_bits
        ),
    )


@behave.when('2 attempts at each of "{names}" are lost')
def step_attempts_lost(context, names):
    for name in names.split():
        for number in range(2):
            reserve_at(context, name, f"lost-{number}")
            release_at(context, name, f"lost-{number}", lost=1)


@behave.when('each of "{names}" names a limit of {rate:d} a second')
def step_name_limits(context, names, rate):
    for name in names.split():
        event = messages.RateLimitNamed(
            upstream_id=name, incarnation=1, rate=float(rate)
        )
        context.net.deliver(1, event)


@behave.when('{count:d} attempts start at each of "{names}" within 6 seconds')
def step_attempts_start(context, count, names):
    context.granted = collections.Counter()
    for number in range(count):
        for name in names.split():
            reply = reserve_at(context, name, f"start-{number}")
            context.granted[name] += isinstance(reply, messages.Reserved)
        advance_time(context, 6 / count)


@behave.then('at least {count:d} of them run at each of "{names}"')
def step_run_at_least(context, count, names):
    counts = [context.granted[name] for name in names.split()]
    assert min(counts) >= count, counts


@behave.then('at most {count:d} of them run at each of "{names}"')
def step_run_at_most(context, count, names):
    counts = [context.granted[name] for name in names.split()]
    assert max(counts) <= count, counts


@behave.when('an attempt at "{name}" finds another engine at its address')
def step_misdirected_at(context, name):
    reserve_at(context, name, "misdirected")
    release_at(context, name, "misdirected", misdirected=1)


@behave.then('another router is {answer} at "{name}"')
def step_other_router(context, answer, name):
    reply = reserve_at(context, name, f"other-{answer.split()[0]}")
    granted = isinstance(reply, messages.Reserved)
    assert granted == (answer == "granted a place"), reply


# Upstreams that name a limit in their answers.

LIMITED = "engine-0"
ANSWER_AFTER = datetime.timedelta(milliseconds=100)
LIMIT_WINDOW = datetime.timedelta(seconds=4)
# A bound counts from when the routers know the limit.
LIMIT_KNOWN_AFTER = datetime.timedelta(seconds=1)


class LimitedPlay:
    """Sends requests in turn to the routers and names a limit in answers."""

    def __init__(self, context):
        self._context = context
        self._due = []
        self._seen = set()
        self._started_at = context.net.clock.now()
        self._turn = 0
        self.arrivals = []
        self.named_to = None

    def run(self, per_second, seconds, rate, *, answers=True):
        net = self._context.net
        until = net.clock.now() + datetime.timedelta(seconds=seconds)
        due = 0.0
        while net.clock.now() < until:
            net.clock.advance(TICK)
            due += per_second * TICK.total_seconds()
            while due >= 1:
                due -= 1
                self._place()
            net.broadcast(messages.PlacementTick())
            self._collect()
            self._answer(rate, answers=answers)

    def arrived(self, *, since):
        return [at for at in self.arrivals if at >= since]

    def most_in_window(self):
        since = self._started_at + LIMIT_KNOWN_AFTER
        times = self.arrived(since=since)
        return max(
            sum(1 for at in times if start <= at < start + LIMIT_WINDOW)
            for start in times
        )

    def _place(self):
        net = self._context.net
        for _ in net.routers:
            self._turn = (self._turn + 1) % len(net.routers)
            if self._turn not in net.dead:
                break
        self._context.start_within = datetime.timedelta(milliseconds=600)
        place_request(self._context, self._turn, f"c{self._turn}", 100)

    def _collect(self):
        net = self._context.net
        for attempt_id, (index, placed) in net.placed.items():
            if attempt_id not in self._seen:
                self._seen.add(attempt_id)
                self.arrivals.append(net.clock.now())
                self._due.append(
                    (net.clock.now() + ANSWER_AFTER, index, placed)
                )

    def _answer(self, rate, *, answers):
        net = self._context.net
        due = [item for item in self._due if item[0] <= net.clock.now()]
        self._due = [item for item in self._due if item[0] > net.clock.now()]
        for _, index, placed in due:
            if answers and self.named_to in (None, index):
                self.name(index, rate)
            ended = messages.WorkEnded(
                request_id=placed.request_id,
                attempt_id=placed.attempt_id,
                upstream_id=placed.upstream_id,
                incarnation=placed.incarnation,
                outcome=messages.WorkOutcome.COMPLETED,
            )
            net.deliver(index, ended)

    def name(self, index, rate):
        context = self._context
        event = messages.RateLimitNamed(
            upstream_id=LIMITED,
            incarnation=context.upstreams[LIMITED].incarnation,
            rate=rate,
        )
        context.net.deliver(index, event)


def limited_play(context):
    if not hasattr(context, "play"):
        context.play = LimitedPlay(context)
    return context.play


@behave.given("only answers to router {index:d} name a limit")
def step_named_to(context, index):
    limited_play(context).named_to = index


@behave.when(
    "{per_second:d} requests a second come for {seconds:d} s and the engine "
    "names {rate:g} a second"
)
def step_requests_limited(context, per_second, seconds, rate):
    limited_play(context).run(per_second, seconds, rate)


@behave.when(
    "{per_second:d} requests a second come for {seconds:d} s and the engine "
    "names no limit"
)
def step_requests_unlimited(context, per_second, seconds):
    limited_play(context).run(per_second, seconds, None)


@behave.when(
    "{per_second:d} requests a second come for {seconds:d} s and no answer "
    "is read"
)
def step_requests_unanswered(context, per_second, seconds):
    limited_play(context).run(per_second, seconds, None, answers=False)


@behave.then(
    "it gets at most {most:d} and at least {least:d} requests in any 4 s"
)
def step_in_any_window(context, most, least):
    found = context.play.most_in_window()
    assert least <= found <= most, found


@behave.then("it got at {bound} {count:d} requests in the last 4 s")
def step_in_last_window(context, bound, count):
    since = context.net.clock.now() - LIMIT_WINDOW
    found = len(context.play.arrived(since=since))
    assert found >= count if bound == "least" else found <= count, found


@behave.then("the requests that got no place were refused within {limit:d} ms")
def step_refused_soon(context, limit):
    net = context.net
    assert net.refused
    for refused, at in zip(net.refused, net.refused_at, strict=True):
        request = net.requests[refused.attempt_id]
        arrived = request.start_by - datetime.timedelta(milliseconds=600)
        assert at - arrived <= datetime.timedelta(milliseconds=limit), at
        assert refused.retry_after > datetime.timedelta(0), refused


@behave.when("router {index:d} dies and router {other:d} owns every engine")
def step_owner_replaced(context, index, other):
    context.net.dead.add(index)
    announce_owner(context, other, 2, range(len(context.net.routers)))


@behave.when("router {index:d} dies and returns after {seconds:d} s")
def step_owner_asleep(context, index, seconds):
    context.net.dead.add(index)
    limited_play(context).run(40, seconds, 6)
    context.net.dead.discard(index)


@behave.when(
    "router {index:d} forgets all and router {other:d} owns every engine"
)
def step_owner_new(context, index, other):
    net = context.net
    net.routers[index] = core.PlacementCore(
        daemon=net.daemons[index],
        policy=policies.Policy(),
        metrics=metrics.Metrics(),
        rng=random.Random(1),
    )
    for item in net.daemons:
        net.deliver(index, membership.DaemonChanged(daemon=item))
    for item in context.upstreams.values():
        net.deliver(index, membership.UpstreamChanged(upstream=item))
    announce_owner(context, other, 2, range(len(net.routers)))


@behave.then("no router knows a limit")
def step_no_limit(context):
    for router in context.net.routers:
        assert not router.dump()["rate_limits"], router.dump()
        for owned in router.dump()["owned"].values():
            assert not owned["limited"], owned


@behave.when(
    "router {first:d} hears of another limit and router {second:d} 100 ms "
    "later of none"
)
def step_hears_none(context, first, second):
    context.play.name(first, 3.5)
    context.net.clock.advance(TICK * 2)
    context.play.name(second, None)


@behave.then("the owner still limits the engine")
def step_still_limited(context):
    owned = context.net.routers[0].dump()["owned"]
    assert owned[LIMITED]["limited"], owned


@behave.when('engine "{name}" starts anew')
def step_starts_anew(context, name):
    step_restart(context, name)


@behave.then("the owner was told of the limit at most {count:d} times")
def step_told(context, count):
    told = context.net.sent[messages.UpstreamRateLimit]
    assert 0 < told <= count, told
