"""Proof, by elapsed time, that a recalled attempt no longer runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.ledger.ledger import Ledger
    from linkspan.scheduler.timing import Timing


class Confirmation(NamedTuple):
    """A peer's progress in the log, as it reported it.

    Attributes:
        applied: First log offset that the peer had not applied.
        received_at: Local time in seconds when the peer's heartbeat arrived.
    """

    applied: int
    received_at: float


class LeaseExpiryProof:
    """Computes when the last lease of a recalled attempt has certainly expired.

    A lease is renewed only by schedulers that the ledger lists as joined and that
    have not applied the recall. It has therefore expired one lease duration after
    the last of these schedulers confirmed that it applied the recall. For a
    scheduler that does not confirm, the bound is the longest time for which any
    scheduler renews leases without having read the log's end.

    Args:
        name: Name of this scheduler.
        timing: Intervals and limits that all schedulers of the hall share.
    """

    def __init__(self, name: str, timing: Timing) -> None:
        self._name = name
        self._timing = timing
        self._first_seen: dict[int, float] = {}
        self._confirmed: dict[str, list[Confirmation]] = {}

    def __repr__(self) -> str:
        return f"LeaseExpiryProof({self._name!r}, recalls={len(self._first_seen)})"

    def note_offset(self, offset: int, now: float) -> None:
        """Keep the local time at which a recall or an expulsion was first seen in the log."""
        self._first_seen.setdefault(offset, now)

    def forget_before(self, offset: int) -> None:
        """Drop the state that only recalls and expulsions before ``offset`` need."""
        self._first_seen = {seen: at for seen, at in self._first_seen.items() if seen >= offset}
        for name, confirmations in self._confirmed.items():
            self._confirmed[name] = [
                c for c in confirmations[:-1] if c.applied > offset
            ] + confirmations[-1:]

    def confirm(self, scheduler: str, applied: int, now: float) -> None:
        """Record the log offset up to which a peer reports to have applied the log."""
        confirmations = self._confirmed.setdefault(scheduler, [])
        if not confirmations or applied > confirmations[-1].applied:
            confirmations.append(Confirmation(applied, now))

    def has_waited_out(self, offset: int, now: float) -> bool:
        """Return whether all leases renewed without the record at ``offset`` have expired."""
        seen_at = self._first_seen.get(offset)
        if seen_at is None:
            return False
        return now >= seen_at + self._timing.offline_bound_s + self._timing.lease_bound_s

    def expires_at(self, ledger: Ledger, recalled: int) -> float:
        """Return the local time at which the lease of a recalled attempt has certainly expired.

        Args:
            ledger: The hall's ledger, which lists the schedulers that may renew.
            recalled: Offset of the recall, which :meth:`note_offset` must have received.
        """
        seen_at = self._first_seen.get(recalled)
        if seen_at is None:
            return float("inf")
        stops = [seen_at]
        stops += [
            self._stopped_at(name, recalled, seen_at)
            for name, joined in ledger.schedulers.items()
            if name != self._name and joined < recalled
        ]
        stops += [
            min(
                self._stopped_at(name, recalled, seen_at),
                self._expulsion_ends_at(expelled, seen_at),
            )
            for name, expelled in ledger.expelled.items()
        ]
        return max(stops) + self._timing.lease_bound_s

    def _expulsion_ends_at(self, expelled: int, otherwise: float) -> float:
        return self._first_seen.get(expelled, otherwise) + self._timing.offline_bound_s

    def _stopped_at(self, name: str, recalled: int, seen_at: float) -> float:
        for confirmation in self._confirmed.get(name, ()):
            if confirmation.applied > recalled:
                return max(seen_at, confirmation.received_at)
        return seen_at + self._timing.offline_bound_s
