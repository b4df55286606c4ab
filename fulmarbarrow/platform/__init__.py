"""Translates between the users' platform and the product's messages."""

from __future__ import annotations
