"""The other schedulers of the hall, as their heartbeats show them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.records import Expelled, Left

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision
    from linkspan.scheduler.proof import LapseProof
    from linkspan.scheduler.timing import Timing


class HallPeers:
    """Who is heard of, and what they say of workers.

    Args:
        name: This scheduler.
        timing: Times that all schedulers of the hall keep to.
    """

    def __init__(self, name: str, timing: Timing) -> None:
        self._name = name
        self._timing = timing
        self._heard: dict[str, float] = {}
        self._missed_since: dict[str, float] = {}
        self._unfit: dict[str, frozenset[str]] = {}

    def __repr__(self) -> str:
        return f"HallPeers({self._name!r}, heard={sorted(self._heard)})"

    def hear(self, scheduler: str, unfit: Iterable[str], now: float) -> None:
        """Take in a heartbeat, with the workers that the peer finds unfit."""
        self._heard[scheduler] = now
        self._unfit[scheduler] = frozenset(unfit)

    def live(self, ledger: Ledger, now: float) -> list[str]:
        """Return the joined schedulers that are heard of, this one included."""
        heard = [name for name in self._alive(now) if name in ledger.schedulers]
        return [self._name, *heard]

    def told_unfit(self, now: float) -> frozenset[str]:
        """Return the workers that a live peer finds unfit for new work."""
        told = [self._unfit[name] for name in self._alive(now) if name in self._unfit]
        return frozenset().union(*told)

    def expulsions(self, ledger: Ledger, proof: LapseProof, now: float) -> Iterator[Decision]:
        """Yield records on peers that are silent for too long to be waited for.

        A peer that was never heard of counts as silent from when this is first
        asked, so that a scheduler that starts expels nobody.
        """
        for name in ledger.schedulers:
            since = self._heard.get(name)
            # Kept apart from heartbeats: a peer that is only missed is not alive.
            silent = now - (self._missed_since.setdefault(name, now) if since is None else since)
            if name != self._name and silent > self._timing.offline_renewal_s:
                yield Expelled(name)
        for name, offset in ledger.expelled.items():
            if proof.has_waited_out(offset, now):
                yield Left(name)

    def _alive(self, now: float) -> list[str]:
        horizon = now - self._timing.peer_silence_s
        return [n for n, at in self._heard.items() if at >= horizon and n != self._name]
