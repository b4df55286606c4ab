from __future__ import annotations

__version__ = "0.46.3"
