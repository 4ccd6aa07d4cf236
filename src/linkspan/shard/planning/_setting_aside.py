"""Sets memory and accelerators aside for waiting tasks with a reservation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER
from linkspan.shard.planning._preemption import (
    NEVER_ENDS,
    STOP_S,
    Preemption,
    cheapest_preemption,
    covered_in_s,
)
from linkspan.shard.planning.set_asides import SetAside, SetAsideEnd
from linkspan.shard.planning.urgency import slack_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.core import ShardCore
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.planning._plan_view import PlanView
    from linkspan.shard.planning.placement import StepPlacement
    from linkspan.shard.step_run import StepRun
    from linkspan.shard.task import Task

MAX_SET_ASIDE_SHARE = 0.25
"""Limits the share of a hall's executors of which resources are set aside, except for one gang at a
time, whose members have to fit together."""

MAX_SET_ASIDE_S = 6.0
"""Time after which resources are no longer set aside, and others are: about six stops. Runs that
have not ended by then may not end for long."""

MAX_SHORT_WAIT_S = 2.0
"""Time for which short tasks wait for runs to end by themselves, at most: with a stop and a start
they begin within 3 s."""

MAX_STANDING_WAIT_S = 1.5
"""The same for standing tasks, which other halls may take after half a second and which earn
nothing meanwhile."""

MIN_PREEMPTION_WAIT_S = 0.2
"""Time that a short task waits before runs are stopped for it: another hall may have room for it,
and takes it after 0.15 s."""

MIN_STANDING_PREEMPTION_WAIT_S = 0.8
"""The same for standing tasks, which other halls take after 0.5 s."""

SEARCH_INTERVAL_S = 0.25
"""Time between searches for the same step. A search looks at all runs of all executors."""

MAX_SEARCHES_PER_PLAN = 2
"""Limits the searches of one plan, as many steps may wait in an overloaded hall."""

PREEMPTION_REASON = "frees memory or accelerators for work with a reservation"
"""Logged reason of stops."""


@dataclass(frozen=True, slots=True)
class _FreedRoom:
    """Free resources of an executor once runs that may end have ended."""

    total_cpu: int
    free_cpu: int
    free_memory: int
    free_gpus: int
    executor: ExecutorState

    def runs(self, service: str, label: str) -> bool:
        return self.executor.runs(service, label)


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An executor on which a waiting task could fit.

    Attributes:
        executor: The executor.
        covered_in_s: Seconds until it is expected to fit without a stop.
        preemption: Stops after which it fits; ``None`` if there are none.
        score: Score of the executor for the step, lower is better.
    """

    executor: ExecutorState
    covered_in_s: float
    preemption: Preemption | None
    score: float

    def rank(self, patience_s: float) -> tuple[int, float, float]:
        """Return the sort key, the best executor lowest."""
        if self.covered_in_s <= patience_s:
            return 0, self.covered_in_s, self.score
        if self.preemption is not None:
            return 1, self.preemption.loss, self.score
        return 2, self.covered_in_s, self.score


class SettingAside:
    """Sets resources aside for waiting tasks, and stops best-effort runs if a wait gets too long.

    Cores are shared by class of work, whereas memory and accelerators belong to the run that took
    them first. Without this, each piece that a best-effort run gives back is taken by the next one,
    and a task that needs several of them waits for ever.

    Args:
        core: The shard's state.
    """

    def __init__(self, core: ShardCore) -> None:
        self._core = core
        self._set_asides = core.set_asides
        self._search_at: dict[StepRun, float] = {}
        self._expired: dict[StepRun, set[str]] = {}
        self._searches = 0
        self._wall = 0.0

    def __repr__(self) -> str:
        return f"SettingAside({self._set_asides!r})"

    def begin(self, view: PlanView, wall: float) -> None:
        """Prepare a plan: end what is no longer needed or has lasted for too long.

        Args:
            view: The plan's view of the shard.
            wall: Time of day, in seconds since 1970.
        """
        self._wall = wall
        self._searches = 0
        if self._search_at:
            self._search_at = {s: at for s, at in self._search_at.items() if at > view.now}
        if self._expired:
            self._expired = {s: ids for s, ids in self._expired.items() if s in self._core.ready}
        if not self._set_asides:
            return
        usable = {e.executor_id for e in view.usable()}
        for step in list(self._set_asides.steps):
            job = step.run.job
            waits = step in self._core.ready and not (job.closing or job.moving)
            for set_aside in self._set_asides.of(step):
                if set_aside.executor_id not in usable:
                    self._end(set_aside, SetAsideEnd.UNUSABLE, view.now)
                elif view.now - set_aside.since >= MAX_SET_ASIDE_S:
                    self._expired.setdefault(step, set()).add(set_aside.executor_id)
                    self._end(set_aside, SetAsideEnd.EXPIRED, view.now)
            self._keep(step, len(step.pending()) if waits else 0, view.now)
        view.unserved.update(self._set_asides.steps)

    def on_placed(self, step: StepRun, executor_ids: Iterable[str], now: float) -> None:
        """End what is set aside where tasks of a step were placed."""
        if step not in self._set_asides.steps:
            return
        for executor_id in executor_ids:
            mine = (s for s in self._set_asides.of(step) if s.executor_id == executor_id)
            set_aside = next(mine, None)
            if set_aside:
                self._end(set_aside, SetAsideEnd.STARTED, now)
        self._keep(step, len(step.pending()), now)

    def serve(self, placement: StepPlacement, waiting: list[Task], view: PlanView) -> None:
        """Set resources aside for tasks of a step that were not placed, and stop runs if need be.

        Args:
            placement: The placement that found no executor for them.
            waiting: The tasks.
            view: The plan's view of the shard.
        """
        step, now = placement.step, view.now
        missing = len(waiting) - len(self._set_asides.of(step))
        if missing > 0 and self._may_search(step, now):
            self._search(placement, waiting, missing, view)
        self._preempt(placement, waiting, view)

    def _may_search(self, step: StepRun, now: float) -> bool:
        if self._searches >= MAX_SEARCHES_PER_PLAN or self._search_at.get(step, NEVER) > now:
            return False
        self._searches += 1
        self._search_at[step] = now + SEARCH_INTERVAL_S
        return True

    def _search(
        self, placement: StepPlacement, waiting: list[Task], missing: int, view: PlanView
    ) -> None:
        step, task = placement.step, waiting[0]
        patience_s = self._patience_s(step, waiting, view.now)
        excluded = task.avoided_executors | self._expired.get(step, set())
        candidates: dict[str, _Candidate] = {}
        for executor in placement.executors:
            if executor.executor_id in excluded:
                continue
            candidate = self._candidate(placement, executor, task)
            if candidate:
                candidates[executor.executor_id] = candidate
        begun: list[tuple[SetAside, _Candidate]] = []
        for _ in range(missing):
            allowed = [c for c in candidates.values() if self._may_set_aside(c, step, view)]
            if not allowed:
                break
            best = min(allowed, key=lambda c: c.rank(patience_s))
            executor_id = best.executor.executor_id
            set_aside = SetAside(step, executor_id, view.now)
            self._set_asides.add(set_aside)
            begun.append((set_aside, best))
            again = self._candidate(placement, best.executor, task)
            if again:
                candidates[executor_id] = again
            else:
                del candidates[executor_id]
        if step.spec.gang and len(begun) < missing:
            # The members start together or not at all.
            for set_aside, _ in begun:
                self._set_asides.remove(set_aside)
            return
        for _, chosen in begun:
            self._log_begin(chosen, step, patience_s, view.now)

    def _may_set_aside(self, candidate: _Candidate, step: StepRun, view: PlanView) -> bool:
        """Whether resources of an executor may be set aside without exceeding the hall's share."""
        held = self._set_asides.executor_ids
        if candidate.executor.executor_id in held:
            return True
        if step.spec.gang:
            return not any(s.spec.gang for s in self._set_asides.steps if s is not step)
        return len(held) < max(int(MAX_SET_ASIDE_SHARE * len(view.usable())), 1)

    def _candidate(
        self, placement: StepPlacement, executor: ExecutorState, task: Task
    ) -> _Candidate | None:
        """Return an executor where a task lacks only memory or accelerators that get free.

        For a gang, executors that lack nothing count, too.
        """
        demand = task.step.spec.demand
        held = self._set_asides.held(executor.executor_id)
        shortage = _shortage(executor, held, demand)
        if shortage is None and not task.step.spec.gang:
            return None
        ending = [a for a in executor.attempts.values() if not a.task.step.spec.standing]
        memory_mb = sum(a.task.step.spec.demand.memory_mb for a in ending)
        gpus = sum(a.task.step.spec.demand.gpus for a in ending)
        room = _FreedRoom(
            executor.total_cpu,
            executor.free_cpu - held.milli_cpu,
            executor.free_memory + memory_mb - held.memory_mb,
            executor.free_gpus + gpus - held.gpus,
            executor,
        )
        mine = self._set_asides.of(task.step)
        more_placed = sum(s.executor_id == executor.executor_id for s in mine)
        if placement.obstacle_in(executor, room, task, more_placed=more_placed) is not None:
            return None
        score = placement.score(executor)
        if shortage is None:
            # Other members of the gang have to wait for room.
            return _Candidate(executor, 0.0, None, score)
        covered = covered_in_s(executor, shortage, placement.now)
        preemption = cheapest_preemption(executor, shortage, placement.now)
        if covered == NEVER_ENDS and preemption is None:
            return None
        return _Candidate(executor, covered, preemption, score)

    def _preempt(self, placement: StepPlacement, waiting: list[Task], view: PlanView) -> None:
        """Stop best-effort runs where the resources set aside for a step get free too late."""
        step, now = placement.step, view.now
        mine = self._set_asides.of(step)
        waited_s = now - min(task.waiting_since for task in waiting)
        standing = step.spec.standing
        min_wait_s = MIN_STANDING_PREEMPTION_WAIT_S if standing else MIN_PREEMPTION_WAIT_S
        if not mine or waited_s < min_wait_s:
            return
        patience_s = self._patience_s(step, waiting, now)
        for executor_id in {s.executor_id: None for s in mine}:
            executor = self._core.executors[executor_id]
            held = self._set_asides.held(executor_id)
            shortage = _shortage(executor, held, Demand())
            if shortage is None or covered_in_s(executor, shortage, now) <= patience_s:
                continue
            preemption = cheapest_preemption(executor, shortage, now)
            for attempt in preemption.runs if preemption else ():
                attempt.task.preemptions += 1
                self._core.stop(attempt, now, reason=PREEMPTION_REASON)

    def _patience_s(self, step: StepRun, waiting: list[Task], now: float) -> float:
        """Return for how long a step's tasks may still wait for runs to end by themselves.

        A stop takes :data:`STOP_S`, so that no run is stopped that is expected to end within it.
        Short tasks wait until they would miss their objective.
        """
        waited_s = now - min(task.waiting_since for task in waiting)
        if step.spec.standing:
            return max(MAX_STANDING_WAIT_S - waited_s, STOP_S)
        return max(min(MAX_SHORT_WAIT_S - waited_s, slack_s(step, self._wall)), STOP_S)

    def _keep(self, step: StepRun, count: int, now: float) -> None:
        """Keep a number of set-asides of a step, the oldest."""
        for set_aside in self._set_asides.of(step)[count:]:
            self._end(set_aside, SetAsideEnd.FEWER_WAIT, now)

    def _end(self, set_aside: SetAside, why: SetAsideEnd, now: float) -> None:
        self._set_asides.remove(set_aside)
        self._core.log(
            Event.SET_ASIDE_ENDED,
            **_fields(set_aside.step),
            executor=set_aside.executor_id,
            reason=why.value,
            lasted_s=round(now - set_aside.since, 2),
            shard=self._core.shard,
            token=self._core.token,
        )

    def _log_begin(self, chosen: _Candidate, step: StepRun, patience_s: float, now: float) -> None:
        executor, demand = chosen.executor, step.spec.demand
        self._core.log(
            Event.SET_ASIDE,
            **_fields(step),
            executor=executor.executor_id,
            memory_mb=demand.memory_mb,
            gpus=demand.gpus,
            free_memory_mb=executor.free_memory,
            best_effort_memory_mb=executor.best_effort_memory,
            waited_s=round(now - min(t.waiting_since for t in step.pending()), 2),
            patience_s=round(patience_s, 2),
            expected_in_s=None if chosen.covered_in_s == NEVER_ENDS else chosen.covered_in_s,
            loss=None if chosen.preemption is None else round(chosen.preemption.loss, 2),
            shard=self._core.shard,
            token=self._core.token,
        )


def _fields(step: StepRun) -> dict[str, str]:
    return {"job": step.run.job.job_id, "step": f"{step.run.repetition}.{step.index}"}


def _shortage(executor: ExecutorState, held: Demand, demand: Demand) -> Demand | None:
    """Return the memory and accelerators that an executor lacks; ``None`` if it lacks neither.

    Args:
        executor: The executor.
        held: What is set aside there.
        demand: What a further task takes.
    """
    memory_mb = held.memory_mb + demand.memory_mb - executor.free_memory
    gpus = held.gpus + demand.gpus - executor.free_gpus
    if memory_mb <= 0 and gpus <= 0:
        return None
    return Demand(0, max(memory_mb, 0), max(gpus, 0))
