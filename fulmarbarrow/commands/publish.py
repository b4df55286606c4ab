"""``fulmarbarrow publish``: puts files in force on the whole fleet."""

from __future__ import annotations

import getpass
import hashlib
import time
import typing
import uuid

import msgspec

from fulmarbarrow.commands import check
from fulmarbarrow.commands import client
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.edge import admin as admin_edge
from fulmarbarrow import exceptions

POLL_SECONDS = 0.2


def publish(
    *roots: str,
    admin: str,
    base: int | None = None,
    wait_seconds: float = 19.0,
) -> str:
    """Publish all files below the given folders and wait until in force.

    ``admin`` is a control host's admin address. ``base`` is the revision
    that the files replace; by default the one in force now.
    """
    data = bundles.encode(check.load(roots))
    return client.run(lambda: _publish(admin, data, base, wait_seconds))


async def _publish(
    admin: str, data: bytes, base: int | None, wait_seconds: float
) -> str:
    if base is None:
        dump = await client.get_json(admin, "/dump")
        base = dump["cores"]["control"]["revision"]
    body = admin_edge.PublishBody(
        publish_id=uuid.uuid4().hex,
        publisher=getpass.getuser(),
        base_revision=base,
        digest=hashlib.blake2b(data, digest_size=16).hexdigest(),
        bundle=msgspec.Raw(data),
    )
    result = await client.post_json(
        admin, "/v1/publish", msgspec.json.encode(body)
    )
    if result["code"]:
        raise exceptions.ConflictError(
            f"revision {result['revision']} by {result['winner']} came first"
        )
    return await _wait(admin, result["revision"], wait_seconds)


async def _wait(admin: str, revision: int, wait_seconds: float) -> str:
    # Waiting here is the command line's, not a core's: real time is meant.
    from twisted.internet import reactor
    from twisted.internet import task

    until = time.monotonic() + wait_seconds
    while True:
        dump = await client.get_json(admin, "/dump")
        daemons: dict[str, typing.Any] = dump["cores"]["control"]["daemons"]
        missing = sorted(
            name
            for name, daemon in daemons.items()
            if daemon["revision"] < revision
        )
        if not missing:
            return f"revision {revision} in force on {len(daemons)} daemons"
        if time.monotonic() > until:
            raise exceptions.NotInForceError(
                f"revision {revision} accepted, not in force on "
                + ", ".join(missing)
            )
        await task.deferLater(reactor, POLL_SECONDS)
