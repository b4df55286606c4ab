"""Loading and validation of daemon settings and configuration files."""

from __future__ import annotations
