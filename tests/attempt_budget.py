"""A judge of one rule: no start once as many runs have failed as the queue allows."""

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
    """Compares starts with the failed ends that owners took note of, before them or later.

    Args:
        judge: Knows the jobs.
    """

    def __init__(self, judge: RunJudge) -> None:
        self._judge = judge
        self._ended: dict[tuple[str, TaskName, int], float] = {}
        self._noted: defaultdict[TaskName, set[FailedAttempt]] = defaultdict(set)
        self._noted_in_lease: defaultdict[TaskName, dict[FailedAttempt, float]] = defaultdict(dict)
        self._starts: defaultdict[TaskName, list[float]] = defaultdict(list)
        self._found: set[TaskName] = set()

    def on_start(self, task: TaskName) -> list[str]:
        """Return what is wrong with a start."""
        unit = unit_of(task, self._judge.step_of(task))
        self._starts[unit].append(world_time())
        used_up = len(self._noted[unit]) >= self._judge.queue.max_attempts
        if not used_up or self._judge.step_of(task).standing:
            return []
        return [f"BUDGET {task}"]

    def on_failed(self, executor: MemoryExecutor, task: TaskName, run: int) -> None:
        """Take in that a run ended as failed."""
        self._ended[executor.incarnation_name, task, run] = world_time()

    def on_noted(self, executor: MemoryExecutor, end: EndedTask) -> list[str]:
        """Return the start that a failed end, of which an owner takes note, came before.

        An end whose executor's lease lapsed before that is taken note of from here on only.
        """
        step = self._judge.step_of(end.task)
        unit, failed = unit_of(end.task, step), attempt_of(end.run, executor.incarnation_name, step)
        self._noted[unit].add(failed)
        ended = self._ended[executor.incarnation_name, end.task, end.run]
        if step.standing or step.speculative or executor.lapsed_at >= ended:
            return []
        in_lease = self._noted_in_lease[unit]
        in_lease[failed] = min(in_lease.get(failed, ended), ended)
        most = self._judge.queue.max_attempts
        if len(in_lease) < most or unit in self._found:
            return []
        last = sorted(in_lease.values())[most - 1]
        after = [start for start in self._starts[unit] if start > last]
        if not after:
            return []
        self._found.add(unit)
        return [f"BUDGET {end.task} began at {after[0]:.2f}, after {most} runs had failed"]
