"""Tests that best-effort runs give way to starts that can still be in time.

The load is a burst of batch work: more of it than the unused cores of a hall can end in time, so
that runs of jobs without hope hold cores that waiting jobs need to meet their objectives.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from linkspan.events import Event
from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Attempt
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    PaceOrder,
    RunningTask,
    StartOrder,
)
from linkspan.shard.planning.planner import Planner
from linkspan.shard.planning.urgency import Precedence, Timeliness
from tests.job_builders import QUEUE, step
from tests.shard.builders import add_executor, confirm_start, core_with, submitted_job

OVERDUE, FRESH, OTHER = "00000000000000cc", "00000000000000dd", "00000000000000ee"

LONG_AGO = -100.0
"""Time of acceptance of a job that can no longer be of use: three times the objective of the jobs
below is 6 s."""

CPU = 5_000
"""Demand of one task. Two of them exceed an executor of 8 cores by 2 cores, and the second finds 3
cores unused, which is exactly the least share (60%) that it may start with."""

WIDE = 7_000
"""Demand of a task beside which another one of ``CPU`` finds too few cores."""


def submit(
    core: ShardCore, job_id: str, accepted: float, *, memory_mb: int = 100, **fields: Any
) -> None:
    """Submit a best-effort job of one step."""
    spec = step(**{"count": 1, "cpu": WIDE, "best_effort": True, "image": "b", **fields})
    spec = replace(spec, demand=replace(spec.demand, memory_mb=memory_mb))
    core.add_job(submitted_job(spec, job_id=job_id, accepted=accepted), 0.0)


def plan_all(core: ShardCore, now: float) -> tuple[list[StartOrder], list[PaceOrder]]:
    """Plan, confirm the starts, and return the starts and paces that the plan ordered."""
    Planner(core).plan(now, now)
    orders, core.orders = core.orders, []
    starts = [o for o in orders if isinstance(o, StartOrder)]
    for order in starts:
        confirm_start(core, order, now)
    return starts, [o for o in orders if isinstance(o, PaceOrder)]


def overloaded(log: Any = None, **fields: Any) -> ShardCore:
    """Return a core whose only executor runs a task of a job without hope."""
    core = core_with(executors=1, log=log)
    submit(core, OVERDUE, LONG_AGO, **fields)
    starts, _ = plan_all(core, 0.1)
    assert starts
    return core


def attempt_of(core: ShardCore, job_id: str) -> Attempt:
    (attempt,) = core.jobs[job_id].attempts()
    return attempt


def test_a_run_without_hope_gives_way_in_the_plan_that_starts_another() -> None:
    events: list[tuple[Event, dict[str, Any]]] = []
    core = overloaded(lambda event, **fields: events.append((event, fields)))
    submit(core, FRESH, 0.0, cpu=CPU)
    ((start,), (pace,)) = plan_all(core, 0.2)
    assert start.task.job_id == FRESH
    # Of 8 cores the start takes 5; the other run keeps 3 of its 7.
    assert (pace.task.job_id, pace.percent) == (OVERDUE, 42)
    (fields,) = [f for e, f in events if e is Event.RUNS_YIELDED]
    assert fields["milli_cpu"] >= 4_000
    assert fields["executor"] == "e0"


def test_a_run_that_would_keep_almost_nothing_pauses() -> None:
    core = overloaded()
    submit(core, FRESH, 0.0, cpu=7_500)
    _, (pace,) = plan_all(core, 0.2)
    assert pace.percent == 0


def test_no_run_gives_way_while_another_executor_has_room() -> None:
    """An earlier deployment without overload is decided as before."""
    core = overloaded()
    add_executor(core, "e1")
    submit(core, FRESH, 0.0, cpu=CPU)
    ((start,), paces) = plan_all(core, 0.2)
    assert start.executor_id == "e1"
    assert paces == []


def test_no_run_gives_way_unless_another_one_starts() -> None:
    """Guards against cores that are taken from a run and used by nobody."""
    core = overloaded()
    core.executors["e0"].quarantined_until = 100.0
    submit(core, FRESH, 0.0, cpu=CPU)
    assert plan_all(core, 0.2) == ([], [])


@pytest.mark.parametrize("fields", [{"gang": True}, {"accepted": 0.0}])
def test_gangs_and_equals_do_not_give_way(fields: dict[str, Any]) -> None:
    core = core_with(executors=1)
    submit(core, OVERDUE, **{"accepted": LONG_AGO, **fields})
    plan_all(core, 0.1)
    submit(core, FRESH, 0.0, cpu=CPU)
    assert plan_all(core, 0.2) == ([], [])


def test_a_queue_with_precedence_never_gives_way() -> None:
    late, in_time = Precedence(0, Timeliness.LATE), Precedence(2, Timeliness.IN_TIME)
    assert not late.yields_to(in_time)
    assert late.yields_to(in_time._replace(priority=0))


def test_a_run_that_gave_way_continues_before_another_one_starts() -> None:
    """Guards against runs that stay paused, with their memory, behind newer work of their kind."""
    core = overloaded()
    submit(core, FRESH, 0.0, cpu=WIDE)
    (start,), _ = plan_all(core, 0.2)
    submit(core, OTHER, LONG_AGO)
    assert plan_all(core, 0.3) == ([], [])
    gone = EndedTask(1, start.task, start.run, EndKind.DONE, "")
    row = RunningTask(attempt_of(core, OVERDUE).task.name, 1, "", 40, 0.0)
    core.on_report("e0", ExecutorReport(1.0, (row,), (gone,)), asked=0.9, now=1.0)
    assert plan_all(core, 1.0) == ([], [])
    Pacer(core, core.interference).on_report(core.executors["e0"], 1.0, 1.0)
    (pace,) = core.orders
    assert isinstance(pace, PaceOrder)
    assert (pace.task.job_id, pace.percent) == (OVERDUE, 100)
    assert not attempt_of(core, OVERDUE).yielded


def test_a_run_that_gave_way_stays_slow_while_the_other_one_runs() -> None:
    core = overloaded()
    submit(core, FRESH, 0.0, cpu=CPU)
    plan_all(core, 0.2)
    pacer = Pacer(core, core.interference)
    for tick in range(1, 4):
        # The started job is still in time: its objective is 2 s, and it needs one second.
        pacer.on_report(core.executors["e0"], 0.2 + 0.5 * tick, 0.2 + 0.3 * tick)
    assert core.orders == []
    assert attempt_of(core, OVERDUE).pace == 42


def test_a_run_gives_way_once_for_each_start_and_not_below_zero() -> None:
    """Orders are bounded: a paused run has nothing left to give."""
    core = overloaded()
    paces = []
    for number in range(6):
        submit(core, f"{number:016x}", 0.0, cpu=1_500)
        paces += plan_all(core, 0.2 + 0.01 * number)[1]
    assert [p.percent for p in paces] == sorted((p.percent for p in paces), reverse=True)
    assert len(paces) <= 6
    # Later starts find no cores: equals don't give way to one another.
    assert attempt_of(core, OVERDUE).pace == 0
    submit(core, OTHER, 0.0, cpu=CPU)
    assert plan_all(core, 0.3) == ([], [])


def test_the_next_owner_sets_the_pace_of_a_paused_run_again() -> None:
    """A change of owner halfway: the run was paused, and the next owner does not know why."""
    core = overloaded()
    submit(core, FRESH, 0.0, cpu=7_500)
    (start,), _ = plan_all(core, 0.2)
    assert attempt_of(core, OVERDUE).pace == 0
    rows = [
        RunningTask(attempt_of(core, job_id).task.name, attempt_of(core, job_id).run, "", 40, 0.0)
        for job_id in (OVERDUE, FRESH)
    ]
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    for job_id, accepted in ((OVERDUE, LONG_AGO), (FRESH, 0.0)):
        steps = core.jobs[job_id].spec.steps
        job = submitted_job(*steps, job_id=job_id, accepted=accepted)
        next_owner.add_job(job, 0.0, inherited=True, begun=True)
    record = replace(core.executors["e0"].record)
    next_owner.list_executors([record], 0.5)
    next_owner.executors["e0"].rostered = True
    next_owner.on_report("e0", ExecutorReport(0.6, tuple(rows), ()), asked=0.6, now=0.6)
    Pacer(next_owner, next_owner.interference).on_report(next_owner.executors["e0"], 0.6, 0.6)
    paces = {o.task.job_id: o.percent for o in next_owner.orders if isinstance(o, PaceOrder)}
    # It is not left paused: another start that can be in time makes it give way again.
    assert paces[OVERDUE] > 0
    assert paces[FRESH] == 100
    next_owner.orders.clear()
    next_owner.on_report(
        "e0",
        ExecutorReport(1.2, (rows[0],), (EndedTask(1, start.task, start.run, EndKind.DONE, ""),)),
        asked=1.2,
        now=1.2,
    )
    submit(next_owner, OTHER, 1.2, cpu=7_500)
    (again,), (pace,) = plan_all(next_owner, 1.3)
    assert again.task.job_id == OTHER
    assert (pace.task.job_id, pace.percent) == (OVERDUE, 0)


TICK_S = 0.1
BURST_S = 6.0
HALF_MB = 16_000


@dataclass
class Burst:
    """A hall of 4 executors that each run a long task without hope when a burst of work comes.

    Each executor could end 1 job of 1 s a second; 2.6 times as many come for 6 s. The memory of an
    executor holds two tasks.
    """

    core: ShardCore = field(default_factory=lambda: core_with(executors=4))
    done_s: dict[Attempt, float] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    paces: int = 0
    starts: int = 0
    _ends: Counter[str] = field(default_factory=Counter)

    def play(self, until: float) -> None:
        pacer = Pacer(self.core, self.core.interference)
        for number in range(4):
            submit(self.core, f"{number:016x}", LONG_AGO, memory_mb=HALF_MB, estimate_s=8.0)
        now, sent = 0.0, 0
        while now < until:
            now = round(now + TICK_S, 3)
            while now < BURST_S and sent < 2.6 * 4 * now:
                submit(self.core, f"{100 + sent:016x}", now, memory_mb=HALF_MB, estimate_s=1.0)
                sent += 1
            starts, paces = plan_all(self.core, now)
            self.starts += len(starts)
            self.paces += len(paces)
            for executor in self.core.executors.values():
                self._report(executor, now)
                pacer.on_report(executor, now, now)

    def _report(self, executor: ExecutorState, now: float) -> None:
        rows, ends = [], []
        attempts = list(executor.all_best_effort())
        speed = min(1.0, 8_000 / max(executor.paced_cpu, 1.0))
        for attempt in attempts:
            name, spec = attempt.task.name, attempt.task.step.spec
            done_s = self.done_s.get(attempt, 0.0) + TICK_S * speed * attempt.pace / 100
            self.done_s[attempt] = done_s
            if done_s < spec.estimate_s:
                progress = int(100 * done_s / spec.estimate_s)
                rows.append(RunningTask(name, attempt.run, "", progress, 0.0))
                continue
            self._ends[executor.executor_id] += 1
            number = self._ends[executor.executor_id]
            ends.append(EndedTask(number, name, attempt.run, EndKind.DONE, ""))
            self.ended_at[name.job_id] = now
        report = ExecutorReport(now, tuple(rows), tuple(ends))
        self.core.on_report(executor.executor_id, report, asked=now, now=now)

    def in_time(self) -> int:
        """Return how many jobs of the burst ended within their objective of 2 s.

        A tenth more counts as in time, as estimates are rough, and a report comes 0.1 s later.
        """
        jobs = self.core.jobs.values()
        accepted = {j.job_id: j.submitted.accepted_at for j in jobs}
        return sum(at - accepted.get(i, LONG_AGO) <= 2.3 for i, at in self.ended_at.items())


def test_a_burst_of_batch_work_beside_runs_without_hope_is_served() -> None:
    """In a burst of 2.6 times for 6 s, the hall ends as many jobs in time as it has cores for."""
    burst = Burst()
    burst.play(BURST_S)
    # 4 executors end one job a second each. A quarter of the time goes to reports and plans, each
    # 0.1 s apart, and the jobs that begin in the last second end after it.
    assert burst.in_time() >= 0.75 * 4 * BURST_S - 4
    # Each start makes one run give way, which gets the cores back after it.
    assert burst.paces <= 2 * burst.starts


def test_runs_that_gave_way_end_after_the_burst() -> None:
    """An accepted job is never given up: the long runs go on, each from where it was."""
    burst = Burst()
    burst.play(40.0)
    assert {f"{number:016x}" for number in range(4)} <= burst.ended_at.keys()
    runs = [a for a in burst.done_s if a.task.name.job_id < f"{4:016x}"]
    assert [a.run for a in runs] == [1, 1, 1, 1]
