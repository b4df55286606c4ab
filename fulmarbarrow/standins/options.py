"""Settings of a stand-in upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class StandinOptions:
    """What a stand-in is, what it can bear and where it announces itself.

    ``offers`` are written ``service``, ``service/model`` or
    ``service/model/version``. ``entries`` are announcement addresses.
    ``batch_requests`` run at once and ``queue_requests`` wait; one more is
    refused. ``tokens_per_second`` is shared by the running requests, of
    which none is faster than one token each ``token_interval_ms``.
    ``cache_tokens`` bounds the prompt cache. Cache events are sent
    ``cache_event_delay_ms`` late and each ``cache_event_gap``-th batch is
    lost; load is reported ``load_lag_ms`` late. ``work_ms`` is the time
    that a plain service takes for a request. ``announced_port`` is that of a
    proxy before the stand-in, 0 if there is none.
    """

    upstream_id: str
    zone: str
    port: int
    offers: tuple[str, ...]
    entries: tuple[str, ...]
    key: str
    host: str = "127.0.0.1"
    announced_port: int = 0
    batch_tokens: int = 4000
    tokens_per_second: int = 2000
    token_interval_ms: float = 5
    prompt_tokens_per_second: int = 20_000
    batch_requests: int = 32
    queue_requests: int = 256
    cache_tokens: int = 200_000
    cache_event_delay_ms: int = 300
    cache_event_gap: int = 10
    load_lag_ms: int = 250
    work_ms: int = 0
    checks_fencing: bool = True
