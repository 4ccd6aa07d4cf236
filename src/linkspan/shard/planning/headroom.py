"""Keeps room for short tasks: pieces of some executors that standing tasks leave free."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER
from linkspan.shard.planning.set_asides import NOTHING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import KindKey

HEADROOM_SHARE = 0.1
"""Share of a service's cores and memory that standing tasks leave to short ones, which earn four
times as much per core. Short tasks use 5 percent of the cores on average and arrive in bursts."""

PIECE_SHARE = 0.5
"""Share of an executor that is kept where any of it is: a tenth of each executor would be as much
in all, but smaller than most tasks."""

UPDATE_INTERVAL_S = 0.25
"""Interval between choices of the executors. A choice sorts all of them."""


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
        self._update_at = NEVER

    def __repr__(self) -> str:
        return f"Headroom({self._state!r})"

    def update(self, now: float) -> None:
        """Choose the executors again if that is due.

        Args:
            now: Steady time.
        """
        if now < self._update_at:
            return
        self._update_at = now + UPDATE_INTERVAL_S
        executors = self._state.executors.values()
        taking = [e for e in executors if self._state.takes_work(e, now)]
        shares = piece_shares(taking)
        for executor in executors:
            executor.kept = None
        for executor in taking:
            share = shares.get(executor.executor_id, 0.0)
            executor.kept = piece_of(executor.record.capacity, share)


def piece_of(capacity: Demand, share: float) -> Demand:
    """Return a share of an executor's cores and memory."""
    return Demand(int(share * capacity.milli_cpu), int(share * capacity.memory_mb))


def piece_shares(executors: Iterable[ExecutorState]) -> dict[str, float]:
    """Return the share of each executor that is kept for short tasks, by its name.

    Executors of which nothing is kept are left out. The pieces are spread over kinds of executors
    in proportion to their cores, as short tasks may need one kind.

    Args:
        executors: Executors that take work.
    """
    by_service: defaultdict[str, list[ExecutorState]] = defaultdict(list)
    for executor in executors:
        by_service[executor.record.service].append(executor)
    shares: dict[str, float] = {}
    for of_service in by_service.values():
        shares.update(_shares_of_service(of_service))
    return shares


def _shares_of_service(executors: list[ExecutorState]) -> Iterator[tuple[str, float]]:
    wanted = 0.0
    left: list[ExecutorState] = []
    for of_kind in _by_kind(executors):
        wanted += HEADROOM_SHARE * sum(e.total_cpu for e in of_kind)
        for executor in sorted(of_kind, key=_preference):
            piece = PIECE_SHARE * executor.total_cpu
            if wanted < piece:
                left.append(executor)
                continue
            wanted -= piece
            yield executor.executor_id, PIECE_SHARE
    last = min(left, key=_preference, default=None)
    if last is not None and wanted > 0 and last.total_cpu:
        yield last.executor_id, min(wanted / last.total_cpu, PIECE_SHARE)


def _by_kind(executors: list[ExecutorState]) -> list[list[ExecutorState]]:
    by_kind: defaultdict[KindKey, list[ExecutorState]] = defaultdict(list)
    for executor in executors:
        by_kind[executor.record.kind].append(executor)
    return sorted(by_kind.values(), key=lambda of_kind: min(e.executor_id for e in of_kind))


def _preference(executor: ExecutorState) -> tuple[float, bool, str]:
    """Return the sort key of executors, those of which a piece is kept first lowest.

    Among those with room for a piece beside their standing tasks, the ones that keep one stay.
    """
    keeps = executor.kept is not None and executor.kept != NOTHING
    return -min(_share_beside_standing(executor), PIECE_SHARE), not keeps, executor.executor_id


def _share_beside_standing(executor: ExecutorState) -> float:
    """Return the share of an executor that its standing tasks leave, of what they leave least."""
    capacity = executor.record.capacity
    cpu = 1.0 - executor.standing.milli_cpu / max(capacity.milli_cpu, 1)
    memory = 1.0 - executor.standing.memory_mb / max(capacity.memory_mb, 1)
    return min(cpu, memory)
