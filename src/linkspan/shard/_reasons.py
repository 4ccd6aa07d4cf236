"""Why an owner does what it does, in fields of log lines that are compared across owners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.messages import TaskName
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.task import Task

USED_UP = "a task failed as often as its queue allows"
"""Why a job failed whose executors told of the failures, for the log."""


def short_name(name: TaskName) -> str:
    """Return a task's name within its job, for log lines."""
    return f"{name.repetition}.{name.step}.{name.index}"


def used_up(task: Task, failures: int, most: int | None) -> dict[str, Any]:
    """Return the fields that tell why a job failed of which a task used its attempts up.

    Args:
        task: The task.
        failures: How often it has failed, or its gang.
        most: How often it may.
    """
    return {
        "reason": USED_UP,
        "task": short_name(task.name),
        "failures": failures,
        "most": most,
    }


def origin(job: ShardJob) -> str:
    """Return how a job came to this owner."""
    came = "inherited" if job.inherited else "new"
    if job.delegated_here:
        return f"{came} borrowed"
    return f"{came} moved" if job.moved else came


def roster_counts(state: ShardState) -> dict[str, int]:
    """Return how the executors of former owners were heard of; ``open`` ones were not."""
    counts = dict(state.resolved_inherited)
    if state.awaiting_report_ids:
        counts["open"] = len(state.awaiting_report_ids)
    return counts


def start_reason(state: ShardState, job: ShardJob, attempts: Iterable[Attempt]) -> dict[str, Any]:
    """Return the fields that tell why this owner may start tasks of a job.

    Args:
        state: The shard's state.
        job: The job.
        attempts: What is started.
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
