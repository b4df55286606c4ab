"""Which router forwards the counts of another one to the collector."""

from __future__ import annotations

import collections.abc
import zlib

from fulmarbarrow.membership import messages as membership_messages

# Up to this number of routers each sends to the collector itself.
MAX_DIRECT = 24
GROUP = 8  # routers of a zone for one that forwards
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
    take counts and their copies with it. For each zone there is one for eight
    of its routers, so that groups are small also if most routers are in one
    zone. Routers that see other members may
    choose differently, which changes nothing in the totals.
    """
    routers = [
        daemon
        for daemon in daemons
        if ROUTER_ROLE in daemon.roles and daemon.state not in _GONE
    ]
    if len(routers) <= MAX_DIRECT:
        return None
    group = sorted(
        daemon.daemon_id for daemon in routers if daemon.zone == me.zone
    )
    if me.daemon_id not in group:
        return None
    # Each zone has its own order of the others, so that few routers forward
    # for several zones. Those of the zone itself come last.
    order = sorted(
        routers,
        key=lambda daemon: (
            daemon.zone == me.zone,
            zlib.crc32(f"{me.zone}/{daemon.daemon_id}".encode()),
            daemon.daemon_id,
        ),
    )
    heads = order[: -(-len(group) // GROUP)]
    rank = group.index(me.daemon_id)
    for step in range(len(heads)):
        head = heads[(rank + step) % len(heads)]
        if head.daemon_id != me.daemon_id:
            return head
    return None
