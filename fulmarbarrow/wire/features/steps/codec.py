"""Steps for the framing of messages."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import messages
from fulmarbarrow.wire import codec

MUTATION_SEED = 11
KEY = "a fleet key of tests"


def make(name, key=KEY, incarnation=1):
    return codec.Codec(
        fleet_key=key, sender=name, address=name, incarnation=incarnation
    )


def release(number):
    return messages.Release(attempt_ids=(f"attempt-{number}",))


@behave.given("two daemons with the same fleet key")
def step_two(context):
    context.sender, context.receiver = make("a"), make("b")


@behave.when("a frame with {count:d} messages is sent")
def step_send(context, count):
    context.sent = tuple(release(number) for number in range(count))
    context.frame = context.sender.encode("b", context.sent)
    context.result = context.receiver.decode(context.frame)


@behave.then("the receiver gets the {count:d} messages")
def step_gets(context, count):
    assert context.result == context.sent
    assert len(context.result) == count


@behave.when("the same frame arrives again")
@behave.when("a frame of the earlier incarnation arrives")
def step_again(context):
    context.result = context.receiver.decode(context.frame)


@behave.when("a frame for another daemon arrives")
def step_other(context):
    frame = context.sender.encode("c", (release(1),))
    context.result = context.receiver.decode(frame)


@behave.when("a frame under another fleet key arrives")
def step_wrong_key(context):
    frame = make("a", "another key of tests").encode("b", (release(1),))
    context.result = context.receiver.decode(frame)


@behave.when("each byte of a frame is altered in turn")
def step_altered(context):
    frame = context.sender.encode("b", (release(1),))
    context.results = [
        context.receiver.decode(
            frame[:place] + bytes([frame[place] ^ 1]) + frame[place + 1 :]
        )
        for place in range(len(frame))
    ]


@behave.then("every one is dropped as {reason}")
def step_all_dropped(context, reason):
    assert set(context.results) == {codec.DropReason(reason)}


@behave.when("a frame of wire version 0 arrives")
def step_old(context):
    version = codec.WIRE_VERSION
    codec.WIRE_VERSION = 0
    try:
        frame = context.sender.encode("b", (release(1),))
    finally:
        codec.WIRE_VERSION = version
    context.result = context.receiver.decode(frame)


@behave.when("the sender restarts and sends a frame")
def step_restart(context):
    frame = make("a", incarnation=2).encode("b", (release(2),))
    context.result = context.receiver.decode(frame)
    assert context.result == (release(2),), context.result


@behave.then("it is dropped as {reason}")
def step_dropped(context, reason):
    assert context.result is codec.DropReason(reason), context.result


@behave.when("{count:d} frames arrive in reverse order")
def step_reverse(context, count):
    frames = [
        context.sender.encode("b", (release(number),))
        for number in range(count)
    ]
    context.results = [
        context.receiver.decode(frame) for frame in reversed(frames)
    ]


@behave.then("all {count:d} frames are accepted")
def step_accepted(context, count):
    accepted = [item for item in context.results if isinstance(item, tuple)]
    assert len(accepted) == count
    assert msgspec.msgpack.encode(accepted[0])


def sample_bodies():
    """Return messages with texts, numbers, times, lists and nesting."""
    upstream = membership_messages.Upstream(
        upstream_id="i-1",
        incarnation=1_700_000_000_000,
        sequence=3,
        zone="z",
        url="http://10.0.0.1:80",
        offers=(membership_messages.Offer(service="s", model="m"),),
        batch_tokens=1000,
        tokens_per_second=500,
        state=membership_messages.UpstreamState.SERVING,
        started_at=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )
    return (
        messages.Release(attempt_ids=("a", "b"), hits=1),
        membership_messages.LeaseRenewal(
            reply_to="10.0.0.1:7000",
            upstream_id="i-1",
            incarnation=1,
            sequence=2,
            upstream=upstream,
        ),
    )


@behave.when(
    "{count:d} frames whose bytes were altered before they were signed arrive"
)
def step_mutated(context, count):
    rng = random.Random(MUTATION_SEED)
    sender, receiver = make("a"), make("b")
    context.decoded = []
    for _ in range(count):
        frame = sender.encode("b", sample_bodies())
        payload = bytearray(frame[codec.MAC_BYTES :])
        for _ in range(rng.randint(1, 4)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        if rng.random() < 0.2:
            del payload[rng.randrange(len(payload)) :]
        signed = receiver._mac(bytes(payload)) + payload
        context.decoded.append(receiver.decode(bytes(signed)))


@behave.then("each is dropped or holds messages")
def step_mutated_handled(context):
    kinds = {type(item) for item in context.decoded}
    assert kinds == {tuple, codec.DropReason}, kinds
