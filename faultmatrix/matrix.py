"""All cells of the matrix, and the running of many."""

from __future__ import annotations

import collections
import collections.abc
import concurrent.futures as futures
import dataclasses
import functools
import itertools
import random
import traceback

from faultmatrix import cell as cells
from faultmatrix.checks import base
from faultmatrix import faults
from faultmatrix import sabotage as sabotages

SEED = 1
PROCESSES = 5
CHUNK = 8
CORE_ERROR = "no error in a core"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tally:
    """The outcome of many cells.

    ``not_reached`` counts cells whose step did not happen.
    """

    run: int
    not_reached: int
    breaches: tuple[tuple[cells.Cell, base.Breach], ...]

    @property
    def by_check(self) -> collections.Counter[str]:
        """The number of cells with a breach, by check."""
        seen = {(cell, breach.check) for cell, breach in self.breaches}
        return collections.Counter(check for _, check in seen)


def steps(seed: int = SEED) -> list[str]:
    """Return every message type that a run without faults handles."""
    return sorted(cells.play(cells.Cell(seed=seed)).steps)


def single_cells(seed: int = SEED) -> list[cells.Cell]:
    """Return every fault at every step."""
    return [
        cells.Cell(
            seed=seed, injections=(cells.Injection(fault=fault, step=step),)
        )
        for fault in faults.FAULTS
        for step in steps(seed)
    ]


def paired_cells(count: int, seed: int = SEED) -> list[cells.Cell]:
    """Return a sample of two faults, the second at a step after the first.

    Two lost disks are left out: of three control hosts the log bears one.
    """
    source = random.Random(seed)
    names, places = sorted(faults.FAULTS), steps(seed)
    pairs = [
        pair
        for pair in itertools.product(names, names)
        if pair != (faults.DISK_LOST, faults.DISK_LOST)
    ]
    return [
        cells.Cell(
            seed=seed + number,
            injections=tuple(
                cells.Injection(fault=fault, step=source.choice(places))
                for fault in source.choice(pairs)
            ),
        )
        for number in range(count)
    ]


def sample(count: int, seed: int = SEED) -> list[cells.Cell]:
    """Return a fixed part of the single cells, each fault in turn."""
    everything = single_cells(seed)
    stride = max(1, len(everything) // count)
    return everything[seed % stride :: stride]


def run(
    chosen: collections.abc.Sequence[cells.Cell],
    processes: int = PROCESSES,
    *,
    switched_off: str = "",
) -> Tally:
    """Play cells in several processes and gather their breaches.

    ``switched_off`` names the check whose mechanism is switched off.
    """
    play_cell = functools.partial(_play_switched_off, switched_off)
    chunk = max(1, min(CHUNK, len(chosen) // processes))
    with futures.ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(play_cell, chosen, chunksize=chunk))
    return Tally(
        run=len(results),
        not_reached=sum(not result.reached for result in results),
        breaches=tuple(
            (result.cell, breach)
            for result in results
            for breach in result.breaches
        ),
    )


def _play_switched_off(check: str, cell: cells.Cell) -> cells.Result:
    """Play a cell; a sabotage can't be sent to another process."""
    return play(cell, sabotages.SABOTAGES[check] if check else None)


def play(
    cell: cells.Cell, sabotage: sabotages.Sabotage | None = None
) -> cells.Result:
    """Play a cell; an error in a core is a breach."""
    try:
        return cells.play(cell, sabotage)
    except Exception as error:
        place = traceback.extract_tb(error.__traceback__)[-1]
        breach = base.Breach(
            check=CORE_ERROR,
            at=None,
            text=f"{error!r} at {place.filename.rpartition('/')[2]}"
            f":{place.lineno}",
        )
        return cells.Result(
            cell=cell,
            reached=True,
            steps=frozenset(),
            calls=0,
            answered=0,
            breaches=(breach,),
        )
