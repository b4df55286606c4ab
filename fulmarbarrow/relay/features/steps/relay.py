"""Steps on connections by way of peers."""

from __future__ import annotations

import collections
import importlib.util
import pathlib
import re
from unittest import mock

import behave
import msgspec

from fulmarbarrow.edge import connections
from fulmarbarrow.relay import dialer
from fulmarbarrow.relay import server

# Behave loads step files by path, so they can't import each other.
_SPEC = importlib.util.spec_from_file_location(
    "relay_network", pathlib.Path(__file__).with_name("network.py")
)
networks = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(networks)

OTHER_PLACE = ("10.254.0.1", 22)


@behave.given('routers "a", "b" and "c" and an upstream that all of them know')
def step_network(context):
    context.network = networks.Network(("a", "b", "c"))


@behave.given(
    "{count:d} routers in {zones:d} zones and an upstream that all of them "
    "know"
)
def step_large_network(context, count, zones):
    names = [f"router-{number}" for number in range(count)]
    context.network = networks.Network(names, zones)


@behave.given("{count:d} routers of one zone are {how} the upstream")
def step_cut_zone(context, count, how):
    zone = context.network.routers["router-0"].record.zone
    context.cut = [
        name
        for name, router in context.network.routers.items()
        if router.record.zone == zone
    ][:count]
    assert len(context.cut) == count
    for name in context.cut:
        CUTS[how](context, name)


@behave.when(
    "each of them sends a request every {interval:d} ms for {seconds:d} s"
)
def step_many(context, interval, seconds):
    context.sent = []
    network = context.network
    for _ in range(seconds * 1000 // interval):
        for name in context.cut:
            context.sent.append((name, network.send(name, fresh=True)))
        network.run(interval / 1000)
    network.run(1)


@behave.then("of those sent from {seconds:d} s on at most 1 in 50 fail")
def step_few_fail(context, seconds):
    outcomes = [
        request.outcome
        for _, request in context.sent
        if request.started >= seconds
    ]
    failed = len(outcomes) - outcomes.count("answered")
    assert failed * 50 <= len(outcomes), (failed, len(outcomes))


@behave.then("no peer relayed for more than {hosts:d} hosts")
def step_shared(context, hosts):
    relayed = collections.Counter(
        request.connection.peer
        for _, request in context.sent
        if request.outcome == "answered" and request.connection.peer
    )
    most = max(relayed.values())
    of_one_host = len(context.sent) / len(context.cut)
    assert most <= hosts * of_one_host, (most, of_one_host)


def cut(context, name, place=networks.UPSTREAM):
    host = context.network.routers[name].host
    context.network.cut.add((host, place[0]))


@behave.given('"{name}" is cut off from the upstream')
def step_cut(context, name):
    cut(context, name)


@behave.given('"{name}" and "{other}" are cut off from the upstream')
def step_cut_two(context, name, other):
    cut(context, name)
    cut(context, other)


@behave.given("all routers are cut off from the upstream")
def step_cut_all(context):
    for name in context.network.routers:
        cut(context, name)


def refuse(context, name):
    host = context.network.routers[name].host
    context.network.refused.add((host, networks.UPSTREAM[0]))


CUTS = {"cut off from": cut, "refused by": refuse}


@behave.given('connections of "{name}" to the upstream are refused')
def step_refused(context, name):
    refuse(context, name)


@behave.given("all paths are open again")
def step_heal(context):
    context.network.cut.clear()


@behave.given('"{name}" has sent {count:d} request')
@behave.given('"{name}" has sent {count:d} requests')
def step_has_sent(context, name, count):
    for _ in range(count):
        request = context.network.send(name, fresh=True)
        context.network.run(1.2)
        assert request.outcome == "answered", request.outcome
        # Idle connections end, so that each request needs another one.
        if count > 1:
            context.network.routers[name].pool.suspect(networks.UPSTREAM)
            context.network.settle()


def send(context, name, **options):
    context.network.connects.clear()
    context.network.upstream.requests = 0
    context.host = context.network.routers[name].host
    context.request = context.network.send(name, **options)


@behave.when('"{name}" sends a request')
def step_send(context, name):
    context.network.routers[name].pool.suspect(networks.UPSTREAM)
    send(context, name)


@behave.when('"{name}" sends a request that needs a fresh connection')
def step_send_fresh(context, name):
    context.network.run(0.6)
    send(context, name, fresh=True)


@behave.when('"{name}" sends a request there')
def step_send_there(context, name):
    send(context, name, place=OTHER_PLACE)


@behave.then("it is answered within {milliseconds:d} ms")
def step_answered(context, milliseconds):
    context.network.run(milliseconds / 1000)
    assert context.request.outcome == "answered", context.request.outcome


@behave.then("it is answered directly")
@behave.then("the last one is answered directly")
def step_directly(context):
    context.network.run(0.1)
    assert context.request.outcome == "answered", context.request.outcome
    peer = context.request.connection.peer
    assert not peer, peer


@behave.then("the upstream got {count:d} request")
def step_requests(context, count):
    assert context.network.upstream.requests == count


@behave.when(
    '"{name}" sends a request every {interval:d} ms for {seconds:d} s'
)
def step_series(context, name, interval, seconds):
    context.requests = []
    for _ in range(seconds * 1000 // interval):
        context.network.routers[name].pool.suspect(networks.UPSTREAM)
        send(context, name)
        context.requests.append(context.request)
        context.network.run(interval / 1000)


@behave.then("all are answered")
def step_all_answered(context):
    found = [request.outcome for request in context.requests]
    assert found and set(found) == {"answered"}, found


@behave.then("it fails without a byte sent within {milliseconds:d} ms")
def step_fails(context, milliseconds):
    context.network.run(milliseconds / 1000)
    assert context.request.outcome == "failed", context.request.outcome
    assert not context.request.sent


@behave.given('"{name}" is leaving, which "{other}" does not know')
def step_leaving(context, name, other):
    context.network.routers[name].relays.leave()


@behave.then('"{name}" relayed no connection')
def step_no_relay(context, name):
    metrics = context.network.routers[name].metrics
    assert not metrics.value("relays_opened")


@behave.given('"b" and "c" relay as many connections as they may')
def step_full(context):
    for name in "bc":
        relays = context.network.routers[name].relays
        relays._relays = set(range(server.MAX_RELAYS))


@behave.given("an address that is no upstream's")
def step_other_address(context):
    context.other = networks.Upstream()
    context.network.listening[OTHER_PLACE] = context.other


@behave.given('"{name}" is cut off from the address')
def step_cut_address(context, name):
    cut(context, name, OTHER_PLACE)


@behave.then("nothing was connected to the address")
def step_nothing_connected(context):
    assert not context.other.made


@behave.given("the upstream answers nothing")
def step_mute(context):
    context.network.upstream.answer = b""


@behave.given("the upstream answers a part without a length")
def step_part(context):
    context.network.upstream.answer = networks.PART


@behave.when("it is cancelled after {milliseconds:d} ms")
def step_cancel(context, milliseconds):
    context.network.run(milliseconds / 1000)
    assert context.network.upstream.requests == 1
    context.request.connection.abort()


@behave.then("the upstream's connection is closed within {milliseconds:d} ms")
def step_closed(context, milliseconds):
    context.network.run(milliseconds / 1000)
    assert context.network.upstream.lost == 1


@behave.when("the upstream resets its connection after {milliseconds:d} ms")
def step_reset(context, milliseconds):
    context.network.run(milliseconds / 1000)
    context.network.upstream.made[-1].transport.abortConnection()
    context.network.run(0.1)


@behave.when("the upstream ends its connection after {milliseconds:d} ms")
def step_upstream_ends(context, milliseconds):
    context.network.run(milliseconds / 1000)
    context.network.upstream.made[-1].transport.loseConnection()
    context.network.run(0.1)


@behave.when("the peer that relayed it ends after {milliseconds:d} ms")
def step_peer_ends(context, milliseconds):
    context.network.run(milliseconds / 1000)
    host = context.request.connection.peer.rpartition(":")[0]
    assert host
    context.network.end_process(host)
    context.network.run(0.1)


@behave.given("{names} are daemons of a build without frames")
def step_earlier_servers(context, names):
    for name in re.findall(r'"(\w+)"', names):
        router = context.network.routers[name]
        router.transport.relay_with(
            lambda receiver, event, relays=router.relays: relays.open(
                receiver, msgspec.structs.replace(event, framed=False)
            )
        )


@behave.given('"{name}" is a daemon of a build that asks for no frames')
def step_earlier_dialer(context, name):
    made = context.network.routers[name].pool._dialer
    asked = made._codec.encode

    def encode(peer, bodies):
        return asked(
            peer,
            tuple(
                msgspec.structs.replace(body, framed=False) for body in bodies
            ),
        )

    made._codec = mock.Mock(wraps=made._codec, encode=encode)


@behave.then('its body is "{body}"')
def step_body(context, body):
    assert context.request.body == body.encode(), context.request.body


@behave.given("the upstream answers {count:d} bytes in one part")
def step_long(context, count):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % count
    context.network.upstream.answer = head + b"x" * count


@behave.then("its body has {count:d} bytes")
def step_length(context, count):
    assert len(context.request.body) == count, len(context.request.body)


@behave.then("it fails after bytes were sent")
def step_fails_sent(context):
    assert context.request.outcome == "failed", context.request.outcome
    assert context.request.sent


@behave.then("the failure is not the upstream's")
def step_lost_relay(context):
    error = context.request.error
    assert isinstance(error, dialer.RelayLostError), error


@behave.then("the failure is the upstream's")
def step_lost_upstream(context):
    error = context.request.error
    assert isinstance(error, connections.IncompleteAnswerError), error


def relayed_count(context):
    return sum(
        router.relays.count for router in context.network.routers.values()
    )


@behave.when("the peer that relayed it announces that it leaves")
def step_announces(context):
    assert relayed_count(context) == 1
    for router in context.network.routers.values():
        if router.relays.count:
            pool = context.network.routers["a"].pool
            pool.peer_leaves(router.record.address, leaving=True)
    context.network.run(0.1)


@behave.when(
    "the peer that relayed it announces that it leaves after "
    "{milliseconds:d} ms"
)
def step_announces_later(context, milliseconds):
    context.network.run(milliseconds / 1000)
    step_announces(context)


@behave.when("the upstream answers")
def step_upstream_answers(context):
    made = context.network.upstream.made[-1]
    made.transport.write(networks.ANSWER)


@behave.then("no connection is relayed any more")
def step_none_relayed(context):
    assert not relayed_count(context)


@behave.then('"{name}" keeps no direct connection')
def step_no_direct(context, name):
    pool = context.network.routers[name].pool
    kept = [item.peer for items in pool._idle.values() for item in items]
    assert kept and all(kept), kept
