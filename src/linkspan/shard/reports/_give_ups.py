"""Decides whether tasks under which executors crashed are given up."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.records import JobState
from linkspan.shard._reasons import short_name
from linkspan.shard.crash_history import (
    GIVE_UP_REASON,
    MAX_CONFIRMED_CRASHES,
    MIN_CERTAIN_CRASHES,
    MIN_CERTAIN_CRASHES_IN_UNSTABLE_HALL,
)
from linkspan.shard.reports._executor_crashes import (
    MIN_REPEATED_CRASHES,
    RECENT_CRASH_S,
    simultaneous_crashes,
)

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.crash_history import CrashHistory
    from linkspan.shard.task import Task

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


class GiveUps:
    """Gives up the tasks that cause crashes, half a second after the crash that decides it.

    The crash history of a task holds the pending or deferred decision.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def __repr__(self) -> str:
        return f"GiveUps({self._state!r})"

    def consider(self, task: Task, now: float, *, simultaneous: int = 0) -> None:
        """Consider giving a task up after a crash.

        The decision is taken later, as a simultaneous crash may be found until then.

        Args:
            task: The task.
            now: Steady time.
            simultaneous: Number of other executors that crashed at the same time without an
                isolated task.
        """
        history = task.crash_history
        if history is None or history.decision_pending:
            return
        if not history.should_give_up:
            decision = "none"
        elif self._should_give_up(history, now) and not self._is_spared(history, simultaneous):
            decision = "pending"
            pending = replace(history, give_up_due_at=now + GIVE_UP_DELAY_S)
            self._state.set_crash_history(task, pending)
        else:
            decision = "deferred"
            self._defer(task, history)
        if history.needs_isolation:
            self._log_decision(task, history, decision, now)

    def _is_spared(self, history: CrashHistory, simultaneous: int) -> bool:
        """Whether simultaneous crashes speak for a task that should be given up.

        They spare a task once, as the platform tolerates one more start, unless
        ``MIN_LONE_CRASHES`` of its crashes were not simultaneous with others.
        """
        if simultaneous < MIN_SIMULTANEOUS_CRASHES or history.crash_count > MAX_CONFIRMED_CRASHES:
            return False
        return self._lone_crash_count(history) < MIN_LONE_CRASHES

    def _lone_crash_count(self, history: CrashHistory) -> int:
        """Return how many of a task's certain crashes were not simultaneous with others.

        Only crashes that this owner found count, because records do not hold their times.
        """
        incarnations = {c.incarnation for c in history.identified_crashes if c.certain}
        return sum(
            all(
                other.had_isolated_task
                for other in simultaneous_crashes(self._state, executor_crash)
            )
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


def _figures(history: CrashHistory) -> dict[str, int]:
    """Return the log fields on a crash history."""
    return {
        "crashes": history.crash_count,
        "heard": history.confirmed_count,
        "certain": history.certain_count,
        "points": history.crash_score,
    }
