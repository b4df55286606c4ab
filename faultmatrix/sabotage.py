"""Mechanisms switched off, to prove that the checks notice it."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import typing

import msgspec

from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages as zones_messages

Tamper = collections.abc.Callable[
    [str, str, message.Message, datetime.datetime], message.Message | None
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sabotage:
    """A mechanism switched off.

    ``tamper`` gets the names of host and core, a message on its way to the
    core and the time; what it returns is handled instead, None is dropped.
    ``reroute`` sends every attempt to the first upstream of its service;
    ``cuts_stops`` ends a stopping host without waiting for its requests. The
    load lasts ``load_longer`` than in other cells, for effects that show late.
    """

    tamper: Tamper | None = None
    reroute: bool = False
    cuts_stops: bool = False
    load_longer: datetime.timedelta = datetime.timedelta()


def _drop(*kinds: type, core: str, host: str = "") -> Tamper:
    """Return a tamper that keeps some messages from one core."""

    def tamper(
        on: str, to: str, event: message.Message, now: datetime.datetime
    ) -> message.Message | None:
        hit = to == core and isinstance(event, kinds)
        return None if hit and host in ("", on) else event

    return tamper


def _always_may_dispatch(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> message.Message:
    if to != "delivery" or not isinstance(
        event, journal_messages.IntendResult
    ):
        return event
    return msgspec.structs.replace(
        event,
        standing=journal_messages.EntryStanding.MAY_DISPATCH,
        dispatch_until=now + datetime.timedelta(seconds=5),
    )


def _trusts_echoes(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> message.Message:
    if to == "delivery" and isinstance(event, delivery_messages.AttemptData):
        return msgspec.structs.replace(event, echoed=())
    return event


def _never_hears_of_leaving(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> message.Message:
    if to != "placement" or not isinstance(
        event, membership_messages.UpstreamChanged
    ):
        return event
    serving = membership_messages.UpstreamState.SERVING
    upstream = msgspec.structs.replace(event.upstream, state=serving)
    return membership_messages.UpstreamChanged(upstream=upstream)


def _calls_everything_not_run(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> message.Message:
    refused = isinstance(event, delivery_messages.RequestRefused)
    if to == EDGE and refused:
        return msgspec.structs.replace(event, ran=delivery_messages.Ran.NO)
    return event


def _sends_to_bad_versions(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> message.Message | None:
    """Keep from placement what a version's shares and failures tell."""
    if to != "placement":
        return event
    if isinstance(event, versions_messages.VersionShares):
        return None
    if isinstance(event, placement_messages.WorkEnded):
        return msgspec.structs.replace(
            event, outcome=placement_messages.WorkOutcome.COMPLETED
        )
    return event


def _raises(
    on: str, to: str, event: message.Message, now: datetime.datetime
) -> typing.NoReturn:
    raise RuntimeError("a fault in a core")


EDGE = "edge"

SABOTAGES: dict[str, Sabotage] = {
    "load bound": Sabotage(reroute=True),
    "ramp": Sabotage(reroute=True),
    "zone out": Sabotage(
        tamper=_drop(zones_messages.ZoneWeights, core="placement")
    ),
    "bad version": Sabotage(
        tamper=_sends_to_bad_versions,
        # The move is judged 2 s before the load of other cells ends.
        load_longer=datetime.timedelta(seconds=4),
    ),
    "whole answer": Sabotage(tamper=_trusts_echoes),
    "not run": Sabotage(tamper=_calls_everything_not_run),
    "at most once": Sabotage(tamper=_always_may_dispatch),
    "leaving": Sabotage(tamper=_never_hears_of_leaving),
    "graceful stop": Sabotage(cuts_stops=True),
    "configuration": Sabotage(
        tamper=_drop(
            publishing_messages.RevisionPush,
            publishing_messages.RevisionDeltas,
            core="publishing",
            host="entry-b2",
        )
    ),
    "no error in a core": Sabotage(tamper=_raises),
}
