"""Steps that kill processes which talk over loopback sockets."""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import time

import behave

from tools import fleet

OFFICE = pathlib.Path("examples/office").resolve()
HEADERS = {"Authorization": "Bearer demo-key-volos"}
MAX_RESENDS = 40
NEW_CHAT_COUNT = 6
FINAL_CODES = ("not_run", "outcome_unknown")
RESEND_INTERVAL_SECONDS = 0.3


def start_standin(context, kind, number, offers, **options):
    process = fleet.StandinProcess(
        folder=context.path,
        kind=kind,
        upstream_id=f"{kind}-{number}",
        zone="attica-a",
        offers=offers,
        entries=tuple(daemon.upstreams for daemon in context.daemons),
        **options,
    )
    context.processes.append(process)
    process.start()
    return process


def known_upstreams(daemon):
    state = daemon.dump()
    return state["cores"]["membership"]["upstreams"] if state else []


@behave.given("three daemons that are routers and control hosts")
def step_daemons(context):
    ports = [fleet.free_ports(4) for _ in range(3)]
    members = tuple(
        (f"entry-{number}", f"127.0.0.1:{group[3]}")
        for number, group in enumerate(ports, 1)
    )
    context.daemons = [
        fleet.DaemonProcess(
            folder=context.path,
            daemon_id=name,
            zone="attica-a",
            roles=("router", "control"),
            seeds=tuple(address for _, address in members),
            members=members,
            ports=group,
        )
        for (name, _), group in zip(members, ports, strict=True)
    ]
    context.processes += context.daemons
    for daemon in context.daemons:
        daemon.spawn()
    for daemon in context.daemons:
        fleet.wait_until(daemon.dump, f"{daemon.daemon_id} starts")


@behave.given(
    "a register that takes {work_ms:d} ms for an order and three engines"
)
def step_standins(context, work_ms):
    context.register = start_standin(
        context, "plain", 1, "register", work_ms=work_ms
    )
    context.engines = [
        start_standin(context, "engine", number, "consultations/lacework/1")
        for number in (1, 2, 3)
    ]
    for daemon in context.daemons:
        fleet.wait_until(
            lambda d=daemon: len(known_upstreams(d)) == 4,
            "the stand-ins are announced",
        )


@behave.given("the Office configuration is in force")
def step_publish(context):
    def published():
        done = fleet.command(
            "publish", str(OFFICE), "--admin", context.daemons[0].admin
        )
        return done.returncode == 0

    def leader_elected():
        states = [daemon.dump() for daemon in context.daemons]
        return all(
            state and state["cores"]["journal_log"].get("leader")
            for state in states
        )

    fleet.wait_until(published, "the configuration is published")
    fleet.wait_until(leader_elected, "the journal has a leader")


def place_order(daemon, key):
    status, body = fleet.fetch(
        f"http://{daemon.callers}/register/orders",
        method="POST",
        body=b'{"die": "rosette-12"}',
        headers={**HEADERS, "Idempotency-Key": key},
    )
    try:
        return status, json.loads(body)
    except ValueError:
        return status, {}


def resend_until_final(daemons, key):
    """Resend an order until its outcome is final."""
    for number in range(MAX_RESENDS):
        status, body = place_order(daemons[number % len(daemons)], key)
        code = body.get("error", {}).get("code", "")
        if status == 200 or code in FINAL_CODES:
            return key, code
        time.sleep(RESEND_INTERVAL_SECONDS)
    raise AssertionError((key, status, body))


def open_orders(context):
    _, body = fleet.fetch(f"{context.register.url}/admin/state")
    return json.loads(body or b"{}").get("open", 0)


def wait_for_orders(context, pending_responses):
    """Wait until the register runs an order; fail if all were answered."""

    def runs_order():
        if open_orders(context):
            return True
        answers = [p.result() for p in pending_responses if p.done()]
        assert len(answers) < len(pending_responses), answers
        return False

    fleet.wait_until(runs_order, "the register runs an order")


def run_counts(context):
    _, body = fleet.fetch(f"{context.register.url}/counts")
    return json.loads(body)


def daemon_named(context, name):
    return next(d for d in context.daemons if d.daemon_id == name)


@behave.when("an order is placed through {name}")
def step_place_order(context, name):
    context.keys = ["order-1"]
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.pending_response = pool.submit(
        place_order, daemon_named(context, name), "order-1"
    )


@behave.when("{name} is killed while the register runs it")
def step_kill_router(context, name):
    wait_for_orders(context, [context.pending_response])
    daemon_named(context, name).kill()
    status, _ = context.pending_response.result()
    assert status == 0, status


@behave.when(
    "the order is sent again through {name} until its outcome is final"
)
def step_resend(context, name):
    context.final_codes = [
        resend_until_final([daemon_named(context, name)], "order-1")
    ]


@behave.then("no order ran twice and every reported outcome is correct")
def step_outcomes_correct(context):
    ran = run_counts(context)
    assert all(count == 1 for count in ran.values()), ran
    for key, code in context.final_codes:
        if not code:
            assert ran[key] == 1, key
        if code == "not_run":
            assert key not in ran, key


@behave.when("the register cuts off the next answer")
def step_cut_answer(context):
    status, _ = fleet.fetch(
        f"{context.register.url}/admin/faults",
        method="POST",
        body=b'{"fault": "cut", "count": 1}',
    )
    assert status == 200


@behave.then("the order is answered and ran once")
def step_order_answered(context):
    status, body = context.pending_response.result()
    assert (status, body.get("runs")) == (200, 1), (status, body)
    assert run_counts(context) == {"order-1": 1}


@behave.when("{count:d} orders are placed through the other daemons")
def step_place_orders(context, count):
    state = context.daemons[0].dump()
    context.leader = daemon_named(
        context, state["cores"]["journal_log"]["leader"]
    )
    context.surviving_daemons = [
        d for d in context.daemons if d is not context.leader
    ]
    context.keys = [f"order-{number}" for number in range(count)]
    context.pool = concurrent.futures.ThreadPoolExecutor(count)
    context.pending_responses = [
        context.pool.submit(
            place_order, context.surviving_daemons[number % 2], key
        )
        for number, key in enumerate(context.keys)
    ]


@behave.when("the journal's leader is killed while the register runs them")
def step_kill_leader(context):
    wait_for_orders(context, context.pending_responses)
    context.leader.kill()
    context.outcomes = [item.result() for item in context.pending_responses]


@behave.when(
    "each order is sent again under its key until its outcome is final"
)
def step_resend_all(context):
    context.final_codes = list(
        context.pool.map(
            lambda key: resend_until_final(context.surviving_daemons, key),
            context.keys,
        )
    )


@behave.then("a new order through the other daemons is answered")
def step_new_order(context):
    assert resend_until_final(context.surviving_daemons, "new-order") == (
        "new-order",
        "",
    )


@behave.when("the register is killed while it runs the order")
def step_kill_register(context):
    wait_for_orders(context, [context.pending_response])
    context.register.kill()
    context.latest_response = context.pending_response.result()


@behave.then("the caller's error says that the outcome is unknown")
def step_outcome_unknown(context):
    _, body = context.latest_response
    assert body["error"]["ran"] == "unknown", context.latest_response


@behave.when(
    "the register is restarted and the order is sent again through {name}"
)
def step_restart_register(context, name):
    context.register.start()
    fleet.wait_until(
        lambda: fleet.fetch(f"{context.register.url}/counts")[0] == 200,
        "the register restarts",
    )
    context.latest_response = place_order(
        daemon_named(context, name), "order-1"
    )


@behave.then("the restarted register ran nothing")
def step_ran_nothing(context):
    assert run_counts(context) == {}, run_counts(context)


def request_chat(context, name, tokens, text="motif"):
    body = {
        "model": "lacework",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }
    return fleet.fetch(
        f"http://{daemon_named(context, name).callers}/v1/chat/completions",
        method="POST",
        body=json.dumps(body).encode(),
        headers=HEADERS,
    )


@behave.when("a chat of {tokens:d} tokens is streamed through {name}")
def step_stream(context, tokens, name):
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.pending_response = pool.submit(request_chat, context, name, tokens)


def running_engine(context):
    def find_running_engine():
        for engine in context.engines:
            _, body = fleet.fetch(f"{engine.url}/admin/state")
            if json.loads(body or b"{}").get("running"):
                return engine
        return None

    fleet.wait_until(find_running_engine, "an engine runs the chat")
    time.sleep(RESEND_INTERVAL_SECONDS)
    return find_running_engine()


@behave.when("the engine that runs it is killed")
def step_kill_engine(context):
    running_engine(context).kill()


@behave.when("every open connection of the engine that runs it goes silent")
def step_silence_connections(context):
    context.silent_engine = running_engine(context)
    status, _ = fleet.fetch(
        f"{context.silent_engine.url}/admin/faults",
        method="POST",
        body=b'{"fault": "silent"}',
    )
    assert status == 200


@behave.then("no new chat uses the silent engine's connections")
def step_silent_connections_unused(context):
    for number in range(NEW_CHAT_COUNT):
        status, _ = request_chat(context, "entry-1", 5, f"motif {number}")
        assert status == 200
    counters = context.daemons[0].dump()["metrics"]["counters"]
    assert counters["silent_attempts"] == 1, counters


@behave.then(
    "the caller receives each of the {tokens:d} tokens once and the end marker"
)
def step_stream_complete(context, tokens):
    status, answer = context.pending_response.result()
    events = answer.decode().strip().split("\n\n")
    assert (status, events[-1]) == (200, "data: [DONE]"), events[-2:]
    contents = [
        json.loads(event.removeprefix("data: "))["choices"][0]["delta"].get(
            "content", ""
        )
        for event in events[:-1]
    ]
    tokens_received = [word for word in contents if word]
    assert tokens_received == [f"w{number} " for number in range(tokens)], (
        tokens_received
    )
