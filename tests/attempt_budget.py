"""Checks that no task is started after its queue's limit of failed runs is reached."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.attempts import FailedAttempt, attempt_of, unit_of
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from linkspan.shard.messages import EndedTask, TaskName
    from tests.run_judge import RunJudge
    from tests.standins.memory_executor import MemoryExecutor


class AttemptBudget:
    """Compares starts with the failed ends that owners acknowledged, before or after the start.

    Args:
        judge: Supplies the queue's limit and the steps of the jobs.
    """

    def __init__(self, judge: RunJudge) -> None:
        self._judge = judge
        self._ended: dict[tuple[str, TaskName, int], float] = {}
        self._noted: defaultdict[TaskName, set[FailedAttempt]] = defaultdict(set)
        self._noted_in_lease: defaultdict[TaskName, dict[FailedAttempt, float]] = defaultdict(dict)
        self._starts: defaultdict[TaskName, list[float]] = defaultdict(list)
        self._reported: set[TaskName] = set()

    def on_start(self, task: TaskName) -> list[str]:
        """Return the violations of a start, empty if it is allowed."""
        unit = unit_of(task, self._judge.step_of(task))
        self._starts[unit].append(world_time())
        used_up = len(self._noted[unit]) >= self._judge.queue.max_attempts
        if not used_up or self._judge.step_of(task).standing:
            return []
        return [f"BUDGET {task}"]

    def on_failed(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        """Record that a run ended as failed."""
        self._ended[executor.incarnation_name, task, run] = world_time()

    def on_noted(self, executor: MemoryExecutor, end: EndedTask) -> list[str]:
        """Return the violation that an acknowledged failed end proves, empty if none.

        An end counts from the time of the failure, so that a start between the failure and
        its acknowledgement is a violation, too. If the executor's lease expired before the
        acknowledgement, the end counts from the acknowledgement on.
        """
        step = self._judge.step_of(end.task)
        unit, failed = unit_of(end.task, step), attempt_of(end.run, executor.incarnation_name, step)
        self._noted[unit].add(failed)
        ended = self._ended[executor.incarnation_name, end.task, end.run]
        if step.standing or step.speculative or executor.lease_expired_at >= ended:
            return []
        in_lease = self._noted_in_lease[unit]
        in_lease[failed] = min(in_lease.get(failed, ended), ended)
        max_attempts = self._judge.queue.max_attempts
        if len(in_lease) < max_attempts or unit in self._reported:
            return []
        limit_reached_at = sorted(in_lease.values())[max_attempts - 1]
        starts = [start for start in self._starts[unit] if start > limit_reached_at]
        if not starts:
            return []
        self._reported.add(unit)
        return [f"BUDGET {end.task} began at {starts[0]:.2f}, after {max_attempts} runs had failed"]
