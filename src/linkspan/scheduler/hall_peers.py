"""Liveness of the other schedulers of the hall, from their heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.records import Expelled, Left

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision
    from linkspan.scheduler.lease_expiry import LeaseExpiryProof
    from linkspan.scheduler.timing import Timing


class HallPeers:
    """Tracks which peers are alive and which workers they report as unfit.

    Args:
        name: Name of this scheduler.
        timing: Intervals and limits that all schedulers of the hall share.
    """

    def __init__(self, name: str, timing: Timing) -> None:
        self._name = name
        self._timing = timing
        self._last_heartbeat: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}
        self._unfit: dict[str, frozenset[str]] = {}

    def __repr__(self) -> str:
        return f"HallPeers({self._name!r}, known={sorted(self._last_heartbeat)})"

    def on_heartbeat(self, scheduler: str, unfit: Iterable[str], now: float) -> None:
        """Record a heartbeat, with the workers that the peer reports as unfit."""
        self._last_heartbeat[scheduler] = now
        self._unfit[scheduler] = frozenset(unfit)

    def live(self, ledger: Ledger, now: float) -> list[str]:
        """Return the joined schedulers with recent heartbeats, and this scheduler."""
        joined = [name for name in self._live_names(now) if name in ledger.schedulers]
        return [self._name, *joined]

    def reported_unfit(self, now: float) -> frozenset[str]:
        """Return the workers that a live peer reports as unfit for new work."""
        reported = [self._unfit[name] for name in self._live_names(now) if name in self._unfit]
        return frozenset().union(*reported)

    def expulsions(self, ledger: Ledger, proof: LeaseExpiryProof, now: float) -> Iterator[Decision]:
        """Yield records that expel silent peers, and that remove expelled ones after the wait.

        The silence of a peer that never sent a heartbeat is measured from the first
        call, so that a scheduler that has just started expels no peer.
        """
        for name in ledger.schedulers:
            since = self._last_heartbeat.get(name)
            # Kept apart from heartbeat times: a peer without heartbeats is not alive.
            silence_s = now - (self._silent_since.setdefault(name, now) if since is None else since)
            if name != self._name and silence_s > self._timing.offline_renewal_s:
                yield Expelled(name)
        for name, offset in ledger.expelled.items():
            if proof.has_waited_out(offset, now):
                yield Left(name)

    def _live_names(self, now: float) -> list[str]:
        oldest = now - self._timing.peer_silence_s
        return [n for n, at in self._last_heartbeat.items() if at >= oldest and n != self._name]
