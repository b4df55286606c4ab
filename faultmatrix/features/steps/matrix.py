"""Steps that run a part of the fault matrix."""

from __future__ import annotations

import functools

import behave

from faultmatrix import cell as cells
from faultmatrix import matrix
from faultmatrix import sabotage

CELLS = 90
PAIRS = 30
PROCESSES = 3
ONE_OF_EACH_SLICE = {
    "Gossip",
    "Placed",
    "Admitted",
    "AnswerEnded",
    "RecordOutcome",
    "AppendRequest",
    "ConfigurationChanged",
    "MoveChanged",
    "ZoneWeights",
}


@behave.when("the fleet runs without faults")
def step_plain(context):
    context.result = cells.play(cells.Cell(seed=matrix.SEED))


@behave.then("every request is answered")
def step_answered(context):
    assert context.result.calls > 100
    assert context.result.answered == context.result.calls


@behave.then("nothing is breached")
def step_nothing(context):
    assert not context.result.breaches, context.result.breaches


@behave.then("messages of every slice were handled")
def step_slices(context):
    assert context.result.steps >= ONE_OF_EACH_SLICE


@functools.cache
def fixed_part():
    chosen = [*matrix.sample(CELLS), *matrix.paired_cells(PAIRS)]
    return matrix.run(chosen, PROCESSES)


@behave.given("the fixed part of the matrix has run")
def step_run(context):
    context.tally = fixed_part()
    assert context.tally.run >= CELLS + PAIRS


@behave.then("no cell breached {check}")
def step_check(context, check):
    found = [
        (cell.injections, breach.text)
        for cell, breach in context.tally.breaches
        if breach.check == check
    ]
    assert not found, found[:3]


@behave.given("a fleet with the mechanism behind {check} switched off")
def step_sabotage(context, check):
    context.sabotage = sabotage.SABOTAGES[check]


@behave.given("a fleet with a longer load and nothing switched off")
def step_longer_load(context):
    context.sabotage = sabotage.Sabotage(
        load_longer=sabotage.SABOTAGES["bad version"].load_longer
    )


@behave.when('"{fault}" happens at {step}')
def step_fault(context, fault, step):
    injection = cells.Injection(fault=fault, step=step)
    cell = cells.Cell(seed=matrix.SEED, injections=(injection,))
    context.result = matrix.play(cell, context.sabotage)


@behave.then("the check {check} is breached")
def step_breached(context, check):
    breached = {breach.check for breach in context.result.breaches}
    assert check in breached, breached


@behave.then("no check is breached")
def step_nothing_breached(context):
    assert not context.result.breaches, context.result.breaches
