"""Settings of a stand-in upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class StandinOptions:
    """What a stand-in is and where it announces itself.

    ``offers`` are written ``service``, ``service/model`` or
    ``service/model/version``. ``entries`` are announcement addresses.
    """

    upstream_id: str
    zone: str
    port: int
    offers: tuple[str, ...]
    entries: tuple[str, ...]
    key: str
    host: str = "127.0.0.1"
    batch_tokens: int = 4000
    tokens_per_second: int = 2000
    token_interval_ms: int = 5
    checks_fencing: bool = True
