"""Every fault at every step, over the real cores in one process.

A small fleet of the daemon's own cores, joined by a fake network, fake disks
and fake upstreams, serves chats and orders while faults are injected at the
moment a chosen message is handled for the first time.
"""

from __future__ import annotations
