"""Log fields that explain an owner's decisions, in a form that can be compared across owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.messages import TaskName
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task

MAX_LOGGED_TASKS = 20
"""Limits the tasks that one log line names."""

ATTEMPTS_EXHAUSTED_REASON = "a task failed as often as its queue allows"
"""Logged reason for failing a job whose task has used all of its attempts."""


def short_name(name: TaskName) -> str:
    """Return a task's name within its job, for log lines."""
    return f"{name.repetition}.{name.step}.{name.index}"


def attempts_exhausted_fields(
    task: Task, failures: int, max_attempts: int | None
) -> dict[str, Any]:
    """Return the log fields for a job that fails because a task has used all of its attempts.

    Args:
        task: The task.
        failures: Number of failed runs of the task or, for a gang, of the whole gang.
        max_attempts: Number of failed runs after which the job fails.
    """
    return {
        "reason": ATTEMPTS_EXHAUSTED_REASON,
        "task": short_name(task.name),
        "failures": failures,
        "most": max_attempts,
    }


def origin(job: ShardJob) -> str:
    """Return how this owner received a job, for log lines."""
    prefix = "inherited" if job.inherited else "new"
    if job.delegated_here:
        return f"{prefix} borrowed"
    return f"{prefix} moved" if job.moved else prefix


def roster_counts(state: ShardState) -> dict[str, int]:
    """Count the inherited executors by how they were resolved; ``open`` ones are unresolved."""
    counts = dict(state.resolved_inherited)
    if state.awaiting_report_ids:
        counts["open"] = len(state.awaiting_report_ids)
    return counts


def start_reason(state: ShardState, job: ShardJob, attempts: Iterable[Attempt]) -> dict[str, Any]:
    """Return the log fields that show why this owner may start tasks of a job.

    Args:
        state: The shard's state.
        job: The job.
        attempts: The attempts that are about to start.
    """
    fields: dict[str, Any] = {"shard": state.shard, "token": state.token, "by": origin(job)}
    if job.inherited:
        fields["roster"] = roster_counts(state)
    delegations = {
        str(a.task.name.index): a.task.delegation_number
        for a in attempts
        if a.task.delegation_number
    }
    if delegations:
        fields["loans"] = delegations
    return fields
