"""What a daemon knows of the newest accepted revision, and since when."""

from __future__ import annotations

import dataclasses
import datetime
import typing

MILLISECOND = datetime.timedelta(milliseconds=1)


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

    @property
    def valid_at(self) -> datetime.datetime:
        """When the statement held: when the question was asked, if known."""
        return self.asked_at or self.received_at

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
