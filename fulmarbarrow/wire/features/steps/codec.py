"""Steps for the framing of messages."""

from __future__ import annotations

import behave
import msgspec

from fulmarbarrow.placement import messages
from fulmarbarrow.wire import codec

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
