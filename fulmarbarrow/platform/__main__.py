"""The daemon as the platform runs it: its only word is the settings' path.

It does without the command line's library, whose import is a sixth of the
time that a control host takes to start.
"""

from __future__ import annotations

from fulmarbarrow.daemon import starting  # isort: skip, it takes the time

import pathlib
import sys

if __name__ == "__main__":
    starting.run(pathlib.Path(sys.argv[1]))
