"""``fulmarbarrow publish``: publishes files to the whole fleet."""

from __future__ import annotations

import getpass
import sys
import time
import uuid

import msgspec

from fulmarbarrow.commands import check
from fulmarbarrow.commands import client
from fulmarbarrow.commands import fleet_status
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.edge import admin as admin_edge
from fulmarbarrow import exceptions
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import messages

POLL_SECONDS = 0.2
# Error codes after which the same publish can safely be sent again.
RESEND_CODES = ("no_quorum", "outcome_unknown")


def publish(
    *roots: str,
    admin: str,
    base: int | None = None,
    wait: float = 19.0,
    publish_id: str = "",
    json: bool = False,
) -> str:
    """Publish all files below the given folders; wait until in force.

    Args:
        roots: the folders to search
        admin: a control host's admin address
        base: the revision that the files replace, by default the latest
        wait: how long to wait for the outcome, in seconds
        publish_id: the id of an earlier publish whose outcome is unknown
        json: print the final status as JSON
    """
    encoded_bundle = bundles.encode(check.load_bundle(roots))
    operation = PublishOperation(
        admin=admin,
        encoded_bundle=encoded_bundle,
        base=base,
        publish_id=publish_id or uuid.uuid4().hex,
        deadline=time.monotonic() + wait,
    )
    status = client.run(operation.run)
    if json:
        return msgspec.json.format(msgspec.json.encode(status)).decode()
    return (
        f"revision {operation.revision} in force on "
        f"{operation.daemons} daemons"
    )


class PublishOperation:
    """A publish that is resent until its outcome is known."""

    def __init__(
        self,
        *,
        admin: str,
        encoded_bundle: bytes,
        base: int | None,
        publish_id: str,
        deadline: float,
    ) -> None:
        self._admin = admin
        self._encoded_bundle = encoded_bundle
        self._base = base
        self._publish_id = publish_id
        self._deadline = deadline
        self._last_progress = ""
        self.revision = 0
        self.daemons = 0

    async def run(self) -> messages.Status:
        """Publish and wait; raise ConflictError or NotInForceError."""
        if self._base is None:
            self._base = (await fleet_status.fetch(self._admin)).revision
        answer = await self._send()
        self.revision = answer.revision
        print(f"accepted as revision {answer.revision}", file=sys.stderr)
        return await self._wait_until_in_force()

    async def _send(self) -> admin_edge.PublishAnswer:
        body = admin_edge.PublishBody(
            publish_id=self._publish_id,
            publisher=getpass.getuser(),
            base_revision=self._base or 0,
            digest=deltas.digest(self._encoded_bundle),
            bundle=msgspec.Raw(self._encoded_bundle),
        )
        while True:
            response = await client.post_json(
                self._admin, "/v1/publish", msgspec.json.encode(body)
            )
            answer = msgspec.convert(response, admin_edge.PublishAnswer)
            if answer.code not in RESEND_CODES:
                break
            if time.monotonic() > self._deadline:
                raise exceptions.NotInForceError(
                    f"not known to be accepted ({answer.code}); publish "
                    f"again with --publish_id={self._publish_id} "
                    f"--base={self._base}"
                )
            await _sleep_poll_interval()
        if answer.code == "revision_conflict":
            raise exceptions.ConflictError(
                f"revision {self._base} was replaced by {answer.winner}; now "
                f"revision {answer.revision} is in force. Differences: "
                f"{', '.join(answer.differs)}"
            )
        if answer.code:
            raise exceptions.RequestRefusedError(
                f"the publish was refused: {answer.code}"
            )
        return answer

    async def _wait_until_in_force(self) -> messages.Status:
        while True:
            status = await fleet_status.fetch(self._admin)
            self._print_progress(status)
            if fleet_status.is_complete(status, self.revision):
                self.daemons = sum(zone.daemons for zone in status.zones)
                return status
            if time.monotonic() > self._deadline:
                raise exceptions.NotInForceError(
                    self._describe_failure(status)
                )
            await _sleep_poll_interval()

    def _print_progress(self, status: messages.Status) -> None:
        """Print the rollout progress by zone if it has changed."""
        text = ", ".join(
            f"{zone.zone} {zone.in_force}/{zone.daemons}"
            for zone in status.zones
        )
        if text != self._last_progress:
            print(f"in force: {text}", file=sys.stderr)
            self._last_progress = text

    def _describe_failure(self, status: messages.Status) -> str:
        text = f"revision {self.revision} accepted"
        if not status.current:
            return f"{text}; {fleet_status.format_summary(status)}"
        names = ", ".join(fleet_status.daemons_without_revision(status))
        return f"{text}, not in force on {names}"


async def _sleep_poll_interval() -> None:
    # A command waits in real time, unlike a core, which is given the time.
    from twisted.internet import reactor
    from twisted.internet import task

    await task.deferLater(reactor, POLL_SECONDS)
