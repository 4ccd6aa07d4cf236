"""Compares placement policies under hidden interference.

Run as ``python -m bench.placement``.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from bench.interference_world import (
    DEPLOYMENTS,
    KINDS,
    WORKERS,
    Deployment,
    Report,
    Task,
    World,
)
from linkspan.model.job import JobSpec
from linkspan.model.resources import Resources
from linkspan.placement.colocation import Colocation
from linkspan.placement.guard import TAIL_FIRST, THROUGHPUT_FIRST, BatchState, Measure
from linkspan.placement.policies import BestFit, Candidate, FirstFit, Policy
from linkspan.placement.preemption import Site, Victim, cheapest_preemption
from linkspan.placement.quarantine import End, Quarantine
from linkspan.placement.sizes import SizeModel

SECONDS = 1_500
TUNING_SEEDS = tuple(range(10))
HELD_OUT_SEEDS = tuple(range(100, 110))
_SPEC = JobSpec("job", "c", "t", "k", 1, Resources())


class Controller:
    """Places tasks by a fixed policy and never evicts; used for the simple baselines."""

    preempts = False

    def __init__(self, world: World, policy: Policy) -> None:
        self.world = world
        self.policy = policy
        self.waiting: list[Task] = []

    def reserve(self, task: Task) -> Resources:
        """Return the resources to reserve for a task."""
        return task.declared

    def cost(self, worker: int, task: Task, size: Resources) -> float | None:
        """Return the cost of placing a task on a worker, or None if it cannot run there."""
        room = self.world.room(worker)
        if not size.fits_within(room):
            return None
        return self.policy.cost(
            _SPEC, size, Candidate(worker, room, Resources(32_000, 125_000), {})
        )

    def step(self) -> None:
        """Process arrived reports, act on them, then place waiting and queued tasks."""
        for report in self.world.reports():
            self.on_report(report)
        self.act()
        self.world.urgent = [t for t in self.world.urgent if not self.try_place(t, urgent=True)]
        self.waiting = [task for task in self.waiting if not self.try_place(task)]
        self.fill()

    def on_report(self, report: Report) -> None:
        """Handle a report."""

    def on_end(self, worker: int, task: Task, failed: bool) -> None:
        """Handle the end of a task; a failed task waits to be placed again."""
        if failed:
            task.done_s = task.saved_s
            (self.world.urgent if task.urgent else self.waiting).append(task)

    def act(self) -> None:
        """Throttle, release or evict running tasks."""

    def fill(self) -> None:
        """Place queued tasks, least served kinds first, until none fits."""
        for kind in sorted(KINDS, key=lambda k: self.world.served[k]):
            while self.try_place(self.world.new_task(kind)):
                pass

    def try_place(self, task: Task, *, urgent: bool = False) -> bool:
        """Place a task on the worker with the lowest cost; return whether it was placed."""
        size = self.reserve(task)
        costs = [
            (cost, worker)
            for worker in range(WORKERS)
            if (cost := self.cost(worker, task, size)) is not None
        ]
        if costs:
            self.world.place(min(costs)[1], task, size)
            return True
        return urgent and self.preempts and self.preempt(task, size)

    def preempt(self, task: Task, size: Resources) -> bool:
        """Place an urgent task after evicting others; return whether it was placed."""
        sites = [
            Site(
                worker,
                self.world.room(worker),
                [
                    Victim(t.number, t.reserved, t.at_risk_s)
                    for t in self.world.tasks[worker].values()
                    if not t.urgent
                ],
            )
            for worker in self.allowed()
        ]
        chosen = cheapest_preemption(size, sites)
        if chosen is None:
            return False
        for victim in chosen.victims:
            self.waiting.append(self.world.evict(chosen.worker, int(str(victim.key))))
        self.world.place(chosen.worker, task, size)
        return True

    def allowed(self) -> Iterator[int]:
        """Yield the workers that may get new tasks."""
        yield from range(WORKERS)


class FixedGuard(Controller):
    """First fit; each report of a latency over target evicts the largest batch task."""

    def on_report(self, report: Report) -> None:
        """Evict the largest task if the latency is over target."""
        tasks = self.world.tasks[report.worker]
        if report.latency > 1.0 and tasks:
            largest = max(tasks.values(), key=lambda t: (t.reserved.milli_cpu, t.number))
            self.waiting.append(self.world.evict(report.worker, largest.number))


class Learned(Controller):
    """The product's policy: learned interference and sizes, guard, quarantine, preemption.

    ``without`` names the one part that is switched off in an ablation.
    """

    preempts = True

    def __init__(self, world: World, without: str = "") -> None:
        super().__init__(world, FirstFit())
        weights = TAIL_FIRST if world.deployment.tail_first else THROUGHPUT_FIRST
        self.colocation = Colocation(weights, explores=without != "exploration")
        self.sizes = SizeModel()
        self.quarantine = Quarantine()
        self.without = without
        self.preempts = without != "preemption"
        self.kinds: dict[int, str] = {}
        self._quarantined: set[int] = set()

    def reserve(self, task: Task) -> Resources:
        """Return the larger of declared and learned size; the declared one without the model."""
        if self.without == "sizes":
            return task.declared
        return self.sizes.needed(task.kind, task.declared)

    def cost(self, worker: int, task: Task, size: Resources) -> float | None:
        """Return the predicted latency relative to target, or None if it is too high."""
        if worker in self._quarantined or not size.fits_within(self.world.room(worker)):
            return None
        if self.without == "admission":
            return float(worker)
        return self.colocation.predict_with(str(worker), task.kind)

    def allowed(self) -> Iterator[int]:
        """Yield the workers that are not in quarantine."""
        yield from (w for w in range(WORKERS) if w not in self._quarantined)

    def step(self) -> None:
        """Update quarantine and colocated tasks, then act."""
        self._quarantined = {int(name) for name in self.quarantine.quarantined(self.world.now)}
        for worker in range(WORKERS):
            self._update_colocation(worker)
        super().step()

    def _update_colocation(self, worker: int) -> None:
        batch = [
            BatchState(t.number, t.kind, t.at_risk_s, t.throttled)
            for t in self.world.tasks[worker].values()
        ]
        services = {s: s for s in self.world.services[worker]}
        self.colocation.record_tasks(str(worker), self.world.now, services, batch)

    def try_place(self, task: Task, *, urgent: bool = False) -> bool:
        """Place a task and update the colocated tasks of its worker."""
        self.kinds[task.number] = task.kind
        placed = super().try_place(task, urgent=urgent)
        if placed:
            for worker in range(WORKERS):
                if task.number in self.world.tasks[worker]:
                    self._update_colocation(worker)
        return placed

    def on_report(self, report: Report) -> None:
        """Learn task sizes and interference from a report."""
        for number, used in report.used:
            if number in self.kinds:
                self.sizes.learn(self.kinds[number], used)
        self.colocation.record_measurement(
            str(report.worker), report.service, report.load, report.latency, report.measured
        )

    def on_end(self, worker: int, task: Task, failed: bool) -> None:
        """Record the result for the quarantine of failing workers."""
        super().on_end(worker, task, failed)
        self.kinds.pop(task.number, None)
        if self.without != "quarantine":
            self.quarantine.note(End(task.kind, str(worker), failed), self.world.now, WORKERS)

    def act(self) -> None:
        """Carry out the decisions of the guard."""
        if self.without == "guard":
            return
        for worker in range(WORKERS):
            for action in self.colocation.decide(str(worker), self.world.now):
                number = int(str(action.key))
                task = self.world.tasks[worker].get(number)
                if task is None or task.urgent:
                    continue
                if action.measure is Measure.EVICT or self.without == "throttling":
                    self.waiting.append(self.world.evict(worker, number))
                else:
                    task.throttled = action.measure is Measure.THROTTLE
                self._update_colocation(worker)


class Oracle(Controller):
    """Knows actual interference and load, and places tasks up to the latency target."""

    preempts = True
    LIMIT = 0.97

    def reserve(self, task: Task) -> Resources:
        """Return the larger of actual and declared size."""
        return task.declared.elementwise_max(task.true_size)

    def cost(self, worker: int, task: Task, size: Resources) -> float | None:
        """Return the actual latency with the task, or None if over ``LIMIT``."""
        failing = self.world.failing.get(worker, (0.0, 0.0))
        if failing[0] <= self.world.now < failing[1] or not size.fits_within(
            self.world.room(worker)
        ):
            return None
        worst = max(
            self.world.latency(worker, s)
            + self.world.added_latency(worker, s, task.kind, min(1.0, self.world.load(s) + 0.05))
            for s in self.world.services[worker]
        )
        return worst if worst <= self.LIMIT else None

    def act(self) -> None:
        """Evict tasks while a service is over target, those with the most interference first."""
        for worker in range(WORKERS):
            for service in self.world.services[worker]:
                tasks = self.world.tasks[worker]
                while tasks and self.world.latency(worker, service) > 1.0:
                    worst = max(
                        tasks.values(),
                        key=lambda t: self.world.added_latency(worker, service, t.kind, 1.0),
                    )
                    self.waiting.append(self.world.evict(worker, worst.number))


ABLATIONS = ("admission", "guard", "throttling", "sizes", "exploration", "quarantine", "preemption")
PLAIN = ("oracle", "first_fit", "best_fit", "fixed_guard", "learned")
NAMES = (*PLAIN, *(f"learned without {part}" for part in ABLATIONS))


def make(name: str, world: World) -> Controller:
    """Return the controller with a name."""
    match name:
        case "oracle":
            return Oracle(world, FirstFit())
        case "first_fit":
            return Controller(world, FirstFit())
        case "best_fit":
            return Controller(world, BestFit())
        case "fixed_guard":
            return FixedGuard(world, FirstFit())
        case _:
            return Learned(world, name.removeprefix("learned").removeprefix(" without "))


class Result(NamedTuple):
    """Results of one run."""

    inside: float
    work_s: float
    evictions: float
    lost_share: float
    urgent_p99: float
    overcommitted: int
    failed: int


def run(name: str, deployment: Deployment, seed: int, seconds: int = SECONDS) -> Result:
    """Run one controller in a world with one seed."""
    world = World(deployment, seed)
    controller = make(name, world)
    for _ in range(seconds):
        for worker, task, failed in world.advance():
            controller.on_end(worker, task, failed)
        controller.step()
    figures = world.figures
    waits = figures.urgent_waits + [
        world.now - task.arrived for task in world.urgent if not task.has_started
    ]
    waits.sort()
    return Result(
        inside=1 - figures.over / figures.intervals,
        work_s=figures.work_s,
        evictions=100 * figures.evicted / max(1, figures.finished),
        lost_share=figures.lost_s / max(1.0, figures.work_s),
        urgent_p99=waits[int(0.99 * (len(waits) - 1))] if waits else 0.0,
        overcommitted=figures.overcommitted,
        failed=figures.failed,
    )


def _run_job(args: tuple[str, Deployment, int, int]) -> Result:
    return run(*args)


def table(
    names: tuple[str, ...], seeds: tuple[int, ...], seconds: int = SECONDS, processes: int = 4
) -> dict[tuple[str, str], list[Result]]:
    """Run all combinations in parallel; return the results by deployment and controller."""
    jobs = [(n, d, seed, seconds) for d in DEPLOYMENTS for n in names for seed in seeds]
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(_run_job, jobs))
    results_by_policy: dict[tuple[str, str], list[Result]] = {}
    for (name, deployment, _, _), result in zip(jobs, results, strict=True):
        results_by_policy.setdefault((deployment.name, name), []).append(result)
    return results_by_policy


def show(results_by_policy: dict[tuple[str, str], list[Result]]) -> None:
    """Print a table of medians over the seeds, with the worst value in brackets."""
    head = f"{'deployment':<15}{'policy':<29}{'inside target':>18}{'batch/oracle':>16}"
    print(head + f"{'evict/100':>16}{'lost':>7}{'urgent p99 s':>14}{'over':>6}{'failed':>8}")
    for (deployment, name), results in results_by_policy.items():
        oracle = results_by_policy[deployment, "oracle"]
        parts = [r.work_s / o.work_s for r, o in zip(results, oracle, strict=True)]
        inside = [r.inside for r in results]
        evictions = [r.evictions for r in results]
        median = statistics.median
        print(
            f"{deployment:<15}{name:<29}"
            f"{median(inside):>10.4f} ({min(inside):.3f})"
            f"{median(parts):>8.3f} ({min(parts):.2f})"
            f"{median(evictions):>9.2f} ({max(evictions):>4.1f})"
            f"{median(r.lost_share for r in results):>7.3f}"
            f"{max(r.urgent_p99 for r in results):>14.1f}"
            f"{sum(r.overcommitted for r in results):>6}"
            f"{median(r.failed for r in results):>8.0f}"
        )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=len(TUNING_SEEDS))
    parser.add_argument("--seconds", type=int, default=SECONDS)
    parser.add_argument(
        "--held-out", action="store_true", help="use seeds that were not used for tuning"
    )
    parser.add_argument("--policies", default=",".join(NAMES))
    args = parser.parse_args()
    seeds = (HELD_OUT_SEEDS if args.held_out else TUNING_SEEDS)[: args.seeds]
    started = time.perf_counter()
    show(table(tuple(args.policies.split(",")), seeds, args.seconds))
    print(
        f"{len(seeds)} seeds, {args.seconds} s each, {time.perf_counter() - started:.0f} s in all"
    )


if __name__ == "__main__":
    main()
