"""A worker with the guarantees of docs/PLATFORM.md, and a witness of all its attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from linkspan.model.resources import NO_RESOURCES, Resources
from linkspan.model.worker import WorkerSpec
from linkspan.services.messages import (
    AttemptKey,
    ClosedAttempt,
    ExchangeRequest,
    StartCommand,
    UsageSample,
    WorkerReport,
)


@dataclass
class Witness:
    """Observes the attempts on all workers, and records violations."""

    running: dict[str, tuple[str, int]] = field(default_factory=dict)
    begun: dict[str, int] = field(default_factory=dict)
    completed: dict[str, int] = field(default_factory=dict)
    resumed_from: dict[str, list[str]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    attempts: set[tuple[str, int]] = field(default_factory=set)

    def begin(self, worker: str, start: StartCommand) -> None:
        """Record that an attempt starts on a worker, and check that it may."""
        task = f"{start.job_id}/{start.index}"
        if task in self.running:
            self.violations.append(f"{task}: {start.run} on {worker} beside {self.running[task]}")
        if (task, start.run.attempt) in self.attempts:
            self.violations.append(f"{task}: attempt {start.run.attempt} begins again on {worker}")
        self.attempts.add((task, start.run.attempt))
        self.running[task] = (worker, start.run.attempt)
        self.begun[task] = self.begun.get(task, 0) + 1
        self.resumed_from.setdefault(task, []).append(start.checkpoint)

    def end(self, worker: str, start: StartCommand, *, completed: bool) -> None:
        """Record that an attempt has ended."""
        task = f"{start.job_id}/{start.index}"
        if self.running.get(task) == (worker, start.run.attempt):
            del self.running[task]
        if completed:
            self.completed[task] = self.completed.get(task, 0) + 1

    def check_capacity(self, worker: str, used: Resources, size: Resources) -> None:
        """Check that the resources in use on a worker fit its size."""
        if not used.fits_within(size):
            self.violations.append(f"{worker} holds {used} of {size}")


@dataclass
class _Run:
    start: StartCommand
    lease_until: float
    ends_at: float
    speed: float = 1.0


@dataclass
class FakeWorker:
    """A worker with its own clock.

    ``run_s`` returns the duration of an attempt, ``fails`` whether it ends as failed.
    ``offset`` and ``rate`` define the worker's clock relative to the time of the test.
    """

    spec: WorkerSpec
    witness: Witness
    run_s: Callable[[StartCommand], float]
    fails: Callable[[StartCommand], bool] = lambda start: False
    offset: float = 0.0
    rate: float = 1.0
    leaving: bool = False
    runs: dict[AttemptKey, _Run] = field(default_factory=dict)
    closed: dict[AttemptKey, ClosedAttempt] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)

    def clock(self, now: float) -> float:
        """Return the reading of the worker's clock at the test's time ``now``."""
        return self.offset + now * self.rate

    def tick(self, now: float) -> None:
        """End the attempts that are finished or whose leases have expired."""
        clock = self.clock(now)
        for run in list(self.runs.values()):
            if run.lease_until <= clock and run.lease_until < run.ends_at:
                self._close(run, ended=False, failed=False, checkpoint=self._checkpoint(run))
            elif run.ends_at <= clock:
                self._close(run, ended=True, failed=self.fails(run.start), checkpoint="")

    def restart(self) -> None:
        """Restart without state, as a new incarnation."""
        for run in self.runs.values():
            self.witness.end(self.spec.name, run.start, completed=False)
        self.runs.clear()
        self.closed.clear()
        self.highest.clear()
        self.spec = replace(self.spec, incarnation=self.spec.incarnation + 1)

    def exchange(self, orders: ExchangeRequest, now: float) -> WorkerReport:
        """Apply the orders for this incarnation, and return a report."""
        self.tick(now)
        if orders.incarnation == self.spec.incarnation:
            self._apply_orders(orders, now)
        clock = self.clock(now)
        return WorkerReport(
            spec=self.spec,
            clock=clock,
            leaving=self.leaving,
            running=tuple(self.runs),
            closed=tuple(self.closed.values()),
            usage=tuple(
                UsageSample(key, clock, run.start.size, 0.0) for key, run in self.runs.items()
            ),
        )

    def _apply_orders(self, orders: ExchangeRequest, now: float) -> None:
        clock = self.clock(now)
        for key in orders.acknowledged:
            self.closed.pop(key, None)
        for key in orders.stops:
            self._stop(key)
        for key in orders.renew:
            if key in self.runs:
                run = self.runs[key]
                run.lease_until = max(run.lease_until, orders.lease_until)
        if clock <= orders.lease_until:
            for start in orders.starts:
                self._start(start, orders.lease_until, clock)

    def _start(self, start: StartCommand, lease_until: float, clock: float) -> None:
        key = start.run
        if key.attempt <= self.highest.get(key.task, 0):
            return
        self.highest[key.task] = key.attempt
        used = sum((run.start.size for run in self.runs.values()), NO_RESOURCES)
        if not (used + start.size).fits_within(self.spec.size):
            self.closed[key] = ClosedAttempt(key, False, False, False, "")
            return
        self.witness.begin(self.spec.name, start)
        self.witness.check_capacity(self.spec.name, used + start.size, self.spec.size)
        self.runs[key] = _Run(start, lease_until, clock + self.run_s(start))

    def _stop(self, key: AttemptKey) -> None:
        run = self.runs.get(key)
        if run is not None:
            self._close(run, ended=False, failed=False, checkpoint=self._checkpoint(run))
        elif key not in self.closed:
            self.highest[key.task] = max(self.highest.get(key.task, 0), key.attempt)
            self.closed[key] = ClosedAttempt(key, False, False, False, "")

    def _checkpoint(self, run: _Run) -> str:
        return f"checkpoint-{run.start.run.attempt}"

    def _close(self, run: _Run, *, ended: bool, failed: bool, checkpoint: str) -> None:
        key = run.start.run
        del self.runs[key]
        self.witness.end(self.spec.name, run.start, completed=ended and not failed)
        self.closed[key] = ClosedAttempt(key, ended, failed, True, checkpoint)
