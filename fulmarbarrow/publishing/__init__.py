"""From published files to a configuration in force."""

from __future__ import annotations
