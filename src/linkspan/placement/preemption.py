"""Makes room for urgent work at the least loss."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class Victim(NamedTuple):
    """A batch task that may be evicted.

    Attributes:
        key: Names the task to the caller.
        size: What it reserves.
        at_risk_s: Work that its eviction would lose, in seconds.
    """

    key: object
    size: Resources
    at_risk_s: float


class Site(NamedTuple):
    """A worker where urgent work might go.

    Attributes:
        worker: The worker's ledger number.
        room: What is free on it.
        victims: Batch tasks on it.
    """

    worker: int
    room: Resources
    victims: Sequence[Victim]


class Preemption(NamedTuple):
    """Whom to evict where, so that a task fits."""

    worker: int
    victims: tuple[Victim, ...]


EVICTION_COST_S = 30.0
"""What each eviction counts as losing beside the work at risk, in seconds."""


def cheapest_preemption(size: Resources, sites: Iterable[Site]) -> Preemption | None:
    """Return the evictions that make room for a task at the least cost.

    Within a worker, victims are taken in order of cost for the room that they
    free, and those that turn out not to be needed are spared again.

    Args:
        size: What the task needs.
        sites: Workers that may run it.
    """
    best: Preemption | None = None
    best_cost = float("inf")
    for site in sites:
        victims = _victims(size, site)
        if victims is None:
            continue
        cost = sum(_cost(victim) for victim in victims)
        if cost < best_cost:
            best, best_cost = Preemption(site.worker, victims), cost
    return best


def _cost(victim: Victim) -> float:
    return EVICTION_COST_S + victim.at_risk_s


def _victims(size: Resources, site: Site) -> tuple[Victim, ...] | None:
    room = site.room
    taken: list[Victim] = []
    for victim in sorted(site.victims, key=lambda v: _cost(v) / max(v.size.milli_cpu, 1)):
        if size.fits_within(room):
            break
        taken.append(victim)
        room += victim.size
    if not size.fits_within(room):
        return None
    for victim in list(taken):
        if size.fits_within(room - victim.size):
            taken.remove(victim)
            room -= victim.size
    return tuple(taken)
