"""Migration of model pools from one version to another."""

from __future__ import annotations
