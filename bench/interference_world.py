"""Simulates workers with interference that policies must learn from delayed, noisy reports.

24 workers in 3 halls, 8 to a rack, each run a task of the main service; batch tasks of
eight kinds fill the remaining resources. The latency that a batch task adds to a service
depends on both and on the load, and is hidden from the policies.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from linkspan.model.resources import NO_RESOURCES, Resources

TICK_S = 1.0
WORKERS = 24
SIZE = Resources(32_000, 125_000)
SERVICE_SIZE = Resources(8_000, 16_000)
KINDS = tuple(f"kind-{n}" for n in range(8))
REPORT_EVERY_S = 5.0
URGENT_EVERY_S = 40.0
CHECKPOINT_S = 60.0


class Deployment(NamedTuple):
    """A customer's services, and whether tail latency takes priority over throughput."""

    name: str
    services: tuple[str, ...]
    tail_first: bool


DEPLOYMENTS = (
    Deployment("borne-breizh", ("finder-api", "station-feed"), True),
    Deployment("pedal-nordeste", ("balcao", "price-check"), False),
)


class Report(NamedTuple):
    """A measurement on a worker, with its times of measurement and arrival."""

    arrives: float
    measured: float
    worker: int
    service: str
    load: float
    latency: float
    used: tuple[tuple[int, Resources], ...]


@dataclass
class Task:
    """A batch or urgent task with its hidden actual size and duration."""

    number: int
    kind: str
    declared: Resources
    true_size: Resources
    work_s: float
    urgent: bool = False
    arrived: float = 0.0
    done_s: float = 0.0
    saved_s: float = 0.0
    reserved: Resources = NO_RESOURCES
    throttled: bool = False
    placed_at: float = 0.0
    has_started: bool = False

    @property
    def at_risk_s(self) -> float:
        """Work since the last checkpoint, in seconds."""
        return self.done_s - self.saved_s


@dataclass
class Figures:
    """Totals of a run."""

    bad: dict[tuple[int, int], bool] = field(default_factory=dict)
    intervals: int = 0
    over: int = 0
    work_s: float = 0.0
    finished: int = 0
    evicted: int = 0
    lost_s: float = 0.0
    failed: int = 0
    overcommitted: int = 0
    urgent_waits: list[float] = field(default_factory=list)


class World:
    """The workers, their tasks and their actual interference."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(f"{deployment.name}-{seed}")
        self.now = 0.0
        self.tasks: list[dict[int, Task]] = [{} for _ in range(WORKERS)]
        self.services = [self._services_on(n) for n in range(WORKERS)]
        self.figures = Figures()
        self.urgent: list[Task] = []
        self.failing = {self.random.randrange(WORKERS): (400.0, 800.0)}
        self.waves = [self.random.uniform(100, 1_400) for _ in range(2)]
        self.served: dict[str, float] = dict.fromkeys(KINDS, 0.0)
        self._reports: list[Report] = []
        self._numbers = 0
        self._phase = {s: self.random.uniform(0, 6.28) for s in deployment.services}
        self._effects = {s: self._hidden_effects() for s in deployment.services}
        self._shapes = {kind: self._hidden_shape() for kind in KINDS}
        self._bursts = [
            (self.random.uniform(0, 1_500), self.random.choice(deployment.services))
            for _ in range(4)
        ]
        self._next_urgent = URGENT_EVERY_S

    def _services_on(self, worker: int) -> tuple[str, ...]:
        main, second = self.deployment.services
        return (main, second) if worker % 3 == 0 else (main,)

    def _hidden_effects(self) -> dict[str, float]:
        draw = self.random.uniform
        effects = [draw(0.005, 0.025) for _ in range(4)]
        effects += [draw(0.05, 0.1) for _ in range(2)] + [draw(0.18, 0.35) for _ in range(2)]
        self.random.shuffle(effects)
        return dict(zip(KINDS, effects, strict=True))

    def _hidden_shape(self) -> tuple[Resources, float]:
        cores = self.random.choice((1_000, 2_000, 3_000, 4_000))
        size = Resources(cores, cores * self.random.choice((2, 3)))
        return size, math.exp(self.random.uniform(math.log(0.25), math.log(4.0)))

    # Methods that policies may use.

    def new_task(self, kind: str) -> Task:
        """Return the next queued task of a kind; the queue is never empty."""
        self._numbers += 1
        size, factor = self._shapes[kind]
        declared = Resources(
            max(500, int(size.milli_cpu * factor)), max(500, int(size.memory_mb * factor))
        )
        work = self.random.lognormvariate(math.log(150), 0.7)
        fits = Resources(min(declared.milli_cpu, 12_000), min(declared.memory_mb, 50_000))
        return Task(self._numbers, kind, fits, size, work)

    def room(self, worker: int) -> Resources:
        """Return the unreserved resources of a worker."""
        reserved_total = SERVICE_SIZE.times(len(self.services[worker]))
        for task in self.tasks[worker].values():
            reserved_total += task.reserved
        return SIZE - reserved_total

    def place(self, worker: int, task: Task, reserved: Resources) -> None:
        """Start a task on a worker."""
        task.reserved, task.placed_at = reserved, self.now
        if not reserved.fits_within(self.room(worker)):
            self.figures.overcommitted += 1
        self.tasks[worker][task.number] = task
        if task.urgent and not task.has_started:
            self.figures.urgent_waits.append(self.now - task.arrived)
        task.has_started = True

    def evict(self, worker: int, number: int) -> Task:
        """Stop a task after an attempt to checkpoint it, which fails one time in four."""
        task = self.tasks[worker].pop(number)
        if self.random.random() < 0.75:
            task.saved_s = task.done_s
        self.figures.evicted += 1
        self.figures.lost_s += task.at_risk_s
        self.figures.work_s -= task.at_risk_s * task.true_size.milli_cpu / 1_000
        task.done_s = task.saved_s
        task.throttled = False
        return task

    def reports(self) -> list[Report]:
        """Remove and return the reports that have arrived."""
        due = [report for report in self._reports if report.arrives <= self.now]
        self._reports = [report for report in self._reports if report.arrives > self.now]
        return due

    # Actual state, hidden from policies other than the oracle.

    def load(self, service: str) -> float:
        """Return the actual load of a service."""
        base = 0.5 + 0.2 * math.sin(self.now / 300 + self._phase[service])
        burst = any(s == service and at <= self.now < at + 150 for at, s in self._bursts)
        return min(1.0, base + (0.25 if burst else 0.0))

    def latency(self, worker: int, service: str) -> float:
        """Return the actual latency of a service on a worker, relative to its target."""
        load = self.load(service)
        wave_factor = 1.4 if any(at <= self.now < at + 120 for at in self.waves) else 1.0
        added = sum(
            self._effects[service][task.kind] * (0.4 if task.throttled else 1.0)
            for task in self.tasks[worker].values()
        )
        return 0.42 + 0.3 * load + added * wave_factor * (0.4 + 0.8 * load)

    def added_latency(self, worker: int, service: str, kind: str, load: float) -> float:
        """Return the relative latency that one more task of a kind adds, for the oracle."""
        return self._effects[service][kind] * (0.4 + 0.8 * load)

    def advance(self) -> list[tuple[int, Task, bool]]:
        """Advance by one tick; return the tasks that ended and whether they failed."""
        self.now += TICK_S
        ended = [e for worker in range(WORKERS) for e in self._run_worker(worker)]
        for worker in range(WORKERS):
            for service in self.services[worker]:
                over = self.latency(worker, service) > 1.0
                self.figures.intervals += 1
                self.figures.over += over
        if self.now % REPORT_EVERY_S < TICK_S:
            self._measure()
        if self.now >= self._next_urgent:
            self._next_urgent += self.random.expovariate(1 / URGENT_EVERY_S)
            task = self.new_task(self.random.choice(KINDS))
            task.urgent, task.arrived, task.work_s = True, self.now, 60.0
            self.urgent.append(task)
        return ended

    def _run_worker(self, worker: int) -> list[tuple[int, Task, bool]]:
        ended = []
        fails_from, fails_until = self.failing.get(worker, (0.0, 0.0))
        for number, task in list(self.tasks[worker].items()):
            speed = 0.4 if task.throttled else 1.0
            task.done_s += TICK_S * speed
            self.figures.work_s += TICK_S * speed * task.true_size.milli_cpu / 1_000
            self.served[task.kind] += TICK_S * speed
            if task.done_s - task.saved_s >= CHECKPOINT_S:
                task.saved_s = task.done_s
            fails = fails_from <= self.now < fails_until and self.now - task.placed_at >= 5.0
            if fails or task.done_s >= task.work_s:
                del self.tasks[worker][number]
                self.figures.failed += fails
                self.figures.finished += not fails
                if fails:
                    self.figures.work_s -= task.at_risk_s * task.true_size.milli_cpu / 1_000
                ended.append((worker, task, fails))
        return ended

    def _measure(self) -> None:
        for worker in range(WORKERS):
            used = tuple((t.number, t.true_size) for t in self.tasks[worker].values())
            for service in self.services[worker]:
                if self.random.random() < 0.03:
                    continue
                noise = self.random.gauss(1.0, 0.04)
                arrives = self.now + self.random.uniform(5.0, 30.0)
                report = Report(
                    arrives,
                    self.now,
                    worker,
                    service,
                    min(1.0, max(0.0, self.load(service) + self.random.gauss(0, 0.03))),
                    self.latency(worker, service) * noise,
                    used,
                )
                copies = 2 if self.random.random() < 0.02 else 1
                self._reports += [report] * copies
