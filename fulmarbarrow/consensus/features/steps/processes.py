"""Steps over control daemons in real processes."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import behave

from tools import control_fleet
from tools import fleet


@behave.given(
    "{controls:d} control daemons and {routers:d} routers on loopback"
)
def step_start(context, controls, routers):
    context.fleet = control_fleet.ControlFleet(
        folder=context.path, controls=controls, routers=routers
    )
    context.fleet.start()
    context.base = 0


@behave.given("revision 1 is in force on all of them")
def step_first_revision(context):
    publish(context, context.fleet.leader())
    in_force(context, 1, context.fleet.daemons)


def publish(context, daemon):
    """Publish a revision, with retries until it is accepted."""

    def accepted():
        answer = context.fleet.publish(
            daemon, base=context.base, publish_id=f"change-{context.base}"
        )
        return answer["code"] == ""

    fleet.wait_until(accepted, "the publish is accepted")
    context.base += 1


def in_force(context, revision, daemons):
    fleet.wait_until(
        lambda: context.fleet.in_force(revision, daemons),
        f"revision {revision} in force",
    )


def remaining_daemons(context):
    return [
        item
        for item in context.fleet.daemons
        if item is not context.unavailable
    ]


def other_control(context):
    return next(
        item
        for item in context.fleet.controls
        if item is not context.unavailable
    )


@behave.when("the leader is killed")
def step_kill(context):
    context.unavailable = context.fleet.leader()
    context.unavailable.kill()


@behave.when("the leader is suspended")
def step_suspend(context):
    context.unavailable = context.fleet.leader()
    context.fleet.freeze(context.unavailable)


@behave.when("a revision is published to another control daemon")
def step_publish(context):
    publish(context, other_control(context))


@behave.then("revision {revision:d} is in force on the other daemons")
def step_in_force_on_others(context, revision):
    in_force(context, revision, remaining_daemons(context))


@behave.when("the killed daemon restarts")
def step_restart(context):
    context.unavailable.start()


@behave.then("revision {revision:d} is in force on every daemon")
def step_in_force_on_all(context, revision):
    in_force(context, revision, context.fleet.daemons)


@behave.when("the suspended daemon resumes")
def step_resume(context):
    context.fleet.thaw(context.unavailable)
    context.status = context.fleet.status(context.unavailable)


@behave.then(
    "its first status is revision {revision:d} from the new leader, or not "
    "current"
)
def step_status(context, revision):
    status = context.status
    if status["current"]:
        assert status["revision"] == revision, status
        assert status["answered_by"] != context.unavailable.daemon_id, status


@behave.when("a control daemon's host is replaced by one with an empty disk")
def step_replace(context):
    leader = context.fleet.leader()
    context.replaced = next(
        item for item in context.fleet.controls if item is not leader
    )
    context.former_member = context.fleet.log(context.replaced)["member"]
    context.fleet.replace_host(context.replaced)


@behave.then("it becomes a member under a new identity")
def step_member(context):
    def joined():
        for name in ("consensus", "journal_log"):
            log = context.fleet.log(context.replaced, name)
            if not log.get("voter") or len(log["members"]) != 3:
                return False
        return log["member"] != context.former_member

    fleet.wait_until(joined, "the new host is a member")


@behave.when("another control daemon is killed")
def step_kill_another(context):
    context.unavailable = next(
        item for item in context.fleet.controls if item is not context.replaced
    )
    context.unavailable.kill()


@behave.when("a revision is published to the replaced daemon")
def step_publish_replaced(context):
    publish(context, context.replaced)


@behave.when("two control daemons are killed")
def step_kill_two(context):
    third = context.fleet.controls[2]
    fleet.wait_until(
        lambda: context.fleet.log(third, "control")["revision"] == 1,
        "the third daemon has applied the revision",
    )
    for daemon in context.fleet.controls[:2]:
        daemon.kill()


@behave.then("the status of the third is not current")
def step_not_current(context):
    third = context.fleet.controls[2]

    def is_not_current():
        status = context.fleet.status(third)
        return status and not status["current"] and not status["leader"]

    fleet.wait_until(is_not_current, "the status is not current")
    assert context.fleet.status(third)["revision"] == 1


@behave.then("a publish there is not accepted")
def step_publish_refused(context):
    answer = context.fleet.publish(context.fleet.controls[2], base=1)
    assert answer["code"] in ("no_quorum", "outcome_unknown"), answer


@behave.when("the leader is stopped gracefully")
def step_stop_leader(context):
    context.unavailable = context.fleet.leader()
    context.term = context.fleet.log(context.unavailable)["term"]
    assert context.unavailable.stop() == 0


@behave.then("another daemon is leader of the next term")
def step_handed_over(context):
    others = [
        item
        for item in context.fleet.controls
        if item is not context.unavailable
    ]
    fleet.wait_until(
        lambda: context.fleet.leader(others), "another daemon is leader"
    )
    term = context.fleet.log(context.fleet.leader(others))["term"]
    assert term == context.term + 1, (term, context.term)


CHOOSE_PORTS = """
import json, sys
from tools import fleet
print(json.dumps(fleet.free_ports(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


@behave.when("two other processes and this one choose {count:d} ports each")
def step_choose_ports(context, count):
    others = [
        subprocess.Popen(
            [sys.executable, "-c", CHOOSE_PORTS, str(count)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=pathlib.Path(fleet.__file__).parent.parent,
        )
        for _ in range(2)
    ]
    context.ports = fleet.free_ports(count)
    for process in others:
        context.ports += json.loads(process.stdout.readline())
    for process in others:
        process.communicate()


@behave.then("no port was chosen twice")
def step_no_port_twice(context):
    assert len(set(context.ports)) == len(context.ports)
