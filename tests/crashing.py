"""Tasks that crash each executor that starts them, and a judge of how often they are started."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from linkspan.shard.messages import TaskName

MOST_CRASHES = 3
"""Executors that may crash under a task before its starts are counted, by the platform."""

MOST_STARTS_AFTER = 2
"""Starts of it after that which the platform bears."""


@dataclass
class CrashingTasks:
    """Which tasks crash their executors, and what came of it.

    Attributes:
        after_s: Seconds after its begin at which a run of a task crashes its executor.
        fallen: Executors that crashed under each task.
        lost_beside: Runs of other tasks that were lost with these executors.
        under: Executors that crashed, for whatever reason, while a task ran there.
    """

    after_s: dict[TaskName, float] = field(default_factory=dict)
    fallen: Counter[TaskName] = field(default_factory=Counter)
    lost_beside: int = 0
    under: Counter[TaskName] = field(default_factory=Counter)
    _starts_after: Counter[TaskName] = field(default_factory=Counter)

    def on_start(self, task: TaskName) -> list[str]:
        """Return what is wrong with a start of a task."""
        if task not in self.after_s or self.fallen[task] < MOST_CRASHES:
            return []
        self._starts_after[task] += 1
        if self._starts_after[task] <= MOST_STARTS_AFTER:
            return []
        return [f"BUDGET {task} is started after {self.fallen[task]} executors crashed under it"]

    def on_crash(self, task: TaskName, there: set[TaskName]) -> None:
        """Count an executor that a task crashes.

        Args:
            task: The task.
            there: All tasks that were there.
        """
        self.fallen[task] += 1
        self.lost_beside += len(there - self.after_s.keys())
