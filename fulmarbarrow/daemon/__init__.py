"""Assembly of the roles, listeners and the graceful shutdown."""

from __future__ import annotations
