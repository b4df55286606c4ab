"""Steps for daemons that start and wait for a confirmed revision."""

from __future__ import annotations

import behave


@behave.given("the control host has written a snapshot")
def step_snapshot_written(context):
    context.fleet.write_snapshot()


@behave.when("all hosts restart after a loss of power, and there is no leader")
def step_power_lost(context):
    fleet = context.fleet
    fleet.has_leader = False
    for node in fleet.nodes:
        node.disk = None
        node.start()
    fleet.restart_from_snapshot()


@behave.when("the control host leads and has applied all that is committed")
def step_leads_and_applied(context):
    fleet = context.fleet
    fleet.apply_committed()
    fleet.has_leader = True
    fleet.announce_leader()


@behave.then("no revision is in force on any daemon")
def step_none_in_force(context):
    found = {node.number: node.revision for node in context.fleet.nodes}
    assert not any(found.values()), found
