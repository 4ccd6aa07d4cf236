"""Placement passes: assign queued tasks to feasible workers in order of cost."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple, Protocol

from linkspan.config.document import parse_anti_affinity, parse_labels, parse_quota
from linkspan.model.job import TaskId
from linkspan.model.resources import Resources
from linkspan.placement.policies import Candidate, FirstFit, Policy
from linkspan.placement.queueing import TeamUsage, serving_order
from linkspan.selectors.selector import Selector, parse_selector

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

    from linkspan.config.document import Document
    from linkspan.ledger.job_entry import JobEntry
    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Placed, Resized
    from linkspan.model.job import AttemptId
    from linkspan.model.worker import WorkerSpec
    from linkspan.services.messages import WorkerReport

MAX_PLACEMENTS = 500
"""Limit on the placements of one pass, which bounds its duration."""


class Obstacle(Enum):
    """Reason for which a queued task was not placed."""

    SELECTOR = "no worker matches the selector"
    TOO_LARGE = "no worker is large enough"
    NO_ROOM = "no worker has room now"
    QUOTA = "the team is at its quota"
    COMPANY = "every worker with room holds work that must not run beside it"


class PlacementRules(NamedTuple):
    """Placement rules from the published configuration.

    Attributes:
        quotas: Limits on the resources that a team may reserve at once.
        anti_affinity: Pairs of selectors on job labels whose jobs must not share a
            worker; each pair applies in both directions.
        worker_labels: Published labels by worker, which override the worker's own.
    """

    quotas: Mapping[str, Resources]
    anti_affinity: tuple[tuple[Selector, Selector], ...] = ()
    worker_labels: Mapping[str, Mapping[str, str]] = MappingProxyType({})

    def labels_of(self, worker: WorkerSpec) -> dict[str, str]:
        """Return a worker's own and published labels, with its name and rack."""
        published = self.worker_labels.get(worker.name, {})
        return {**worker.labels, **published, "worker": worker.name, "rack": worker.rack}


def rules_of(document: Document) -> PlacementRules:
    """Return the placement rules of a valid configuration."""
    quotas: dict[str, Resources] = {}
    labels: dict[str, Mapping[str, str]] = {}
    anti_affinity: list[tuple[Selector, Selector]] = []
    for key, value in document.items():
        section, _, name = key.partition("/")
        if section == "quotas":
            quotas[name] = parse_quota(name, value)
        elif section == "labels":
            labels[name] = parse_labels(key, value)
        elif section == "company":
            rule = parse_anti_affinity(name, value)
            anti_affinity.append((parse_selector(rule.work), parse_selector(rule.never_with)))
    return PlacementRules(quotas, tuple(anti_affinity), labels)


class PlacedLine(NamedTuple):
    """A placement, with the figures for the log and for ``explain``.

    Attributes:
        task: The task.
        worker: Ledger number of the chosen worker.
        cost: The policy's cost of the chosen worker.
        candidates: Number of feasible workers.
    """

    task: TaskId
    worker: int
    cost: float
    candidates: int


@dataclass(slots=True)
class PassResult:
    """Result of one placement pass.

    Attributes:
        placed: Placements in order.
        obstacles: Reasons for which jobs have tasks left in the queue, by job number.
    """

    placed: list[PlacedLine] = field(default_factory=list)
    obstacles: dict[int, Obstacle] = field(default_factory=dict)


class Placer(Protocol):
    """Interface of placement towards the scheduler's core."""

    def place(
        self, ledger: Ledger, fit: Collection[int], pending: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield tasks to place, with the ledger numbers of their workers."""

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Handle a worker's report."""

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Handle the end of an attempt that ended by itself."""

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return the tasks to throttle on a worker, with their part of full speed."""

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return and clear the attempts to recall from their workers, with reasons."""

    @property
    def last(self) -> PassResult:
        """Result of the latest pass."""

    def resizes(self, ledger: Ledger) -> Iterable[Resized]:
        """Return new sizes that jobs reserve from now on."""


class PolicyPlacer:
    """Places tasks by a policy, within labels, sizes, quotas and anti-affinity.

    Args:
        policy: Ranks the feasible workers.
        rules: Placement rules from the published configuration.
    """

    def __init__(
        self, policy: Policy | None = None, *, rules: PlacementRules | None = None
    ) -> None:
        self.policy: Policy = policy or FirstFit()
        self.rules = rules or PlacementRules({})
        self._last = PassResult()
        self._unreported: PassResult | None = None

    def __repr__(self) -> str:
        return f"PolicyPlacer({self.policy!r}, placed={len(self._last.placed)})"

    @property
    def last(self) -> PassResult:
        """Result of the latest pass."""
        return self._last

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Ignore the report; placers that learn override this."""

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Ignore the end; placers that learn override this."""

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return no throttles; placers with a guard override this."""
        return ()

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return no recalls; placers with a guard override this."""
        return {}

    def resizes(self, ledger: Ledger) -> Iterable[Resized]:
        """Return no new sizes; placers that learn override this."""
        return ()

    def may_run(self, entry: JobEntry, worker: WorkerSpec) -> bool:
        """Return whether the job's selector and size allow the worker, regardless of its load."""
        selector = parse_selector(entry.spec.selector)
        return selector.matches(self.rules.labels_of(worker)) and entry.size.fits_within(
            worker.size
        )

    def take_result(self) -> PassResult | None:
        """Return the latest pass's result, or None if it was returned before."""
        result, self._unreported = self._unreported, None
        return result

    def place(
        self, ledger: Ledger, fit: Collection[int], pending: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield tasks to place, with the ledger numbers of their workers.

        Args:
            ledger: The hall's ledger.
            fit: Ledger numbers of the workers that may get new work.
            pending: Placements that are decided but not in the ledger yet.
            now: Time in seconds.
        """
        self._last = self._unreported = _Pass(ledger, fit, pending, self.policy, self.rules).run()
        for line in self._last.placed:
            yield line.task, line.worker


class _Pass:
    """State of one pass over the queue."""

    def __init__(
        self,
        ledger: Ledger,
        fit: Collection[int],
        pending: Iterable[Placed],
        policy: Policy,
        rules: PlacementRules,
    ) -> None:
        self._ledger = ledger
        self._policy = policy
        self._rules = rules
        self._free = {number: ledger.workers[number].room for number in fit}
        self._jobs_by_worker: dict[int, Counter[int]] = {}
        self._kinds_by_worker: dict[int, Counter[str]] = {}
        self._usage = TeamUsage.of(ledger, rules.quotas)
        self._placed_indices: defaultdict[int, set[int]] = defaultdict(set)
        for placed in pending:
            self._count(placed.attempt.task, placed.worker)

    def run(self) -> PassResult:
        result = PassResult()
        for entry in serving_order(self._ledger, self._usage):
            self._serve(entry, result)
            if len(result.placed) >= MAX_PLACEMENTS:
                break
        return result

    def _serve(self, entry: JobEntry, result: PassResult) -> None:
        heap, obstacle = self._candidates(entry)
        index = self._next_queued(entry, 0)
        while index >= 0 and len(result.placed) < MAX_PLACEMENTS:
            if not self._usage.allows(entry):
                result.obstacles[entry.number] = Obstacle.QUOTA
                return
            if not heap:
                result.obstacles[entry.number] = obstacle or Obstacle.NO_ROOM
                return
            cost, worker = heapq.heappop(heap)
            task = TaskId(entry.number, index)
            result.placed.append(PlacedLine(task, worker, cost, len(heap) + 1))
            self._count(task, worker)
            next_cost = self._cost(entry, worker)
            if next_cost is not None:
                heapq.heappush(heap, (next_cost, worker))
            index = self._next_queued(entry, index + 1)

    def _next_queued(self, entry: JobEntry, start: int) -> int:
        placed_indices = self._placed_indices[entry.number]
        index = entry.next_queued(start)
        while index in placed_indices:
            index = entry.next_queued(index + 1)
        return index

    def _count(self, task: TaskId, worker: int) -> None:
        entry = self._ledger.jobs.get(task.job)
        if entry is None:
            return
        self._placed_indices[task.job].add(task.index)
        self._usage.add(entry)
        if worker in self._free:
            self._free[worker] -= entry.size
            self._jobs_on(worker)[task.job] += 1
            self._kinds_on(worker)[entry.spec.kind] += 1

    def _jobs_on(self, worker: int) -> Counter[int]:
        """Return the number of tasks by job on a worker, counted on the first call."""
        if worker not in self._jobs_by_worker:
            tasks = self._ledger.workers[worker].tasks
            self._jobs_by_worker[worker] = Counter(task.job for task in tasks)
        return self._jobs_by_worker[worker]

    def _kinds_on(self, worker: int) -> Counter[str]:
        """Return the number of tasks by kind on a worker, counted on the first call."""
        if worker not in self._kinds_by_worker:
            tasks = self._ledger.workers[worker].tasks
            jobs = self._ledger.jobs
            self._kinds_by_worker[worker] = Counter(jobs[task.job].spec.kind for task in tasks)
        return self._kinds_by_worker[worker]

    def _candidates(self, entry: JobEntry) -> tuple[list[tuple[float, int]], Obstacle | None]:
        selector = parse_selector(entry.spec.selector)
        feasible = [worker for worker, room in self._free.items() if entry.size.fits_within(room)]
        if selector.terms:
            feasible = [worker for worker in feasible if selector.matches(self._labels(worker))]
        if not feasible:
            return [], self._obstacle_without_capacity(entry, selector)
        heap = [
            (cost, worker) for worker in feasible if (cost := self._cost(entry, worker)) is not None
        ]
        heapq.heapify(heap)
        return heap, None if heap else Obstacle.COMPANY

    def _obstacle_without_capacity(self, entry: JobEntry, selector: Selector) -> Obstacle:
        matching = [worker for worker in self._free if selector.matches(self._labels(worker))]
        if not matching:
            return Obstacle.SELECTOR
        if not any(
            entry.size.fits_within(self._ledger.workers[worker].spec.size) for worker in matching
        ):
            return Obstacle.TOO_LARGE
        return Obstacle.NO_ROOM

    def _labels(self, worker: int) -> dict[str, str]:
        return self._rules.labels_of(self._ledger.workers[worker].spec)

    def _cost(self, entry: JobEntry, worker: int) -> float | None:
        if not entry.size.fits_within(self._free[worker]) or not self._may_share(entry, worker):
            return None
        size = self._ledger.workers[worker].spec.size
        candidate = Candidate(worker, self._free[worker], size, self._kinds_on(worker))
        return self._policy.cost(entry.spec, entry.size, candidate)

    def _may_share(self, entry: JobEntry, worker: int) -> bool:
        if not self._rules.anti_affinity:
            return True
        others = [
            self._ledger.jobs[job].spec.labels
            for job, count in self._jobs_on(worker).items()
            if count and job in self._ledger.jobs
        ]
        return not any(self._conflicts(entry.spec.labels, labels) for labels in others)

    def _conflicts(self, first: Mapping[str, str], second: Mapping[str, str]) -> bool:
        return any(
            (a.matches(first) and b.matches(second)) or (a.matches(second) and b.matches(first))
            for a, b in self._rules.anti_affinity
        )
