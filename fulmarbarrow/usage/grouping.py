"""Which router forwards the counts of another one to the collector."""

from __future__ import annotations

import collections.abc
import zlib

from fulmarbarrow.membership import messages as membership_messages

# Up to this number of routers each sends to the collector itself.
MAX_DIRECT = 24
GROUP = 8  # routers for one that forwards
ROUTER_ROLE = "router"

_GONE = (
    membership_messages.DaemonState.LEAVING,
    membership_messages.DaemonState.DEAD,
)


def forwarder(
    me: membership_messages.Daemon,
    daemons: collections.abc.Iterable[membership_messages.Daemon],
) -> membership_messages.Daemon | None:
    """Return the router that gets the counts of ``me``; None for none.

    It is in another zone if possible, so that a zone that is lost does not
    take counts and their copies with it. Routers that see other members may
    choose differently, which changes nothing in the totals.
    """
    routers = sorted(
        (
            daemon
            for daemon in daemons
            if ROUTER_ROLE in daemon.roles and daemon.state not in _GONE
        ),
        key=lambda daemon: (
            zlib.crc32(daemon.daemon_id.encode()),
            daemon.daemon_id,
        ),
    )
    if len(routers) <= MAX_DIRECT:
        return None
    heads = routers[: -(-len(routers) // GROUP)]
    ids = [daemon.daemon_id for daemon in routers]
    if me.daemon_id not in ids:
        return None
    rank = ids.index(me.daemon_id) + 1  # so that no head chooses itself
    for step in range(len(heads)):
        head = heads[(rank + step) % len(heads)]
        if head.zone != me.zone and head.daemon_id != me.daemon_id:
            return head
    return heads[rank % len(heads)]
