"""Tasks that crash each executor that starts them, and a check of how often they start."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from linkspan.shard.messages import TaskName

MAX_CRASHES = 3
"""Crashes under a task after which the platform limits its starts."""

MAX_STARTS_AFTER_CRASHES = 2
"""Starts that the platform allows after these crashes."""


@dataclass
class CrashingTasks:
    """Tasks that crash their executors, and the crashes counted so far.

    Attributes:
        after_s: Seconds from the start of a task's run to the crash of its executor.
        crash_counts: Number of executors that each task crashed.
        lost_colocated: Number of colocated runs of other tasks lost in these crashes.
        crashes_during_run: Number of executors that crashed, for any reason, while the task
            ran there.
    """

    after_s: dict[TaskName, float] = field(default_factory=dict)
    crash_counts: Counter[TaskName] = field(default_factory=Counter)
    lost_colocated: int = 0
    crashes_during_run: Counter[TaskName] = field(default_factory=Counter)
    _starts_after: Counter[TaskName] = field(default_factory=Counter)

    def on_start(self, task: TaskName) -> list[str]:
        """Return the violations of a start of a task, empty if it is allowed."""
        if task not in self.after_s or self.crash_counts[task] < MAX_CRASHES:
            return []
        self._starts_after[task] += 1
        if self._starts_after[task] <= MAX_STARTS_AFTER_CRASHES:
            return []
        return [
            f"BUDGET {task} is started after {self.crash_counts[task]} executors crashed under it"
        ]

    def on_crash(self, task: TaskName, running: set[TaskName]) -> None:
        """Count a crash that a task causes.

        Args:
            task: Task that crashes its executor.
            running: All tasks that ran on the executor.
        """
        self.crash_counts[task] += 1
        self.lost_colocated += len(running - self.after_s.keys())
