"""The daemon's program."""

from __future__ import annotations

from fulmarbarrow.daemon import starting  # isort: skip, it takes the time

import pathlib

import fire


def run(settings: str) -> None:
    """Run a daemon.

    Args:
        settings: the path of its settings, a TOML file
    """
    starting.run(pathlib.Path(str(settings)))


def main() -> None:
    """Run the program."""
    fire.Fire(run, name="fulmarbarrowd")


if __name__ == "__main__":
    main()
