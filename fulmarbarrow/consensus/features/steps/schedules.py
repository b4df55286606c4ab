"""Steps that run random schedules over consensus cores."""

from __future__ import annotations

import collections

import behave

from benchmarks import consensus_checks
from benchmarks import consensus_explorer


@behave.when("{count:d} schedules of {steps:d} steps run over {hosts:d} hosts")
def step_run(context, count, steps, hosts):
    context.counts = collections.Counter()
    context.violations = []
    for seed in range(count):
        try:
            result = consensus_explorer.run(
                seed=seed, hosts=hosts, steps=steps
            )
            context.counts.update(result.counts)
        except consensus_checks.ViolationError as error:
            context.violations.append(f"seed {seed}: {error}")


@behave.when(
    "{count:d} schedules over {hosts:d} hosts end with the loss of all power "
    "and {disks:d} disks"
)
def step_power_loss(context, count, hosts, disks):
    lose_power(context, count, hosts, disks, consensus_explorer.Sabotage.NONE)


@behave.when(
    "{count:d} schedules over {hosts:d} hosts lose all power and {disks:d} "
    "disks without a sync"
)
def step_power_loss_unsynced(context, count, hosts, disks):
    lose_power(
        context, count, hosts, disks, consensus_explorer.Sabotage.SYNC_SKIPPED
    )


def lose_power(context, count, hosts, disks, sabotage):
    context.schedules = count
    context.counts = collections.Counter()
    context.violations = []
    for seed in range(count):
        try:
            result = consensus_explorer.run_power_loss(
                seed=seed,
                hosts=hosts,
                steps=60,
                disks=disks,
                sabotage=sabotage,
            )
            context.counts.update(result.counts)
        except consensus_checks.ViolationError as error:
            context.violations.append(f"seed {seed}: {error}")


@behave.then("each schedule lost its power")
def step_all_lost_power(context):
    assert context.counts["power losses"] == context.schedules, context.counts


@behave.then("an invariant was violated")
def step_violated(context):
    assert context.violations


@behave.then("no invariant was violated")
def step_no_violation(context):
    assert not context.violations, context.violations


@behave.then(
    "leaders changed, disks were lost and proposals were acknowledged"
)
def step_exercised(context):
    for name in ("leaders", "lost disks", "crashes", "hand-overs", "reads"):
        assert context.counts[name] >= 20, context.counts
    assert context.counts["acknowledged"] >= 500, context.counts


@behave.when(
    'schedules run over {hosts:d} hosts with "{fault}" until a check fails'
)
def step_inject_fault(context, hosts, fault):
    context.failed_after = None
    for seed in range(1000):
        try:
            consensus_explorer.run(
                seed=seed,
                hosts=hosts,
                steps=500,
                sabotage=consensus_explorer.Sabotage(fault),
            )
        except consensus_checks.ViolationError:
            context.failed_after = seed + 1
            return


@behave.then("a check failed within {count:d} schedules")
def step_detected(context, count):
    assert context.failed_after is not None
    assert context.failed_after <= count, context.failed_after
