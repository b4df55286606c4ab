"""What a daemon knows of the newest accepted revision, and since when."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from fulmarbarrow.consensus import timing

MILLISECOND = datetime.timedelta(milliseconds=1)
# A group that can elect a leader has one after three attempts. Without a
# confirmation for this long, a daemon may be cut off for good and goes on with
# the newest revision that it has.
CUT_OFF_AFTER = 3 * timing.ELECTION_MAX


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """A leader's statement that ``revision`` is the newest accepted one.

    ``sender`` is the address that it came from and ``term`` the leader's
    term, 0 if a daemon of an earlier release sent it. ``question`` and
    ``asked_at`` tell which question of this daemon it answers; 0 and None if
    it answers none that this daemon still knows.
    """

    revision: int
    term: int
    sender: str
    received_at: datetime.datetime
    question: int = 0
    asked_at: datetime.datetime | None = None

    def describe(self, now: datetime.datetime) -> dict[str, typing.Any]:
        """Return the fields that log lines show."""
        return {
            "confirmed_revision": self.revision,
            "confirmed_term": self.term,
            "confirmed_by": self.sender,
            "confirmed_ms_ago": (now - self.received_at) // MILLISECOND,
            "question": self.question,
            "asked_ms_ago": (
                (now - self.asked_at) // MILLISECOND if self.asked_at else None
            ),
        }


def describe(
    confirmation: Confirmation | None, now: datetime.datetime
) -> dict[str, typing.Any]:
    """Return the log fields of a confirmation; none if there is none yet."""
    return confirmation.describe(now) if confirmation else {}
