"""Which tasks start now, in what order, and which runs are better moved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard._books import short_name
from linkspan.shard._pressure_room import PressureRooms
from linkspan.shard.pacing import MOVE_BELOW
from linkspan.shard.placement import StepPlacement
from linkspan.shard.state import Phase
from linkspan.shard.urgency import urgency

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.state import Attempt, StepRun, Task

AVOID_S = 0.4
"""Time for which a failed task waits for another executor than the one it failed on:
about a short task's length. One in fifty fails by its own fault wherever it runs, and
an executor that fails them all is distrusted after two jobs."""

STARVED_S = 1.5
"""Time after which a job with nothing running starts a task wherever there is memory
for it. The platform counts work as lost that waits for three seconds beside room."""

STRAGGLER_FACTOR = 3.0
"""Multiple of its siblings' median after which a run counts as a straggler; tasks
of one step differ by a third at most on a sound executor."""

STRAGGLER_SLACK_S = 0.5
"""Added to that, for short tasks: a stop and a new start cost about this much."""

LONE_FACTOR = 5.0
"""Multiple of the caller's guess that stands in where no sibling has ended; guesses
are wrong by a factor of two to three."""

LONE_SLACK_S = 2.0
"""Added to that."""

COPY_FACTOR = 1.6
"""Multiple of its siblings' median after which a run of a speculative step gets a copy:
objectives of short work are one and a half times its length."""

COPY_SLACK_S = 0.15
"""Added to that, for the shortest: about the time that a copy takes to start."""

COPIES_SHARE = 0.25
"""Part of a step's tasks that may have copies at a time: more would only load executors
that are all slow."""

MAX_MOVES = 2
"""Executors that a straggling task is moved away from, at most."""

MOVE_LEFT_S = 1.5
"""Work that a disturbing best-effort run must have left to be moved: a move costs
about a second of it."""

MOVE_GAIN = 0.4
"""Part of the present disturbance that is to be left after a move."""

LEAVE_MARGIN_S = 1.5
"""Time before a draining executor may leave at which runs there are moved: a stop
of 0.9 s and its answer."""

LAST_CHANCE_S = 1.0
"""Added to that for runs that save checkpoints: from here on they are moved whatever
they may have left to do."""

ESTIMATE_MARGIN = 1.5
"""Factor on a caller's guess for whether a run ends before its executor leaves."""


class Planner:
    """Turns the state of a shard into starts and stops.

    Args:
        core: The shard's state.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self._blocked_logged: set[StepRun] = set()
        self._rooms = PressureRooms(core.colocation, 0.0, 0.0)

    def __repr__(self) -> str:
        return f"Planner({self._core!r})"

    def plan(self, now: float, wall: float) -> None:
        """Add the orders that are due now to the core.

        Args:
            now: Steady time.
            wall: Time of day, in seconds since 1970, for due times and urgency.
        """
        core = self._core
        self._rooms = PressureRooms(core.colocation, now, wall)
        core.release_due(wall, now)
        self._leave_draining(now)
        self._move_stragglers(now)
        self._move_disturbing(now)
        usable = [e for e in core.executors.values() if e.usable(now) and e.clock]
        for step in self._ordered(wall):
            if core.may_start(step.run.job, now):
                self._place_step(step, usable, now)
        self._copy_stragglers(usable, now)

    def _ordered(self, wall: float) -> list[StepRun]:
        ready = self._core.ready
        for step in list(ready):
            if step.run.job.closing or not any(task.pending for task in step.tasks):
                del ready[step]
                self._blocked_logged.discard(step)
        waiting = [step for step in ready if not step.run.job.handing_over]
        return sorted(waiting, key=lambda step: urgency(step, wall))

    def _place_step(self, step: StepRun, usable: list[ExecutorState], now: float) -> None:
        pending = [t for t in step.tasks if t.pending and t.not_before <= now]
        if not pending:
            return
        placement = self._placement(step, usable, now)
        if not placement.executors:
            return
        if step.run.job.advised and not self._has_tickets(placement, now):
            return
        if step.spec.gang:
            placed = self._place_gang(step, placement, pending, now)
        else:
            placed = self._place_each(placement, pending, now)
            placed = placed or self._place_starved(placement, pending, now)
        self._log(step, placed, len(pending), now)

    def _placement(
        self, step: StepRun, executors: list[ExecutorState], now: float
    ) -> StepPlacement:
        core = self._core
        return StepPlacement(step, executors, core.health, core.colocation, self._rooms, now)

    def _has_tickets(self, placement: StepPlacement, now: float) -> bool:
        """Keep to the executors that the queue's policy lets run the step."""
        step, book = placement.step, self._core.advice
        by_room = sorted(placement.executors, key=lambda e: -e.free_cpu)
        book.want(step, (e.executor_id for e in by_room), now)
        placement.executors = [
            e for e in placement.executors if book.ticket(step, e.executor_id, now) is not None
        ]
        return bool(placement.executors)

    def _ticket(self, step: StepRun, executor: ExecutorState, now: float) -> str:
        if not step.run.job.advised:
            return ""
        return self._core.advice.ticket(step, executor.executor_id, now) or ""

    def _place_each(
        self, placement: StepPlacement, pending: list[Task], now: float
    ) -> list[Attempt]:
        placed = []
        for task in pending:
            executor = placement.choose(task) or self._second_choice(placement, task, now)
            if executor is None:
                if not task.avoid:
                    # Tasks of a step are alike: none of the others fits either.
                    break
                continue
            pace = placement.pace(executor)
            ticket = self._ticket(placement.step, executor, now)
            placed.append(self._core.place(task, executor, now, ticket=ticket, pace=pace))
            placement.took(executor)
        return placed

    def _place_starved(
        self, placement: StepPlacement, pending: list[Task], now: float
    ) -> list[Attempt]:
        """Start one best-effort task of a job that has had nothing running for long."""
        step = placement.step
        waited = now - min(task.ready_since for task in pending)
        if not step.spec.best_effort or waited < STARVED_S:
            return []
        if any(True for _ in step.run.job.attempts()):
            return []
        executor = placement.choose(pending[0], starved=True)
        if executor is None:
            return []
        pace = placement.pace(executor)
        placement.took(executor)
        ticket = self._ticket(step, executor, now)
        return [self._core.place(pending[0], executor, now, ticket=ticket, pace=pace)]

    def _second_choice(
        self, placement: StepPlacement, task: Task, now: float
    ) -> ExecutorState | None:
        """Return an avoided executor if no other had room for a while, or there is none."""
        nowhere = all(e.executor_id in task.avoid for e in placement.executors)
        if not task.avoid or not (nowhere or now - task.ready_since >= AVOID_S):
            return None
        task.avoid.clear()
        return placement.choose(task)

    def _place_gang(
        self, step: StepRun, placement: StepPlacement, pending: list[Task], now: float
    ) -> list[Attempt]:
        if len(pending) < len(step.tasks):
            return []
        run = max(task.next_run for task in pending)
        checkpoint = max((task.checkpoint for task in pending), key=len)
        placed: list[Attempt] = []
        orders = len(self._core.orders)
        for task in pending:
            executor = placement.choose(task)
            if executor is None:
                self._undo(placed, orders)
                return []
            task.checkpoint = checkpoint
            ticket = self._ticket(step, executor, now)
            placed.append(self._core.place(task, executor, now, ticket=ticket, run=run))
            placement.took(executor)
        return placed

    def _undo(self, placed: list[Attempt], orders: int) -> None:
        del self._core.orders[orders:]
        for attempt in placed:
            self._core.unplace(attempt)

    def _log(self, step: StepRun, placed: list[Attempt], pending: int, now: float) -> None:
        job = step.run.job
        if placed:
            self._core.log(
                Event.STEP_PLACED,
                job=job.job_id,
                step=f"{step.run.repetition}.{step.index}",
                waited_s=round(now - placed[0].task.ready_since, 3),
                runs={f"{a.task.name.index}/{a.run}": a.executor_id for a in placed},
                left=pending - len(placed),
            )
            self._blocked_logged.discard(step)
        elif step not in self._blocked_logged:
            self._blocked_logged.add(step)
            self._core.log(
                Event.STEP_BLOCKED,
                job=job.job_id,
                step=f"{step.run.repetition}.{step.index}",
                pending=pending,
                milli_cpu=step.spec.demand.milli_cpu,
                memory_mb=step.spec.demand.memory_mb,
            )

    # Moves

    def _leave_draining(self, now: float) -> None:
        for executor in self._core.executors.values():
            if not executor.draining or executor.silent_since is not None:
                continue
            left = executor.leaves_at - now
            for attempt in list(executor.attempts.values()):
                if attempt.phase is Phase.RUNNING and self._should_leave(attempt, left, now):
                    self._core.stop(attempt, now, reason="executor leaves")

    def _should_leave(self, attempt: Attempt, left: float, now: float) -> bool:
        step = attempt.task.step
        if step.spec.standing:
            return True
        if left > LEAVE_MARGIN_S and not step.spec.checkpoints:
            return False
        expected = step.spec.estimate_s * ESTIMATE_MARGIN - (now - attempt.placed_at)
        return left < LEAVE_MARGIN_S + LAST_CHANCE_S or (step.spec.checkpoints and expected > left)

    def _move_disturbing(self, now: float) -> None:
        """Move best-effort runs that were slowed down to where they disturb less."""
        for executor in list(self._core.executors.values()):
            for attempt in executor.best_effort():
                if attempt.pace < MOVE_BELOW and self._better_elsewhere(attempt, executor, now):
                    self._core.stop(attempt, now, reason="disturbs standing tasks here")

    def _better_elsewhere(self, attempt: Attempt, executor: ExecutorState, now: float) -> bool:
        step = attempt.task.step
        spec = step.spec
        left_s = spec.estimate_s * (1 - attempt.progress / 100)
        if not spec.checkpoints or step.spec.gang or left_s < MOVE_LEFT_S:
            return False
        others = [e for e in self._core.executors.values() if e is not executor]
        usable = [e for e in others if e.usable(now) and e.clock]
        placement = self._placement(step, usable, now)
        best = placement.choose(attempt.task)
        if best is None:
            return False
        book, image, cpu = self._core.colocation, spec.image, spec.demand.milli_cpu
        here = book.worst_added(executor, image, cpu)
        return book.worst_added(best, image, cpu) < MOVE_GAIN * here

    def _move_stragglers(self, now: float) -> None:
        for executor in self._core.executors.values():
            if executor.silent_since is not None or executor.draining:
                continue
            for attempt in list(executor.attempts.values()):
                if attempt.phase is Phase.RUNNING and self._straggles(attempt, now):
                    task = attempt.task
                    task.avoid.add(executor.executor_id)
                    self._core.health.took(executor.executor_id, STRAGGLER_FACTOR * 2, now)
                    self._core.stop(attempt, now, reason="runs far longer than its like")

    def _copy_stragglers(self, usable: list[ExecutorState], now: float) -> None:
        """Start copies of runs that take long beside their like, where that is allowed."""
        for executor in list(self._core.executors.values()):
            for attempt in list(executor.attempts.values()):
                if self._wants_copy(attempt, now):
                    self._copy(attempt, [e for e in usable if e is not executor], now)

    def _wants_copy(self, attempt: Attempt, now: float) -> bool:
        step = attempt.task.step
        if not step.spec.speculative or step.spec.gang or step.run.job.advised:
            return False
        if attempt.phase is not Phase.RUNNING or len(attempt.task.attempts) > 1:
            return False
        if len(step.durations) < 2 or step.run.job.closing:
            return False
        copied = sum(len(task.attempts) > 1 for task in step.tasks)
        if copied >= max(COPIES_SHARE * step.spec.count, 1):
            return False
        return now - attempt.placed_at > COPY_FACTOR * step.median_s + COPY_SLACK_S

    def _copy(self, attempt: Attempt, executors: list[ExecutorState], now: float) -> None:
        executor = self._placement(attempt.task.step, executors, now).choose(attempt.task)
        if executor is None:
            return
        copy = self._core.place(attempt.task, executor, now, copy=True)
        self._core.log(
            Event.RUN_COPIED,
            executor=copy.executor_id,
            job=attempt.task.name.job_id,
            task=short_name(attempt.task.name),
            run=copy.run,
            beside=attempt.executor_id,
            running_s=round(now - attempt.placed_at, 2),
        )

    def _straggles(self, attempt: Attempt, now: float) -> bool:
        step = attempt.task.step
        spec = step.spec
        if spec.standing or spec.gang or spec.best_effort or len(attempt.task.avoid) >= MAX_MOVES:
            return False
        took = now - max(attempt.placed_at, attempt.confirmed_at)
        if len(step.durations) >= 2:
            return took > STRAGGLER_FACTOR * step.median_s + STRAGGLER_SLACK_S
        return took > LONE_FACTOR * spec.estimate_s + LONE_SLACK_S
