"""Directory of peers and their liveness, from heartbeats; does no I/O and reads no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.peer.messages import Heartbeat


@dataclass(frozen=True, slots=True)
class Peer:
    """The latest heartbeat of a peer, and its time of arrival in seconds."""

    heartbeat: Heartbeat
    received_at: float


class PeerDirectory:
    """Stores the latest heartbeat of each peer.

    Args:
        silence_s: Time without a heartbeat after which a peer does not count as live.
        forget_s: Time without a heartbeat after which a peer is removed.
    """

    def __init__(self, *, silence_s: float = 3.0, forget_s: float = 600.0) -> None:
        self._silence_s = silence_s
        self._forget_s = forget_s
        self._peers: dict[str, Peer] = {}

    def __repr__(self) -> str:
        return f"PeerDirectory({sorted(self._peers)})"

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat that arrived at ``now``, in seconds."""
        self._peers[heartbeat.name] = Peer(heartbeat, now)

    def drop(self, name: str) -> None:
        """Remove a peer that has certainly stopped."""
        self._peers.pop(name, None)

    def all(self) -> list[Peer]:
        """Return all peers of the directory, live or not."""
        return list(self._peers.values())

    def live(self, now: float, *, role: str = "", hall: str = "") -> list[Peer]:
        """Return the live peers, of one role and hall if given.

        Peers that are not draining come first, each group by time of the latest
        heartbeat, newest first.
        """
        self._remove_expired(now)
        known = self.known(role=role, hall=hall)
        return [peer for peer in known if now - peer.received_at <= self._silence_s]

    def known(self, *, role: str = "", hall: str = "") -> list[Peer]:
        """Return the peers of one role and hall, live or not, in the order of :meth:`live`."""
        found = [
            peer
            for peer in self._peers.values()
            if role in ("", peer.heartbeat.role) and hall in ("", peer.heartbeat.hall)
        ]
        return sorted(
            found,
            key=lambda peer: (peer.heartbeat.draining, -peer.received_at, peer.heartbeat.name),
        )

    def newest_config(self) -> Peer | None:
        """Return the peer with the newest configuration version, or None without peers."""
        return max(self._peers.values(), key=lambda peer: peer.heartbeat.config, default=None)

    def _remove_expired(self, now: float) -> None:
        expired = [n for n, peer in self._peers.items() if now - peer.received_at > self._forget_s]
        for name in expired:
            del self._peers[name]
