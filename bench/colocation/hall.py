"""One hall: the product's core, planner and pacer on simulated executors."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from bench.colocation.executor import RESTORE_S, START_S, STOP_S, Effects, Executor, Run
from bench.colocation.sheet import BATCH, SHORT, STANDING, DrawnJob, JobSource, Sheet
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand
from linkspan.model.configuration import Configuration, Queue, Service
from linkspan.model.settings import Bounds
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import (
    ExecutorRecord,
    PaceOrder,
    StartAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from linkspan.shard.planning.planner import Planner

TICK_S = 0.05
LEAD_S = 8.0
"""Time from the start of the first jobs until the traffic begins."""

POLL_S = 0.55
"""Interval between reports of an executor without ends."""

END_REPORT_S = 0.05
"""Interval between reports of an executor with ends."""

WORTH = {SHORT: 0.32, BATCH: 1.57, STANDING: 0.327}
"""Worth of a job of mean work that ends in time, and of a standing job for two seconds."""

LATE_SHARE = 0.15
"""Share of its worth that a job earns which ends late, up to three times its objective."""

OVER_FACTOR = 4.0
"""Weight of the share of standing tasks that best-effort work keeps over their target."""

STRETCH = {SHORT: 1.5, BATCH: 2.0, STANDING: 2.2}
TARGET_S = {SHORT: 0.25, BATCH: 1.0, STANDING: 2.5}
QUEUES = {
    name: Queue(
        name,
        "host",
        f"/{name}/",
        "pool",
        priority=2 if name == BATCH else 0,
        max_attempts=4,
        stretch=STRETCH[name],
        target_s=TARGET_S[name],
    )
    for name in (SHORT, BATCH, STANDING)
}


@dataclass
class Figures:
    """What a day earned.

    Attributes:
        owed: Worth that was owed, by queue.
        earned: Worth that was earned, by queue.
        served_s: Seconds for which standing tasks served.
        over_s: Seconds of these over target because of best-effort work.
        batch_core_s: Best-effort work done, in core-seconds.
        late: Batch jobs that ended late.
        in_time: Batch jobs that ended in time.
        batch: Batch jobs.
        stopped: Runs that were stopped.
        runs: Runs that were started.
        paces: Pace orders.
        largest_owed: Worth of the largest tenth of the batch jobs.
        largest_earned: What these earned.
    """

    owed: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    earned: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    served_s: float = 0.0
    over_s: float = 0.0
    batch_core_s: float = 0.0
    late: int = 0
    in_time: int = 0
    batch: int = 0
    stopped: int = 0
    runs: int = 0
    paces: int = 0
    largest_owed: float = 0.0
    largest_earned: float = 0.0

    def share(self, queue: str) -> float:
        """Return the share of what a queue is owed that it earned."""
        return self.earned[queue] / max(self.owed[queue], 1e-9)

    @property
    def whole(self) -> float:
        """Share of everything that is owed."""
        return sum(self.earned.values()) / max(sum(self.owed.values()), 1e-9)


@dataclass(slots=True)
class _Sent:
    """A job that was accepted."""

    drawn: DrawnJob
    at: float
    phase_s: float
    done_at: float = math.inf
    windows: dict[int, tuple[float, float]] = field(default_factory=dict)


class Hall:
    """A hall and one day of its work.

    Args:
        sheet: The deployment's work.
        seed: Seed of all draws; the draws of work do not depend on decisions.
        seconds: Duration of the traffic.
        surge: Factor on the rate of batch jobs in the middle third of the day.
    """

    def __init__(
        self, sheet: Sheet, seed: int, *, seconds: float = 34.0, surge: float = 1.0
    ) -> None:
        self._sheet = sheet
        self._seconds = seconds
        self._surge = surge
        self._work_random = Random(f"work {seed}")
        noise = Random(f"noise {seed}")
        self._source = JobSource(sheet, self._work_random)
        effects = Effects(
            self._source.standing_images, self._source.batch_images, Random(f"effects {seed}")
        )
        sizes = [sheet.milli_cpu, sheet.milli_cpu, sheet.milli_cpu * 3 // 2]
        self.executors = {
            f"e{n}": Executor(f"e{n}", sizes[n % 3], sheet, effects, noise)
            for n in range(sheet.executors)
        }
        self.core = ShardCore(0, Bounds(), token=1)
        services = {"pool": Service("pool")}
        self.core.configure(Configuration(1, QUEUES, services))
        records = [
            ExecutorRecord(
                e.name,
                "pool",
                f"{e.name}:1",
                "east",
                Demand(e.milli_cpu, sheet.memory_mb * e.milli_cpu // sheet.milli_cpu),
                frozenset(),
            )
            for e in self.executors.values()
        ]
        self.core.list_executors(records, 0.0)
        for state in self.core.executors.values():
            state.rostered = True
        self._pacer = Pacer(self.core, self.core.interference)
        self._planner = Planner(self.core)
        self._next_report = {name: 0.01 * n for n, name in enumerate(self.executors)}
        self._jobs: dict[str, _Sent] = {}
        self.figures = Figures()
        self._arrivals = self._draw_arrivals()

    def _draw_arrivals(self) -> list[tuple[float, DrawnJob, float]]:
        """Return the times, jobs and phases of the day, in order."""
        random, sheet = self._work_random, self._sheet
        arrivals = [
            (random.uniform(0.5, 1.5), self._source.standing(), random.uniform(0.0, 60.0))
            for _ in range(sheet.standing_jobs)
        ]
        arrivals += [
            (random.uniform(0.5, 1.5), self._source.batch(), 0.0) for _ in range(sheet.batch_jobs)
        ]
        begin = LEAD_S
        phase = random.uniform(0.0, 11.0)

        def rate(queue: str, at: float) -> float:
            wave = 1 + sheet.wave * math.sin(2 * math.pi * (at + phase) / 11.0)
            middle = begin + self._seconds / 3 <= at < begin + self._seconds * 2 / 3
            surge = self._surge if middle and queue == BATCH else 1.0
            per_s = {SHORT: sheet.short_per_s, BATCH: sheet.batch_per_s}
            return wave * surge * per_s.get(queue, sheet.standing_per_s)

        draws = {SHORT: self._source.short, BATCH: self._source.batch}
        for queue in (SHORT, BATCH, STANDING):
            at = begin
            while True:
                at += random.expovariate(rate(queue, at))
                if at > begin + self._seconds:
                    break
                draw = draws.get(queue, self._source.standing)
                arrivals.append((at, draw(), random.uniform(0.0, 60.0)))
        return sorted(arrivals, key=lambda row: row[0])

    def play(self) -> Figures:
        """Play the day and return what it earned."""
        now, end = 0.0, LEAD_S + self._seconds + 25.0
        waiting = list(self._arrivals)
        while now < end:
            now = round(now + TICK_S, 6)
            while waiting and waiting[0][0] <= now:
                self._submit(*waiting.pop(0), now)
            self._work(now)
            self._report(now)
            self._plan(now)
        self._settle(end)
        return self.figures

    def _submit(self, _at: float, drawn: DrawnJob, phase_s: float, now: float) -> None:
        self._jobs[drawn.spec.job_id] = _Sent(drawn, now, phase_s)
        self.core.add_job(Submitted(drawn.spec, 0, now, "host"), now)

    def _work(self, now: float) -> None:
        standing: dict[str, list[float]] = {}
        limit = 1.0 - self._sheet.unloaded_ratio
        for executor in self.executors.values():
            served, over, work = executor.advance(now, TICK_S)
            self.figures.served_s += served
            self.figures.over_s += over
            self.figures.batch_core_s += work
            for run in executor.runs.values():
                if run.kind == STANDING and run.begins_at <= now:
                    row = standing.setdefault(run.order.task.job_id, [0.0, 0.0])
                    row[0] += 1
                    own = executor.load(run, now)
                    row[1] += run.figures[-1] > limit >= own
        window = int(now // 2.0)
        for job_id, (at_work, over) in standing.items():
            job = self._jobs[job_id]
            before = job.windows.get(window, (0.0, 0.0))
            job.windows[window] = (before[0] + at_work * TICK_S, before[1] + over * TICK_S)

    def _report(self, now: float) -> None:
        for name, executor in self.executors.items():
            due = self._next_report[name]
            if executor.changed:
                due = min(due, now + END_REPORT_S - TICK_S)
            if now < due:
                continue
            self._next_report[name] = now + (END_REPORT_S if executor.changed else POLL_S)
            state = self.core.executors[name]
            report = executor.report(now, state.acknowledged)
            self.core.on_report(name, report, asked=now - 0.004, now=now)
            waited = now - state.usage_applied_at
            if waited >= 0.25:
                state.usage_applied_at = now
                self._pacer.on_report(state, now, now)
            self._make_durable()
            state.advance_acknowledged(now)

    def _make_durable(self) -> None:
        for run in self.core.dirty.values():
            run.durable = run.version
        self.core.dirty.clear()
        finished, self.core.finished = self.core.finished, []
        for record in finished:
            job = self._jobs[record.job_id]
            job.done_at = min(job.done_at, self._now)
            self.core.on_finished(record.job_id)

    def _plan(self, now: float) -> None:
        self._now = now
        self.core.tick(now)
        self._planner.plan(now, now)
        self._make_durable()
        orders, self.core.orders = self.core.orders, []
        self.core.start_ordered.clear()
        self.core.begun.clear()
        for order in orders:
            executor = self.executors[order.executor_id]
            if isinstance(order, StartOrder):
                self._start(executor, order, now)
            elif isinstance(order, StopOrder):
                run = executor.runs.get((order.task, order.run))
                if run:
                    run.stops_at = min(run.stops_at, now + STOP_S)
                    self.figures.stopped += 1
                self.core.on_stopped(order, True, now)
            elif isinstance(order, PaceOrder):
                run = executor.runs.get((order.task, order.run))
                if run:
                    run.pace = order.percent / 100
                    self.figures.paces += 1

    def _start(self, executor: Executor, order: StartOrder, now: float) -> None:
        job = self._jobs[order.task.job_id]
        spec = job.drawn.spec.steps[order.task.step]
        duration_s = job.drawn.durations_s[order.task.step][order.task.index]
        delay_s = START_S if spec.standing else 0.02
        run = Run(
            order,
            spec.demand.milli_cpu,
            duration_s,
            job.drawn.spec.queue,
            spec.image,
            job.phase_s,
            now + delay_s,
        )
        if order.checkpoint:
            run.done_s = float(order.checkpoint)
            run.begins_at += RESTORE_S
        executor.add(run)
        self.figures.runs += 1
        self.core.on_start_sent(order, now)
        self.core.on_started(order, StartAnswer(StartOutcome.STARTED, now), now)

    def _settle(self, end: float) -> None:
        """Add up what each job earned."""
        figures = self.figures
        mean = {}
        for queue in (SHORT, BATCH):
            work = [j.drawn.core_s for j in self._jobs.values() if j.drawn.spec.queue == queue]
            mean[queue] = sum(work) / max(len(work), 1)
        batch = sorted(j.drawn.core_s for j in self._jobs.values() if j.drawn.spec.queue == BATCH)
        large = batch[int(0.9 * len(batch))] if batch else 0.0
        for job in self._jobs.values():
            queue = job.drawn.spec.queue
            if queue == STANDING:
                self._settle_standing(job, end)
                continue
            size = min(0.3 + 0.7 * job.drawn.core_s / mean[queue], 4.0)
            worth = WORTH[queue] * size
            objective_s = STRETCH[queue] * job.drawn.chain_s + TARGET_S[queue]
            took_s = job.done_at - job.at
            in_time, late = took_s <= objective_s, took_s <= 3 * objective_s
            earned = worth if in_time else LATE_SHARE * worth if late else 0.0
            figures.owed[queue] += worth
            figures.earned[queue] += earned
            if queue == BATCH:
                figures.batch += 1
                figures.in_time += in_time
                figures.late += late and not in_time
                if job.drawn.core_s >= large:
                    figures.largest_owed += worth
                    figures.largest_earned += earned

    def _settle_standing(self, job: _Sent, end: float) -> None:
        count = job.drawn.spec.steps[0].count
        first = math.ceil(max(job.at + 2.0, LEAD_S) / 2.0)
        last = int((LEAD_S + self._seconds) / 2.0)
        for window in range(first, last):
            at_work, over = job.windows.get(window, (0.0, 0.0))
            share = (at_work - OVER_FACTOR * over) / (2.0 * count)
            self.figures.owed[STANDING] += WORTH[STANDING]
            self.figures.earned[STANDING] += WORTH[STANDING] * max(share, 0.0)
