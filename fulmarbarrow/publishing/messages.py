"""Messages on the way from published files to a configuration in force."""

from __future__ import annotations

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message

# The state machine of the configuration log that holds the revisions.
MACHINE = "publishing"


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
    ``winner`` name the accepted one.
    """

    publish_id: str
    code: str
    revision: int
    winner: str = ""
    differs: tuple[str, ...] = ()


class ConfigurationChanged(message.Message, frozen=True, kw_only=True):
    """A higher revision is now in force on this daemon."""

    revision: int
    bundle: bundles.Bundle


class DaemonInForce(message.Message, frozen=True, kw_only=True):
    """Which revision a daemon has last acknowledged."""

    daemon_id: str
    revision: int


# Messages between daemons.


class RevisionPush(message.Message, frozen=True, kw_only=True):
    """A revision for a daemon to put in force."""

    sender: str
    revision: int
    digest: str
    bundle: bytes


class RevisionAck(message.Message, frozen=True, kw_only=True):
    """A daemon has this revision in force."""

    daemon_id: str
    address: str
    revision: int


class RevisionFetch(message.Message, frozen=True, kw_only=True):
    """Asks a control host or a peer for anything above ``revision``."""

    daemon_id: str
    reply_to: str
    revision: int


PEER_MESSAGES = (RevisionPush, RevisionAck, RevisionFetch)
