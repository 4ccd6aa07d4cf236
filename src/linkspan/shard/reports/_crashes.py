"""Executors that crashed, the tasks that were there, and what that says of them.

A run that ends with its executor has no end that anyone tells. It is counted here, at its
task and on record, or what crashes its executors would be started for ever, each time with
the loss of all that runs beside it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.crash import Crash
from linkspan.jobs.records import JobState
from linkspan.shard._reasons import short_name
from linkspan.shard.attempt import NEVER
from linkspan.shard.crash_history import (
    CLEARED_AFTER_S,
    GIVE_UP_REASON,
    MAX_CONFIRMED_CRASHES,
    MIN_CERTAIN_CRASHES,
    MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL,
    MIN_CRASH_SCORE,
    add_crash,
    clear_blame,
    retract_crash,
)
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.reports._crash_weights import (
    counts_unheard,
    is_certain,
    points_of,
    stands_out,
    was_heard,
    worked_s,
)
from linkspan.shard.reports._executor_crashes import (
    MIN_REPEATED_CRASHES,
    RECENT_CRASH_S,
    ExecutorCrash,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import EndedTask
    from linkspan.shard.task import Task

MAX_REMEMBERED_CRASHES = 64
"""Falls that are looked back on: a hall has more executors only where hundreds of hosts are."""

MIN_SIMULTANEOUS_CRASHES = 2
"""Executors that fell beside one, with no suspect tried there, from which on it convicts nobody: a
rack or a hall falls by itself. What crashes them falls alone once it is tried apart."""

GIVE_UP_DELAY_S = 0.5
"""Time after a crash after which it convicts: of executors that fall at once the first is found
some hundred milliseconds before the others."""

MAX_LOGGED_TASKS = 20
"""Tasks that a line on a crash names, those that began last first: what crashes an executor
does so soon, and an executor of a wide step holds more than a line can."""


class CrashTracker:
    """Counts crashes at the tasks that were there, and gives up those that they name.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._accused: dict[Task, tuple[Attempt, float]] = {}

    def __repr__(self) -> str:
        return f"CrashTracker({len(self._state.executor_crashes)} falls)"

    def on_gone(self, executor: ExecutorState, now: float, proof: str) -> None:
        """Take in that an incarnation ended; its attempts are still on the books."""
        self._on_end(executor, now, proof, sure=True)

    def on_lost(self, executor: ExecutorState, now: float) -> None:
        """Take in that an executor is neither heard nor registered; it may only be cut off."""
        self._on_end(executor, now, "leases ended and no entry", sure=False)

    def on_ends(self, incarnation: str, ended: Iterable[EndedTask]) -> None:
        """Take in ends that were told by a life that is over: those runs did not crash it."""
        for end in ended:
            task = self._state.find_task(end.task)
            crash = (
                task.crash_history.crash_of(incarnation) if task and task.crash_history else None
            )
            if task and crash and crash.run == end.run:
                self._retract(task, incarnation)

    def retract(self, incarnation: str, reason: str) -> None:
        """Take in that the end of a life was no crash: it speaks against nobody, and for nobody.

        Args:
            incarnation: Name of the life.
            reason: What tells so, for the log.
        """
        self._state.executor_crashes = [
            fall for fall in self._state.executor_crashes if fall.executor_id != incarnation
        ]
        tasks = [
            t
            for t in self._state.suspects
            if t.crash_history and t.crash_history.crash_of(incarnation)
        ]
        for task in tasks:
            self._retract(task, incarnation)
        if tasks:
            self._state.count("crashes_taken_back")
            names = [short_name(task.name) for task in tasks[:MAX_LOGGED_TASKS]]
            self._state.log(
                Event.CRASH_TAKEN_BACK,
                executor=incarnation,
                reason=reason,
                runs=len(tasks),
                tasks=names,
            )

    def _retract(self, task: Task, incarnation: str) -> None:
        if task.crash_history:
            run = task.step.run
            self._state.mark_dirty(run)
            if task.managed_by is not None:
                # The loan was told of it, and brings it back.
                task.retracted_crashes.add(incarnation)
            self._state.set_crash_history(
                task, retract_crash(task.crash_history, incarnation, run.version)
            )

    def _on_end(self, executor: ExecutorState, now: float, proof: str, *, sure: bool) -> None:
        attempts = list(executor.attempts.values()) or executor.expired_attempts
        crashed_at = now if executor.silent_since is None else executor.silent_since
        if executor.left_as_planned:
            return
        fall = _fall(executor, crashed_at)
        beside = self._falls_beside(fall)
        # Also of an idle one: that it fell speaks for what was on those that fell beside it.
        self._state.executor_crashes = [
            *self._state.executor_crashes[1 - MAX_REMEMBERED_CRASHES :],
            fall,
        ]
        if not fall.had_isolated_task:
            self._excuse(beside)
        if not attempts:
            return
        self._state.count("crashes")
        by_age = sorted(attempts, key=lambda a: worked_s(a, crashed_at))
        self._log(executor, by_age, crashed_at, now, proof=proof, beside=len(beside))
        untried = sum(not other.had_isolated_task for other in beside)
        suspects = [a for a in attempts if a.task.needs_isolation]
        named = [a for a in attempts if sure and not untried and stands_out(a, suspects)]
        before = {a.task for a in attempts if a.task.crash_history}
        for attempt in by_age:
            worked = worked_s(attempt, crashed_at)
            crash = Crash(
                executor.executor_id,
                attempt.run,
                points_of(attempt, worked) if attempt in named else MIN_CRASH_SCORE,
                was_heard(attempt),
                executor.record.address,
                sure and is_certain(attempt, crashed_at),
            )
            self._count(attempt, worked, crash, alone=before <= {attempt.task})
        fall.blamed_tasks.update(a.task for a in named)
        for attempt in by_age:
            self._accuse(attempt, now, convicts=untried < MIN_SIMULTANEOUS_CRASHES)

    def _excuse(self, beside: Iterable[ExecutorCrash]) -> None:
        """Take back what falls named, now that another one beside them was found."""
        for other in beside:
            for task in other.blamed_tasks:
                if task.crash_history:
                    run = task.step.run
                    self._state.mark_dirty(run)
                    excused = clear_blame(task.crash_history, other.executor_id, run.version)
                    self._state.set_crash_history(task, excused)
            other.blamed_tasks.clear()

    def _falls_beside(self, fall: ExecutorCrash) -> list[ExecutorCrash]:
        """Return the other executors that may have fallen at the same time."""
        silent = (
            _fall(e, e.silent_since)
            for e in self._state.executors.values()
            if e.silent_since is not None
        )
        return [
            other
            for other in (*self._state.executor_crashes, *silent)
            if _id(other) != _id(fall) and fall.may_be_simultaneous_with(other)
        ]

    def _count(self, attempt: Attempt, worked: float, crash: Crash, *, alone: bool) -> None:
        """Count a crash at a task that was there.

        Args:
            attempt: Its run.
            worked: For how long that was there, in seconds.
            crash: The crash.
            alone: Whether no other task was there under which an executor had crashed before.
        """
        task = attempt.task
        if task.done or task.step.run.job.closing:
            return
        if worked >= CLEARED_AFTER_S:
            self._state.set_crash_history(task, None)
            return
        if not crash.confirmed and not counts_unheard(attempt):
            return
        run = task.step.run
        self._state.mark_dirty(run)
        known = add_crash(task.crash_history, crash, run.version, alone=alone)
        self._state.set_crash_history(task, replace(known, give_up_deferred=known.should_give_up))

    def _accuse(self, attempt: Attempt, now: float, *, convicts: bool) -> None:
        """Give a task up that is convicted, unless a fall beside is found right after.

        Args:
            attempt: A run of it that was there.
            now: Steady time.
            convicts: Whether the crash may be the last one: not where others fell beside without
                cause. That spares a task once, as the platform bears one start more.
        """
        task = attempt.task
        known = task.crash_history
        if known is None or task in self._accused:
            return
        if not known.should_give_up_with(self._least_certain(known, now)):
            return
        if convicts or known.crash_count > MAX_CONFIRMED_CRASHES:
            self._accused[task] = attempt, now + GIVE_UP_DELAY_S
            # Until the verdict, however late that comes: a plan may be made right before it.
            task.not_before = float("inf")

    def tick(self, now: float) -> None:
        """Give up the tasks whose time has come."""
        due = [task for task, (_, at) in self._accused.items() if at <= now]
        for task in due:
            attempt, _ = self._accused.pop(task)
            task.not_before = now
            self._give_up(attempt, now)

    def _least_certain(self, known: CrashHistory, now: float) -> int:
        """Return how many crashes of a task must be certain for what they count to decide."""
        incarnations = {crash.incarnation for crash in known.identified_crashes}
        others = sum(
            not fall.had_isolated_task
            and fall.executor_id not in incarnations
            and now - fall.by < RECENT_CRASH_S
            for fall in self._state.executor_crashes
        )
        return (
            MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL
            if others >= MIN_REPEATED_CRASHES
            else MIN_CERTAIN_CRASHES
        )

    def _give_up(self, attempt: Attempt, now: float) -> None:
        task = attempt.task
        job = task.step.run.job
        known = task.crash_history
        if task.done or known is None or job.closing:
            return
        if not known.should_give_up_with(self._least_certain(known, now)):
            return
        self._state.count("tasks_given_up")
        self._state.log_run(
            Event.TASK_GIVEN_UP,
            attempt.executor_id,
            task.name,
            attempt.run,
            crashes=known.crash_count,
            heard=known.confirmed_count,
            certain=known.certain_count,
            points=known.crash_score,
        )
        why = {"reason": GIVE_UP_REASON, "task": short_name(task.name), "run": attempt.run}
        self._state.decide(job, JobState.FAILED, **why)

    def _log(
        self,
        executor: ExecutorState,
        by_age: Iterable[Attempt],
        crashed_at: float,
        now: float,
        *,
        proof: str,
        beside: int,
    ) -> None:
        tasks = {_name(a): _told(a, crashed_at) for a in by_age}
        self._state.log(
            Event.EXECUTOR_CRASHED,
            executor=executor.executor_id,
            address=executor.record.address,
            proof=proof,
            fell_s=round(now - crashed_at, 3),
            fell_beside=beside,
            runs=len(tasks),
            tasks=dict(list(tasks.items())[:MAX_LOGGED_TASKS]),
        )


def _fall(executor: ExecutorState, by: float) -> ExecutorCrash:
    heard_at = executor.clock.observed_at if executor.clock else NEVER
    # Starts are answered, too, if not by whom.
    after = max([heard_at, *(a.confirmed_at for a in executor.attempts.values())])
    tried = any(attempt.isolated for attempt in executor.attempts.values())
    return ExecutorCrash(executor.executor_id, executor.record.address, after, by, tried, set())


def _told(attempt: Attempt, crashed_at: float) -> list[float]:
    """Return how long a run was there, and the crashes under its task before and their points."""
    known = attempt.task.crash_history
    before = [known.crash_count, known.crash_score] if known else [0, 0]
    return [round(worked_s(attempt, crashed_at), 3), *before]


def _id(fall: ExecutorCrash) -> str:
    """Return the id of an executor that fell; two of its lives never fall at the same time."""
    return Incarnation.of(fall.executor_id).executor_id


def _name(attempt: Attempt) -> str:
    task = attempt.task.name
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}/{attempt.run}"
