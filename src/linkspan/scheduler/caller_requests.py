"""Submissions and cancellations that callers requested and the ledger does not show yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from linkspan.ledger.records import Cancelled, Submitted

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.ledger.ledger import Ledger

CallerRequest: TypeAlias = Submitted | Cancelled
"""A decision that a caller requests; the scheduler cannot derive it from the ledger."""


class CallerRequests:
    """Pending caller requests, resent until their records show up in the log.

    After a lost append the scheduler derives all other decisions from the ledger
    again. Requests of callers are not in the ledger, so they are kept here.

    Args:
        resend_s: Time in seconds during which a lost request is appended again.
            Afterwards the job may stay absent from the ledger, and queries for
            it are answered with "absent".
    """

    def __init__(self, resend_s: float) -> None:
        self._resend_s = resend_s
        self._resend_until: dict[CallerRequest, float] = {}

    def __repr__(self) -> str:
        return f"CallerRequests({len(self._resend_until)})"

    def add(self, request: CallerRequest, now: float) -> None:
        """Keep a request that a caller made at ``now``, in seconds."""
        self._resend_until[request] = now + self._resend_s

    def pending(self, ledger: Ledger, now: float) -> Iterator[CallerRequest]:
        """Yield the requests that the ledger does not show yet; drop all others."""
        for request, until in list(self._resend_until.items()):
            if now > until or _is_in_ledger(request, ledger):
                del self._resend_until[request]
            else:
                yield request


def _is_in_ledger(request: CallerRequest, ledger: Ledger) -> bool:
    if isinstance(request, Submitted):
        job_id = request.spec.job_id
        return job_id in ledger.tombstones or ledger.spec_of(job_id) is not None
    number = ledger.job_numbers.get(request.job_id)
    if number is not None:
        return ledger.jobs[number].cancelled
    return request.job_id in ledger.tombstones or request.job_id in ledger.finished
