"""Finds out quickly which waiting steps cannot start a task during a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning._task_kind import has_kind, kind_of
from linkspan.shard.planning.task_need import may_use_headroom

if TYPE_CHECKING:
    from linkspan.shard.planning._plan_view import PlanView
    from linkspan.shard.planning._setting_aside import SettingAside
    from linkspan.shard.planning._task_kind import TaskKind
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

STARVATION_S = 1.5
"""Time after which a job with nothing running starts one task on any executor with enough memory.
The platform counts work as lost that waits for three seconds while there is capacity."""


class WaitingSteps:
    """Answers questions about the waiting steps of one plan without a placement of their own.

    In an overloaded hall nearly all steps wait in nearly all plans. A step whose kind of tasks fits
    nowhere costs a few comparisons, however many executors there are.

    Args:
        view: The plan's view of the shard.
        setting_aside: Sets resources aside for steps with a reservation.
    """

    def __init__(self, view: PlanView, setting_aside: SettingAside) -> None:
        self._view = view
        self._setting_aside = setting_aside
        self._at_work: dict[ShardJob, bool] = {}

    def __repr__(self) -> str:
        return f"WaitingSteps({len(self._at_work)} jobs)"

    def recall(self, examples: list[tuple[TaskKind, StepRun]]) -> None:
        """Note the kinds of an earlier plan that fit nowhere now either.

        All steps that they cover are then dropped before their urgency is computed.

        Args:
            examples: These kinds, each with a step whose tasks are of it.
        """
        view = self._view
        for kind, step in examples:
            if step not in view.core.ready or not has_kind(step):
                continue
            options = {"use_headroom": kind.use_headroom, "starved": kind.starved}
            if not view.placement(step).has_room(**options):
                timeliness = view.best_effort_capacity.timeliness_if_best_effort(step)
                view.unplaceable.add(kind_of(step, timeliness, **options), step)

    def has_run(self, job: ShardJob) -> bool:
        """Return whether a task of a job has an attempt."""
        at_work = self._at_work.get(job)
        if at_work is None:
            # Thousands of steps of one job may wait, and each would look at all tasks of the job.
            at_work = self._at_work[job] = any(True for _ in job.attempts())
        return at_work

    def on_placed(self, job: ShardJob) -> None:
        """Note that a task of a job was placed."""
        self._at_work[job] = True

    def is_starved(self, step: StepRun, pending: list[Task]) -> bool:
        """Return whether a best-effort step's job has had nothing running for long."""
        waited_s = self._view.now - min(task.waiting_since for task in pending)
        if not step.spec.best_effort or waited_s < STARVATION_S:
            return False
        return not self.has_run(step.run.job)

    def changes_nothing(self, step: StepRun, pending: list[Task]) -> bool:
        """Return whether a placement of a step would certainly change nothing in this plan.

        It could change something for tasks that avoid executors or have crashed some, even if none
        of them is placed, and for steps with resources set aside.

        Args:
            step: The step.
            pending: Its tasks that may start now.
        """
        if not has_kind(step) or any(t.avoided_executors or t.crash_history for t in pending):
            return False
        if not self._fits_nowhere(step, pending):
            return False
        return step.spec.best_effort or self._setting_aside.is_idle(step, self._view.now)

    def _fits_nowhere(self, step: StepRun, pending: list[Task]) -> bool:
        unplaceable = self._view.unplaceable
        timeliness = self._view.best_effort_capacity.timeliness_if_best_effort(step)
        # Where a task that may use the headroom does not fit, one that may not does not either.
        headroom = step.spec.standing and any(may_use_headroom(t, self._view.now) for t in pending)
        kind = kind_of(step, timeliness, use_headroom=headroom, starved=False)
        if kind not in unplaceable:
            return False
        return kind._replace(starved=True) in unplaceable or not self.is_starved(step, pending)
