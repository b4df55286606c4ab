"""Programs of the repository that are not part of the product."""

from __future__ import annotations
