"""Records executor crashes in the crash history of the tasks that were running there.

No executor reports the end of a run that ended in a crash. The crash is therefore counted at the
task and stored with its progress. Otherwise a task that crashes its executors would be restarted
forever, and each crash would end all other runs on the same executor.
"""

from __future__ import annotations

from dataclasses import replace
from math import isfinite
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.crash import Crash
from linkspan.jobs.records import JobState
from linkspan.shard._reasons import short_name
from linkspan.shard.attempt import NEVER
from linkspan.shard.crash_changes import CrashChanges, merged_history
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
    counts_unconfirmed,
    crash_score_of,
    has_highest_score,
    is_certain,
    is_confirmed,
    time_on_executor_s,
)
from linkspan.shard.reports._departures import Departure, departure_of
from linkspan.shard.reports._executor_crashes import (
    MIN_REPEATED_CRASHES,
    RECENT_CRASH_S,
    ExecutorCrash,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.records import Delegation
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import EndedTask
    from linkspan.shard.task import Task

MAX_REMEMBERED_CRASHES = 64
"""Executor crashes that are remembered, the newest. A hall has more executors only if it has
hundreds of hosts."""

MIN_SIMULTANEOUS_CRASHES = 2
"""Other executors that crashed at the same time without running an isolated task, from which on a
crash makes the owner give up no task: such crashes are caused by a failing rack or hall. A task
that crashes executors does so alone once it is isolated."""

MIN_LONE_CRASHES = 3
"""Certain crashes of a task during which no other executor crashed without an isolated task, from
which on simultaneous crashes no longer spare the task. No rack or hall failed at these crashes, and
one more start may exceed what the platform tolerates: an owner that is lost may have left an
earlier crash uncounted."""

GIVE_UP_DELAY_S = 0.5
"""Delay between a crash and giving up a task for it: of executors that crash at the same time, the
first is detected some hundred milliseconds before the others."""

MAX_LOGGED_TASKS = 20
"""Tasks that a log line on a crash lists, those started last first: a task that crashes its
executor usually does so soon, and an executor of a wide step runs more tasks than fit into a
line."""


class CrashTracker:
    """Counts crashes against the tasks that were running and gives up tasks that cause them.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def __repr__(self) -> str:
        return f"CrashTracker({len(self._state.executor_crashes)} executor crashes)"

    def on_incarnation_ended(self, executor: ExecutorState, now: float, proof: str) -> None:
        """Handle the end of an incarnation whose attempts are still in the shard's state."""
        self._on_end(executor, now, proof, ended=True)

    def on_lost(self, executor: ExecutorState, now: float) -> None:
        """Handle an executor that is silent and not registered; it may only be cut off."""
        self._on_end(executor, now, "leases expired and registry entry missing", ended=False)

    def on_ends(self, incarnation: str, ended: Iterable[EndedTask]) -> None:
        """Handle ends that an ended incarnation had reported: these runs did not crash it."""
        for end in ended:
            task = self._state.find_task(end.task)
            crash = (
                task.crash_history.crash_of(incarnation) if task and task.crash_history else None
            )
            if task and crash and crash.run == end.run:
                self._retract(task, incarnation)

    def take_over_history(self, task: Task, delegation: Delegation, now: float) -> None:
        """Take over the crash history of a task that another shard hands over to this one.

        Crashes that this shard found meanwhile may be enough, together with those of the other
        shard, to give the task up.
        """
        found = task.crash_changes is not None and bool(task.crash_changes.found)
        self._state.set_crash_history(task, merged_history(task, delegation))
        if found:
            self._schedule_give_up(task, now, may_give_up=True)

    def retract(self, incarnation: str, reason: str) -> None:
        """Retract the crash of an incarnation that did not crash, so that it counts in no decision.

        Args:
            incarnation: Name of the incarnation.
            reason: Evidence that it did not crash, for the log.
        """
        self._state.executor_crashes = [
            executor_crash
            for executor_crash in self._state.executor_crashes
            if executor_crash.executor_id != incarnation
        ]
        tasks = [
            t
            for t in self._state.tasks_with_crash_history
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
                changes = task.crash_changes or CrashChanges()
                task.crash_changes = changes.with_retracted(incarnation)
            self._state.set_crash_history(
                task, retract_crash(task.crash_history, incarnation, run.version)
            )

    def _on_end(self, executor: ExecutorState, now: float, proof: str, *, ended: bool) -> None:
        attempts = [*executor.attempts.values(), *executor.expired_attempts]
        crashed_at = now if executor.silent_since is None else executor.silent_since
        departure = departure_of(executor, max(crashed_at, executor.alive_at))
        if departure is not Departure.NONE:
            self._log_departure(executor, attempts, departure, now)
        if departure.planned:
            return
        early = departure is Departure.EARLY
        executor_crash = _executor_crash(executor, crashed_at)
        simultaneous = self._simultaneous_crashes(executor_crash)
        if not early:
            self._remember(executor_crash, simultaneous)
        if not attempts:
            return
        self._state.count("crashes")
        by_age = sorted(attempts, key=lambda a: time_on_executor_s(a, crashed_at))
        self._log(executor, by_age, crashed_at, now, proof=proof, simultaneous=len(simultaneous))
        unexplained = sum(not other.had_isolated_task for other in simultaneous)
        suspects = [a for a in attempts if a.task.needs_isolation]
        may_blame = ended and not early and not unexplained
        blamed = [a for a in attempts if may_blame and has_highest_score(a, suspects)]
        tasks_with_history = {a.task for a in attempts if a.task.crash_history}
        alive_at = _alive_at(executor)
        for attempt in by_age:
            if early and not attempt.task.crash_history:
                # The executor may have left as announced, which was read late.
                continue
            elapsed_s = time_on_executor_s(attempt, crashed_at)
            crash = Crash(
                executor.executor_id,
                attempt.run,
                crash_score_of(attempt, elapsed_s, alive_at)
                if attempt in blamed
                else MIN_CRASH_SCORE,
                not early and is_confirmed(attempt, alive_at),
                executor.record.address,
                ended and not early and is_certain(attempt, crashed_at, alive_at),
            )
            self._add_to_history(
                attempt, crashed_at, crash, alone=tasks_with_history <= {attempt.task}
            )
        executor_crash.blamed_tasks.update(a.task for a in blamed)
        for attempt in by_age:
            self._schedule_give_up(
                attempt.task, now, may_give_up=unexplained < MIN_SIMULTANEOUS_CRASHES
            )

    def _remember(
        self, executor_crash: ExecutorCrash, simultaneous: Iterable[ExecutorCrash]
    ) -> None:
        """Remember a crash, which may show that simultaneous ones were not caused by a task.

        Idle executors are remembered, too: their crash speaks for the tasks on those that crashed
        simultaneously.
        """
        self._state.executor_crashes = [
            *self._state.executor_crashes[1 - MAX_REMEMBERED_CRASHES :],
            executor_crash,
        ]
        if not executor_crash.had_isolated_task:
            self._clear_blame_of(simultaneous)

    def _clear_blame_of(self, simultaneous: Iterable[ExecutorCrash]) -> None:
        """Clear the blame from earlier crashes, now that a simultaneous crash was found."""
        for other in simultaneous:
            for task in other.blamed_tasks:
                if task.crash_history:
                    run = task.step.run
                    self._state.mark_dirty(run)
                    cleared = clear_blame(task.crash_history, other.executor_id, run.version)
                    self._state.set_crash_history(task, cleared)
            other.blamed_tasks.clear()

    def _simultaneous_crashes(self, executor_crash: ExecutorCrash) -> list[ExecutorCrash]:
        """Return the other executors that may have crashed at the same time."""
        silent = (
            _executor_crash(e, e.silent_since)
            for e in self._state.executors.values()
            if e.silent_since is not None
        )
        return [
            other
            for other in (*self._state.executor_crashes, *silent)
            if _id_without_start_time(other) != _id_without_start_time(executor_crash)
            and executor_crash.may_be_simultaneous_with(other)
        ]

    def _add_to_history(
        self, attempt: Attempt, crashed_at: float, crash: Crash, *, alone: bool
    ) -> None:
        """Add a crash to the history of a task that was running at the time.

        Args:
            attempt: The task's run.
            crashed_at: Steady time by which the executor had crashed.
            crash: The crash.
            alone: Whether no other task on the executor has a crash history.
        """
        task = attempt.task
        if task.done or task.step.run.job.closing:
            return
        if attempt.confirmed_at != NEVER and crashed_at - attempt.confirmed_at >= CLEARED_AFTER_S:
            self._state.set_crash_history(task, None)
            return
        if not crash.confirmed and not counts_unconfirmed(attempt):
            return
        run = task.step.run
        self._state.mark_dirty(run)
        if task.managed_by is not None:
            changes = task.crash_changes or CrashChanges()
            task.crash_changes = changes.with_found(crash.incarnation)
        history = add_crash(task.crash_history, crash, run.version, alone=alone)
        self._state.set_crash_history(task, history)

    def _schedule_give_up(self, task: Task, now: float, *, may_give_up: bool) -> None:
        """Schedule giving up a task with too many crashes, unless a simultaneous crash is found.

        Args:
            task: The task.
            now: Steady time.
            may_give_up: Whether this crash may be the task's last one. It may not if other
                executors crashed at the same time without an isolated task. That spares a task
                once, as the platform tolerates one more start, unless ``MIN_LONE_CRASHES`` of its
                crashes were not simultaneous with others.
        """
        history = task.crash_history
        if history is None or history.decision_pending:
            return
        may_give_up = (
            may_give_up
            or history.crash_count > MAX_CONFIRMED_CRASHES
            or self._lone_crash_count(history) >= MIN_LONE_CRASHES
        )
        if not history.should_give_up:
            decision = "none"
        elif may_give_up and self._should_give_up(history, now):
            decision = "pending"
            pending = replace(history, give_up_due_at=now + GIVE_UP_DELAY_S)
            self._state.set_crash_history(task, pending)
        else:
            decision = "deferred"
            self._defer(task, history)
        if history.needs_isolation:
            self._log_decision(task, history, decision, now)

    def _lone_crash_count(self, history: CrashHistory) -> int:
        """Return how many of a task's certain crashes were not simultaneous with others.

        Only crashes that this owner found count, because records do not hold their times.
        """
        incarnations = {c.incarnation for c in history.identified_crashes if c.certain}
        return sum(
            all(other.had_isolated_task for other in self._simultaneous_crashes(executor_crash))
            for executor_crash in self._state.executor_crashes
            if executor_crash.executor_id in incarnations
        )

    def tick(self, now: float) -> None:
        """Take the decisions to give tasks up whose delay has passed."""
        for task in list(self._state.tasks_with_crash_history):
            history = task.crash_history
            if history is None or history.give_up_due_at is None or history.give_up_due_at > now:
                continue
            history = replace(history, give_up_due_at=None)
            self._state.set_crash_history(task, history)
            if self._should_give_up(history, now):
                self._give_up(task, history)
            elif history.should_give_up:
                self._defer(task, history)

    def _should_give_up(self, history: CrashHistory, now: float) -> bool:
        if history.deferred and not history.over_crash_limit:
            return False
        return history.should_give_up_with(self._min_certain_crashes(history, now))

    def _defer(self, task: Task, history: CrashHistory) -> None:
        """Put off giving a task up until one more executor crashes under it."""
        self._state.set_crash_history(task, replace(history, deferred_at=history.crash_count))

    def _min_certain_crashes(self, history: CrashHistory, now: float) -> int:
        """Return how many of a task's crashes must be certain before the owner gives it up."""
        incarnations = {crash.incarnation for crash in history.identified_crashes}
        others = sum(
            not executor_crash.had_isolated_task
            and executor_crash.executor_id not in incarnations
            and now - executor_crash.silent_since < RECENT_CRASH_S
            for executor_crash in self._state.executor_crashes
        )
        return (
            MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL
            if others >= MIN_REPEATED_CRASHES
            else MIN_CERTAIN_CRASHES
        )

    def _give_up(self, task: Task, history: CrashHistory) -> None:
        job = task.step.run.job
        if task.done or job.closing:
            return
        last = history.last_crash
        executor_id, run = (last.incarnation, last.run) if last else ("", 0)
        self._state.count("tasks_given_up")
        self._state.log_run(
            Event.TASK_GIVEN_UP,
            executor_id,
            task.name,
            run,
            **_figures(history),
        )
        why = {"reason": GIVE_UP_REASON, "task": short_name(task.name), "run": run}
        self._state.decide(job, JobState.FAILED, **why)

    def _log_decision(self, task: Task, history: CrashHistory, decision: str, now: float) -> None:
        """Log how a crash counts for a task under which several executors crashed."""
        last = history.last_crash
        self._state.log(
            Event.CRASH_WEIGHED,
            job=task.name.job_id,
            task=short_name(task.name),
            run=last.run if last else 0,
            decision=decision,
            **_figures(history),
            certain_needed=self._min_certain_crashes(history, now),
            certainty=last.certainty if last else 0,
            executor=last.incarnation if last else "",
        )

    def _log_departure(
        self, executor: ExecutorState, attempts: list[Attempt], departure: Departure, now: float
    ) -> None:
        """Log runs that were on an executor which left, with the times that were compared."""
        if not attempts:
            return
        names = [_run_name(attempt) for attempt in attempts[:MAX_LOGGED_TASKS]]
        self._state.log(
            Event.EXECUTOR_LEFT,
            executor=executor.executor_id,
            address=executor.record.address,
            departure=departure.value,
            remaining_s=_logged_time(executor.leaves_at - now),
            alive_s=_logged_time(now - executor.alive_at),
            entry_missing_s=_logged_time(now - executor.entry_removed_at),
            silent_s=_logged_time(
                now - (now if executor.silent_since is None else executor.silent_since)
            ),
            runs=len(attempts),
            tasks=names,
        )

    def _log(
        self,
        executor: ExecutorState,
        by_age: Iterable[Attempt],
        crashed_at: float,
        now: float,
        *,
        proof: str,
        simultaneous: int,
    ) -> None:
        tasks = {_run_name(a): _logged_figures(a, crashed_at) for a in by_age}
        self._state.log(
            Event.EXECUTOR_CRASHED,
            executor=executor.executor_id,
            address=executor.record.address,
            proof=proof,
            fell_s=round(now - crashed_at, 3),
            fell_beside=simultaneous,
            runs=len(tasks),
            tasks=dict(list(tasks.items())[:MAX_LOGGED_TASKS]),
        )


def _alive_at(executor: ExecutorState) -> float:
    """Return the latest steady time at which an executor was certainly alive.

    Answers to starts count as well as reports, although they do not name the incarnation. The
    executor was alive when such a start was sent; the answer may have been applied much later.
    """
    answered = (a.ordered_at for a in executor.attempts.values() if a.confirmed_at != NEVER)
    return max([executor.alive_at, *answered])


def _executor_crash(executor: ExecutorState, silent_since: float) -> ExecutorCrash:
    attempts = (*executor.attempts.values(), *executor.expired_attempts)
    had_isolated_task = any(attempt.isolated for attempt in attempts)
    return ExecutorCrash(
        executor.executor_id,
        executor.record.address,
        _alive_at(executor),
        silent_since,
        had_isolated_task,
        set(),
    )


def _figures(history: CrashHistory) -> dict[str, int]:
    """Return the log fields on a crash history."""
    return {
        "crashes": history.crash_count,
        "heard": history.confirmed_count,
        "certain": history.certain_count,
        "points": history.crash_score,
    }


def _logged_figures(attempt: Attempt, crashed_at: float) -> list[float]:
    """Return how long a run was on its executor, and the task's earlier crash count and score."""
    history = attempt.task.crash_history
    earlier = [history.crash_count, history.crash_score] if history else [0, 0]
    return [round(time_on_executor_s(attempt, crashed_at), 3), *earlier]


def _id_without_start_time(executor_crash: ExecutorCrash) -> str:
    """Return a crashed executor's id without start time; its incarnations never overlap."""
    return Incarnation.of(executor_crash.executor_id).executor_id


def _logged_time(seconds: float) -> float | None:
    """Return a time as logged, ``None`` if it is infinite because its event has not happened."""
    return round(seconds, 3) if isfinite(seconds) else None


def _run_name(attempt: Attempt) -> str:
    task = attempt.task.name
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}/{attempt.run}"
