"""Sums up the state of a hall for the summary that its shard's owner publishes."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from linkspan.shard.handover._backlogs import backlogs_of, waiting_steps
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import group_by_kind
from linkspan.shard.planning._isolation import executors_for_new_work
from linkspan.shard.planning._preemption import stoppable_memory
from linkspan.shard.planning.set_asides import NOTHING

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import KindKey
    from linkspan.shard.planning.set_asides import SetAsides

MIN_PUBLISHED_MILLI_CPU = 1_000
"""Free thousandths of a core from which on the memory of best-effort runs is published: without
cores it is of no use to work with a reservation."""

MAX_PUBLISHED_BEST_EFFORT = 32
"""Limits the executors of which it is published, as each takes ten bytes of the record."""


def summarize(core: ShardCore, now: float, *, wall: float = 0.0) -> HallSummary:
    """Return the summary of a shard's hall.

    Args:
        core: State of the shard, whose drain rates learn from it which work waits.
        now: Steady time.
        wall: Time of day, in seconds since 1970; without it no waiting work counts as too late.
    """
    core.headroom.update(now)
    usable = [e for e in core.executors.values() if core.takes_work(e, now)]
    standing: dict[str, int] = {}
    for executor in usable:
        for attempt in executor.attempts.values():
            spec = attempt.task.step.spec
            if spec.standing:
                standing[spec.image] = standing.get(spec.image, 0) + spec.demand.milli_cpu
    accepting = executors_for_new_work(core, now) if core.starts_standing_tasks else []
    kinds = group_by_kind(
        e.record for e in core.executors.values() if e.listed and e.record.takes_new_work
    )
    by_kind: dict[KindKey, list[ExecutorState]] = {kind.key: [] for kind in kinds}
    for executor in accepting:
        by_kind[executor.record.kind].append(executor)
    ordered = list(chain.from_iterable(by_kind.values()))
    rows = tuple(_row(executor, core.set_asides) for executor in ordered)
    waiting = waiting_steps(core)
    return HallSummary(
        capacity=sum(e.record.capacity.milli_cpu for e in usable),
        free=0 if core.awaiting_reports else sum(row[0] for row in rows),
        best_effort=sum(e.best_effort_cpu for e in usable),
        waiting=sum(cpu for step, cpu in waiting if step.spec.best_effort),
        queued=sum(cpu for step, cpu in waiting if not step.spec.best_effort),
        standing=standing,
        free_by_executor=rows,
        kinds=kinds,
        former_capacities=_former_capacities(core),
        rows_by_kind=tuple(map(len, by_kind.values())),
        best_effort_memory=_best_effort_memory(ordered, core.set_asides),
        backlogs=backlogs_of(waiting, core.drain_rates, now, wall),
        headroom=_headroom_rows(ordered),
        standing_only=core.awaiting_reports,
    )


def _headroom_rows(executors: list[ExecutorState]) -> tuple[tuple[int, ...], ...]:
    """Return what standing tasks leave to short ones, by index of the executor."""
    rows = ((index, e.headroom) for index, e in enumerate(executors))
    return tuple((i, *_without_zero(kept.amounts)) for i, kept in rows if kept != NOTHING)


def _without_zero(amounts: tuple[int, int, int]) -> tuple[int, ...]:
    """Return the amounts of resources, without accelerators where there are none."""
    return amounts if amounts[-1] else amounts[:-1]


def _best_effort_memory(
    executors: list[ExecutorState], set_asides: SetAsides
) -> tuple[tuple[int, int], ...]:
    """Return the memory that best-effort runs would give back, by index of the executor."""
    with_cores = [
        (index, e) for index, e in enumerate(executors) if e.free_cpu >= MIN_PUBLISHED_MILLI_CPU
    ]
    # The sums over an executor's runs are made for those with the most free cores only.
    with_cores.sort(key=lambda entry: -entry[1].free_cpu)
    amounts = ((index, _memory_given_back(e, set_asides)) for index, e in with_cores)
    found = ((index, memory_mb) for index, memory_mb in amounts if memory_mb > 0)
    return tuple(islice(found, MAX_PUBLISHED_BEST_EFFORT))


def _memory_given_back(executor: ExecutorState, set_asides: SetAsides) -> int:
    missing = set_asides.held(executor.executor_id).memory_mb - executor.free_memory
    return stoppable_memory(executor) - max(missing, 0)


def _row(executor: ExecutorState, set_asides: SetAsides) -> tuple[int, ...]:
    """Return the row of an executor, without accelerators where it has none."""
    held = set_asides.held(executor.executor_id)
    free_cpu = _beside(executor.free_cpu, held.milli_cpu)
    free_memory = _beside(executor.free_memory, held.memory_mb)
    if not executor.record.capacity.gpus:
        return free_cpu, free_memory
    return free_cpu, free_memory, _beside(executor.free_gpus, held.gpus)


def _beside(free: int, held: int) -> int:
    """Return what is free beside what is set aside, of which some is not free yet.

    It is below 0 only if more is in use than the executor has.
    """
    return max(free - held, min(free, 0))


def _former_capacities(core: ShardCore) -> tuple[tuple[str, Demand], ...]:
    """Return the former sizes of executors whose capacity is reduced."""
    shrunk = (
        e for e in core.executors.values() if e.listed and e.largest_capacity != e.record.capacity
    )
    return tuple({(e.record.service, e.largest_capacity): None for e in shrunk})
