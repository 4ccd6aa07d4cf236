"""Reports standing tasks that have not been running for seconds, and what each waits for."""

from __future__ import annotations

import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from linkspan.events import Event
from linkspan.shard._periodic_report import PeriodicReport
from linkspan.shard._reasons import MAX_LOGGED_TASKS
from linkspan.shard._repeated_lines import RepeatedLines
from linkspan.shard.attempt import NEVER, Phase
from linkspan.shard.colocation._best_effort_capacity import BestEffortCapacity
from linkspan.shard.planning._plan_view import PlanView
from linkspan.shard.planning._waits_beside_room import WaitsBesideRoom
from linkspan.shard.planning.task_need import TaskNeed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from linkspan.shard._context import TenureContext
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover.summary import HallSummary
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MIN_REPORTED_WAIT_S = 3.0
"""Time without a run after which a standing task is reported."""

REPEAT_INTERVAL_S = 2.5
"""Time after which an unchanged reason is reported again, at the next check."""


class WaitReason(Enum):
    """What a standing task without a confirmed run waits for."""

    STOPPING = "its last run is being stopped"
    START_UNANSWERED = "its start is unanswered"
    STARTING = "its start is being sent"
    REPORT = "the executor of its recorded run has not reported"
    MOVE = "the move of its job is being recorded"
    OWNERSHIP = "this owner may not act"
    INHERITED = "executors of a former owner have not reported"
    REFUSED = "its last start was refused"
    DECISION = "it may have to be given up"
    RECORD = "its crashes are not on record"
    EVACUATED = "its hall is evacuated"
    NO_EXECUTORS = "no executor of its service takes work"
    CAPACITY = "no executor can take it"


_REASON_BY_PHASE = {
    Phase.STOPPING: WaitReason.STOPPING,
    Phase.DOUBT: WaitReason.START_UNANSWERED,
    Phase.STARTING: WaitReason.STARTING,
    Phase.INHERITED: WaitReason.REPORT,
}


class WaitingGroup(NamedTuple):
    """Tasks of one step that wait for the same."""

    step: StepRun
    reason: WaitReason


class StandingWaits(PeriodicReport):
    """Logs why standing tasks that this shard manages have not been running, and for how long.

    Args:
        context: Components of the tenure.
        summaries: Returns the last summaries of the other halls that may get work.
    """

    def __init__(
        self, context: TenureContext, summaries: Callable[[], dict[int, HallSummary]]
    ) -> None:
        super().__init__(context)
        self._summaries = summaries
        self._may_act = context.proof.may_act
        self._beside_room = WaitsBesideRoom(context.core)
        self._lines: RepeatedLines[WaitingGroup] = RepeatedLines(REPEAT_INTERVAL_S)

    def report(self, now: float) -> None:
        """Set the gauges and log the standing tasks that have waited for seconds."""
        groups = waiting_groups(self._core, now, may_act=self._may_act(now))
        waited_s = {group: now - tasks[0].waiting_since for group, tasks in groups.items()}
        longest_s = max(waited_s.values(), default=0.0)
        self._metrics.set_seconds("standing_wait", round(longest_s, 1), hall=self._hall)
        summaries = self._summaries()
        beside_room_s = self._beside_room.look(_reported_since(groups), summaries, now)
        longest_s = max(beside_room_s.values(), default=0.0)
        self._metrics.set_seconds("standing_wait_beside_room", round(longest_s, 1), hall=self._hall)
        view = PlanView(
            self._core, BestEffortCapacity(self._core.interference, now, time.time()), now
        )
        for group in self._lines.due(waited_s, now):
            fields = waiting_fields(group, groups[group], view, summaries)
            if group.step in beside_room_s:
                fields["beside_room_s"] = round(beside_room_s[group.step], 1)
            self._core.log(Event.STANDING_WAITS, **fields)

    def clear(self) -> None:
        """Set the gauges to nothing."""
        self._metrics.set_seconds("standing_wait", 0.0, hall=self._hall)
        self._metrics.set_seconds("standing_wait_beside_room", 0.0, hall=self._hall)


def _reported_since(groups: dict[WaitingGroup, list[Task]]) -> dict[StepRun, float]:
    """Return since when the task of each step that has waited longest has been reported."""
    since: dict[StepRun, float] = {}
    for group, tasks in groups.items():
        reported_since = tasks[0].waiting_since + MIN_REPORTED_WAIT_S
        since[group.step] = min(since.get(group.step, reported_since), reported_since)
    return since


def waiting_groups(core: ShardCore, now: float, *, may_act: bool) -> dict[WaitingGroup, list[Task]]:
    """Return the standing tasks that have waited for a run for seconds, by step and reason.

    The tasks of a group are ordered by the time that they have waited, the longest first.

    Args:
        core: The shard's state.
        now: Steady time.
        may_act: Whether the owner may send orders.
    """
    groups: dict[WaitingGroup, list[Task]] = {}
    for task in _waiting_tasks(core, now):
        reason = wait_reason(core, task, now, may_act=may_act)
        groups.setdefault(WaitingGroup(task.step, reason), []).append(task)
    for tasks in groups.values():
        tasks.sort(key=lambda task: task.waiting_since)
    return groups


def _waiting_tasks(core: ShardCore, now: float) -> Iterator[Task]:
    for job in core.jobs.values():
        if job.closing or not job.spec.standing:
            continue
        for run in job.runs.values():
            for step in run.steps:
                if step.spec.standing and step.open:
                    yield from (t for t in step.tasks if _has_waited(t, now))


def _has_waited(task: Task, now: float) -> bool:
    if task.done or task.managed_by is not None or task.waiting_since == NEVER:
        return False
    return now - task.waiting_since >= MIN_REPORTED_WAIT_S


def wait_reason(core: ShardCore, task: Task, now: float, *, may_act: bool) -> WaitReason:
    """Return what a standing task without a confirmed run waits for.

    Args:
        core: The shard's state.
        task: The task; this shard manages it.
        now: Steady time.
        may_act: Whether the owner may send orders.
    """
    if not may_act:
        return WaitReason.OWNERSHIP
    for attempt in task.attempts:
        if attempt.phase in _REASON_BY_PHASE:
            return _REASON_BY_PHASE[attempt.phase]
    job = task.step.run.job
    if not core.may_start_task(task, now):
        return WaitReason.INHERITED
    if job.moving:
        return WaitReason.MOVE
    if task.decision_pending:
        return WaitReason.DECISION
    if not task.crash_history_durable:
        return WaitReason.RECORD
    if task.not_before > now:
        return WaitReason.REFUSED
    if core.evacuation:
        return WaitReason.EVACUATED
    executors = core.executors.values()
    usable = (e for e in executors if e.record.service == job.service and core.takes_work(e, now))
    return WaitReason.CAPACITY if any(usable) else WaitReason.NO_EXECUTORS


def waiting_fields(
    group: WaitingGroup, tasks: list[Task], view: PlanView, summaries: dict[int, HallSummary]
) -> dict[str, Any]:
    """Return the log fields of tasks that wait for the same.

    Args:
        group: Their step and what they wait for.
        tasks: The tasks, the longest wait first.
        view: The shard's state.
        summaries: Last summaries of the other halls that may get work, by shard.
    """
    step, reason = group
    listed = tasks[:MAX_LOGGED_TASKS]
    fields: dict[str, Any] = {
        "job": step.run.job.job_id,
        "step": f"{step.run.repetition}.{step.index}",
        "reason": reason.value,
        "waited_s": round(view.now - tasks[0].waiting_since, 1),
        "tasks": len(tasks),
        "here_s": {t.name.index: round(view.now - t.ready_since, 1) for t in listed},
        "shard": view.core.shard,
        "token": view.core.token,
    }
    executors = {t.name.index: a.executor_id for t in listed for a in t.attempts}
    if executors:
        fields["executors"] = executors
    refusals = {t.name.index: t.refusals for t in listed if t.refusals}
    if refusals:
        fields["refusals"] = refusals
    delegations = {t.name.index: t.delegation_number for t in listed if t.delegation_number}
    if delegations:
        fields["loans"] = delegations
    if reason in (WaitReason.CAPACITY, WaitReason.NO_EXECUTORS):
        fields["unusable"] = _unusable_executors(view, step.run.job.service)
    if reason is WaitReason.CAPACITY:
        fields |= _capacity_fields(tasks[0], view, summaries)
    return fields


def _unusable_executors(view: PlanView, service: str) -> dict[str, int]:
    """Return how many executors of a service get no new work, by the reason."""
    executors = (e for e in view.core.executors.values() if e.record.service == service)
    reasons = Counter(view.core.reason_unusable(e, view.now) for e in executors)
    return {reason.value: count for reason, count in reasons.items() if reason}


def _capacity_fields(
    task: Task, view: PlanView, summaries: dict[int, HallSummary]
) -> dict[str, Any]:
    """Return what keeps a task from the executors of this hall, and the room of other halls.

    ``elsewhere`` gives, for each other hall, for how many such tasks its last summary has room, and
    for how many beside the headroom for short work. ``best_effort_memory`` counts the executors
    whose memory would suffice without their best-effort runs.
    """
    spec = task.step.spec
    demand = spec.demand
    service = task.step.run.job.service
    needs = [TaskNeed.of(spec, service, use_headroom=use) for use in (True, False)]
    placement = view.placement(task.step)
    return {
        "against": dict(placement.reasons_against(task)),
        "elsewhere": {
            shard: tuple(hall.slots(need) for need in needs) for shard, hall in summaries.items()
        },
        "best_effort_memory": sum(
            e.free_memory < demand.memory_mb <= e.free_memory + e.best_effort_memory
            for e in placement.executors
        ),
    }
