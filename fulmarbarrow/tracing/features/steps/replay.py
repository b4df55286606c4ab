"""Steps that record and replay."""

from __future__ import annotations

import json
import pathlib

import behave

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow import exceptions
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.tracing import outcome
from fulmarbarrow.tracing import player
from fulmarbarrow.tracing import recorder
from fulmarbarrow.tracing import trace
from tools import fleet

OFFICE = pathlib.Path("examples/office").resolve()
HEADERS = {"Authorization": "Bearer demo-key-volos"}


@behave.given("a daemon that records from its start")
def step_daemon(context):
    context.daemon = fleet.DaemonProcess(
        folder=context.path,
        daemon_id="entry-1",
        zone="attica-a",
        roles=("router", "control"),
        more='[trace]\npath = "trace.jsonl"\n',
    )
    context.processes["daemon"] = context.daemon
    context.daemon.start()
    context.trace = context.path / "entry-1" / "trace.jsonl"


@behave.given("an engine and a register")
def step_upstreams(context):
    for kind, name, offers in (
        ("engine", "engine-1", "consultations/lacework/1"),
        ("plain", "register-1", "register"),
    ):
        upstream = fleet.StandinProcess(
            folder=context.path,
            kind=kind,
            upstream_id=name,
            zone="attica-a",
            offers=offers,
            entries=(context.daemon.upstreams,),
        )
        context.processes[name] = upstream
        upstream.start()
    fleet.wait_until(
        lambda: (
            len(context.daemon.dump()["cores"]["membership"]["upstreams"]) == 2
        ),
        "announced",
    )


@behave.when(
    "the Office's files are published, a chat is streamed and an order is "
    "placed twice"
)
def step_story(context):
    done = fleet.command(
        "publish", str(OFFICE), "--admin", context.daemon.admin
    )
    assert done.returncode == 0, done.stderr
    url = f"http://{context.daemon.callers}"
    chat = {
        "model": "lacework",
        "stream": True,
        "max_tokens": 5,
        "messages": [],
    }
    status, answer = fleet.fetch(
        f"{url}/v1/chat/completions",
        method="POST",
        body=json.dumps(chat).encode(),
        headers=HEADERS,
    )
    assert status == 200, answer
    for _ in range(2):
        status, answer = fleet.fetch(
            f"{url}/register/orders",
            method="POST",
            body=b"{}",
            headers={**HEADERS, "Idempotency-Key": "order-1"},
        )
        assert status == 200, answer


@behave.when("the daemon stops")
def step_stop(context):
    assert context.daemon.stop() == 0


@behave.when("the trace is replayed against the outcome")
def step_replay(context):
    context.trace.with_suffix(".toml").write_text(context.text)
    context.done = fleet.command("replay", str(context.trace))


@behave.then("the replay's exit code is {code:d}")
def step_exit(context, code):
    assert context.done.returncode == code, (
        context.done.stdout,
        context.done.stderr,
    )


@behave.then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.done.stdout, context.done.stdout


@behave.then("the trace holds no key")
def step_no_key(context):
    data = context.trace.read_text()
    assert fleet.FLEET_KEY not in data
    assert fleet.UPSTREAM_KEY not in data


@behave.when("a turn of the trace is left out")
def step_left_out(context):
    lines = context.trace.read_bytes().splitlines(keepends=True)
    kept = [line for line in lines if b'["PublishRequested"' not in line]
    assert len(kept) == len(lines) - 1
    context.trace.write_bytes(b"".join(kept))


class Chain:
    """Answers an admission with a placement and a release."""

    handles = (limits_messages.Admitted, placement_messages.PreemptWork)

    def handle(self, event, now):
        if isinstance(event, limits_messages.Admitted):
            return [
                placement_messages.PreemptWork(attempt_id="1"),
                placement_messages.Release(attempt_ids=("1",)),
            ]
        return [placement_messages.Release(attempt_ids=("2",))]

    def dump(self):
        return {}


def make_bus(context, seen):
    context.clock = clocks.ManualClock()
    bus = buses.Bus(clock=context.clock, strict=True)
    for kind in (
        limits_messages.Admitted,
        placement_messages.PreemptWork,
        placement_messages.Release,
        message.Tick,
    ):
        bus.subscribe(kind, lambda event, _: seen.append(event))
    return bus


@behave.given("a bus with cores and a shell that posts in between")
def step_bus(context):
    context.seen = []
    context.bus = make_bus(context, context.seen)
    # The shell comes before the core, as the daemon's edges do.
    context.bus.subscribe(
        placement_messages.PreemptWork,
        lambda event, _: context.bus.post(message.Tick()),
    )
    context.bus.attach(Chain())


def post(context):
    context.bus.post(limits_messages.Admitted(request_id="1"))


@behave.when("its turns are recorded and replayed without the shell")
def step_turns(context):
    turns = []
    context.bus.record(turns.append)
    post(context)
    assert [place for place, _ in turns[0].nested] == [3], turns
    codec = trace.TurnCodec(started=context.clock.now())
    context.again = []
    bus = make_bus(context, context.again)
    bus.attach(Chain())
    for turn in turns:
        assert bus.replay(codec.decode(codec.encode(turn))) == turn.queued


@behave.then("the replay delivers the same messages in the same order")
def step_same(context):
    assert len(context.seen) == 5
    assert context.again == context.seen


@behave.when(
    "{count:d} turns are recorded to a file of at most {size:d} bytes"
)
def step_bounded(context, count, size):
    made = recorder.Recorder(
        bus=context.bus,
        data_dir=context.path,
        name="trace.jsonl",
        max_bytes=size,
        settings="",
        started=context.clock.now(),
        from_start=True,
    )
    made.start()
    for _ in range(count):
        post(context)


@behave.then(
    "the file is below {size:d} bytes and all of its turns can be read"
)
def step_readable(context, size):
    path = context.path / "trace.jsonl"
    assert path.stat().st_size < size
    _, turns = trace.read(path)
    assert len(list(turns)) > 5


@behave.when('a trace is wanted at "{name}"')
def step_outside(context, name):
    try:
        recorder.Recorder(
            bus=None,
            data_dir=context.path,
            name=name,
            max_bytes=1,
            settings="",
            started=clocks.ManualClock().now(),
            from_start=True,
        )
    except exceptions.ConfigurationError as error:
        context.error = error


@behave.then('it is refused as "{text}"')
def step_refused(context, text):
    assert text in str(context.error)


@behave.when("the settings are made fit for a trace")
def step_redact(context):
    context.redacted = trace.redact(context.text)


@behave.then('the text holds no "{word}" but {count:d} keys')
def step_redacted(context, word, count):
    assert word not in context.redacted, context.redacted
    assert context.redacted.count(trace.REDACTED) == count, context.redacted


@behave.when("the shipped trace {name} is replayed")
def step_shipped(context, name):
    path = pathlib.Path("traces") / f"{name}.jsonl"
    stated = outcome.load(path.with_suffix(".toml"))
    context.report, context.observer = player.play(
        path, stated, outcome_only=True
    )


@behave.then("it ends as it is stated, in at least {count:d} requests")
def step_stated(context, count):
    assert not context.report.differences, context.report.differences
    assert len(context.observer.requests) >= count
