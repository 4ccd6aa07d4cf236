"""The placer that learns: interference, sizes, bad workers, room for urgent work."""

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
"""Urgent tasks for which room is made in one pass."""

PREEMPTION_PAUSE_S = 5.0
"""Time for which a job is not given room again, while its victims stop."""


class LearnedCost:
    """Ranks workers by the latency that their services should have with the task.

    Args:
        colocation: What is learnt; its workers go by their ledger numbers.
    """

    def __init__(self, colocation: Colocation) -> None:
        self._colocation = colocation
        self._plain = BestFit()

    def cost(self, spec: JobSpec, size: Resources, candidate: Candidate) -> float | None:
        """Return the predicted latency over target, then the room that is left."""
        fit = self._plain.cost(spec, size, candidate)
        if spec.priority in (Priority.SERVICE, Priority.WATCHER):
            return fit
        predicted = self._colocation.predicted_with(
            str(candidate.number), spec.kind, company=candidate.kinds
        )
        return None if predicted is None else predicted + 0.05 * fit


class LearnedPlacer(PolicyPlacer):
    """Places, throttles and evicts by what reports teach.

    Args:
        weights: The customer's weights of tails against batch work.
        rules: What published configuration says.
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
        self._preempted: dict[int, float] = {}

    def __repr__(self) -> str:
        return f"LearnedPlacer({self.colocation!r}, {self.quarantine!r})"

    # What reports and the ledger tell.

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Learn from a report, and decide what to do on its worker.

        Args:
            report: The worker's report.
            ledger: The fold, for what the attempts are.
            now: Our time in seconds when we began to ask.
        """
        number = ledger.worker_numbers.get(report.spec.name)
        if number is None:
            return
        self._note_company(report, ledger, number, now)
        for usage in report.usage:
            task = _task_of(usage.run, ledger)
            if task is not None:
                measured = now - (report.clock - usage.measured)
                self._learn(usage, ledger.jobs[task.job], number, task, measured)
        for action in self.colocation.decide(str(number), now):
            self._carry_out(action, ledger, number)

    def _note_company(self, report: WorkerReport, ledger: Ledger, number: int, now: float) -> None:
        throttled = self._throttled.setdefault(number, set())
        services: dict[object, str] = {}
        batch: list[BatchState] = []
        running = {task for run in report.running if (task := _task_of(run, ledger))}
        for task in sorted(running):
            spec = ledger.jobs[task.job].spec
            if spec.priority is Priority.SERVICE:
                services[task] = spec.kind
            elif spec.priority is Priority.BATCH:
                batch.append(BatchState(task, spec.kind, 0.0, task in throttled))
        throttled &= running
        self.colocation.note_company(str(number), now, services, batch)

    def _learn(
        self, usage: UsageSample, entry: JobEntry, number: int, task: TaskId, measured: float
    ) -> None:
        spec = entry.spec
        self.sizes.learn(spec.kind, usage.used)
        if spec.priority is Priority.SERVICE and usage.latency > 0.0:
            load = usage.used.milli_cpu / max(entry.size.milli_cpu, 1)
            self.colocation.note_measured(str(number), task, load, usage.latency, measured)

    def _carry_out(self, action: Action, ledger: Ledger, number: int) -> None:
        task = action.key
        if not isinstance(task, TaskId):
            return
        if action.measure is Measure.THROTTLE:
            self._throttled[number].add(task)
        elif action.measure is Measure.RELEASE:
            self._throttled[number].discard(task)
        elif task in ledger.placements:
            reason = f"latency over target falls to {action.predicted:.2f} without it"
            self._recalls[ledger.attempt_of(task)] = reason

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Learn from an attempt's end in the ledger which workers fail what they get."""
        self.quarantine.note(End(kind, worker, failed), now, len(ledger.workers))

    # What is to be done.

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return the tasks to hold back on a worker, with their part of full speed."""
        return [(task, THROTTLED) for task in sorted(self._throttled.get(number, ()))]

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return the attempts that should leave their workers, with reasons, once."""
        recalls, self._recalls = self._recalls, {}
        return recalls

    def resizes(self, ledger: Ledger) -> Iterator[Resized]:
        """Yield the sizes that jobs should reserve from now on."""
        for entry in ledger.jobs.values():
            if entry.next_queued() < 0:
                continue
            needed = self.sizes.needed(entry.spec.kind, entry.spec.size)
            if needed != entry.size and needed.elementwise_max(entry.size) == needed:
                yield Resized(entry.number, needed)

    def place(
        self, ledger: Ledger, fit: Collection[int], on_the_way: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield placements on workers out of quarantine, and make room for urgent work."""
        held = {ledger.worker_numbers[name] for name in self.quarantine.held(now)}
        allowed = [number for number in fit if number not in held]
        yield from super().place(ledger, allowed, on_the_way, now)
        self._make_room(ledger, allowed, now)

    def _make_room(self, ledger: Ledger, allowed: Collection[int], now: float) -> None:
        waiting = [
            ledger.jobs[number]
            for number, obstacle in self.last.obstacles.items()
            if obstacle in (Obstacle.NO_ROOM, Obstacle.COMPANY)
            and ledger.jobs[number].spec.priority is Priority.URGENT
            and now - self._preempted.get(number, float("-inf")) >= PREEMPTION_PAUSE_S
        ]
        for entry in waiting[:MAX_PREEMPTIONS]:
            chosen = self._cheapest(entry, ledger, allowed)
            if chosen is None:
                continue
            self._preempted[entry.number] = now
            for victim in chosen.victims:
                if isinstance(victim.key, TaskId):
                    reason = f"makes room for urgent {entry.spec.job_id}"
                    self._recalls[ledger.attempt_of(victim.key)] = reason
        self._preempted = {n: at for n, at in self._preempted.items() if n in ledger.jobs}

    def _cheapest(
        self, entry: JobEntry, ledger: Ledger, allowed: Collection[int]
    ) -> Preemption | None:
        sites = [
            Site(number, ledger.workers[number].room, _victims(ledger, number))
            for number in allowed
            if self.may_run(entry, ledger.workers[number].spec)
        ]
        return cheapest_preemption(entry.size, sites)


def _victims(ledger: Ledger, number: int) -> list[Victim]:
    return [
        Victim(task, ledger.placements[task].size, 0.0)
        for task in sorted(ledger.workers[number].tasks)
        if ledger.jobs[task.job].spec.priority is Priority.BATCH
        and ledger.jobs[task.job].spec.repeatable
        and ledger.placements[task].recalled < 0
    ]


def _task_of(run: AttemptKey, ledger: Ledger) -> TaskId | None:
    """Return the task of an attempt that the ledger has placed now."""
    attempt = attempt_of_run(ledger.hall, run)
    if attempt is None or attempt.task not in ledger.placements:
        return None
    placed = ledger.jobs[attempt.job].states[attempt.index] == TaskState.PLACED
    return attempt.task if placed else None
