"""Reports steps that wait for room while other work starts, and the pieces that are free."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard._periodic_report import PeriodicReport
from linkspan.shard._repeated_lines import RepeatedLines
from linkspan.shard.handover.backlog import MIN_SIZE_MILLI_CPU, size_class
from linkspan.shard.planning.start_counts import WorkKind
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.start_counts import StartClass
    from linkspan.shard.step_run import StepRun

MIN_REPORTED_WAIT_S = 1.0
"""Time for which a task must have waited for a step to be reported: longer than most short tasks
take, so that others of their size have ended meanwhile."""

REPEAT_INTERVAL_S = 2.5
"""Time after which a step is reported again, at the next check."""


class _WaitBegin(NamedTuple):
    """Starts that were counted when a step was first seen to wait.

    Attributes:
        at: Steady time.
        counts: The counts.
    """

    at: float
    counts: Counter[StartClass]


class PassedOver(PeriodicReport):
    """Logs which steps with a reservation wait while other work starts, and sets gauges of room.

    Args:
        context: Components of the tenure.
    """

    def __init__(self, context: TenureContext) -> None:
        super().__init__(context)
        self._begins: dict[StepRun, _WaitBegin] = {}
        self._lines: RepeatedLines[StepRun] = RepeatedLines(REPEAT_INTERVAL_S)
        self._sizes: set[int] = set()

    def report(self, now: float) -> None:
        """Set the gauges, and log the steps that wait while other work starts."""
        usable = [e for e in self._core.executors.values() if self._core.takes_work(e, now)]
        self._set_gauges(usable)
        waited_s = _waited_s(self._core, now)
        counts = self._core.start_counts.snapshot()
        self._begins = {
            step: self._begins.get(step) or _WaitBegin(now, counts) for step in waited_s
        }
        due = {s: waited for s, waited in waited_s.items() if waited >= MIN_REPORTED_WAIT_S}
        for step in self._lines.due(due, now):
            fields = passed_over_fields(step, self._begins[step].counts, self._core, usable)
            since_s = round(now - self._begins[step].at, 1)
            waited = round(waited_s[step], 1)
            self._core.log(Event.STEP_PASSED_OVER, **fields, waited_s=waited, started_in_s=since_s)

    def clear(self) -> None:
        """Set the gauges to no room."""
        self._set_gauges([])

    def _set_gauges(self, executors: list[ExecutorState]) -> None:
        largest = max((e.free_cpu for e in executors), default=0)
        self._metrics.set_count("largest_free_cores", largest // 1000, hall=self._hall)
        slots = slots_by_size(executors)
        self._sizes |= slots.keys()
        for milli_cpu in self._sizes:
            cores = str(milli_cpu // 1000)
            count = slots.get(milli_cpu, 0)
            self._metrics.set_count("free_slots", count, hall=self._hall, cores=cores)


def slots_by_size(executors: Iterable[ExecutorState]) -> dict[int, int]:
    """Return how many tasks of each size class have room beside all reservations.

    Args:
        executors: Executors that take work.
    """
    free = [max(e.free_cpu, 0) for e in executors]
    largest = size_class(max((e.total_cpu for e in executors), default=0))
    slots = {}
    milli_cpu = MIN_SIZE_MILLI_CPU
    while milli_cpu <= largest:
        slots[milli_cpu] = sum(cpu // milli_cpu for cpu in free)
        milli_cpu *= 2
    return slots


def _waited_s(core: ShardCore, now: float) -> dict[StepRun, float]:
    """Return the steps with a reservation that wait, and the longest wait of their tasks."""
    found = {}
    for step in core.ready:
        job = step.run.job
        if step.spec.best_effort or job.closing or job.moving:
            continue
        waits = [now - task.waiting_since for task in step.pending()]
        if waits:
            found[step] = max(waits)
    return found


def passed_over_fields(
    step: StepRun,
    before: Counter[StartClass],
    core: ShardCore,
    usable: list[ExecutorState],
) -> dict[str, Any]:
    """Return the log fields that tell what started while a step waited, and what is free.

    Args:
        step: The step.
        before: Starts that were counted when it began to wait.
        core: The shard's state.
        usable: Executors that take work.
    """
    job, demand = step.run.job, step.spec.demand
    need = TaskNeed.of(step.spec, job.service, use_headroom=True)
    matching = [e for e in usable if need.matches(e)]
    started = core.start_counts.since(before)
    return {
        "job": job.job_id,
        "step": f"{step.run.repetition}.{step.index}",
        "work": WorkKind.of(step.spec).value,
        "tasks": len(step.pending()),
        "milli_cpu": demand.milli_cpu,
        "memory_mb": demand.memory_mb,
        "started": _started_fields(started, size_class(demand.milli_cpu)),
        "executors": len(matching),
        "with_room": sum(need.obstacle(e) is None for e in matching),
        "beside_standing": sum(_fits_beside_standing(e, demand.milli_cpu) for e in matching),
        "largest_free": max((e.free_cpu for e in matching), default=0),
        "free": sum(max(e.free_cpu, 0) for e in matching),
        "shard": core.shard,
        "token": core.token,
    }


def _started_fields(started: Counter[StartClass], milli_cpu: int) -> dict[str, int]:
    """Return the number of starts by kind of work, those of smaller tasks apart."""
    fields: Counter[str] = Counter()
    for start, count in started.items():
        if start.kind is WorkKind.BEST_EFFORT:
            continue
        kind = f"{start.kind.value} again" if start.again else start.kind.value
        fields[f"{kind}, smaller" if start.milli_cpu < milli_cpu else kind] += count
    return dict(fields)


def _fits_beside_standing(executor: ExecutorState, milli_cpu: int) -> bool:
    """Return whether a task would fit on an executor if only standing tasks reserved cores."""
    return executor.total_cpu - executor.standing.milli_cpu >= milli_cpu
