"""Keepalive probes of the kernel, which detect a peer that vanished without a reset."""

from __future__ import annotations

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Keepalive:
    """When the kernel probes a connection and gives it up.

    Attributes:
        idle_s: Time without a packet after which the first probe is sent.
        interval_s: Interval between probes.
        max_probes: Number of unanswered probes after which the connection is closed.
    """

    idle_s: int
    interval_s: int
    max_probes: int

    @property
    def max_silence_s(self) -> int:
        """Time after which a silent connection is closed, whether it is idle or has sent data."""
        return self.idle_s + self.max_probes * self.interval_s


def enable_keepalive(connection: socket.socket, keepalive: Keepalive) -> None:
    """Enable probes on a connection, and the same time limit for unacknowledged data."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, keepalive.idle_s),
        (socket.TCP_KEEPINTVL, keepalive.interval_s),
        (socket.TCP_KEEPCNT, keepalive.max_probes),
        (socket.TCP_USER_TIMEOUT, 1_000 * keepalive.max_silence_s),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
