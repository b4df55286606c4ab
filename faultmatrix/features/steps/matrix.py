"""Steps that run a part of the fault matrix."""

from __future__ import annotations

import datetime
import functools
import types

import behave

from faultmatrix import cell as cells
from faultmatrix.checks import zone_out
from faultmatrix import matrix
from faultmatrix import network as networks
from faultmatrix import sabotage
from faultmatrix import world
from fulmarbarrow.config import bundle as bundles

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


@functools.cache
def tally_of_seeds(fault, step, seeds, switched_off=""):
    injection = cells.Injection(fault=fault, step=step)
    chosen = [
        cells.Cell(seed=matrix.SEED + number, injections=(injection,))
        for number in range(seeds)
    ]
    return matrix.run(chosen, PROCESSES, switched_off=switched_off)


@behave.when('"{fault}" happens at {step} with each of {seeds:d} seeds')
def step_fault_with_seeds(context, fault, step, seeds):
    context.cell = (fault, step, seeds)
    context.plain = tally_of_seeds(*context.cell)


@behave.when("the same with the mechanism behind {check} switched off")
def step_sabotage(context, check):
    context.tally = tally_of_seeds(*context.cell, switched_off=check)


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


@behave.then(
    "the check {check} is breached with at least {count:d} seeds if it is off"
)
def step_breached(context, check, count):
    by_check = context.tally.by_check
    assert by_check[check] >= count, by_check


@behave.then("nothing is breached with any seed if it is on")
def step_nothing_breached_when_on(context):
    assert not context.plain.breaches, context.plain.breaches


@behave.then("no check is breached")
def step_nothing_breached(context):
    assert not context.result.breaches, context.result.breaches


@behave.when('the cell "{text}" is played with seed {seed:d}')
def step_cell(context, text, seed):
    names = text.split(", ")
    injections = tuple(
        cells.Injection(fault=fault, step=step)
        for fault, step in zip(names[::2], names[1::2], strict=True)
    )
    cell = cells.Cell(seed=seed, injections=injections)
    context.result = cells.play(cell)
    assert context.result.reached, text


def cut_off_host(name, zone):
    return types.SimpleNamespace(
        plan=types.SimpleNamespace(daemon_id=name),
        address=name,
        zone=zone,
        alive=True,
    )


@behave.given("a zone is out since 5 s for all but a router that is cut off")
def step_cut_off(context):
    timeline = world.Timeline(seed=matrix.SEED)
    knows, context.router = cut_off_host("k", "a"), cut_off_host("r", "b")
    context.check = zone_out.ZoneOut()
    context.check.fleet = types.SimpleNamespace(
        timeline=timeline,
        network=networks.Network(timeline=timeline),
        hosts={"k": knows, "r": context.router},
    )
    context.check.fleet.network.isolate("r")
    context.check.in_force(context.router, 1, bundles.Bundle())
    out = bundles.Zone(name="b", region="attica", state=bundles.ZoneState.OUT)
    context.check.in_force(knows, 2, bundles.Bundle(zone=(out,)))
    timeline.clock.advance(datetime.timedelta(seconds=5))


@behave.when(
    "the router is connected again and sends to the zone {after:g} s later"
)
def step_sends_later(context, after):
    fleet = context.check.fleet
    fleet.network.heal()
    fleet.timeline.clock.advance(datetime.timedelta(seconds=after))
    context.check.dispatched(
        types.SimpleNamespace(upstream_id="engine-b1", zone="b"),
        types.SimpleNamespace(host=context.router),
    )


@behave.then("the check zone out counts {count:d}")
def step_counts(context, count):
    assert len(context.check.breaches) == count, context.check.breaches
