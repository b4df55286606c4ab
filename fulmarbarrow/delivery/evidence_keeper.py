"""Keeps the evidence of what crashes upstreams on a control host."""

from __future__ import annotations

import datetime
import random
import typing

from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import upstreams
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

Effects = list[message.Message]


class EvidenceKeeper:
    """Takes part in the exchange of evidence without serving requests.

    So the evidence survives if all routers stop at once.
    """

    handles = (
        *evidence_exchange.PEER_MESSAGES,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        message.Tick,
    )

    def __init__(
        self,
        *,
        rng: random.Random,
        crash_limit: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._metrics = metrics
        self._pools = upstreams.UpstreamPools()
        self._exchange = evidence_exchange.EvidenceExchange(
            rng=rng, crash_limit=crash_limit, registered=self._pools
        )

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return its effects."""
        match event:
            case membership_messages.DaemonChanged():
                return self._exchange.update_daemon(event, now)
            case membership_messages.DaemonGone():
                self._exchange.remove_daemon(event)
            case membership_messages.UpstreamChanged():
                self._pools.update(event)
            case membership_messages.UpstreamGone():
                self._pools.remove(event)
            case message.Tick():
                effects, _ = self._exchange.work(now)
                return effects
            case _:
                self._metrics.count(
                    "crash_evidence_received", of=evidence_exchange.kind(event)
                )
                self._exchange.handle_peer_message(event, now)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the crashes and what is quarantined as plain data."""
        return self._exchange.dump()
