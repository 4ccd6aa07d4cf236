"""One placement pass: feasible pairs of task and worker, best first."""

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
"""Most placements of one pass, which bounds its time."""


class Obstacle(Enum):
    """Why a queued task was not placed."""

    SELECTOR = "no worker matches the selector"
    TOO_LARGE = "no worker is large enough"
    NO_ROOM = "no worker has room now"
    QUOTA = "the team is at its quota"
    COMPANY = "every worker with room holds work that must not run beside it"


class PlacementRules(NamedTuple):
    """What published configuration says of placement.

    Attributes:
        quotas: The most that a team may use at once.
        company: Pairs of selectors on labels of work that must not share a
            worker; each pair holds in both directions.
        worker_labels: Published labels by worker, over the worker's own.
    """

    quotas: Mapping[str, Resources]
    company: tuple[tuple[Selector, Selector], ...] = ()
    worker_labels: Mapping[str, Mapping[str, str]] = MappingProxyType({})

    def labels_of(self, worker: WorkerSpec) -> dict[str, str]:
        """Return a worker's labels: its own, the published, its name and rack."""
        published = self.worker_labels.get(worker.name, {})
        return {**worker.labels, **published, "worker": worker.name, "rack": worker.rack}


def rules_of(document: Document) -> PlacementRules:
    """Return what a valid configuration says of placement."""
    quotas: dict[str, Resources] = {}
    labels: dict[str, Mapping[str, str]] = {}
    company: list[tuple[Selector, Selector]] = []
    for key, value in document.items():
        section, _, name = key.partition("/")
        if section == "quotas":
            quotas[name] = parse_quota(name, value)
        elif section == "labels":
            labels[name] = parse_labels(key, value)
        elif section == "company":
            rule = parse_anti_affinity(name, value)
            company.append((parse_selector(rule.work), parse_selector(rule.never_with)))
    return PlacementRules(quotas, tuple(company), labels)


class PlacedLine(NamedTuple):
    """A decision for the log line and for ``explain``.

    Attributes:
        task: The task.
        worker: The chosen worker's ledger number.
        cost: The policy's cost of the choice.
        candidates: How many workers could have taken it.
    """

    task: TaskId
    worker: int
    cost: float
    candidates: int


@dataclass(slots=True)
class PassResult:
    """What one pass decided.

    Attributes:
        placed: Placements in order.
        obstacles: For each job with tasks left over, why, by job number.
    """

    placed: list[PlacedLine] = field(default_factory=list)
    obstacles: dict[int, Obstacle] = field(default_factory=dict)


class Placer(Protocol):
    """What the scheduler's core needs of placement."""

    def place(
        self, ledger: Ledger, fit: Collection[int], on_the_way: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield tasks to place with their workers' numbers."""

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Take in what a worker reported."""

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Take in how an attempt ended by itself."""

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return the tasks to hold back on a worker, with their part of full speed."""

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return the attempts that should leave their workers, with reasons, once."""

    @property
    def last(self) -> PassResult:
        """What the latest pass decided."""

    def resizes(self, ledger: Ledger) -> Iterable[Resized]:
        """Return the sizes that jobs should reserve from now on."""


class PolicyPlacer:
    """Places by a policy, within what labels, sizes and quotas allow.

    Args:
        policy: Ranks the feasible workers.
        rules: What published configuration says.
    """

    def __init__(
        self, policy: Policy | None = None, *, rules: PlacementRules | None = None
    ) -> None:
        self.policy: Policy = policy or FirstFit()
        self.rules = rules or PlacementRules({})
        self._last = PassResult()
        self._untaken: PassResult | None = None

    def __repr__(self) -> str:
        return f"PolicyPlacer({self.policy!r}, placed={len(self._last.placed)})"

    @property
    def last(self) -> PassResult:
        """What the latest pass decided."""
        return self._last

    def observe(self, report: WorkerReport, ledger: Ledger, now: float) -> None:
        """Leave the report unused; a placer that learns overrides this."""

    def note_end(self, kind: str, worker: str, *, failed: bool, ledger: Ledger, now: float) -> None:
        """Leave the end unused; a placer that learns overrides this."""

    def throttles(self, number: int) -> Collection[tuple[TaskId, float]]:
        """Return no throttles; a placer that guards overrides this."""
        return ()

    def take_recalls(self) -> dict[AttemptId, str]:
        """Return no recalls; a placer that guards overrides this."""
        return {}

    def resizes(self, ledger: Ledger) -> Iterable[Resized]:
        """Return no new sizes; a placer that learns overrides this."""
        return ()

    def may_run(self, entry: JobEntry, worker: WorkerSpec) -> bool:
        """Return whether the job's selector and size allow the worker at all."""
        selector = parse_selector(entry.spec.selector)
        return selector.matches(self.rules.labels_of(worker)) and entry.size.fits_within(
            worker.size
        )

    def take_result(self) -> PassResult | None:
        """Return the latest pass's result once, for the log."""
        result, self._untaken = self._untaken, None
        return result

    def place(
        self, ledger: Ledger, fit: Collection[int], on_the_way: Iterable[Placed], now: float
    ) -> Iterator[tuple[TaskId, int]]:
        """Yield tasks to place with their workers' numbers.

        Args:
            ledger: The fold.
            fit: Numbers of the workers that may get new work.
            on_the_way: Placements that are decided but not in the fold yet.
            now: Time in seconds.
        """
        self._last = self._untaken = _Pass(ledger, fit, on_the_way, self.policy, self.rules).run()
        for line in self._last.placed:
            yield line.task, line.worker


class _Pass:
    """State of one pass over the queue."""

    def __init__(
        self,
        ledger: Ledger,
        fit: Collection[int],
        on_the_way: Iterable[Placed],
        policy: Policy,
        rules: PlacementRules,
    ) -> None:
        self._ledger = ledger
        self._policy = policy
        self._rules = rules
        self._room = {number: ledger.workers[number].room for number in fit}
        self._jobs: dict[int, Counter[int]] = {}
        self._kinds: dict[int, Counter[str]] = {}
        self._usage = TeamUsage.of(ledger, rules.quotas)
        self._taken: defaultdict[int, set[int]] = defaultdict(set)
        for placed in on_the_way:
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
            again = self._cost(entry, worker)
            if again is not None:
                heapq.heappush(heap, (again, worker))
            index = self._next_queued(entry, index + 1)

    def _next_queued(self, entry: JobEntry, start: int) -> int:
        taken = self._taken[entry.number]
        index = entry.next_queued(start)
        while index in taken:
            index = entry.next_queued(index + 1)
        return index

    def _count(self, task: TaskId, worker: int) -> None:
        entry = self._ledger.jobs.get(task.job)
        if entry is None:
            return
        self._taken[task.job].add(task.index)
        self._usage.add(entry)
        if worker in self._room:
            self._room[worker] -= entry.size
            self._jobs_on(worker)[task.job] += 1
            self._kinds_on(worker)[entry.spec.kind] += 1

    def _jobs_on(self, worker: int) -> Counter[int]:
        """Return the number of tasks by job on a worker, counted when first asked."""
        if worker not in self._jobs:
            tasks = self._ledger.workers[worker].tasks
            self._jobs[worker] = Counter(task.job for task in tasks)
        return self._jobs[worker]

    def _kinds_on(self, worker: int) -> Counter[str]:
        """Return the number of tasks by kind on a worker, counted when first asked."""
        if worker not in self._kinds:
            tasks = self._ledger.workers[worker].tasks
            jobs = self._ledger.jobs
            self._kinds[worker] = Counter(jobs[task.job].spec.kind for task in tasks)
        return self._kinds[worker]

    def _candidates(self, entry: JobEntry) -> tuple[list[tuple[float, int]], Obstacle | None]:
        selector = parse_selector(entry.spec.selector)
        roomy = [w for w, room in self._room.items() if entry.size.fits_within(room)]
        if selector.terms:
            roomy = [w for w in roomy if selector.matches(self._labels(w))]
        if not roomy:
            return [], self._why_no_room(entry, selector)
        heap = [(cost, w) for w in roomy if (cost := self._cost(entry, w)) is not None]
        heapq.heapify(heap)
        return heap, None if heap else Obstacle.COMPANY

    def _why_no_room(self, entry: JobEntry, selector: Selector) -> Obstacle:
        matching = [w for w in self._room if selector.matches(self._labels(w))]
        if not matching:
            return Obstacle.SELECTOR
        if not any(entry.size.fits_within(self._ledger.workers[w].spec.size) for w in matching):
            return Obstacle.TOO_LARGE
        return Obstacle.NO_ROOM

    def _labels(self, worker: int) -> dict[str, str]:
        return self._rules.labels_of(self._ledger.workers[worker].spec)

    def _cost(self, entry: JobEntry, worker: int) -> float | None:
        if not entry.size.fits_within(self._room[worker]) or not self._may_share(entry, worker):
            return None
        size = self._ledger.workers[worker].spec.size
        candidate = Candidate(worker, self._room[worker], size, self._kinds_on(worker))
        return self._policy.cost(entry.spec, entry.size, candidate)

    def _may_share(self, entry: JobEntry, worker: int) -> bool:
        if not self._rules.company:
            return True
        others = [
            self._ledger.jobs[job].spec.labels
            for job, count in self._jobs_on(worker).items()
            if count and job in self._ledger.jobs
        ]
        return not any(self._clash(entry.spec.labels, labels) for labels in others)

    def _clash(self, first: Mapping[str, str], second: Mapping[str, str]) -> bool:
        return any(
            (a.matches(first) and b.matches(second)) or (a.matches(second) and b.matches(first))
            for a, b in self._rules.company
        )
