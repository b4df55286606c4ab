"""Replicated state machine of publishing."""

from __future__ import annotations

import collections

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import edits
from fulmarbarrow.publishing import history
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing

MAX_RESULTS = 1000
REVISION_CONFLICT = "revision_conflict"
AMENDMENT_PUBLISHER = "amendment"  # publisher of revisions made by amendments


class PublishCommand(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command for a publish: a delta or a full bundle."""

    publish_id: str
    publisher: str
    base_revision: int
    digest: str
    delta: messages.Delta | None = None
    bundle: bytes = b""


class ReviseCommand(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command for a new document, as changes to the last one.

    ``delta`` changes the configuration and ``document`` is the packed
    diff of the document itself.
    """

    amend_id: str
    number: int
    delta: messages.Delta
    document: bytes


class AcceptedPublish(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The first result of a publish, returned again to retries."""

    publish_id: str
    revision: int


class StoredState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Snapshot format of the replicated state."""

    revision: int
    digest: str
    publisher: str
    bundle: bytes
    deltas: tuple[messages.Delta, ...]
    accepted: tuple[AcceptedPublish, ...]
    number: int = 0
    document: bytes = b""


class PublishedState:
    """The accepted revision, its delta history and recent publish results.

    ``document`` is the operators' newest document, packed, and ``number``
    its own version, 0 before the first document.
    """

    def __init__(self) -> None:
        self.number = 0
        self.document = b""
        self.revision = 0
        self.digest = ""
        self.publisher = ""
        self.content = deltas.Content(bundle=bundles.Bundle())
        self.history = history.History()
        self._accepted: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def to_publish_command(
        self, request: messages.PublishRequested, bundle: bundles.Bundle
    ) -> PublishCommand:
        """Return the command to replicate for a request."""
        bundle = amendments.with_rollouts(bundle, self.content.bundle())
        data = deltas.Content(bundle=bundle).encode()
        command = PublishCommand(
            publish_id=request.publish_id,
            publisher=request.publisher,
            base_revision=request.base_revision,
            digest=deltas.digest(data),
        )
        if request.base_revision != self.revision:
            return msgspec.structs.replace(command, bundle=data)
        delta = self.content.delta_to(
            bundle, base=self.revision, publisher=request.publisher
        )
        return msgspec.structs.replace(command, delta=delta)

    def apply(self, command: PublishCommand) -> messages.PublishResult:
        """Accept or reject a publish; the first one on a base wins."""
        earlier = self._accepted.get(command.publish_id)
        if earlier is not None:
            return self._result(command, "", earlier)
        if command.digest == self.digest:
            return self._result(command, "", self.revision)
        if command.base_revision != self.revision:
            return self._conflict(command)
        self._accept(command)
        return self._result(command, "", self.revision)

    def amend(self, command: amendments.AmendCommand) -> messages.AmendResult:
        """Apply an amendment unless it is a no-op or superseded."""
        amendment = command.amendment
        if not isinstance(amendment, amendments.ReplaceServices):
            self._apply_amendment(amendment, force=False)
        elif amendment.number > self.number:
            self.number = amendment.number
            self.document = amendment.document
            # Reads wait for a revision, so each document creates a new one.
            self._apply_amendment(amendment, force=True)
        return self._amend_result(command.amend_id)

    def to_publish_amendment(
        self, amendment: amendments.AnyAmendment, publish_id: str
    ) -> PublishCommand:
        """Return an amendment as a publish that is valid on this state only.

        An order without a number of its own must not be applied after what
        was accepted since.
        """
        delta = self._delta_to(amendment)
        return PublishCommand(
            publish_id=publish_id,
            publisher=AMENDMENT_PUBLISHER,
            base_revision=self.revision,
            digest=delta.digest,
            delta=delta,
        )

    def to_delta_command(
        self, command: amendments.AmendCommand
    ) -> amendments.AmendCommand | ReviseCommand:
        """Return a command as a delta to this state where possible."""
        amendment = command.amendment
        if not isinstance(amendment, amendments.ReplaceServices):
            return command
        if not self.document or amendment.number <= self.number:
            return command
        return ReviseCommand(
            amend_id=command.amend_id,
            number=amendment.number,
            delta=self._delta_to(amendment),
            document=edits.encode_diff(
                packing.unpack(self.document),
                packing.unpack(amendment.document),
            ),
        )

    def revise(self, command: ReviseCommand) -> messages.AmendResult | None:
        """Apply the changes to the document; None if the base is outdated."""
        if command.number > self.number:
            if command.delta.base != self.revision:
                return None
            base = packing.unpack(self.document)
            self.number = command.number
            self.document = packing.pack(
                edits.apply_diff(base, command.document)
            )
            self._apply_delta(command.delta)
        return self._amend_result(command.amend_id)

    def encode(self) -> bytes:
        """Return a snapshot of the state."""
        stored = StoredState(
            revision=self.revision,
            digest=self.digest,
            publisher=self.publisher,
            bundle=self.content.encode(),
            deltas=self.history.deltas,
            accepted=tuple(
                AcceptedPublish(publish_id=name, revision=number)
                for name, number in self._accepted.items()
            ),
            number=self.number,
            document=self.document,
        )
        return msgspec.msgpack.encode(stored)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        stored = msgspec.msgpack.decode(data, type=StoredState)
        self.revision = stored.revision
        self.digest = stored.digest
        self.publisher = stored.publisher
        self.number = stored.number
        self.document = stored.document
        self.content = deltas.Content(bundle=bundles.decode(stored.bundle))
        self.history = history.History(deltas=stored.deltas)
        self._accepted = collections.OrderedDict(
            (item.publish_id, item.revision) for item in stored.accepted
        )

    def _apply_amendment(
        self, amendment: amendments.AnyAmendment, *, force: bool
    ) -> None:
        """Make the amended bundle the next revision if it differs."""
        delta = self._delta_to(amendment)
        if force or delta.digest != self.digest:
            self._apply_delta(delta)

    def _delta_to(self, amendment: amendments.AnyAmendment) -> messages.Delta:
        """Return the delta from the current to the amended content."""
        return self.content.delta_to(
            amendments.apply(amendment, self.content.bundle()),
            base=self.revision,
            publisher=AMENDMENT_PUBLISHER,
        )

    def _amend_result(self, amend_id: str) -> messages.AmendResult:
        return messages.AmendResult(
            amend_id=amend_id, revision=self.revision, number=self.number
        )

    def _apply_delta(self, delta: messages.Delta) -> None:
        self.content.apply(delta)
        self.history.add(delta)
        self.revision += 1
        self.digest = delta.digest
        self.publisher = delta.publisher

    def _accept(self, command: PublishCommand) -> None:
        self._apply_delta(self._publish_delta(command))
        self._accepted[command.publish_id] = self.revision
        while len(self._accepted) > MAX_RESULTS:
            self._accepted.popitem(last=False)

    def _publish_delta(self, command: PublishCommand) -> messages.Delta:
        if command.delta is not None:
            return command.delta
        return self.content.delta_to(
            amendments.with_rollouts(
                bundles.decode(command.bundle), self.content.bundle()
            ),
            base=self.revision,
            publisher=command.publisher,
        )

    def _conflict(self, command: PublishCommand) -> messages.PublishResult:
        newer = self.history.after(command.base_revision) or ()
        differs = set().union(*map(deltas.changed_labels, newer))
        if command.delta is not None:
            differs |= deltas.changed_labels(command.delta)
        else:
            differs |= deltas.changed_labels(self._publish_delta(command))
        return messages.PublishResult(
            publish_id=command.publish_id,
            code=REVISION_CONFLICT,
            revision=self.revision,
            winner=newer[0].publisher if newer else self.publisher,
            differs=tuple(sorted(differs)),
        )

    def _result(
        self, command: PublishCommand, code: str, revision: int
    ) -> messages.PublishResult:
        return messages.PublishResult(
            publish_id=command.publish_id,
            code=code,
            revision=revision,
            winner=self.publisher,
        )
