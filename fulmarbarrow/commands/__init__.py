"""Subcommands of the operators' command line, one module each."""

from __future__ import annotations
