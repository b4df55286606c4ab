"""Bounds the requests of this router that reach a version on trial."""

from __future__ import annotations

import collections
import zlib

from fulmarbarrow.placement import messages
from fulmarbarrow.versions import messages as versions_messages

MAX_SEEN = 8192  # requests known by id, so that a retry counts once
# Chats that may go to the new version, as a multiple of its share. The rest
# keep to the old version, whose caches have their prompts.
CHAT_FACTOR = 1.5
HASH_RANGE = 1 << 32


class Trial:
    """The versions of one service, and the requests that each one got.

    The count of requests and the bound are both of this router alone, so
    that the sum over all routers stays within the bound of the fleet.
    """

    def __init__(self, *, versions: versions_messages.ServiceVersions) -> None:
        self.versions = versions
        self.requests = 0
        self.sent = 0
        self._sent_last = False
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def bounded(self) -> bool:
        """Whether the new version gets a bounded number of requests."""
        return bool(self.versions.move_id) and not self.versions.moving

    @property
    def completed(self) -> bool:
        """Whether the move is over and the old version may be gone."""
        return self.versions.moving and not self.versions.old

    def allows(self, version: str) -> bool:
        """Return whether a version may get requests at all."""
        versions = self.versions
        if version in versions.barred:
            return False
        if not versions.move_id or not versions.old:
            return True
        return version in (versions.old, versions.new)

    def select(
        self, request: messages.PlaceRequest, *, new_usable: bool
    ) -> str:
        """Count an attempt and return the version that it goes to."""
        self._count(request)
        versions = self.versions
        if request.version:
            self.sent += request.version == versions.new
            return request.version
        if not versions.move_id:
            return ""
        self._sent_last = new_usable and self._may_send(request)
        if self._sent_last:
            self.sent += 1
            return versions.new
        return versions.old

    def take_back(self) -> str:
        """Undo a selection that was not sent; return the other version."""
        self.sent -= 1
        self._sent_last = False
        return self.versions.old

    def _may_send(self, request: messages.PlaceRequest) -> bool:
        versions = self.versions
        if versions.moving:
            return True
        # A request that has failed already is not risked again.
        if request.excluded or versions.share <= 0:
            return False
        limit = versions.share * self.requests
        # Requests of the slack alternate between the versions, so that both
        # are compared under the same load.
        if not self._sent_last:
            limit += versions.slack
        if self.sent + 1 > limit:
            return False
        if not request.model:
            return True
        place = zlib.crc32(request.chat.encode()) / HASH_RANGE
        return place < CHAT_FACTOR * versions.share

    def _count(self, request: messages.PlaceRequest) -> None:
        if request.request_id in self._seen:
            return
        self.requests += 1
        self._seen[request.request_id] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)


class Trials:
    """The trials of all services."""

    def __init__(self) -> None:
        self._trials: dict[str, Trial] = {}

    def set(self, versions: versions_messages.ServiceVersions) -> None:
        """Apply the versions of a service; a new move starts its counts."""
        trial = self._trials.get(versions.service)
        if not versions.move_id and not versions.barred:
            self._trials.pop(versions.service, None)
        elif trial is None or trial.versions.move_id != versions.move_id:
            self._trials[versions.service] = Trial(versions=versions)
        else:
            trial.versions = versions

    def get(self, service: str) -> Trial | None:
        """Return the trial of a service, if any."""
        return self._trials.get(service)

    def allows(self, service: str, version: str) -> bool:
        """Return whether a version of a service may get requests."""
        trial = self._trials.get(service)
        return trial is None or trial.allows(version)
