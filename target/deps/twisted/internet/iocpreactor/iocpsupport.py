__all__ = [
    "CompletionPort",
    "Event",
    "accept",
    "connect",
    "get_accept_addrs",
    "have_connectex",
    "makesockaddr",
    "maxAddrLen",
    "recv",
    "recvfrom",
    "send",
]

from twisted_iocpsupport.iocpsupport import (  # type: ignore[import-not-found]
    CompletionPort,
    Event,
    accept,
    connect,
    get_accept_addrs,
    have_connectex,
    makesockaddr,
    maxAddrLen,
    recv,
    recvfrom,
    send,
)
