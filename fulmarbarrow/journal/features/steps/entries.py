"""Steps for the replicated state machine of the journal."""

from __future__ import annotations

import datetime
import random

import behave
import msgspec

from fulmarbarrow.journal import machine
from fulmarbarrow.journal import messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
DEADLINE = START + datetime.timedelta(seconds=5)
OWNER = {"request_id": "mine", "account": "volos", "key": "k"}
OTHER_REQUEST = {**OWNER, "request_id": "other"}
ANSWER = {"status": 200, "content_type": "text/plain", "body": b"done"}


def intend(request, digest="body"):
    return messages.Intend(
        **request,
        digest=digest,
        service="register",
        attempt_id="a",
        deadline=DEADLINE,
    )


def record(request, **fields):
    return messages.RecordOutcome(
        **request, attempt_id="a", **ANSWER, **fields
    )


def seal(request, **fields):
    return messages.SealEntry(**request, attempt_id="a", **fields)


def mark_unknown(request):
    return messages.MarkUnknown(**request, attempt_id="a")


CALLS = {
    "the owner's intent": intend(OWNER),
    "another request's intent": intend(OTHER_REQUEST),
    "an intent with a different body": intend(OTHER_REQUEST, "other body"),
    "the owner's answer": record(OWNER),
    "another request's answer": record(OTHER_REQUEST),
    "a looked-up answer": record(OTHER_REQUEST, lookup=True),
    "the owner's seal": seal(OWNER),
    "another request's seal": seal(OTHER_REQUEST),
    "a looked-up seal": seal(OTHER_REQUEST, lookup=True),
    "the owner's unknown mark": mark_unknown(OWNER),
}
CALLS_TO_STATE = {
    "absent": (),
    "running": ("the owner's intent",),
    "done": ("the owner's intent", "the owner's answer"),
    "sealed": ("the owner's intent", "the owner's seal"),
    "unknown": ("the owner's intent", "the owner's unknown mark"),
}


def apply(journal, now, *bodies):
    batch = machine.Batch(
        shard=0,
        now=now,
        commands=tuple(
            machine.Command(call_id=str(number), body=body)
            for number, body in enumerate(bodies)
        ),
    )
    return list(journal.apply(msgspec.msgpack.encode(batch)).values())


def reply_text(reply):
    if isinstance(reply, messages.IntendResult):
        return reply.standing.value
    return "written" if reply.committed else "not written"


@behave.given("a {state} entry")
@behave.given("an {state} entry")
def step_entry(context, state):
    context.journal = machine.Journal()
    context.now = START
    for name in CALLS_TO_STATE[state]:
        apply(context.journal, START, CALLS[name])


@behave.when("{call} is applied")
def step_apply(context, call):
    (context.reply,) = apply(context.journal, context.now, CALLS[call])


@behave.then("the entry is {state} and the answer is {answer}")
def step_state(context, state, answer):
    counts = context.journal.counts()
    assert counts == ({} if state == "absent" else {state: 1}), counts
    assert reply_text(context.reply) == answer, context.reply


@behave.then("another request's intent is answered with the recorded answer")
def step_recorded_answer(context):
    (reply,) = apply(context.journal, context.now, intend(OTHER_REQUEST))
    assert reply.standing is messages.EntryStanding.DONE
    assert (reply.status, reply.body) == (200, b"done")


def apply_at(context, seconds, call):
    now = START + datetime.timedelta(seconds=seconds)
    return apply(context.journal, now, CALLS[call])[0]


@behave.then(
    "another request's intent may not look it up after {seconds:d} seconds"
)
def step_no_lookup(context, seconds):
    reply = apply_at(context, seconds, "another request's intent")
    assert not reply.may_look_up, reply


@behave.then(
    "another request's intent may look it up after {seconds:d} seconds"
)
def step_lookup(context, seconds):
    reply = apply_at(context, seconds, "another request's intent")
    assert reply.may_look_up, reply


@behave.then(
    "another request's intent is answered unknown after {seconds:d} seconds"
)
def step_unknown(context, seconds):
    reply = apply_at(context, seconds, "another request's intent")
    assert reply.standing is messages.EntryStanding.UNKNOWN, reply


@behave.then("a looked-up seal is written after {seconds:d} seconds")
def step_seal_later(context, seconds):
    assert apply_at(context, seconds, "a looked-up seal").committed


@behave.when("{hours:d} hours pass")
def step_hours_pass(context, hours):
    context.now += datetime.timedelta(hours=hours)


@behave.then("its key accepts a new intent")
def step_key_accepts_intent(context):
    (reply,) = apply(context.journal, context.now, intend(OTHER_REQUEST))
    assert reply.standing is messages.EntryStanding.MAY_DISPATCH, reply


def random_calls(context, count):
    for _ in range(count):
        context.now += datetime.timedelta(seconds=context.rng.randrange(900))
        body = context.rng.choice(list(CALLS.values()))
        body = msgspec.structs.replace(
            body, key=f"k{context.rng.randrange(40)}"
        )
        for journal, replies in zip(
            context.replicas, context.replies, strict=True
        ):
            replies += apply(journal, context.now, body)


@behave.given("{count:d} random calls applied to two replicas")
def step_replicas(context, count):
    context.rng = random.Random(5)
    context.now = START
    context.replicas = [machine.Journal(), machine.Journal()]
    context.replies = [[], []]
    random_calls(context, count)


@behave.when("one replica is restored from the other's snapshot")
def step_restore(context):
    restored = machine.Journal()
    restored.restore(context.replicas[0].snapshot())
    context.replicas[1] = restored


@behave.when("{count:d} more random calls are applied to both replicas")
def step_more_random_calls(context, count):
    random_calls(context, count)


@behave.then("both replicas returned the same replies and hold the same state")
def step_same_replies_and_state(context):
    assert context.replies[0] == context.replies[1]
    first, second = context.replicas
    assert first.snapshot() == second.snapshot()
    assert len(first) > 0
