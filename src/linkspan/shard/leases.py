"""Arithmetic of leases that are measured on an executor's own clock."""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_DRIFT = 0.02
"""Share by which an executor's steady clock may run slow, as the platform states."""

LEASE_EXPIRY_MARGIN_S = 0.1
"""Added to each lapse: executors answer in milliseconds and kill at once, and
timers of both sides fire slightly late."""


@dataclass(slots=True)
class LeaseClock:
    """What is known of an executor's clock and of the lease granted there.

    Attributes:
        clock_s: The executor's clock in its last answer.
        observed_at: Our steady time when that answer arrived.
        granted_s: Latest lease end that anyone may have sent, on the executor's clock.
    """

    clock_s: float
    observed_at: float
    granted_s: float

    def observe(self, clock_s: float, now: float) -> None:
        """Take in the clock of an answer; answers may overtake each other."""
        if clock_s >= self.clock_s:
            self.clock_s = clock_s
            self.observed_at = now

    def grant(self, lease_s: float, now: float) -> float:
        """Return the end of a lease granted now, on the executor's clock."""
        until = self.clock_s + (now - self.observed_at) + lease_s
        self.granted_s = max(self.granted_s, until)
        return until

    def leases_expired_at(self) -> float:
        """Return our steady time from which every granted lease has surely ended."""
        left = max(self.granted_s - self.clock_s, 0.0)
        return self.observed_at + left / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


def inherited_lease_expiry(claimed_at: float, offline_s: float, lease_s: float) -> float:
    """Return when leases of a former owner have surely ended.

    Args:
        claimed_at: Our steady time when the shard was claimed.
        offline_s: Time for which an owner acts without having proved itself.
        lease_s: Longest lease.
    """
    return claimed_at + offline_s + lease_s / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


def next_incarnation_lease_expiry(called_at: float, lease_s: float) -> float:
    """Return when what a next life of an executor may hold has surely ended.

    Its clock is not known: whatever lease a call brings is cut there to the longest one.

    Args:
        called_at: Our steady time by which the last call that may come there was sent.
        lease_s: Longest lease.
    """
    return called_at + lease_s / (1.0 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
