"""Entry point of the operators' command line."""

from __future__ import annotations

import sys

import fire

from fulmarbarrow.commands import check
from fulmarbarrow.commands import dump
from fulmarbarrow.commands import key
from fulmarbarrow.commands import publish
from fulmarbarrow.commands import record
from fulmarbarrow.commands import replay
from fulmarbarrow.commands import status
from fulmarbarrow import exceptions

COMMANDS = {
    "check": check.check,
    "dump": dump.dump,
    "key": key.key,
    "publish": publish.publish,
    "record": record.record,
    "replay": replay.replay,
    "status": status.status,
}


def main() -> None:
    """Run the command line; exit with the code of a FulmarbarrowError."""
    try:
        fire.Fire(COMMANDS, name="fulmarbarrow")
    except exceptions.FulmarbarrowError as error:
        print(f"fulmarbarrow: {error.code}: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from None


if __name__ == "__main__":
    main()
