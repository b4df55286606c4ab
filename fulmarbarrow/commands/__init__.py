"""Subcommands of the operators' command line, a module each."""

from __future__ import annotations
