"""Messages on the way from published files to a configuration in force."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message
from fulmarbarrow.publishing import amendments

# The state machine of the configuration log that holds the revisions.
MACHINE = "publishing"


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What turns revision ``base`` into the next one.

    ``changed`` is a packed bundle of the new and changed items, ``removed``
    the labels of the others; ``digest`` is that of the whole result.
    """

    base: int
    digest: str
    publisher: str
    changed: bytes
    removed: tuple[str, ...] = ()


class PublishRequested(message.Message, frozen=True, kw_only=True):
    """An operator asks to replace the configuration.

    ``digest`` identifies the bundle, so that a resend is recognised.
    """

    publish_id: str
    publisher: str
    base_revision: int
    digest: str
    bundle: bytes


class PublishResult(message.Message, frozen=True, kw_only=True):
    """The bundle was accepted as ``revision``, or lost against another.

    ``code`` is empty when it was accepted. On a conflict ``revision`` and
    ``winner`` name the accepted one and ``differs`` the items that either
    of the two changed.
    """

    publish_id: str
    code: str
    revision: int
    winner: str = ""
    differs: tuple[str, ...] = ()


class AmendRequested(message.Message, frozen=True, kw_only=True):
    """An operator asks to change a part of the configuration."""

    amend_id: str
    amendment: amendments.AnyAmendment


class AmendResult(message.Message, frozen=True, kw_only=True):
    """The amendment is committed, as part of ``revision``.

    Otherwise ``code`` says why not, or that this is not known.
    """

    amend_id: str
    code: str = ""
    revision: int = 0
    number: int = 0


class DocumentRequested(message.Message, frozen=True, kw_only=True):
    """An operator asks for the newest document, as it was sent."""

    read_id: str


class DocumentGiven(message.Message, frozen=True, kw_only=True):
    """The newest document, empty if there is none yet.

    ``code`` says that this host can't be sure which one is the newest.
    """

    read_id: str
    code: str = ""
    number: int = 0
    document: bytes = b""


class ConfigurationChanged(message.Message, frozen=True, kw_only=True):
    """A higher revision is now in force on this daemon."""

    revision: int
    bundle: bundles.Bundle


class DaemonInForce(message.Message, frozen=True, kw_only=True):
    """Which revision a daemon has last acknowledged."""

    daemon_id: str
    revision: int


class StoreRevision(message.Message, frozen=True, kw_only=True):
    """Effect: sync a revision before it is put in force."""

    revision: int
    digest: str
    publisher: str
    bundle: bytes


class RevisionStored(message.Message, frozen=True, kw_only=True):
    """The revision is synced, or could not be."""

    revision: int
    stored: bool


class CutOff(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon that does not answer; ``since`` is its last answer."""

    daemon_id: str
    revision: int
    since: datetime.datetime


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How far the revision has come in one availability zone."""

    zone: str
    daemons: int
    in_force: int
    behind: tuple[str, ...] = ()
    cut_off: tuple[CutOff, ...] = ()


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The revision in force as one control host knows it.

    ``current`` is False on a host that reaches no leader; its answer may be
    old since ``leaderless_since``.
    """

    answered_by: str
    current: bool
    leader: str
    revision: int
    digest: str
    publisher: str
    zones: tuple[ZoneStatus, ...] = ()
    leaderless_since: datetime.datetime | None = None


class StatusRequested(message.Message, frozen=True, kw_only=True):
    """An operator asks how far the revision has come."""

    status_id: str


class StatusGiven(message.Message, frozen=True, kw_only=True):
    """The answer to a request for the status."""

    status_id: str
    status: Status


# Messages between daemons.


class RevisionPush(message.Message, frozen=True, kw_only=True):
    """A whole revision, packed, for a daemon to put in force."""

    sender: str
    revision: int
    digest: str
    bundle: bytes
    publisher: str = ""


class RevisionDeltas(message.Message, frozen=True, kw_only=True):
    """The steps to a revision, each on top of the one before.

    The receiver passes it on to the addresses in ``relay_to``; ``control``
    is where acknowledgements go.
    """

    sender: str
    control: str
    deltas: tuple[Delta, ...]
    relay_to: tuple[str, ...] = ()


class RevisionNotice(message.Message, frozen=True, kw_only=True):
    """Tells the accepted revision to a daemon that has not acknowledged."""

    control: str
    revision: int


class RevisionAck(message.Message, frozen=True, kw_only=True):
    """A daemon has this revision in force; renewed while it lives."""

    daemon_id: str
    address: str
    revision: int


class RevisionFetch(message.Message, frozen=True, kw_only=True):
    """Asks a control host or a peer for anything above ``revision``.

    With ``whole`` no deltas are wanted, as they did not fit.
    """

    daemon_id: str
    reply_to: str
    revision: int
    whole: bool = False


class StatusCall(message.Message, frozen=True, kw_only=True):
    """Another control host asks the leader for the status."""

    status_id: str
    reply_to: str


class StatusReply(message.Message, frozen=True, kw_only=True):
    """The leader's answer to a status call."""

    status_id: str
    status: Status


PEER_MESSAGES = (
    RevisionPush,
    RevisionDeltas,
    RevisionNotice,
    RevisionAck,
    RevisionFetch,
    StatusCall,
    StatusReply,
)
