"""Measures what a shard's owner decides with when far more work waits than fits.

Run as ``python -m bench.overload``. A hall's executors are full of standing tasks and of
best-effort runs, many of them slowed down, and a burst of steps waits for them. The table has the
milliseconds of processor time of a plan and of a report at the pacer, and counts that do not depend
on the machine. The digest of the orders shows whether two trees make the same decisions.
"""

from __future__ import annotations

import argparse
import hashlib
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest.mock import patch

from tests.job_builders import QUEUE, step
from tests.shard.builders import add_executors, confirm_start, ignore, submitted_job

from linkspan.model.configuration import Configuration, Service
from linkspan.model.settings import Bounds
from linkspan.shard.attempt import Attempt, Phase
from linkspan.shard.colocation._pressure_budget import PressureBudget
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    StopOrder,
)
from linkspan.shard.planning._step_scores import StepScores
from linkspan.shard.planning.placement import StepPlacement
from linkspan.shard.planning.planner import Planner
from linkspan.shard.planning.urgency import Urgencies

MILLI_CPU = 64_000
LARGE_FACTOR = 1.5
LARGE_SHARE = 0.3
"""Share of the executors that are larger than the others, by :data:`LARGE_FACTOR`."""

STANDING_SHARE = 0.8
"""Share of each executor that standing tasks reserve."""

BEST_EFFORT_SHARE = 0.5
"""Cores that best-effort runs demand at full speed, as a share of each executor's."""

SLOWED_SHARE = 0.4
"""Share of the best-effort runs whose pace is reduced."""

WAITING_STEPS = 6
"""Steps that wait, for each executor: about 2.6 times the work that fits."""

PLAN_INTERVAL_S = 0.03
REPORTS_PER_S = 4.0
"""Reports of an executor in a second."""

ENDS_PER_S = 1.0
"""Runs that end in a second, for each executor."""

FIRST_PLANS = 2
"""Plans before the burst."""

TARGET_MS = 100.0
IMAGES = 5


@dataclass
class Looks:
    """Counts what plans and reports look at.

    Attributes:
        counts: Number of calls, by what they look at.
    """

    counts: Counter[str] = field(default_factory=Counter)

    @contextmanager
    def counting(self) -> Iterator[Counter[str]]:
        """Count within the context."""
        counted = (
            ("reasons", StepPlacement, "reason_against"),
            ("scores", StepScores, "score"),
            ("budgets", PressureBudget, "__init__"),
            ("urgencies", Urgencies, "of"),
            ("placements", StepPlacement, "__init__"),
        )
        with ExitStack() as stack:
            for name, owner, method in counted:
                stack.enter_context(patch.object(owner, method, self._counted(name, owner, method)))
            yield self.counts

    def _counted(self, name: str, owner: type, method: str) -> Any:
        original, counts = getattr(owner, method), self.counts

        def call(*args: Any, **kwargs: Any) -> Any:
            counts[name] += 1
            return original(*args, **kwargs)

        return call


@dataclass
class OverloadedHall:
    """A shard's owner with full executors and a burst of waiting steps.

    Attributes:
        executors: Number of executors.
        seed: Seed of sizes and ends.
        plan_s: Processor time of the plans, in seconds.
        report_s: Processor time of the reports at the pacer, in seconds.
        reports: Number of these reports.
        digest: Hash over all orders.
    """

    executors: int
    seed: int = 0
    plan_s: float = 0.0
    report_s: float = 0.0
    reports: int = 0
    digest: Any = field(default_factory=hashlib.sha256)

    def __post_init__(self) -> None:
        self.core = ShardCore(0, Bounds(), log=ignore)
        self.core.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
        self._random = Random(self.seed)
        self._jobs = 0
        self._to_report = 0.0
        self._next_to_report = 0
        self._ended: dict[str, list[EndedTask]] = {}
        self.planner = Planner(self.core)
        self.pacer = Pacer(self.core, self.core.interference)
        large = int(self.executors * LARGE_SHARE)
        add_executors(
            self.core,
            {
                f"e{n}": int(MILLI_CPU * (LARGE_FACTOR if n < large else 1.0))
                for n in range(self.executors)
            },
        )
        self._fill_with_standing()
        self._fill_with_best_effort()
        self.core.orders.clear()

    def add_burst(self, steps_each: int = WAITING_STEPS) -> None:
        """Add the steps that wait: short ones with a reservation, and best-effort ones."""
        random = self._random
        for number in range(self.executors * steps_each):
            cpu = random.randrange(1_000, 6_000, 250)
            if number % 2:
                self.add(step(random.randint(1, 4), cpu=cpu, estimate_s=0.4))
            else:
                self.add(self._best_effort(random.randint(2, 8), cpu))

    def run(self, plans: int, now: float) -> float:
        """Make plans with reports and ends between them; return the steady time after them."""
        for _ in range(plans):
            self._report(now)
            began = time.process_time()
            self.planner.plan(now, now)
            self.plan_s += time.process_time() - began
            self._carry_out(now)
            now += PLAN_INTERVAL_S
        return now

    def add(self, spec: Any) -> None:
        """Add a job of one step."""
        self._jobs += 1
        self.core.add_job(submitted_job(spec, job_id=f"{self._jobs:016x}"), 0.0)

    def _best_effort(self, count: int, cpu: int) -> Any:
        image = f"batch{self._random.randrange(IMAGES)}"
        estimate_s = self._random.uniform(4.0, 20.0)
        return step(
            count, cpu=cpu, estimate_s=estimate_s, best_effort=True, checkpoints=True, image=image
        )

    def _fill_with_standing(self) -> None:
        for executor in self.core.executors.values():
            free = int(executor.free_cpu * STANDING_SHARE)
            while free >= 4_000:
                cpu = min(self._random.randrange(4_000, 9_000, 500), free)
                image = f"service{self._random.randrange(IMAGES)}"
                self._start(
                    step(1, cpu=cpu, standing=True, latency_target_ms=TARGET_MS, image=image),
                    executor,
                )
                free -= cpu

    def _fill_with_best_effort(self) -> None:
        for executor in self.core.executors.values():
            free = executor.total_cpu * BEST_EFFORT_SHARE
            while free >= 2_000:
                cpu = self._random.randrange(2_000, 6_000, 250)
                attempt = self._start(self._best_effort(1, cpu), executor)
                if self._random.random() < SLOWED_SHARE:
                    attempt.set_pace(self._random.randrange(10, 60, 10), 0.0)
                free -= cpu

    def _start(self, spec: Any, executor: ExecutorState) -> Attempt:
        self.add(spec)
        task = next(reversed(self.core.jobs.values())).runs[0].steps[0].tasks[0]
        attempt = self.core.place(task, executor, 0.0)
        attempt.confirm(0.0)
        return attempt

    def _report(self, now: float) -> None:
        """Apply the reports since the last plan, some of them with ends."""
        self._to_report += self.executors * REPORTS_PER_S * PLAN_INTERVAL_S
        executors = list(self.core.executors.values())
        while self._to_report >= 1.0:
            self._to_report -= 1.0
            executor = executors[self._next_to_report % len(executors)]
            self._next_to_report += 1
            self.reports += 1
            ending = [a for a in executor.attempts.values() if not a.task.step.spec.standing]
            if ending and self._random.random() < ENDS_PER_S / REPORTS_PER_S:
                self._end(self._random.choice(ending), EndKind.DONE)
            ended = tuple(self._ended.get(executor.executor_id, ()))
            gone = {(end.task, end.run) for end in ended}
            running = tuple(
                RunningTask(a.task.name, a.run, "", a.progress, self._usage(executor, a, now))
                for a in executor.attempts.values()
                if a.key not in gone
            )
            report = ExecutorReport(now, running, ended)
            self.core.on_report(executor.executor_id, report, asked=now - 0.01, now=now)
            began = time.process_time()
            self.pacer.on_report(executor, now, now)
            self.report_s += time.process_time() - began

    def _usage(self, executor: ExecutorState, attempt: Attempt, now: float) -> float | None:
        spec = attempt.task.step.spec
        if spec.best_effort:
            return spec.demand.milli_cpu * attempt.pace / 100
        if not spec.standing:
            return None
        own = 0.45 + 0.1 * ((now / 3.0 + int(attempt.task.name.job_id, 16) / 7) % 1.0)
        pressure = own + 0.4 * executor.paced_cpu / executor.total_cpu
        return TARGET_MS * 0.17 / (1.0 - min(pressure, 0.97))

    def _end(self, attempt: Attempt, kind: EndKind) -> None:
        ends = self._ended.setdefault(attempt.executor_id, [])
        if any((end.task, end.run) == attempt.key for end in ends):
            return
        ends.append(EndedTask(len(ends) + 1, attempt.task.name, attempt.run, kind, ""))

    def _carry_out(self, now: float) -> None:
        orders, self.core.orders = self.core.orders, []
        for order in orders:
            self.digest.update(f"{now:.3f} {order!r}\n".encode())
            attempt = self.core.find_attempt(order.task, order.run)
            if isinstance(order, StartOrder):
                confirm_start(self.core, order, now)
            elif isinstance(order, StopOrder) and attempt and attempt.phase is Phase.STOPPING:
                self._end(attempt, EndKind.STOPPED)


def measure(executors: int, plans: int) -> OverloadedHall:
    """Return a hall after a number of plans that follow its burst."""
    hall = OverloadedHall(executors)
    now = hall.run(FIRST_PLANS, 1.0)
    hall.add_burst()
    hall.plan_s = hall.report_s = 0.0
    hall.reports = 0
    hall.run(plans, now)
    return hall


def count_looks(executors: int, plans: int) -> dict[str, float]:
    """Return what the plans after a burst look at and their reports, in calls a plan."""
    hall = OverloadedHall(executors)
    now = hall.run(FIRST_PLANS, 1.0)
    hall.add_burst()
    with Looks().counting() as counts:
        hall.run(plans, now)
    return {name: count / plans for name, count in counts.items()}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--executors", type=int, nargs="+", default=[61, 250, 1_000])
    parser.add_argument("--plans", type=int, default=20)
    options = parser.parse_args()
    print("| executors | ms a plan | ms a report | looks a plan | orders |")
    print("| --- | --- | --- | --- | --- |")
    for executors in options.executors:
        hall = measure(executors, options.plans)
        counts = count_looks(executors, options.plans)
        looks = ", ".join(f"{name} {count:.0f}" for name, count in sorted(counts.items()))
        print(
            f"| {executors} | {1000 * hall.plan_s / options.plans:.1f} "
            f"| {1000 * hall.report_s / max(hall.reports, 1):.2f} | {looks} "
            f"| {hall.digest.hexdigest()[:8]} |"
        )


if __name__ == "__main__":
    main()
