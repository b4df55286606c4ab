"""``python -m soak``: plays seeds and prints the broken promises."""

from __future__ import annotations

import collections
import pathlib
import random
import tempfile

import fire

from soak import run as runs

SECONDS = 30.0


def main(
    *seeds: int, fresh: int = 0, seconds: float = SECONDS, logs: str = ""
) -> None:
    """Play the seeds, and ``fresh`` new ones; keep the logs in a folder.

    Ends with code 1 if a promise was broken.
    """
    source = random.SystemRandom()
    chosen = [*seeds, *(source.randrange(10**9) for _ in range(fresh))]
    failed = 0
    for seed in chosen:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(logs, str(seed)) if logs else None
            folder = folder or pathlib.Path(name)
            folder.mkdir(parents=True, exist_ok=True)
            soak = runs.Soak(seed=seed, folder=folder)
            broken = soak.play(seconds)
        statuses = collections.Counter(call.status for call in soak.calls)
        print(f"seed {seed}: {dict(sorted(statuses.items()))}", flush=True)
        for text in broken:
            print(f"  {text[:600]}", flush=True)
        failed += bool(broken)
    print(f"seeds: {len(chosen) - failed} kept all promises, {failed} did not")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
