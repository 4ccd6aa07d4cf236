"""Takes up the queued work of a hall that is lost; pure of sockets and clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan._rendezvous import rendezvous
from linkspan.ledger.records import HandedOver, TakenOver
from linkspan.model.job import Priority

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from linkspan.ledger.ledger import Ledger

MAX_AT_ONCE = 50
"""Jobs that one look hands over, so that a hall is not flooded."""


def rescuer(lost: str, halls: Collection[str]) -> str:
    """Return the hall that is to look after a lost one's queue.

    Args:
        lost: The hall that is lost.
        halls: The halls that are there, at least one.
    """
    return rendezvous(f"rescue {lost}", sorted(halls))


def handovers(lost: Ledger, hall: str) -> Iterator[HandedOver]:
    """Yield records for the lost hall's stream that give its queue to this hall.

    The stream's order decides between these and placements that the lost hall
    makes after all. What was placed there stays there, and so does work that
    belongs to the hall: its services.

    Args:
        lost: The lost hall's ledger, as far as the log has it.
        hall: This hall.
    """
    waiting = [
        entry
        for entry in lost.jobs.values()
        if entry.queued
        and not entry.cancelled
        and entry.spec.priority is not Priority.SERVICE
        and f"{lost.hall}/{entry.number}" not in lost.handed
    ]
    waiting.sort(key=lambda entry: (entry.spec.priority, entry.number))
    for entry in waiting[:MAX_AT_ONCE]:
        yield HandedOver(entry.number, hall)


def takeovers(lost: Ledger, own: Ledger) -> Iterator[TakenOver]:
    """Yield records for this hall's stream on what was handed to it.

    Only handovers that the lost hall's fold has applied count; one that was
    taken up before is left out.
    """
    for origin, handover in lost.handed.items():
        if handover.hall == own.hall and origin not in own.taken:
            yield handover.taken
