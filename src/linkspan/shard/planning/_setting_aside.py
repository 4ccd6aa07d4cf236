"""Sets memory and accelerators aside for waiting tasks with a reservation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.jobs.spec import Demand
from linkspan.shard.attempt import NEVER
from linkspan.shard.planning._preemption import (
    NEVER_ENDS,
    STOP_S,
    cheapest_preemption,
    covered_in_s,
)
from linkspan.shard.planning._set_aside_candidates import Candidate, find_candidate, shortage_of
from linkspan.shard.planning.set_asides import SetAside, SetAsideEnd
from linkspan.shard.planning.urgency import slack_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from linkspan.shard.core import ShardCore
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

MIN_SET_ASIDES = 16
"""Number of tasks for which resources may be set aside at a time in any hall; in a large one it is
the number of executors that the share allows. Other tasks come later, the most urgent first."""

CHECK_INTERVAL_S = 0.1
"""Time between two looks at the same step. A look reads the runs of executors."""

MAX_SEARCHES_PER_PLAN = 1
"""Limits the searches of one plan. A search reads the runs of all executors, and many steps may
wait in an overloaded hall."""

PREEMPTION_REASON = "frees memory or accelerators for work with a reservation"
"""Logged reason of stops."""


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
        self._check_at: dict[StepRun, float] = {}
        self._expired: dict[StepRun, set[str]] = {}
        self._searches = 0
        # Steps for which nothing was found since all waiting steps had a search.
        self._fruitless: set[StepRun] = set()
        self._wall = 0.0
        # What is free, and not set aside, on each usable executor at the beginning of the plan.
        self._least_free_memory_mb = 0
        self._least_free_gpus = 0

    def __repr__(self) -> str:
        return f"SettingAside({self._set_asides!r})"

    def begin(self, view: PlanView, wall: float) -> None:
        """Prepare a plan: end what is no longer needed or has lasted for too long.

        Args:
            view: The plan's view of the shard.
            wall: Time of day, in seconds since 1970.
        """
        self._wall = wall
        if not self._searches:
            self._fruitless.clear()
        self._searches = 0
        if self._check_at:
            self._check_at = {s: at for s, at in self._check_at.items() if at > view.now}
        if self._expired:
            self._expired = {s: ids for s, ids in self._expired.items() if s in self._core.ready}
        self._end_outdated(view)
        free = [(e, self._set_asides.held(e.executor_id)) for e in view.usable()]
        self._least_free_memory_mb = min((e.free_memory - h.memory_mb for e, h in free), default=0)
        self._least_free_gpus = min((e.free_gpus - h.gpus for e, h in free), default=0)

    def _end_outdated(self, view: PlanView) -> None:
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

    def is_idle(self, step: StepRun, now: float) -> bool:
        """Return whether :meth:`serve` would certainly do nothing for a step now."""
        if step in self._set_asides.steps:
            return False
        if self._check_at.get(step, NEVER) > now:
            return True
        return self._searches >= MAX_SEARCHES_PER_PLAN or not self._may_find(step)

    def _may_find(self, step: StepRun) -> bool:
        """Whether a search for a step may find an executor.

        It finds none where a task lacks nothing but cores, except for the members of a gang.
        """
        spec = step.spec
        lacks_memory = spec.demand.memory_mb > self._least_free_memory_mb
        lacks = lacks_memory or spec.demand.gpus > self._least_free_gpus
        return (spec.gang or lacks) and step not in self._fruitless

    def serve(self, placement: StepPlacement, waiting: list[Task], view: PlanView) -> None:
        """Set resources aside for tasks of a step that were not placed, and stop runs if need be.

        Args:
            placement: The placement that found no executor for them.
            waiting: The tasks.
            view: The plan's view of the shard.
        """
        step, now = placement.step, view.now
        if self._check_at.get(step, NEVER) > now:
            return
        missing = len(waiting) - len(self._set_asides.of(step))
        may_search = self._searches < MAX_SEARCHES_PER_PLAN and self._may_find(step)
        if missing > 0 and may_search:
            self._search(placement, waiting, missing, view)
        if step in self._set_asides.steps:
            self._check_at[step] = now + CHECK_INTERVAL_S
            self._preempt(placement, waiting, view)

    def _search(
        self, placement: StepPlacement, waiting: list[Task], missing: int, view: PlanView
    ) -> None:
        """Set resources aside for up to ``missing`` tasks of a step, for a gang all or none."""
        step = placement.step
        missing = self._allowed(step, missing, view)
        if missing <= 0:
            return
        self._searches += 1
        self._check_at[step] = view.now + CHECK_INTERVAL_S
        patience_s = self._patience_s(step, waiting, view.now)
        candidates = self._candidates(placement, waiting[0], view)
        begun: list[tuple[SetAside, Candidate]] = []
        while candidates and len(begun) < missing:
            best = min(candidates.values(), key=lambda c: c.rank(patience_s))
            executor = best.executor
            set_aside = SetAside(step, executor.executor_id, view.now)
            self._set_asides.add(set_aside)
            begun.append((set_aside, best))
            again = find_candidate(self._set_asides, placement, executor, waiting[0])
            if again:
                candidates[executor.executor_id] = again
            else:
                del candidates[executor.executor_id]
            candidates = {i: c for i, c in candidates.items() if self._may_use(i, step, view)}
        if not begun or (step.spec.gang and len(begun) < missing):
            self._fruitless.add(step)
        if len(begun) < missing:
            # Executors that were given up are tried again once the others are not enough.
            self._expired.pop(step, None)
        if step.spec.gang and len(begun) < missing:
            for set_aside, _ in begun:
                self._set_asides.remove(set_aside)
            return
        for _, chosen in begun:
            self._log_begin(chosen, step, patience_s, view.now)

    def _allowed(self, step: StepRun, missing: int, view: PlanView) -> int:
        """Return for how many of a step's tasks resources may be set aside now."""
        if step.spec.gang:
            others = (other for other in self._set_asides.steps if other is not step)
            return 0 if any(other.spec.gang for other in others) else missing
        most = max(_max_executors(view), MIN_SET_ASIDES)
        return min(missing, most - len(self._set_asides))

    def _may_use(self, executor_id: str, step: StepRun, view: PlanView) -> bool:
        """Whether resources of an executor may be set aside without exceeding the hall's share."""
        held = self._set_asides.executor_ids
        return step.spec.gang or executor_id in held or len(held) < _max_executors(view)

    def _candidates(
        self, placement: StepPlacement, task: Task, view: PlanView
    ) -> dict[str, Candidate]:
        """Return the executors on which a task could fit, by name."""
        step = placement.step
        excluded = task.avoided_executors | self._expired.get(step, set())
        candidates = {}
        for executor in placement.executors:
            executor_id = executor.executor_id
            if executor_id in excluded or not self._may_use(executor_id, step, view):
                continue
            candidate = find_candidate(self._set_asides, placement, executor, task)
            if candidate:
                candidates[executor_id] = candidate
        return candidates

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
            since = min(s.since for s in mine if s.executor_id == executor_id)
            executor = self._core.executors[executor_id]
            held = self._set_asides.held(executor_id)
            shortage = shortage_of(executor, held, Demand())
            if shortage is None:
                continue
            # Runs that were to end by now outlast their estimates, and may do so for long.
            in_time = covered_in_s(executor, shortage, now) <= patience_s
            if in_time and now - since < MAX_SHORT_WAIT_S:
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

    def _log_begin(self, chosen: Candidate, step: StepRun, patience_s: float, now: float) -> None:
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


def _max_executors(view: PlanView) -> int:
    """Return the number of executors of which resources may be set aside at a time."""
    return max(int(MAX_SET_ASIDE_SHARE * len(view.usable())), 1)


def _fields(step: StepRun) -> dict[str, str]:
    return {"job": step.run.job.job_id, "step": f"{step.run.repetition}.{step.index}"}
