"""A placer that learns interference, sizes and failing workers, and preempts for urgent tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.ledger.job_entry import TaskState
from linkspan.ledger.records import Resized
from linkspan.ledger.run_keys import attempt_of_run
from linkspan.model.job import AttemptId, Priority, TaskId
from linkspan.placement.colocation import Colocation
from linkspan.placement.guard import (
    THROTTLED,
    THROUGHPUT_FIRST,
    BatchState,
    GuardWeights,
    Measure,
)
from linkspan.placement.placer import Obstacle, PlacementRules, PolicyPlacer
from linkspan.placement.policies import BestFit, Candidate
from linkspan.placement.preemption import Preemption, Site, Victim, cheapest_preemption
from linkspan.placement.quarantine import End, Quarantine
from linkspan.placement.sizes import SizeModel

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from linkspan.ledger.job_entry import JobEntry
    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Placed
    from linkspan.model.job import JobSpec
    from linkspan.model.resources import Resources
    from linkspan.placement.guard import Action
    from linkspan.services.messages import AttemptKey, UsageSample, WorkerReport

MAX_PREEMPTIONS = 4
"""Limit on the urgent jobs for which tasks are preempted in one pass."""

MIN_PREEMPTION_INTERVAL_S = 5.0
"""Minimum time between preemptions for the same job, in which the preempted tasks stop."""


class LearnedCost:
    """Ranks workers by the predicted latency of their services with the task.

    Args:
        colocation: The learned model, with ledger numbers as names of workers.
    """

    def __init__(self, colocation: Colocation) -> None:
        self._colocation = colocation
        self._fit_cost = BestFit()

    def cost(self, spec: JobSpec, size: Resources, candidate: Candidate) -> float | None:
        """Return the predicted latency over target plus a small weight for free capacity."""
        fit = self._fit_cost.cost(spec, size, candidate)
        if spec.priority in (Priority.SERVICE, Priority.WATCHER):
            return fit
        predicted = self._colocation.predict_with(
            str(candidate.number), spec.kind, counts=candidate.kinds
        )
        return None if predicted is None else predicted + 0.05 * fit


class LearnedPlacer(PolicyPlacer):
    """Places, throttles and evicts tasks by models that it learns from worker reports.

    Args:
        weights: The customer's trade-off between tail latency and batch throughput.
        rules: Placement rules from the published configuration.
    """

    def __init__(
        self, weights: GuardWeights = THROUGHPUT_FIRST, *, rules: PlacementRules | None = None
    ) -> None:
        self.colocation = Colocation(weights)
        super().__init__(LearnedCost(self.colocation), rules=rules)
        self.sizes = SizeModel()
        self.quarantine = Quarantine()
        self._throttled: dict[int, set[TaskId]] = {}
        self._recalls: dict[AttemptId, str] = {}
        self._preempted_at: dict[int, float] = {}

    def __repr__(self) -> str:
        return f"LearnedPlacer({self.colocation!r}, {self.quarantine!r})"

    # Learning from reports and the ledger.

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Learn from a report, and apply the guard's actions on its worker.

        Args:
            report: The worker's report.
            ledger: The hall's ledger, which identifies the attempts.
            now: Local time in seconds when the exchange started.
        """
        number = ledger.worker_numbers.get(report.spec.name)
        if number is None:
            return
        self._record_tasks(report, ledger, number, now)
        for usage in report.usage:
            task = _placed_task_of(usage.run, ledger)
            if task is not None:
                measured = now - (report.clock - usage.measured)
                self._learn_usage(usage, ledger.jobs[task.job], number, task, measured)
        for action in self.colocation.decide(str(number), now):
            self._apply_action(action, ledger, number)

    def _record_tasks(self, report: WorkerReport, ledger: Ledger, number: int, now: float) -> None:
        throttled = self._throttled.setdefault(number, set())
        services: dict[object, str] = {}
        batch: list[BatchState] = []
        running = {task for run in report.running if (task := _placed_task_of(run, ledger))}
        for task in sorted(running):
            spec = ledger.jobs[task.job].spec
            if spec.priority is Priority.SERVICE:
                services[task] = spec.kind
            elif spec.priority is Priority.BATCH:
                batch.append(BatchState(task, spec.kind, 0.0, task in throttled))
        throttled &= running
        self.colocation.record_tasks(str(number), now, services, batch)

    def _learn_usage(
        self, usage: UsageSample, entry: JobEntry, number: int, task: TaskId, measured: float
    ) -> None:
        spec = entry.spec
        self.sizes.learn(spec.kind, usage.used)
        if spec.priority is Priority.SERVICE and usage.latency > 0.0:
            load = usage.used.milli_cpu / max(entry.size.milli_cpu, 1)
            self.colocation.record_measurement(str(number), task, load, usage.latency, measured)

    def _apply_action(self, action: Action, ledger: Ledger, number: int) -> None:
        task = action.key
        if not isinstance(task, TaskId):
            return
        if action.measure is Measure.THROTTLE:
            self._throttled[number].add(task)
        elif action.measure is Measure.RELEASE:
            self._throttled[number].discard(task)
        elif task in ledger.placements:
            reason = f"predicted latency over target after eviction: {action.predicted:.2f}"
            self._recalls[ledger.attempt_of(task)] = reason

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Update the quarantine of failing workers from the end of an attempt."""
        self.quarantine.note(End(kind, worker, failed), now, len(ledger.workers))

    # Decisions.

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return the tasks to throttle on a worker, with their part of full speed."""
        return [(task, THROTTLED) for task in sorted(self._throttled.get(number, ()))]

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return and clear the attempts to recall from their workers, with reasons."""
        recalls, self._recalls = self._recalls, {}
        return recalls

    def resizes(self, ledger: Ledger) -> Iterator[Resized]:
        """Yield larger sizes for jobs whose measured use exceeds what they reserve."""
        for entry in ledger.jobs.values():
            if entry.next_queued() < 0:
                continue
            needed = self.sizes.needed(entry.spec.kind, entry.spec.size)
            if needed != entry.size and needed.elementwise_max(entry.size) == needed:
                yield Resized(entry.number, needed)

    def place(
        self, ledger: Ledger, fit: Collection[int], pending: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield placements on workers outside quarantine, and preempt tasks for urgent jobs."""
        quarantined = {ledger.worker_numbers[name] for name in self.quarantine.quarantined(now)}
        allowed = [number for number in fit if number not in quarantined]
        yield from super().place(ledger, allowed, pending, now)
        self._preempt_for_urgent(ledger, allowed, now)

    def _preempt_for_urgent(self, ledger: Ledger, allowed: Collection[int], now: float) -> None:
        waiting = [
            ledger.jobs[number]
            for number, obstacle in self.last.obstacles.items()
            if obstacle in (Obstacle.NO_ROOM, Obstacle.COMPANY)
            and ledger.jobs[number].spec.priority is Priority.URGENT
            and now - self._preempted_at.get(number, float("-inf")) >= MIN_PREEMPTION_INTERVAL_S
        ]
        for entry in waiting[:MAX_PREEMPTIONS]:
            chosen = self._cheapest_preemption(entry, ledger, allowed)
            if chosen is None:
                continue
            self._preempted_at[entry.number] = now
            for victim in chosen.victims:
                if isinstance(victim.key, TaskId):
                    reason = f"makes room for urgent {entry.spec.job_id}"
                    self._recalls[ledger.attempt_of(victim.key)] = reason
        self._preempted_at = {n: at for n, at in self._preempted_at.items() if n in ledger.jobs}

    def _cheapest_preemption(
        self, entry: JobEntry, ledger: Ledger, allowed: Collection[int]
    ) -> Preemption | None:
        sites = [
            Site(number, ledger.workers[number].room, _preemptible_tasks(ledger, number))
            for number in allowed
            if self.may_run(entry, ledger.workers[number].spec)
        ]
        return cheapest_preemption(entry.size, sites)


def _preemptible_tasks(ledger: Ledger, number: int) -> list[Victim]:
    return [
        Victim(task, ledger.placements[task].size, 0.0)
        for task in sorted(ledger.workers[number].tasks)
        if ledger.jobs[task.job].spec.priority is Priority.BATCH
        and ledger.jobs[task.job].spec.repeatable
        and ledger.placements[task].recalled < 0
    ]


def _placed_task_of(run: AttemptKey, ledger: Ledger) -> TaskId | None:
    """Return the task of an attempt that is placed in the ledger, else None."""
    attempt = attempt_of_run(ledger.hall, run)
    if attempt is None or attempt.task not in ledger.placements:
        return None
    is_placed = ledger.jobs[attempt.job].states[attempt.index] == TaskState.PLACED
    return attempt.task if is_placed else None
