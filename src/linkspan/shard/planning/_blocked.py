"""Reports why a step's tasks wait: the reasons against each executor, and what uses the hall."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.task import Task


def blocked_fields(
    placement: StepPlacement, task: Task, hall_cores: dict[str, int]
) -> dict[str, Any]:
    """Return the fields of a log line that explains why a step's tasks wait.

    Args:
        placement: The placement that found no executor for the step.
        task: The first of these tasks.
        hall_cores: Cores of the hall by what holds them, from :func:`held_cores`.
    """
    return {"against": dict(placement.reasons_against(task)), "held_cores": hall_cores}


def held_cores(executors: Iterable[ExecutorState]) -> dict[str, int]:
    """Return the cores of a hall by what holds them.

    Reservations are counted by the kind of work. ``best effort`` holds no reservation: its entry is
    what best-effort runs use at their current pace, and overlaps with the others.

    Args:
        executors: Executors that may get new work.
    """
    held: Counter[str] = Counter()
    for executor in executors:
        held["free"] += executor.free_cpu
        held["best effort"] += int(executor.paced_cpu)
        for attempt in executor.attempts.values():
            step = attempt.task.step
            if step.spec.best_effort:
                continue
            kind = "standing" if step.spec.standing else f"priority {step.run.job.priority}"
            held[kind] += step.spec.demand.milli_cpu
    return {kind: milli_cpu // 1000 for kind, milli_cpu in held.items()}
