"""Decisions that move the queued jobs of a lost hall to another hall, without I/O or clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan._rendezvous import rendezvous
from linkspan.ledger.records import HandedOver, TakenOver
from linkspan.model.job import Priority

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from linkspan.ledger.ledger import Ledger

MAX_HANDOVERS_PER_CHECK = 50
"""Limit on the jobs handed over per check; keeps the receiving hall from being overloaded."""


def takeover_hall(lost: str, halls: Collection[str]) -> str:
    """Return the hall that takes over the queue of a lost hall.

    Args:
        lost: Name of the lost hall.
        halls: Names of the live halls, at least one.
    """
    return rendezvous(f"rescue {lost}", sorted(halls))


def handovers(lost: Ledger, hall: str) -> Iterator[HandedOver]:
    """Yield records for the lost hall's stream that hand its queued jobs over to this hall.

    The lost hall may still place tasks: the order of the stream decides between
    its placements and these records. Placed tasks stay in the lost hall. So do
    the tasks of services, since each hall runs its own part of a service.

    Args:
        lost: The lost hall's ledger, as applied up to the log's end.
        hall: Name of this hall.
    """
    waiting = [
        entry
        for entry in lost.jobs.values()
        if entry.queued
        and not entry.cancelled
        and entry.spec.priority is not Priority.SERVICE
        and f"{lost.hall}/{entry.number}" not in lost.handovers
    ]
    waiting.sort(key=lambda entry: (entry.spec.priority, entry.number))
    for entry in waiting[:MAX_HANDOVERS_PER_CHECK]:
        yield HandedOver(entry.number, hall)


def takeovers(lost: Ledger, own: Ledger) -> Iterator[TakenOver]:
    """Yield records for this hall's stream that take over the jobs handed over to it.

    Covers the handovers that the lost hall's ledger has applied, apart from those
    that this hall has already taken over.
    """
    for origin, handover in lost.handovers.items():
        if handover.hall == own.hall and origin not in own.taken_over:
            yield handover.taken
