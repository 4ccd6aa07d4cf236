"""Reports tasks of any kind that have waited for seconds while another hall has room for them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard._periodic_report import PeriodicReport
from linkspan.shard._reasons import MAX_LOGGED_TASKS
from linkspan.shard._repeated_lines import RepeatedLines
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover._stay_reason import StayReason
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MIN_REPORTED_WAIT_S = 3.0
"""Time without a run after which a waiting task is reported."""

REPEAT_INTERVAL_S = 2.5
"""Time after which a step is reported again, at the next check."""


class StayingTasks(NamedTuple):
    """Tasks of one step that have waited for seconds beside room in other halls.

    Attributes:
        tasks: The tasks, the longest wait first.
        slots: For how many such tasks the last summary of each hall with room has room, by shard.
    """

    tasks: list[Task]
    slots: dict[int, int]


class StayingWork(PeriodicReport):
    """Logs which work waits beside room in another hall, and why it was not handed over.

    Args:
        context: Components of the tenure.
        stay_reason: Returns why the last search for other halls left a step's tasks here.
        summaries: Returns the last summaries of the other halls that may get work.
    """

    def __init__(
        self,
        context: TenureContext,
        stay_reason: Callable[[StepRun], StayReason],
        summaries: Callable[[], dict[int, HallSummary]],
    ) -> None:
        super().__init__(context)
        self._stay_reason = stay_reason
        self._summaries = summaries
        self._lines: RepeatedLines[StepRun] = RepeatedLines(REPEAT_INTERVAL_S)

    def report(self, now: float) -> None:
        """Set the gauge and log the steps whose tasks have waited for seconds beside room."""
        staying = staying_tasks(self._core, self._summaries(), now)
        count = sum(len(tasks) for tasks, _ in staying.values())
        self._metrics.set_count("staying_tasks", count, hall=self._hall)
        waited_s = {step: now - tasks[0].waiting_since for step, (tasks, _) in staying.items()}
        for step in self._lines.due(waited_s, now):
            self._core.log(Event.WORK_STAYS, **self._fields(step, staying[step], now))

    def clear(self) -> None:
        """Set the gauge to nothing."""
        self._metrics.set_count("staying_tasks", 0, hall=self._hall)

    def _fields(self, step: StepRun, staying: StayingTasks, now: float) -> dict[str, Any]:
        tasks, slots = staying
        job = step.run.job
        return {
            "job": job.job_id,
            "step": f"{step.run.repetition}.{step.index}",
            "reason": self._stay_reason(step).value,
            "waited_s": round(now - tasks[0].waiting_since, 1),
            "tasks": len(tasks),
            "indexes": [task.name.index for task in tasks[:MAX_LOGGED_TASKS]],
            "elsewhere": slots,
            "begun": job.begun,
            "start_ordered": job.start_ordered,
            "moved": job.moved,
            "borrowed": job.delegated_here,
            "shard": self._core.shard,
            "token": self._core.token,
        }


def staying_tasks(
    core: ShardCore, summaries: Mapping[int, HallSummary], now: float
) -> dict[StepRun, StayingTasks]:
    """Return the tasks that have waited for seconds and for which another hall has room, by step.

    A gang counts only if one hall has room for all of it, and best-effort work only if nothing of
    its job runs: it has room wherever there is memory, and waits for what others leave unused.

    Args:
        core: The shard's state.
        summaries: Last summaries of the other halls that may get work, by shard.
        now: Steady time.
    """
    found: dict[StepRun, StayingTasks] = {}
    slots_by_need: dict[TaskNeed, dict[int, int]] = {}
    for step in core.ready:
        job = step.run.job
        if job.closing:
            continue
        waiting = [t for t in step.pending() if now - t.waiting_since >= MIN_REPORTED_WAIT_S]
        if not waiting or (step.spec.best_effort and any(True for _ in job.attempts())):
            continue
        need = TaskNeed.of(step.spec, job.service, use_headroom=True)
        if need not in slots_by_need:
            slots_by_need[need] = {s: hall.slots(need) for s, hall in summaries.items()}
        least = len(step.tasks) if step.spec.gang else 1
        slots = {shard: count for shard, count in slots_by_need[need].items() if count >= least}
        if slots:
            waiting.sort(key=lambda task: task.waiting_since)
            found[step] = StayingTasks(waiting, slots)
    return found
