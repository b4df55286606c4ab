"""Taking an availability zone out and bringing it back."""

from __future__ import annotations
