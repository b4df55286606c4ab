"""Steps for the control host that issues KV move orders."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import control
from fulmarbarrow.zones import messages

SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=250)
WARM_UP = 8 * SECOND
LEASE_UNTIL = datetime.datetime(2027, 1, 1, tzinfo=datetime.UTC)


def leader_changed(name, fencing_number, lease_until=None):
    return consensus_messages.LeaderChanged(
        group=consensus_messages.Group.CONFIGURATION,
        term=1,
        leader=name,
        address=f"{name}:7004",
        fencing_number=fencing_number,
        lease_until=lease_until,
    )


def handle_event(context, event):
    effects = context.control.handle(event, context.now)
    for effect in effects:
        if isinstance(effect, versions_messages.Order):
            context.orders.append(effect)
            context.open_orders.append(effect)
    return effects


def create_control(context):
    context.now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    context.orders = []
    context.open_orders = []
    context.control = control.KvMovesControl(
        daemon=membership_messages.Daemon(
            daemon_id="control-1",
            incarnation=1,
            zone="attica-a",
            region="attica",
            address="control-1:7004",
            roles=("control",),
        ),
        metrics=metrics.Metrics(),
    )
    handle_event(context, message.Tick())


@behave.given("a control host that leads with fencing number {number:d}")
def step_leader(context, number):
    create_control(context)
    handle_event(context, leader_changed("control-1", number, LEASE_UNTIL))


@behave.given("a control host that does not lead")
def step_not_leader(context):
    create_control(context)
    handle_event(context, leader_changed("control-2", 7))


@behave.when("another control host leads with fencing number {number:d}")
def step_replaced(context, number):
    handle_event(context, leader_changed("control-2", number))
    context.orders_before = len(context.orders)


def moves_request(context, count, tokens, engines):
    return messages.KvMovesRequested(
        zone="attica-b",
        revision=3,
        until=context.now + WARM_UP,
        moves=tuple(
            messages.KvMove(
                chat=f"chat-{number}",
                version="1",
                source_id=f"engine-{number % (engines // 2)}",
                source_url="http://source",
                target_id=f"engine-{engines // 2 + number % (engines // 2)}",
                target_url="http://target",
                tokens=tokens,
                requests=number,
            )
            for number in range(count)
        ),
    )


@behave.when(
    "{count:d} moves of {tokens:d} tokens between {engines:d} engines are "
    "requested"
)
def step_request_moves(context, count, tokens, engines):
    context.moves_request = moves_request(context, count, tokens, engines)
    context.effects = handle_event(context, context.moves_request)
    context.orders_before = len(context.orders)


@behave.then("{count:d} orders are issued immediately, for the busiest chats")
def step_orders(context, count):
    chats = [order.subject for order in context.orders]
    assert chats == [f"chat-{39 - place}" for place in range(count)], chats


@behave.then("each carries fencing number {number:d}")
def step_fenced(context, number):
    assert {order.fencing_number for order in context.orders} == {number}


@behave.when("1 s passes with all orders accepted")
def step_accepted(context):
    context.max_busy = 0
    until = context.now + SECOND
    while context.now < until:
        busy = [order.upstream_id for order in context.open_orders]
        context.max_busy = max(
            [context.max_busy, *(busy.count(name) for name in busy)]
        )
        accepted, context.open_orders = context.open_orders, []
        for order in accepted:
            send_result(context, order, "")
        context.now += TICK
        handle_event(context, message.Tick())


def send_result(context, order, code):
    handle_event(
        context,
        versions_messages.OrderResult(
            order_id=order.order_id,
            upstream_id=order.upstream_id,
            code=code,
        ),
    )


@behave.then("at most {count:d} orders were issued")
def step_at_most(context, count):
    assert 3 < len(context.orders) <= count, len(context.orders)


@behave.then("no engine took part in more than {count:d} moves at a time")
def step_concurrent_moves(context, count):
    assert 1 <= context.max_busy <= count, context.max_busy


@behave.when("{seconds:d} s pass without any result")
def step_no_result(context, seconds):
    for _ in range(4 * seconds):
        context.now += TICK
        handle_event(context, message.Tick())
    context.orders_before = len(context.orders)


@behave.when("its order is refused")
def step_refused(context):
    send_result(context, context.orders[-1], "not_supported")
    context.orders_before = len(context.orders)


@behave.then("the target is ordered to import the chat")
def step_import(context):
    order = context.orders[-1]
    assert order.kind is versions_messages.OrderKind.IMPORT_KV
    assert order.upstream_id == "engine-1"
    assert order.argument == "http://source"


@behave.then("no more orders are issued")
def step_no_more_orders(context):
    handle_event(context, context.moves_request)
    for _ in range(20):
        context.now += TICK
        handle_event(context, message.Tick())
    issued = context.orders[context.orders_before :]
    assert not issued, issued


@behave.then("the request is sent to the leader")
def step_forwarded(context):
    (sent,) = context.effects
    assert sent.address == "control-2:7004"
    assert sent.message.forwarded


@behave.then("a request that was already forwarded is dropped")
def step_dropped(context):
    repeated = messages.KvMovesRequested(
        zone="attica-b",
        revision=3,
        until=context.now + WARM_UP,
        moves=(),
        forwarded=True,
    )
    assert handle_event(context, repeated) == []
