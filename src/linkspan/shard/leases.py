"""Computes when leases expire that are measured on an executor's own clock."""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_DRIFT = 0.02
"""Limits the share by which an executor's steady clock may run slow, as the platform specifies."""

LEASE_EXPIRY_MARGIN_S = 0.1
"""Added to each computed expiry, as timers on both sides fire slightly late. Executors answer
within milliseconds and kill their runs immediately when a lease expires."""


@dataclass(slots=True)
class LeaseClock:
    """Last observation of an executor's clock, and the leases granted on it.

    Attributes:
        clock_s: Newest reading of the executor's clock.
        observed_at: Steady time of this host at which that reading arrived.
        granted_s: Latest end of a lease that any owner may have granted, on the executor's clock.
        alive_at: Steady time of this host at which the executor was certainly alive, the latest
            known. A busy host applies an answer long after it was made, so the time at which the
            answer arrived proves nothing.
    """

    clock_s: float
    observed_at: float
    granted_s: float
    alive_at: float = float("-inf")

    def observe(self, clock_s: float, now: float, *, asked: float) -> None:
        """Record the clock reading of an answer; older readings, of late answers, are ignored.

        Args:
            clock_s: Reading of the executor's clock.
            now: Steady time of this host at which the answer arrived.
            asked: Steady time of this host at which the request was sent.
        """
        if clock_s < self.clock_s:
            return
        # Real time is at least as long as time on the executor's clock, which may only run slow.
        since_previous_s = clock_s - self.clock_s
        self.alive_at = min(max(asked, self.alive_at + since_previous_s), now)
        self.clock_s = clock_s
        self.observed_at = now

    def grant(self, lease_s: float, now: float) -> float:
        """Record a lease granted now and return its end on the executor's clock."""
        until = self.clock_s + (now - self.observed_at) + lease_s
        self.granted_s = max(self.granted_s, until)
        return until

    def leases_expired_at(self) -> float:
        """Return the steady time of this host by which every granted lease has expired."""
        remaining_s = max(self.granted_s - self.clock_s, 0.0)
        return self.observed_at + remaining_s / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


def inherited_lease_expiry(claimed_at: float, offline_s: float, lease_s: float) -> float:
    """Return the steady time of this host by which all leases of a previous owner have expired.

    Args:
        claimed_at: Steady time of this host when it claimed the shard.
        offline_s: Longest time for which an owner acts without new proof of its ownership.
        lease_s: Longest lease.
    """
    return claimed_at + offline_s + lease_s / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


def next_incarnation_lease_expiry(called_at: float, lease_s: float) -> float:
    """Return when all leases have expired that an executor's next incarnation may have received.

    The clock of that incarnation is unknown, but an executor shortens any lease in a call to the
    longest one allowed.

    Args:
        called_at: Steady time of this host by which the last call was sent that may have arrived at
            that incarnation.
        lease_s: Longest lease.
    """
    return called_at + lease_s / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
