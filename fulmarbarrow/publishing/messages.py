"""Messages of publishing, from publish request to active configuration."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message
from fulmarbarrow.publishing import amendments

# Name of the state machine on the configuration log that holds revisions.
MACHINE = "publishing"


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The change from revision ``base`` to the next one.

    ``changed`` is a packed bundle of the new and changed items, ``removed``
    the labels of the removed items, and ``digest`` that of the resulting
    bundle.
    """

    base: int
    digest: str
    publisher: str
    changed: bytes
    removed: tuple[str, ...] = ()


class PublishRequested(message.Message, frozen=True, kw_only=True):
    """An operator's request to replace the configuration.

    ``digest`` identifies the bundle, so that a retry is recognized.
    """

    publish_id: str
    publisher: str
    base_revision: int
    digest: str
    bundle: bytes


class PublishResult(message.Message, frozen=True, kw_only=True):
    """The result of a publish request.

    ``code`` is empty if the bundle was accepted as ``revision``. On a
    conflict, ``revision`` and ``winner`` are those of the accepted publish and
    ``differs`` lists the items that either of the two changed.
    """

    publish_id: str
    code: str
    revision: int
    winner: str = ""
    differs: tuple[str, ...] = ()


class AmendRequested(message.Message, frozen=True, kw_only=True):
    """An operator's request to change a part of the configuration.

    From ``until`` on the operator may have turned to another daemon, and the
    request is not proposed again; None for no such limit.
    """

    amend_id: str
    amendment: amendments.AnyAmendment
    until: datetime.datetime | None = None


class AmendAbandoned(message.Message, frozen=True, kw_only=True):
    """The operator no longer waits for the result of an amendment."""

    amend_id: str


class AmendResult(message.Message, frozen=True, kw_only=True):
    """The result of an amendment request.

    ``code`` is empty if the amendment was committed as part of ``revision``.
    Otherwise it is the reason, or says that the outcome is unknown.
    """

    amend_id: str
    code: str = ""
    revision: int = 0
    number: int = 0


class DocumentRequested(message.Message, frozen=True, kw_only=True):
    """An operator's request for the newest document, as it was sent."""

    read_id: str


class DocumentResponse(
    message.Message, frozen=True, kw_only=True, tag="DocumentGiven"
):
    """The newest document, empty if there is none yet.

    ``code`` is set if this host cannot determine the newest document.
    """

    read_id: str
    code: str = ""
    number: int = 0
    document: bytes = b""


class ConfigurationChanged(message.Message, frozen=True, kw_only=True):
    """A higher revision is now active on this daemon.

    A leader of ``term`` confirmed it at ``confirmed_at``; None if none did, as
    this side of the network is ``cut_off``.
    """

    revision: int
    bundle: bundles.Bundle
    term: int = 0
    confirmed_at: datetime.datetime | None = None
    cut_off: bool = False


class ConfigurationConfirmed(message.Message, frozen=True, kw_only=True):
    """A leader of ``term`` confirmed the active revision after a cut.

    It did so at ``confirmed_at``.
    """

    revision: int
    term: int
    confirmed_at: datetime.datetime


class DaemonRevision(
    message.Message, frozen=True, kw_only=True, tag="DaemonInForce"
):
    """The revision that a daemon acknowledged last."""

    daemon_id: str
    revision: int


class StoreRevision(message.Message, frozen=True, kw_only=True):
    """Effect: sync a revision to disk before it is activated."""

    revision: int
    digest: str
    publisher: str
    bundle: bytes


class RevisionStored(message.Message, frozen=True, kw_only=True):
    """The result of syncing a revision to disk."""

    revision: int
    stored: bool


class UnreachableDaemon(msgspec.Struct, frozen=True, kw_only=True):
    """An unreachable daemon; ``since`` is when it last answered."""

    daemon_id: str
    revision: int
    since: datetime.datetime


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Rollout of the revision in one availability zone."""

    zone: str
    daemons: int
    in_force: int
    behind: tuple[str, ...] = ()
    cut_off: tuple[UnreachableDaemon, ...] = ()


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted revision and its rollout, as one control host knows them.

    ``current`` is False on a host that reaches no leader; its answer may
    have been stale since ``leaderless_since``.
    """

    answered_by: str
    current: bool
    leader: str
    revision: int
    digest: str
    publisher: str
    zones: tuple[ZoneStatus, ...] = ()
    leaderless_since: datetime.datetime | None = None
    term: int = 0


class StatusRequested(message.Message, frozen=True, kw_only=True):
    """An operator's request for the rollout status of the revision."""

    status_id: str


class StatusResponse(
    message.Message, frozen=True, kw_only=True, tag="StatusGiven"
):
    """The answer to a status request."""

    status_id: str
    status: Status


# Messages between daemons.


class RevisionPush(message.Message, frozen=True, kw_only=True):
    """A full revision, packed, for a daemon to activate.

    ``term`` is that of the leader that confirms it as the newest one, 0 if
    none does. ``question`` is the number of the fetch that it answers, 0 if
    it was sent without one and None if an earlier release sent it.
    """

    sender: str
    revision: int
    digest: str
    bundle: bytes
    publisher: str = ""
    term: int = 0
    question: int | None = None


class RevisionDeltas(message.Message, frozen=True, kw_only=True):
    """Consecutive deltas that lead to a revision.

    The receiver forwards them to the addresses in ``relay_to``; ``control``
    is the address that acknowledgements are sent to. ``term`` is that of the
    leader that confirms the last revision as the newest one, 0 if none does.
    ``question`` is that of a RevisionPush.
    """

    sender: str
    control: str
    deltas: tuple[Delta, ...]
    relay_to: tuple[str, ...] = ()
    term: int = 0
    question: int | None = None


class RevisionNotice(message.Message, frozen=True, kw_only=True):
    """A leader of ``term`` announces the newest accepted revision.

    It is repeated until the daemon acknowledges it. ``control`` is the address
    that acknowledgements are sent to, and ``question`` that of a RevisionPush.
    """

    control: str
    revision: int
    term: int = 0
    question: int | None = None


class RevisionAck(message.Message, frozen=True, kw_only=True):
    """A daemon has activated this revision; repeated while it runs.

    ``incarnation`` is that of the daemon, 0 from an earlier release.
    """

    daemon_id: str
    address: str
    revision: int
    incarnation: int = 0


class RevisionFetch(message.Message, frozen=True, kw_only=True):
    """Asks a control host or a peer for anything newer than ``revision``.

    ``whole`` asks for the full bundle, because the deltas did not apply.
    ``confirm`` asks for a leader's confirmation as well, as ``revision`` is
    not in force yet. Answers repeat ``question``, a number that the sender
    uses once; earlier releases send 0.
    """

    daemon_id: str
    reply_to: str
    revision: int
    whole: bool = False
    confirm: bool = False
    question: int = 0


class RevisionUnconfirmed(message.Message, frozen=True, kw_only=True):
    """The answer to a fetch by a daemon that can't confirm a revision.

    It tells that ``sender`` in ``zone`` is in reach and has ``revision`` in
    force, 0 for none. A control host names the control hosts that it hears.
    Only daemons that number their fetches are sent one.
    """

    sender: str
    zone: str
    revision: int
    reached: tuple[str, ...] = ()


class StatusCall(message.Message, frozen=True, kw_only=True):
    """Another control host's status request to the leader.

    A ``brief`` answer leaves out the zones.
    """

    status_id: str
    reply_to: str
    brief: bool = False


class StatusReply(message.Message, frozen=True, kw_only=True):
    """The leader's answer to a status call."""

    status_id: str
    status: Status


# A message within a daemon.


class FetchUnconfirmed(message.Message, frozen=True, kw_only=True):
    """A control host can't confirm its revision for a fetch.

    ``reached`` are the addresses of the control hosts that it hears. The
    fetch is left to what this daemon has in force.
    """

    fetch: RevisionFetch
    reached: tuple[str, ...]


PEER_MESSAGES = (
    RevisionPush,
    RevisionDeltas,
    RevisionNotice,
    RevisionAck,
    RevisionFetch,
    RevisionUnconfirmed,
    StatusCall,
    StatusReply,
)
