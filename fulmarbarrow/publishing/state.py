"""The replicated state of publishing."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.publishing import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Revision:
    """One accepted revision of the configuration."""

    number: int
    digest: str
    publisher: str
    bundle: bytes


EMPTY = Revision(number=0, digest="", publisher="", bundle=b"{}")


def decide(
    current: Revision, request: messages.PublishRequested
) -> tuple[Revision, messages.PublishResult]:
    """Return the revision after a request and the publisher's result."""
    if request.digest == current.digest:
        return current, _result(request, "", current)
    if request.base_revision != current.number:
        return current, _result(request, "revision_conflict", current)
    accepted = Revision(
        number=current.number + 1,
        digest=request.digest,
        publisher=request.publisher,
        bundle=request.bundle,
    )
    return accepted, _result(request, "", accepted)


def _result(
    request: messages.PublishRequested, code: str, revision: Revision
) -> messages.PublishResult:
    return messages.PublishResult(
        publish_id=request.publish_id,
        code=code,
        revision=revision.number,
        winner=revision.publisher,
    )
