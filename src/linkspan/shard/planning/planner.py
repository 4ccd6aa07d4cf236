"""Plans which tasks start now, and in what order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard._reasons import start_reason
from linkspan.shard.attempt import FULL_PACE
from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
from linkspan.shard.planning._blocked import blocked_fields
from linkspan.shard.planning._interference_moves import InterferenceMoves
from linkspan.shard.planning._moves import Moves
from linkspan.shard.planning._plan_view import PlanView
from linkspan.shard.planning._second_runs import WaitingTasks, split_by_failures
from linkspan.shard.planning._setting_aside import SettingAside
from linkspan.shard.planning._speculative_copies import SpeculativeCopies
from linkspan.shard.planning._waiting_steps import WaitingSteps
from linkspan.shard.planning.urgency import Urgencies

if TYPE_CHECKING:
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._isolation import IsolatedPlacement
    from linkspan.shard.planning._task_kind import TaskKind
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MAX_LOOKS_PER_PLAN = 2_000
"""Limits the executors that a plan scores for steps that start, so that answers and reports are
handled in between: a score takes about ten microseconds. As many are examined to explain why steps
wait; further steps are explained in the next plans."""

MIN_STEPS_PER_PLAN = 8
"""Steps that start in a plan, and that are explained in it, whatever the number of executors."""


class Planner:
    """Derives starts and stops from the state of a shard.

    Args:
        core: The shard's state.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self._blocked_logged: set[StepRun] = set()
        self._evacuation = core.evacuation
        self._setting_aside = SettingAside(core)
        self._interference_moves = InterferenceMoves()
        self._explanations_left = 0
        self._unplaceable: list[tuple[TaskKind, StepRun]] = []
        self._left_over = False

    def __repr__(self) -> str:
        return f"Planner({self._core!r})"

    @property
    def left_over(self) -> bool:
        """Whether the last plan left steps to the next one, which must follow at once."""
        return self._left_over

    def plan(self, now: float, wall: float) -> None:
        """Add the orders that are due now to the core.

        Args:
            now: Steady time.
            wall: Time of day, in seconds since 1970, for due times and urgency.
        """
        core = self._core
        view = PlanView(core, BestEffortCapacity(core.interference, now, wall), now)
        self._track_evacuation()
        core.release_due(wall, now)
        core.remove_finished_tasks()
        core.headroom.update(now)
        Moves(view).add_orders()
        self._interference_moves.add_orders(view)
        waiting = self._waiting()
        self._setting_aside.begin(view, wall)
        self._place_steps(waiting, view, wall)
        SpeculativeCopies(view).add_orders()

    def _place_steps(self, waiting: list[WaitingTasks], view: PlanView, wall: float) -> None:
        """Place waiting tasks by urgency, until enough steps have started some."""
        waiting_steps = WaitingSteps(view, self._setting_aside)
        waiting_steps.recall(self._unplaceable)
        remaining = max(MAX_LOOKS_PER_PLAN // max(len(view.usable()), 1), MIN_STEPS_PER_PLAN)
        self._explanations_left = remaining
        self._left_over = False
        for step, pending, _ in self._by_urgency(waiting, waiting_steps, view.now, wall):
            if not remaining:
                self._left_over = True
                break
            view.unserved.discard(step)
            orders = len(self._core.orders)
            known = self._core.tasks_that_may_start(step.run.job, pending, view.now)
            if known:
                self._place_step(step, known, view, waiting_steps)
            remaining -= len(self._core.orders) > orders
        self._unplaceable = view.unplaceable.examples()

    def _track_evacuation(self) -> None:
        """Log again why steps wait after an evacuation has begun or ended."""
        if self._core.evacuation != self._evacuation:
            self._evacuation = self._core.evacuation
            self._blocked_logged.clear()

    def _waiting(self) -> list[WaitingTasks]:
        """Return the pending tasks, those of a step together unless some have failed."""
        ready = self._core.ready
        waiting: list[WaitingTasks] = []
        for step in list(ready):
            tasks = [] if step.run.job.closing else step.pending()
            if not tasks:
                del ready[step]
                self._blocked_logged.discard(step)
            elif not step.run.job.moving:
                waiting += split_by_failures(step, tasks)
        return waiting

    def _by_urgency(
        self,
        waiting: list[WaitingTasks],
        waiting_steps: WaitingSteps,
        now: float,
        wall: float,
    ) -> list[WaitingTasks]:
        """Return the tasks that may start now by urgency, without those that fit nowhere."""
        found = []
        for step, tasks, failed_before in waiting:
            pending = self._startable(tasks, now)
            if not pending:
                continue
            if step in self._blocked_logged and waiting_steps.changes_nothing(step, pending):
                continue
            found.append(WaitingTasks(step, pending, failed_before))
        urgencies = Urgencies(wall)
        return sorted(found, key=lambda w: urgencies.of(w.step, failed_before=w.failed_before))

    def _startable(self, tasks: list[Task], now: float) -> list[Task]:
        startable = [t for t in tasks if t.startable(now)]
        if self._core.tasks_with_crash_history:
            return [t for t in startable if t.crash_history_durable]
        return startable

    def _place_step(
        self, step: StepRun, pending: list[Task], view: PlanView, waiting_steps: WaitingSteps
    ) -> None:
        needs_no_line = step in self._blocked_logged or not self._explanations_left
        if needs_no_line and waiting_steps.changes_nothing(step, pending):
            return
        placement = view.placement(step)
        if not placement.executors:
            if self._core.evacuation:
                self._log_blocked(step, pending, against={"hall is evacuated": len(pending)})
            return
        if step.run.job.requires_ticket:
            self._require_tickets(placement)
            if not placement.executors:
                self._log(placement, [], pending, view)
                return
        if step.spec.gang:
            placed = self._place_gang(placement, pending, view.isolated_placement())
        else:
            to_isolate = (
                [t for t in pending if t.needs_isolation]
                if self._core.tasks_with_crash_history
                else []
            )
            others = [t for t in pending if not t.needs_isolation] if to_isolate else pending
            placed = self._place_each(placement, others)
            placed += self._place_isolated(placement, to_isolate, view)
            if not placed and waiting_steps.is_starved(step, pending):
                placed = self._place_starved(placement, pending[0])
        if placed:
            waiting_steps.on_placed(step.run.job)
        self._log(placement, placed, pending, view)
        self._set_aside(placement, placed, pending, view)

    def _set_aside(
        self, placement: StepPlacement, placed: list[Attempt], pending: list[Task], view: PlanView
    ) -> None:
        """Set resources aside for the tasks with a reservation that were not placed."""
        if placement.step.spec.best_effort:
            return
        if placed:
            executor_ids = (attempt.executor_id for attempt in placed)
            self._setting_aside.on_placed(placement.step, executor_ids, view.now)
        waiting = [task for task in pending if not task.attempts] if placed else pending
        if waiting:
            self._setting_aside.serve(placement, waiting, view)

    def _require_tickets(self, placement: StepPlacement) -> None:
        """Limit a placement to executors with a valid ticket; request the missing tickets."""
        step, now, advice = placement.step, placement.now, self._core.advice
        by_room = sorted(placement.executors, key=lambda e: -e.free_cpu)
        advice.request_tickets(step, (e.executor_id for e in by_room), now)
        placement.executors = [
            e for e in placement.executors if advice.ticket(step, e.executor_id, now) is not None
        ]

    def _start(
        self,
        placement: StepPlacement,
        task: Task,
        executor: ExecutorState,
        *,
        run: int | None = None,
        pace: int = FULL_PACE,
    ) -> Attempt:
        """Order a start, with the step's ticket if it needs one, and update the placement."""
        ticket = self._ticket(placement, executor)
        attempt = self._core.place(task, executor, placement.now, ticket=ticket, run=run, pace=pace)
        placement.on_placed(executor)
        return attempt

    def _ticket(self, placement: StepPlacement, executor: ExecutorState) -> str:
        step = placement.step
        if not step.run.job.requires_ticket:
            return ""
        return self._core.advice.ticket(step, executor.executor_id, placement.now) or ""

    def _place_each(self, placement: StepPlacement, pending: list[Task]) -> list[Attempt]:
        placed = []
        # Apart from their use of the headroom, tasks of a step are identical: where one does not
        # fit, none of the others does.
        fitting_nowhere: set[bool] = set()
        for task in pending:
            use_headroom = placement.may_use_headroom(task)
            if use_headroom in fitting_nowhere and not task.avoided_executors:
                continue
            executor = placement.choose(task) or self._choose_avoided(placement, task)
            if executor is None:
                if not task.avoided_executors:
                    fitting_nowhere.add(use_headroom)
                continue
            pace = placement.pace(executor)
            placed.append(self._start(placement, task, executor, pace=pace))
        return placed

    def _place_isolated(
        self, placement: StepPlacement, to_isolate: list[Task], view: PlanView
    ) -> list[Attempt]:
        placed = []
        isolation = view.isolated_placement()
        for task in to_isolate:
            executor = isolation.choose(placement, task)
            if executor is None:
                continue
            isolated = executor.executor_id not in isolation.running()
            attempt = self._start(placement, task, executor, pace=placement.pace(executor))
            attempt.isolated = isolated
            placed.append(attempt)
            # No other start may be on its way to this executor until this one is answered.
            if executor in placement.executors:
                placement.executors.remove(executor)
            view.reserve(executor)
        return placed

    def _place_starved(self, placement: StepPlacement, task: Task) -> list[Attempt]:
        """Start a best-effort task of a job that has had nothing running for long."""
        executor = placement.choose(task, starved=True)
        if executor is None:
            return []
        return [self._start(placement, task, executor, pace=placement.pace(executor))]

    def _choose_avoided(self, placement: StepPlacement, task: Task) -> ExecutorState | None:
        """Return an avoided executor if no other one exists or had capacity for a while."""
        return placement.choose(task) if placement.clear_avoided(task) else None

    def _place_gang(
        self, placement: StepPlacement, pending: list[Task], isolation: IsolatedPlacement
    ) -> list[Attempt]:
        if len(pending) < len(placement.step.tasks):
            return []
        run = max(task.next_run for task in pending)
        checkpoint = max((task.checkpoint for task in pending), key=len)
        job_run = placement.step.run
        ordered, dirty = job_run.job.start_ordered, self._core.is_dirty(job_run)
        version = job_run.version
        placed: list[Attempt] = []
        orders = len(self._core.orders)
        for task in pending:
            executor = (
                isolation.choose(placement, task)
                if task.needs_isolation
                else placement.choose(task) or self._choose_avoided(placement, task)
            )
            if executor is None:
                self._undo_gang(placement, placed, orders)
                if placed and not ordered:
                    # A job of which a start was ordered can't move to another hall.
                    self._core.unmark_start_ordered(job_run, version, dirty=dirty)
                return []
            task.checkpoint = checkpoint
            isolated = task.needs_isolation and executor.executor_id not in isolation.running()
            attempt = self._start(placement, task, executor, run=run)
            attempt.isolated = isolated
            placed.append(attempt)
        return placed

    def _undo_gang(self, placement: StepPlacement, placed: list[Attempt], orders: int) -> None:
        del self._core.orders[orders:]
        for attempt in placed:
            self._core.unplace(attempt)
            placement.on_unplaced(self._core.executors[attempt.executor_id])

    def _log(
        self, placement: StepPlacement, placed: list[Attempt], pending: list[Task], view: PlanView
    ) -> None:
        step, now = placement.step, view.now
        job = step.run.job
        if placed:
            self._core.log(
                Event.STEP_PLACED,
                job=job.job_id,
                step=f"{step.run.repetition}.{step.index}",
                waited_s=round(now - placed[0].task.ready_since, 3),
                runs={f"{a.task.name.index}/{a.run}": a.executor_id for a in placed},
                left=len(pending) - len(placed),
                **start_reason(self._core, job, placed),
            )
            self._blocked_logged.discard(step)
        elif step not in self._blocked_logged and self._explanations_left:
            self._explanations_left -= 1
            fields = blocked_fields(placement, pending[0], view.held_cores())
            self._log_blocked(step, pending, **fields)

    def _log_blocked(self, step: StepRun, pending: list[Task], **why: object) -> None:
        """Log, once until its next start, why a step's tasks wait."""
        if step in self._blocked_logged:
            return
        self._blocked_logged.add(step)
        self._core.log(
            Event.STEP_BLOCKED,
            job=step.run.job.job_id,
            step=f"{step.run.repetition}.{step.index}",
            pending=len(pending),
            milli_cpu=step.spec.demand.milli_cpu,
            memory_mb=step.spec.demand.memory_mb,
            **why,
        )
