"""Whether a daemon may act on replicated state.

Nothing is enforced, refused, read or handed out on a state that its holder
can't know to be as new as what was acknowledged. Two things let a daemon act:

- A leader has confirmed the state. On the leader itself that is its lease; on
  every other daemon it is the answer to a question that was asked after the
  daemon started, and not longer ago than a change may take to come into force.
- The daemon is on a side of the network without a majority of the control
  hosts. It goes on with what it holds.

That no leader was heard for some time is no evidence of either.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import typing

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import timing

# Interval in which a daemon has asked each control host and daemons of other
# zones, several times each.
EVIDENCE_WINDOW = 3 * timing.ELECTION_MAX
# Time in which a change has to be in force everywhere. The state of an older
# confirmation may have been replaced for longer than that.
CONFIRMATION_LIFETIME = datetime.timedelta(seconds=2)
# Answers to older questions are not attributed to a question any more.
MAX_QUESTIONS = 64


class Basis(enum.StrEnum):
    """What allows a daemon to act on the state that it holds."""

    NONE = "none"
    CONFIRMED = "confirmed"
    CUT_OFF = "cut_off"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contact:
    """A daemon in reach, and what it told.

    ``version`` is the highest one of the state on which it acted, 0 if none,
    and ``reached`` the addresses of the control hosts that it heard.
    """

    zone: str
    heard_at: datetime.datetime
    version: int = 0
    reached: tuple[str, ...] = ()


def has_lease(
    leader: messages.LeaderChanged | None,
    daemon_id: str,
    now: datetime.datetime,
) -> bool:
    """Return whether a control host leads and no other one can lead yet.

    During a transfer of leadership a host leads without a lease.
    """
    if leader is None or leader.leader != daemon_id:
        return False
    return leader.lease_until is not None and now < leader.lease_until


class Questions:
    """The numbers of the questions of one process, and when each was asked."""

    def __init__(self, *, first: int) -> None:
        self._last = first
        self._asked: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )

    def ask(self, now: datetime.datetime) -> int:
        """Return the number of a question that is asked now."""
        self._last += 1
        self._asked[self._last] = now
        if len(self._asked) > MAX_QUESTIONS:
            self._asked.popitem(last=False)
        return self._last

    def asked_at(self, question: int | None) -> datetime.datetime | None:
        """Return when this process asked a question, None if it did not."""
        return self._asked.get(question or 0)


class Evidence:
    """What a daemon that starts knows of the network around it.

    Versions are those of the replicated state, and increase.
    """

    def __init__(self, *, zone: str, address: str) -> None:
        self._zone = zone
        self._address = address
        self._started_at: datetime.datetime | None = None
        self._contacts: dict[str, Contact] = {}
        self._zones: dict[str, str] = {}
        self._control: set[str] = set()
        self._other_roles: set[str] = set()
        self._confirmed_at: datetime.datetime | None = None
        self._newest_version = 0

    def start(self, now: datetime.datetime) -> None:
        """Note when this daemon started; later calls have no effect."""
        if self._started_at is None:
            self._started_at = now

    def learn_daemon(self, address: str, zone: str, *, control: bool) -> None:
        """Note the zone of a daemon and whether it is a control host.

        It is kept when the daemon is gone: a host that is down in a zone that
        can be reached is not beyond a cut.
        """
        self._zones[address] = zone
        if control:
            self._control.add(address)
        else:
            self._control.discard(address)
            self._other_roles.add(address)

    def learn_seeds(self, addresses: typing.Iterable[str]) -> None:
        """Note addresses at which control hosts may be."""
        self._control.update(set(addresses) - self._other_roles)

    def announce(self, version: int) -> None:
        """Note that a leader has accepted ``version``, now or earlier."""
        self._newest_version = max(self._newest_version, version)

    def confirm(self, version: int, asked_at: datetime.datetime) -> None:
        """Note a leader's answer that ``version`` is the newest one.

        It holds as of the question: newer ones may have been accepted while
        the answer was on its way.
        """
        self.announce(version)
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def is_confirmed(self, now: datetime.datetime) -> bool:
        """Return whether a leader told the newest version lately."""
        at = self._confirmed_at
        return at is not None and now - at < CONFIRMATION_LIFETIME

    def hear(
        self,
        address: str,
        now: datetime.datetime,
        *,
        zone: str = "",
        version: int = 0,
        reached: tuple[str, ...] = (),
    ) -> None:
        """Note that a daemon is in reach, and what it told, if anything.

        A daemon whose zone is not known is not counted.
        """
        zone = zone or self._zones.get(address, "")
        if not zone:
            return
        known = self._contacts.get(address)
        self._zones[address] = zone
        self._contacts[address] = Contact(
            zone=zone,
            heard_at=now,
            version=max(version, known.version if known else 0),
            reached=reached or (known.reached if known else ()),
        )

    def basis(self, version: int, now: datetime.datetime) -> Basis:
        """Return what allows this daemon to act on ``version``."""
        if version < self._newest_version:
            # It is known to be replaced, cut off or not.
            return Basis.NONE
        if self.is_confirmed(now):
            return Basis.CONFIRMED
        if not self.is_cut_off(now):
            return Basis.NONE
        newest_here = max(
            (contact.version for _, contact in self._recent(now)), default=0
        )
        return Basis.CUT_OFF if version >= newest_here else Basis.NONE

    def is_cut_off(self, now: datetime.datetime) -> bool:
        """Return whether this side of the network has no majority.

        Control hosts that don't answer count for this side if they may only be
        down: if others of their zone answer or, as long as their zone is not
        known, any daemon of another zone.
        """
        started = self._started_at
        if started is None or now - started < EVIDENCE_WINDOW:
            return False
        hosts = self._control | {
            address
            for _, contact in self._recent(now)
            for address in contact.reached
        }
        here = sum(self._is_here(address, now) for address in hosts)
        return 2 * here <= len(hosts)

    def answering(self, now: datetime.datetime) -> list[str]:
        """Return the addresses of the daemons that answer."""
        return sorted(address for address, _ in self._recent(now))

    def describe(self, now: datetime.datetime) -> dict[str, typing.Any]:
        """Return the fields that log lines show."""
        hosts = sorted(self._control)
        return {
            "answering": self.answering(now),
            "zones_answering": sorted(self._zones_answering(now)),
            "control_hosts": hosts,
            "control_hosts_here": [
                address for address in hosts if self._is_here(address, now)
            ],
        }

    def _recent(self, now: datetime.datetime) -> list[tuple[str, Contact]]:
        return [
            (address, contact)
            for address, contact in self._contacts.items()
            if now - contact.heard_at < EVIDENCE_WINDOW
        ]

    def _zones_answering(self, now: datetime.datetime) -> set[str]:
        """Return this zone and those of which a daemon answers."""
        return {self._zone, *(item.zone for _, item in self._recent(now))}

    def _is_here(self, address: str, now: datetime.datetime) -> bool:
        """Whether a control host is, or may be, on this side of a cut."""
        if address == self._address:
            return True
        recent = dict(self._recent(now))
        if address in recent:
            return True
        if any(address in item.reached for item in recent.values()):
            return True
        zones = self._zones_answering(now)
        zone = self._zones.get(address)
        return zone in zones if zone else len(zones) > 1
