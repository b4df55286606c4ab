"""The operators of the fake fleet: what they publish."""

from __future__ import annotations

import datetime
import itertools
import typing

from faultmatrix import calling
from faultmatrix import host as hosts
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import messages as publishing_messages

RETRY_PUBLISH = datetime.timedelta(seconds=1)
MAX_TRIES = 8
MOVE_LENGTH = datetime.timedelta(seconds=20)


class Operators:
    """Publishes bundles, again and again until there is a result."""

    def __init__(self, *, fleet: typing.Any) -> None:
        self._fleet = fleet
        self._timeline = fleet.timeline
        self._rng = fleet.rng
        self._numbers = itertools.count(1)
        self._revision = 0
        self.bundle = bundles.Bundle()
        self.published_digests: dict[str, str] = {}

    def attach(self, host: hosts.Host) -> None:
        """Take the results that a host gives."""
        self._fleet.edge(
            host, publishing_messages.PublishResult, self._publish_result
        )

    def publish(self, bundle: bundles.Bundle, publisher: str = "ada") -> None:
        """Publish a bundle until it is accepted or another one wins."""
        self.bundle = bundle
        number = next(self._numbers)
        self._publish_again(bundle, publisher, f"publish-{number}", 0)

    def _publish_again(
        self,
        bundle: bundles.Bundle,
        publisher: str,
        publish_id: str,
        tries: int,
    ) -> None:
        done = any(
            getattr(watcher, "results", {}).get(publish_id)
            for watcher in self._fleet.watchers
        )
        near = self._fleet.live(defaults.Role.CONTROL)
        if done or not near or tries > MAX_TRIES:
            return
        data = bundles.encode(bundle)
        content = deltas.Content(bundle=bundle).encode()
        digest = deltas.digest(content)
        self.published_digests[publish_id] = digest
        request = publishing_messages.PublishRequested(
            publish_id=publish_id,
            publisher=publisher,
            base_revision=self._revision,
            digest=digest,
            bundle=data,
        )
        host = self._fleet.leader() if tries == 0 else self._rng.choice(near)
        (host or near[0]).take(request)
        self._timeline.after(
            RETRY_PUBLISH,
            self._publish_again,
            bundle,
            publisher,
            publish_id,
            tries + 1,
        )

    def first_bundle(self) -> bundles.Bundle:
        """Return the configuration that the fleet starts with."""
        accounts = tuple(
            bundles.Account(
                name=name, key_salt="salt", key_digest=name, weight=weight
            )
            for name, weight in (("patras", 1.0), ("volos", 2.0))
        )
        chat = bundles.Service(
            name=calling.CHAT_SERVICE,
            kind=bundles.ServiceKind.MODEL,
            routes=(bundles.Route(path="/v1/chat/completions", worth=2.0),),
            models=(bundles.Model(name=calling.CHAT_MODEL, version="1"),),
        )
        plain = bundles.Service(
            name=calling.PLAIN_SERVICE,
            kind=bundles.ServiceKind.PLAIN,
            routes=(
                bundles.Route(path="/register", methods=("GET",)),
                bundles.Route(
                    path="/register/orders", idempotent=False, worth=10.0
                ),
            ),
        )
        zones = tuple(
            bundles.Zone(name=zone, region="attica") for zone in hosts.ZONES
        )
        return bundles.Bundle(
            service=(chat, plain), account=accounts, zone=zones
        )

    def version_move(self, move_id: str = "move-1") -> bundles.VersionMove:
        """Return a move of the model from version 1 to 2."""
        return bundles.VersionMove(
            id=move_id,
            service=calling.CHAT_SERVICE,
            model=calling.CHAT_MODEL,
            old="1",
            new="2",
            deadline=self._timeline.now + MOVE_LENGTH,
            share_cap=0.2,
        )

    def _publish_result(
        self, host: hosts.Host, event: publishing_messages.PublishResult
    ) -> None:
        self._revision = max(self._revision, event.revision)
        for watcher in self._fleet.watchers:
            watcher.published(event)
