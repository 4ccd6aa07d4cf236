"""Selection of batch tasks to evict for an urgent task, at the lowest cost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from linkspan.model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class Victim(NamedTuple):
    """A batch task that may be evicted.

    Attributes:
        key: The caller's identifier of the task.
        size: Resources that the task reserves.
        at_risk_s: Work that its eviction would lose, in seconds.
    """

    key: object
    size: Resources
    at_risk_s: float


class Site(NamedTuple):
    """A worker that may run the urgent task.

    Attributes:
        worker: The worker's ledger number.
        room: Free capacity.
        victims: Batch tasks on the worker that may be evicted.
    """

    worker: int
    room: Resources
    victims: Sequence[Victim]


class Preemption(NamedTuple):
    """A worker, and the tasks to evict from it so that the urgent task fits."""

    worker: int
    victims: tuple[Victim, ...]


EVICTION_COST_S = 30.0
"""Fixed cost of an eviction in seconds of work, in addition to the work at risk."""


def cheapest_preemption(size: Resources, sites: Iterable[Site]) -> Preemption | None:
    """Return the cheapest evictions that free enough capacity for a task, or None.

    On each worker, victims are added in order of cost per freed CPU until the task fits.
    Victims that turn out to be unnecessary are removed again.

    Args:
        size: Size of the task.
        sites: Workers that may run the task.
    """
    best: Preemption | None = None
    best_cost = float("inf")
    for site in sites:
        victims = _victims_on(size, site)
        if victims is None:
            continue
        cost = sum(_cost(victim) for victim in victims)
        if cost < best_cost:
            best, best_cost = Preemption(site.worker, victims), cost
    return best


def _cost(victim: Victim) -> float:
    return EVICTION_COST_S + victim.at_risk_s


def _victims_on(size: Resources, site: Site) -> tuple[Victim, ...] | None:
    room = site.room
    chosen: list[Victim] = []
    for victim in sorted(site.victims, key=lambda v: _cost(v) / max(v.size.milli_cpu, 1)):
        if size.fits_within(room):
            break
        chosen.append(victim)
        room += victim.size
    if not size.fits_within(room):
        return None
    for victim in list(chosen):
        if size.fits_within(room - victim.size):
            chosen.remove(victim)
            room -= victim.size
    return tuple(chosen)
