"""Sockets for the host's own calls, with keepalive probes that find connections gone silent."""

from __future__ import annotations

import socket

from linkspan.host.keepalive import Keepalive, enable_keepalive

CALL_KEEPALIVE = Keepalive(idle_s=5, interval_s=1, max_probes=2)
"""Closes an idle connection to the store, an executor or a service within 7 s of its silence. Each
call has a shorter timeout of its own, but would have to fail once for each pooled connection."""

AddressInfo = tuple[
    socket.AddressFamily | int,
    socket.SocketKind | int,
    int,
    str,
    tuple[object, ...],
]
"""Address as ``socket.getaddrinfo`` returns it."""


def open_call_socket(address: AddressInfo) -> socket.socket:
    """Return a socket for a connection to an address, with keepalive probes enabled."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    enable_keepalive(opened, CALL_KEEPALIVE)
    return opened
