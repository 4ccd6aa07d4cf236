"""Keeps room for short tasks: pieces of some executors that standing tasks leave free."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER
from linkspan.shard.planning.set_asides import NOTHING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import KindKey

FIRST_SHARE = 0.1
"""Share of a service's cores and memory that standing tasks leave to short ones until their demand
is known. These use 5 percent on average and arrive in bursts."""

BURST_FACTOR = 2.0
"""Multiple of what short tasks use on average that is left to them, as they arrive in bursts."""

MAX_SHARE = 0.2
"""Limits the share: beyond it standing tasks lose more than short ones, which earn four times as
much per core, gain."""

GROWTH_S = 30.0
"""Time constant with which the share follows a demand that has grown, in seconds."""

MAX_DECLINE_S = 600.0
"""Limits the time constant for a demand that has fallen, in seconds, where standing jobs do not
end. It is never below ``GROWTH_S``."""

RETURN_FACTOR = 4.0
"""Multiple of the time in which standing tasks that end give back what is kept, after which a part
of it that is not asked for is given up: short tasks earn four times as much per core."""

PIECE_SHARE = 0.5
"""Share of an executor that is kept where any of it is, or what the largest short task takes if
that is more. A tenth of each executor would be as much in all, but smaller than most tasks."""

UPDATE_INTERVAL_S = 0.25
"""Interval between choices of the executors. A choice sorts all of them."""


@dataclass(frozen=True, slots=True)
class Kept:
    """What is kept of the executors of a service.

    Attributes:
        share: Share of the cores of all executors.
        piece_milli_cpu: Thousandths of a core that a piece has at least.
        gpus: Whether pieces include accelerators.
    """

    share: float = FIRST_SHARE
    piece_milli_cpu: int = 0
    gpus: bool = False

    def piece_share(self, total_cpu: int) -> float:
        """Return the share of an executor that is kept where any of it is."""
        return min(max(PIECE_SHARE, self.piece_milli_cpu / max(total_cpu, 1)), 1.0)


class Headroom:
    """Chooses the executors of which a piece is kept for short tasks.

    They are those with the most room beside standing tasks: where a standing task has taken a part
    of a piece, another executor keeps one. A new owner makes the same choice by the state of the
    executors alone.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._kept: dict[str, Kept] = {}
        self._updated_at = NEVER

    def __repr__(self) -> str:
        return f"Headroom({self._kept})"

    def update(self, now: float) -> None:
        """Choose the executors again if that is due.

        Args:
            now: Steady time.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        by_service: defaultdict[str, list[ExecutorState]] = defaultdict(list)
        for executor in self._state.executors.values():
            if self._state.takes_work(executor, now):
                by_service[executor.record.service].append(executor)
            else:
                executor.kept = None
        for service, executors in by_service.items():
            kept = self._follow(service, executors, elapsed_s, now)
            shares = piece_shares(executors, kept)
            for executor in executors:
                share = shares.get(executor.executor_id, 0.0)
                executor.kept = _piece(executor.record.capacity, share, gpus=kept.gpus)

    def _follow(
        self, service: str, executors: list[ExecutorState], elapsed_s: float, now: float
    ) -> Kept:
        """Return what is kept of a service's executors now, which follows its short demand."""
        demand = self._state.short_demand
        mean = demand.mean(service, now)
        share = self._kept.get(service, Kept()).share
        wanted = min(BURST_FACTOR * _used_share(mean, executors), MAX_SHARE)
        constant_s = GROWTH_S
        if wanted < share:
            constant_s = self._decline_s(share, service, executors, now)
        share += (wanted - share) * min(elapsed_s / constant_s, 1.0) if service in self._kept else 0
        largest = demand.largest(service)
        kept = self._kept[service] = Kept(share, largest.milli_cpu, largest.gpus > 0)
        return kept

    def _decline_s(
        self, share: float, service: str, executors: list[ExecutorState], now: float
    ) -> float:
        """Return the time constant with which a share falls that is not asked for, in seconds.

        What standing tasks get they keep until their jobs end. The sooner these give it back, the
        less is lost if short work comes again.
        """
        ended = self._state.standing_ends.each_second(service, now)
        ended_share = _used_share(ended, executors)
        if share >= ended_share * MAX_DECLINE_S / RETURN_FACTOR:
            return MAX_DECLINE_S
        return max(RETURN_FACTOR * share / ended_share, GROWTH_S)


def _used_share(mean: Demand, executors: list[ExecutorState]) -> float:
    """Return the largest share of a resource of some executors that a demand uses."""
    total = Demand()
    for executor in executors:
        total = total.plus(executor.record.capacity)
    pairs = zip(mean.amounts, total.amounts, strict=True)
    return max((used / own for used, own in pairs if own), default=0.0)


def _piece(capacity: Demand, share: float, *, gpus: bool) -> Demand:
    """Return a share of an executor's resources."""
    if not share:
        return NOTHING
    kept_gpus = ceil(share * capacity.gpus) if gpus else 0
    return Demand(int(share * capacity.milli_cpu), int(share * capacity.memory_mb), kept_gpus)


def piece_shares(executors: Iterable[ExecutorState], kept: Kept) -> dict[str, float]:
    """Return the share of each executor that is kept for short tasks, by its name.

    Executors of which nothing is kept are left out. The pieces are spread over kinds of executors
    in proportion to their cores, as short tasks may need one kind.

    Args:
        executors: Executors of one service that take work.
        kept: What is kept of them.
    """
    shares: dict[str, float] = {}
    wanted = 0.0
    first_left: list[ExecutorState] = []
    for of_kind in _by_kind(executors):
        wanted += kept.share * sum(e.total_cpu for e in of_kind)
        left: ExecutorState | None = None
        for executor in sorted(of_kind, key=lambda e: _preference(e, kept)):
            share = kept.piece_share(executor.total_cpu)
            if wanted < share * executor.total_cpu:
                left = left or executor
                continue
            wanted -= share * executor.total_cpu
            shares[executor.executor_id] = share
        if left is not None:
            first_left.append(left)
    last = min(first_left, key=lambda e: _preference(e, kept), default=None)
    if last is not None and wanted > 0 and last.total_cpu:
        shares[last.executor_id] = min(wanted / last.total_cpu, 1.0)
    return shares


def _by_kind(executors: Iterable[ExecutorState]) -> list[list[ExecutorState]]:
    by_kind: defaultdict[KindKey, list[ExecutorState]] = defaultdict(list)
    for executor in executors:
        by_kind[executor.record.kind].append(executor)
    return sorted(by_kind.values(), key=lambda of_kind: min(e.executor_id for e in of_kind))


def _preference(executor: ExecutorState, kept: Kept) -> tuple[float, bool, str]:
    """Return the sort key of executors, those of which a piece is kept first lowest.

    Among those with room for a piece beside their standing tasks, the ones that keep one stay.
    """
    keeps = executor.kept is not None and executor.kept != NOTHING
    room = min(_share_beside_standing(executor, kept), kept.piece_share(executor.total_cpu))
    return -room, not keeps, executor.executor_id


def _share_beside_standing(executor: ExecutorState, kept: Kept) -> float:
    """Return the share of an executor that its standing tasks leave, of what they leave least."""
    capacity, standing = executor.record.capacity, executor.standing
    shares = [
        1.0 - standing.milli_cpu / max(capacity.milli_cpu, 1),
        1.0 - standing.memory_mb / max(capacity.memory_mb, 1),
    ]
    if kept.gpus and capacity.gpus:
        shares.append(1.0 - standing.gpus / capacity.gpus)
    return min(shares)
