"""Intervals and limits that all schedulers of a hall share; lease safety depends on them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and limits in seconds, except ``drift``, which is a ratio.

    Attributes:
        lease_s: Time for which a worker runs an attempt without renewal.
        drift: Maximum relative difference between the rates of two clocks.
        offline_renewal_s: Maximum time for which a scheduler renews leases without
            having read the log's end.
        worker_silence_s: Time without a report after which a worker's attempts are
            recalled.
        peer_silence_s: Time without a heartbeat after which the workers of a peer are
            assigned to the other schedulers.
        exchange_s: Interval between regular exchanges with a worker.
        min_exchange_interval_s: Minimum time between exchanges with a worker that
            the ledger has new orders for.
        min_pass_interval_s: Minimum time between placement passes.
        resend_s: Time for which a lost request of a caller is appended again.
        append_timeout_s: Time after which an appended record that does not show up
            in the log counts as lost, and its decisions are made again.
    """

    lease_s: float = 15.0
    drift: float = 0.01
    offline_renewal_s: float = 7200.0
    worker_silence_s: float = 10.0
    peer_silence_s: float = 3.0
    exchange_s: float = 4.0
    min_exchange_interval_s: float = 0.25
    min_pass_interval_s: float = 0.25
    resend_s: float = 60.0
    append_timeout_s: float = 5.0

    @property
    def lease_bound_s(self) -> float:
        """Time on the local clock after which a lease has certainly expired."""
        return self.lease_s * (1 + self.drift)

    @property
    def offline_bound_s(self) -> float:
        """Time on the local clock after which a scheduler without the log has certainly stopped."""
        return self.offline_renewal_s * (1 + self.drift)
