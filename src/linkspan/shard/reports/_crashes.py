"""Records executor crashes in the crash history of the tasks that were running there.

No executor reports the end of a run that ended in a crash. The crash is therefore counted at the
task and stored with its progress. Otherwise a task that crashes its executors would be restarted
forever, and each crash would end all other runs on the same executor.
"""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.crash import Crash
from linkspan.shard._reasons import short_name
from linkspan.shard.attempt import NEVER
from linkspan.shard.crash_changes import CrashChanges, merged_history
from linkspan.shard.crash_history import (
    CLEARED_AFTER_S,
    MIN_CRASH_SCORE,
    add_crash,
    clear_blame,
    retract_crash,
)
from linkspan.shard.reports._crash_weights import (
    counts_unconfirmed,
    crash_score_of,
    crashed_at_start,
    has_highest_score,
    is_certain,
    is_confirmed,
    time_on_executor_s,
)
from linkspan.shard.reports._departures import Departure, departure_of
from linkspan.shard.reports._early_ends import EarlyEnds
from linkspan.shard.reports._executor_crashes import (
    ExecutorCrash,
    crash_of,
    last_alive_at,
    simultaneous_crashes,
)
from linkspan.shard.reports._give_ups import GiveUps

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.jobs.records import Delegation
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import EndedTask, ExecutorRecord
    from linkspan.shard.task import Task

MAX_REMEMBERED_CRASHES = 64
"""Executor crashes that are remembered, the newest. A hall has more executors only if it has
hundreds of hosts."""

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
        self._give_ups = GiveUps(state)
        self._early_ends = EarlyEnds()

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

    def tick(self, now: float) -> None:
        """Take the decisions to give tasks up whose delay has passed."""
        self._give_ups.tick(now)
        self._early_ends.remove_finished_tasks()

    def take_over_history(self, task: Task, delegation: Delegation, now: float) -> None:
        """Take over the crash history of a task that another shard hands over to this one.

        Crashes that this shard found meanwhile may be enough, together with those of the other
        shard, to give the task up.
        """
        found = task.crash_changes is not None and bool(task.crash_changes.found)
        self._state.set_crash_history(task, merged_history(task, delegation))
        if found:
            self._give_ups.consider(task, now)

    def on_late_announcement(self, record: ExecutorRecord) -> None:
        """Handle an announcement to leave that is read after the incarnation's end.

        The announcement may have been known at the end, and the end have counted as early.
        """
        if not self._early_ends.has_seen(record):
            self.retract(record.executor_id, "the executor left as planned")

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
        self._early_ends.retract(incarnation)
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
        if early:
            self._early_ends.on_end(executor.record)
        executor_crash = crash_of(executor, crashed_at)
        simultaneous = simultaneous_crashes(self._state, executor_crash)
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
        # With several unanswered starts, it may have crashed before this one arrived.
        only_start = sum(attempt.start_unanswered for attempt in attempts) == 1
        alive_at = last_alive_at(executor)
        for attempt in by_age:
            elapsed_s = time_on_executor_s(attempt, crashed_at)
            at_start = only_start and crashed_at_start(attempt, alive_at)
            crash = Crash(
                executor.executor_id,
                attempt.run,
                crash_score_of(attempt, elapsed_s, at_start=at_start)
                if attempt in blamed
                else MIN_CRASH_SCORE,
                not early and is_confirmed(attempt, at_start=at_start),
                executor.record.address,
                ended and not early and is_certain(attempt, crashed_at, at_start=at_start),
            )
            if early and not attempt.task.crash_history:
                # The executor may have left as announced, which was read late.
                self._early_ends.add(attempt.task, crash)
                continue
            self._add_to_history(
                attempt, crashed_at, crash, alone=tasks_with_history <= {attempt.task}
            )
        executor_crash.blamed_tasks.update(a.task for a in blamed)
        for attempt in by_age:
            self._give_ups.consider(attempt.task, now, simultaneous=unexplained)

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
            self._early_ends.pop(task)
            self._state.set_crash_history(task, None)
            return
        if not crash.confirmed and not counts_unconfirmed(attempt):
            return
        run = task.step.run
        self._state.mark_dirty(run)
        if task.managed_by is not None:
            changes = task.crash_changes or CrashChanges()
            task.crash_changes = changes.with_found(crash.incarnation)
        history = task.crash_history
        if crash.confirmed:
            for early_end in self._early_ends.pop(task):
                history = add_crash(history, early_end, run.version, alone=False)
        history = add_crash(history, crash, run.version, alone=alone)
        self._state.set_crash_history(task, history)

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


def _logged_figures(attempt: Attempt, crashed_at: float) -> list[float]:
    """Return how long a run was on its executor, and the task's earlier crash count and score."""
    history = attempt.task.crash_history
    earlier = [history.crash_count, history.crash_score] if history else [0, 0]
    return [round(time_on_executor_s(attempt, crashed_at), 3), *earlier]


def _logged_time(seconds: float) -> float | None:
    """Return a time as logged, ``None`` if it is infinite because its event has not happened."""
    return round(seconds, 3) if isfinite(seconds) else None


def _run_name(attempt: Attempt) -> str:
    task = attempt.task.name
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.index}/{attempt.run}"
