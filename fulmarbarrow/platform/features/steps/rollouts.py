"""Steps of rollouts that operators order over HTTP."""

from __future__ import annotations

import json
import time

import behave

from fulmarbarrow.platform.features import standin
from tools import fleet

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


def tell(context, service):
    return standin.call(
        context.daemon.operators, "GET", f"/v1/rollouts/{service}"
    )


def look_up(context, number):
    fields = {
        "Host": HOST,
        "X-Request-Id": f"rollout-{number}",
        "X-Api-Key": KEY,
        "X-Request-Deadline": "4000",
    }
    return standin.call(
        context.daemon.clients, "POST", "/lookup/1", b"body", fields
    )


def beat_all(context):
    for worker in context.workers.values():
        version = getattr(worker, "version", "v1")
        worker.beat(context.daemon.operators, Version=version)


@behave.given("rollouts are enabled")
def step_enabled(context):
    context.daemon.process.kill()
    context.daemon.process.wait()
    with context.daemon.settings.open("a") as settings:
        settings.write("[rollouts]\nenabled = true\n")
    context.daemon.start()


@behave.given('worker "{name}" of version "{version}"')
def step_worker(context, name, version):
    worker = standin.Worker(worker_id=name, service="desk")
    worker.version = version
    context.workers[name] = worker
    beat_all(context)


@behave.when(
    'the operator orders a rollout of "{service}" to "{target}" in '
    "{seconds:d} s"
)
def step_order(context, service, target, seconds):
    order = {"Service": service, "Target": target, "DurationS": seconds}
    context.ordered_at = time.monotonic()
    context.seconds = seconds
    context.rollout_answer = standin.call(
        context.daemon.operators,
        "POST",
        "/v1/rollouts",
        json.dumps(order).encode(),
    )


@behave.when("the operator sends the rollout order {order}")
def step_send(context, order):
    context.rollout_answer = standin.call(
        context.daemon.operators, "POST", "/v1/rollouts", order.encode()
    )


@behave.then("the operator's call is answered {status:d}")
def step_answered(context, status):
    assert context.rollout_answer[0] == status, context.rollout_answer


@behave.then("it has findings")
def step_findings(context):
    assert json.loads(context.rollout_answer[1])["findings"]


@behave.then('the rollout of "{service}" to "{target}" is {state}')
def step_state(context, service, target, state):
    expected = {"State": state, "Target": target}
    fleet.wait_until(
        lambda: tell(context, service)[0] == 200, "the rollout is told"
    )
    status, body, _ = tell(context, service)
    assert status == 200, status
    steps = [
        line
        for line in context.daemon.lines()
        if line.get("text", "").startswith("rollout ")
    ]
    assert json.loads(body) == expected, (body, steps)


@behave.when('clients send lookups until the rollout of "{service}" has ended')
def step_lookups(context, service):
    number, state = 0, "in_progress"
    while state == "in_progress":
        number += 1
        assert time.monotonic() < context.ordered_at + context.seconds
        status, *_ = look_up(context, number)
        assert status == 200, status
        if number % 20 == 0:
            beat_all(context)
            status, body, _ = tell(context, service)
            assert status == 200, status
            state = json.loads(body)["State"]
        time.sleep(0.02)
    context.number = number


@behave.then('each further lookup is answered by worker "{name}"')
def step_only(context, name):
    for worker in context.workers.values():
        worker.runs.clear()
    for number in range(20):
        assert look_up(context, context.number + 1 + number)[0] == 200
    others = [w for key, w in context.workers.items() if key != name]
    assert not any(worker.runs for worker in others)
    assert context.workers[name].runs


@behave.when("the daemon is killed and starts again")
def step_again(context):
    context.daemon.process.kill()
    context.daemon.process.wait()
    context.daemon.start()
