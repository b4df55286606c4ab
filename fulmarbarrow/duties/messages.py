"""Messages about duties that one host at a time performs."""

from __future__ import annotations

import datetime
import enum

from fulmarbarrow import message

MACHINE = "duties"  # name of the state machine on the replicated log


class Duty(enum.StrEnum):
    """Work at the platform that must not be done by two hosts at a time."""

    USAGE = "usage"
    SCALING = "scaling"


class CallOutcome(enum.StrEnum):
    """What is known of a call to the platform.

    - ``ACCEPTED``: it was carried out.
    - ``SUPERSEDED``: it was refused, because the platform has seen a higher
      fencing number for the subject.
    - ``LIMITED``: it was refused because there were too many calls.
    - ``REFUSED``: it was refused for another reason.
    - ``NOT_SENT``: no byte of it has left this host.
    - ``UNKNOWN``: it may have been carried out, or may be carried out later.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    LIMITED = "limited"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a host no longer holds a duty for a subject."""

    LEASE_ENDED = "lease ended"
    LEAVING = "host stops"
    UNREACHABLE = "platform unreachable"
    REFUSED = "number refused"
    UNWANTED = "no longer wanted"
    REPLACED = "granted to another host"


class SubjectsWanted(message.Message, frozen=True, kw_only=True):
    """The subjects of a duty that some host should hold.

    Replaces the subjects that the same duty had before on this host.
    """

    duty: Duty
    subjects: tuple[str, ...]


class DutyHeld(message.Message, frozen=True, kw_only=True):
    """This host holds a duty for a subject until ``until``.

    Posted when the host gains it and at each renewal. ``number`` is the
    fencing number of its calls.
    """

    duty: Duty
    subject: str
    number: int
    until: datetime.datetime


class DutyLost(message.Message, frozen=True, kw_only=True):
    """This host no longer holds a duty for a subject."""

    duty: Duty
    subject: str
    number: int
    reason: str


class DutyRefused(message.Message, frozen=True, kw_only=True):
    """The platform has refused ``number`` for a subject; give it up."""

    duty: Duty
    subject: str
    number: int


class PlatformUnreachable(message.Message, frozen=True, kw_only=True):
    """Calls of this host do not reach the platform; hand its duty over."""

    duty: Duty


class CallEnded(message.Message, frozen=True, kw_only=True):
    """The end of a call to the platform.

    ``retry_after`` is set if the platform named a time.
    """

    call_id: str
    outcome: CallOutcome
    retry_after: datetime.timedelta | None = None


# Messages between daemons.


class HolderAnnounced(message.Message, frozen=True, kw_only=True):
    """A control host tells routers that it holds a duty.

    An announcement with a lower ``number`` than a known one is ignored.
    """

    duty: Duty
    holder: str
    address: str
    number: int


class RenewDuties(message.Message, frozen=True, kw_only=True):
    """A control host reports to the leader of the log.

    It makes the host a candidate, asks for a renewal of the tenures that it
    holds, and repeats what it gave up until the log has another state.
    ``held`` are pairs of a duty and a tenure, ``released`` also have the
    reason, and ``refused`` are the numbers of which the platform has refused
    a subject. With ``leaving``, the host takes no duty any more.
    """

    holder: str
    incarnation: int
    zone: str
    address: str
    sequence: int
    held: tuple[tuple[Duty, int], ...] = ()
    released: tuple[tuple[Duty, int, Reason], ...] = ()
    refused: tuple[tuple[Duty, int], ...] = ()
    leaving: bool = False


class DutiesRenewed(message.Message, frozen=True, kw_only=True):
    """The leader confirms tenures as of the request ``sequence``."""

    incarnation: int
    sequence: int
    tenures: tuple[tuple[Duty, int], ...]


PEER_MESSAGES: tuple[type[message.Message], ...] = (
    HolderAnnounced,
    RenewDuties,
    DutiesRenewed,
)
