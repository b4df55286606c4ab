"""Steps over the soak: its plans, its checks and short plays."""

from __future__ import annotations

import json
import pathlib
import tempfile

import behave

from soak import plan
from soak import promises
from soak import run

WORDS = 4


@behave.when("seed {seed:d} is soaked for {seconds:d} s")
def step_soak(context, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        context.soak = run.Soak(seed=seed, folder=pathlib.Path(folder))
        context.broken = context.soak.play(seconds)


@behave.then("no promise is broken")
def step_kept(context):
    assert not context.broken, context.broken


@behave.then("at least {count:d} calls were answered")
def step_answered(context, count):
    answered = sum(call.status == 200 for call in context.soak.calls)
    assert answered >= count, answered


def make(seed):
    return plan.make(seed=seed, seconds=30, daemons=5, links=4, engines=2)


@behave.then("seed {seed:d} gives the same plan twice and another than seed 4")
def step_same(context, seed):
    assert make(seed) == make(seed) != make(4)


@behave.then(
    "the plans of {count:d} seeds hold every kind and overlapping faults"
)
def step_kinds(context, count):
    plans = [make(seed) for seed in range(count)]
    assert {fault.kind for faults in plans for fault in faults} == set(
        plan.Kind
    )
    for faults in plans:
        assert any(
            after.at < before.at + before.length
            for before, after in zip(faults, faults[1:], strict=False)
        )


def events(*numbers, end=True):
    parts = [
        "data: "
        + json.dumps({"choices": [{"delta": {"content": f"w{number} "}}]})
        for number in numbers
    ]
    return "\n\n".join([*parts, *([promises.END] if end else []), ""])


def call(body, status=200, whole=True, **fields):
    return promises.Call(
        daemon_id="router-0",
        started=1.0,
        ended=2.0,
        status=status,
        body=body,
        whole=whole,
        **fields,
    )


def stream(*numbers, end=True, more="", whole=True):
    body = events(*numbers, end=end) + more
    return [call(body, whole=whole, asked=WORDS)]


def refusal(code, ran):
    error = {"error": {"code": code, "message": "", "ran": ran}}
    return call(json.dumps(error), status=503, key="o")


KILL = [promises.Kill(daemon_id="router-0", at=1.5)]
OK = call("{}", key="o")
STREAMS = {
    "a whole stream": (stream(0, 1, 2, 3), []),
    "a stream without its third word": (stream(0, 1, 3), []),
    "a stream with a doubled word": (stream(0, 1, 1, 2), []),
    "a stream that ends early without an error": (
        stream(0, 1, end=False),
        [],
    ),
    "a stream that ends early with an error": (
        stream(0, 1, end=False, more="event: error\ndata: {}\n\n"),
        [],
    ),
    "a stream cut as its daemon was killed": (
        stream(0, 1, end=False, whole=False),
        KILL,
    ),
    "a stream cut in a word by a kill": (
        stream(0, 1, end=False, more='data: {"cho', whole=False),
        KILL,
    ),
}
ORDERS = {
    "an order that ran twice": ([OK], {"o": 2}),
    "an order answered that never ran": ([OK], {}),
    'a refusal "not run" of an order that ran': (
        [refusal("overloaded", "no")],
        {"o": 1},
    ),
    "a refusal of a copy of an order that ran": (
        [refusal("overloaded", "no"), OK],
        {"o": 1},
    ),
    "a sealed refusal of an order that ran": (
        [refusal("not_run", "no"), OK],
        {"o": 1},
    ),
}


def seen(at, daemon_id, pid, revision, paused=False, calm=False):
    return promises.Observation(
        at=at,
        daemon_id=daemon_id,
        pid=pid,
        revision=revision,
        paused=paused,
        calm=calm,
    )


REVISIONS = {
    "a daemon that goes back to an old revision": [
        seen(10.0, "r", 1, 2),
        seen(10.2, "r", 1, 1),
    ],
    "a daemon that starts again at an old one": [
        seen(10.0, "r", 1, 2),
        seen(13.0, "r", 2, 0),
        seen(13.2, "r", 2, 1),
    ],
    "a daemon that starts again at an old one elsewhere": [
        seen(10.0, "r", 1, 2),
        seen(13.2, "s", 2, 1),
    ],
    "a daemon that starts as its revision is replaced": [
        seen(10.0, "r", 1, 2),
        seen(11.0, "s", 2, 1),
    ],
    "a daemon that was stopped by a signal as it started": [
        seen(10.0, "r", 1, 2),
        seen(13.0, "s", 2, 1, paused=True),
    ],
    "a daemon that runs by an old one while all is calm": [
        seen(9.0, "s", 1, 1, calm=True),
        seen(10.0, "r", 1, 2, calm=True),
        seen(11.9, "s", 1, 1, calm=True),
        seen(12.1, "s", 1, 1, calm=True),
    ],
    "a daemon that runs by an old one after a fault": [
        seen(9.0, "s", 1, 1),
        seen(10.0, "r", 1, 2),
        seen(12.1, "s", 1, 1),
    ],
}


def left(known):
    return promises.Leave(upstream_id="u", daemon_id="r", known=known)


LEAVES = {
    "a daemon that knows of an acknowledged leave": [left(True)],
    "a daemon that does not know of one in time": [left(True), left(False)],
}


@behave.then("at least {count:d} times a daemon was asked for a leave")
def step_asked(context, count):
    assert len(context.soak.leaves.seen) >= count


@behave.when("callers see {what}")
def step_see(context, what):
    if what in STREAMS:
        context.broken = promises.streams(*STREAMS[what])
    elif what in ORDERS:
        context.broken = promises.orders(*ORDERS[what])
    elif what in LEAVES:
        context.broken = promises.leaves(LEAVES[what])
    else:
        context.broken = promises.revisions(REVISIONS[what])


@behave.then("{count:d} promises are broken")
def step_broken(context, count):
    assert len(context.broken) == count, context.broken
