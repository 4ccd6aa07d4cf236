"""An executor whose standing tasks are disturbed by the best-effort work beside them."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from bench.colocation.sheet import Sheet
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorReport,
    RunningTask,
    StartOrder,
    TaskName,
)

WINDOW_S = 0.5
"""Time that a figure covers."""

START_S = 0.5
"""Time from the start of a standing task until it serves."""

RESTORE_S = 0.6
"""Time that a run which resumes from a checkpoint takes to begin."""

STOP_S = 0.2
"""Duration of a stop."""

MAX_PRESSURE = 0.985
"""Pressure at which a latency is cut off."""

BURST_PER_S = 0.008
"""Rate of a standing task's own bursts, which last ``BURST_S`` and add ``BURST_PRESSURE``."""

BURST_S = 1.5
BURST_PRESSURE = 0.16

NOISE = 0.02
"""Standard deviation of a measured pressure."""

INTENSITY_SPREAD = 0.45
MIN_INTENSITY = 0.2
MAX_INTENSITY = 2.0
"""Spread and bounds of the factor on a batch task's effects."""

REFERENCE_CORES = 32.0
"""Size of executor to which effects refer."""


class Effects:
    """Hidden pressure that one core of a batch image adds to a standing image.

    Heavy images press on one resource; standing images are sensitive to one or two resources.

    Args:
        standing: Images of standing tasks.
        batch: Images of batch tasks.
        random: Source of all draws.
    """

    RESOURCES = 3

    def __init__(self, standing: list[str], batch: list[str], random: Random) -> None:
        presses = {image: random.choice((0, 1, 2, None)) for image in batch}
        sensitive = {image: self._resources(random) for image in standing}
        self._effects = {
            (s, b): random.uniform(0.036, 0.07)
            if presses[b] in sensitive[s]
            else random.uniform(0.0, 0.009)
            for s in standing
            for b in batch
        }

    @staticmethod
    def _resources(random: Random) -> frozenset[int]:
        first = random.choices((0, 1, 2), (0.55, 0.2, 0.25))[0]
        more = {random.randrange(3)} if random.random() < 0.25 else set()
        return frozenset({first} | more)

    def of(self, standing: str, batch: str) -> float:
        """Return the pressure that one core of the reference size adds."""
        return self._effects[standing, batch]


@dataclass(slots=True, eq=False)
class Run:
    """A run on an executor.

    Attributes:
        order: Its start.
        milli_cpu: What it demands.
        duration_s: Its duration at full speed; infinite for standing tasks.
        kind: Name of its queue.
        image: Its image.
        phase_s: Phase of a standing task's load.
        begins_at: Time from which it works.
        done_s: Work that is done, as seconds at full speed.
        pace: Ordered share of full speed, 0 to 1.
        burst_until: End of a standing task's burst.
        figures: Figures of the last ticks.
        stops_at: Time at which it ends because it was stopped.
        intensity: Factor on the effects of its image: tasks of one image differ.
    """

    order: StartOrder
    milli_cpu: float
    duration_s: float
    kind: str
    image: str
    phase_s: float
    begins_at: float
    done_s: float = 0.0
    pace: float = 1.0
    burst_until: float = -math.inf
    figures: deque[float] = field(default_factory=lambda: deque(maxlen=10))
    stops_at: float = math.inf
    intensity: float = 1.0

    @property
    def key(self) -> tuple[TaskName, int]:
        """Task and run number."""
        return self.order.task, self.order.run


class Executor:
    """One executor.

    Args:
        name: Its name.
        milli_cpu: Its size.
        sheet: The deployment's work.
        effects: Hidden interference.
        random: Source of noise and bursts.
    """

    def __init__(
        self, name: str, milli_cpu: int, sheet: Sheet, effects: Effects, random: Random
    ) -> None:
        self.name = name
        self.milli_cpu = milli_cpu
        self._sheet = sheet
        self._effects = effects
        self._random = random
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.ended: list[EndedTask] = []
        self.changed = False
        self._number = 0

    def load(self, run: Run, now: float) -> float:
        """Return the load of a standing task, relative to its reservation."""
        sheet = self._sheet
        angle = 2 * math.pi * (now + run.phase_s) / sheet.swing_period_s
        return sheet.load * (1 + sheet.swing * math.sin(angle))

    def advance(self, now: float, tick_s: float) -> tuple[float, float, float]:
        """Let all runs work for one tick.

        Returns:
            Seconds that standing tasks served, and those in which they were over target because of
            best-effort work, and the best-effort work done in core-seconds.
        """
        standing = [r for r in self.runs.values() if r.duration_s == math.inf]
        batch = [r for r in self.runs.values() if r.kind == "batch" and r.begins_at <= now]
        short = [r for r in self.runs.values() if r.kind == "short" and r.begins_at <= now]
        used = sum(r.milli_cpu for r in short)
        loads = []
        for run in standing:
            load = self.load(run, now) if run.begins_at <= now else 0.0
            loads.append(load)
            used += run.milli_cpu * load
        wanted = sum(r.milli_cpu * r.pace for r in batch)
        share = min(1.0, max(self.milli_cpu - used, 0.0) / wanted) if wanted else 1.0
        scale = REFERENCE_CORES / (self.milli_cpu / 1000)
        cores: dict[str, float] = {}
        work = 0.0
        for run in batch:
            speed = run.pace * share
            pressing = run.intensity * run.milli_cpu / 1000 * speed * scale
            cores[run.image] = cores.get(run.image, 0.0) + pressing
            run.figures.append(run.milli_cpu * speed)
            run.done_s += speed * tick_s
            work += run.milli_cpu / 1000 * speed * tick_s
        for run in short:
            run.done_s += tick_s
            run.figures.append(run.milli_cpu)
        served = over = 0.0
        limit = 1.0 - self._sheet.unloaded_ratio
        for run, load in zip(standing, loads, strict=True):
            if run.begins_at > now:
                continue
            if self._random.random() < BURST_PER_S * tick_s:
                run.burst_until = now + BURST_S
            own = load + (BURST_PRESSURE if now < run.burst_until else 0.0)
            added = sum(self._effects.of(run.image, i) * n for i, n in cores.items())
            run.figures.append(min(own + added, MAX_PRESSURE))
            served += tick_s
            if own + added > limit:
                over += tick_s if own <= limit else 0.25 * tick_s
        self._end_finished(now)
        return served, over, work

    def _end_finished(self, now: float) -> None:
        for run in list(self.runs.values()):
            if run.stops_at <= now:
                self._end(run, EndKind.STOPPED)
            elif run.done_s >= run.duration_s:
                self._end(run, EndKind.DONE)

    def _end(self, run: Run, kind: EndKind) -> None:
        del self.runs[run.key]
        self._number += 1
        checkpoint = f"{run.done_s:.3f}" if kind is EndKind.STOPPED else ""
        self.ended.append(EndedTask(self._number, run.order.task, run.order.run, kind, checkpoint))
        self.changed = True

    def add(self, run: Run) -> None:
        """Start a run."""
        drawn = self._random.gauss(1.0, INTENSITY_SPREAD)
        run.intensity = min(max(drawn, MIN_INTENSITY), MAX_INTENSITY)
        self.runs[run.key] = run

    def report(self, now: float, acknowledged: int) -> ExecutorReport:
        """Return the runs and the ends that are not acknowledged."""
        self.ended = [end for end in self.ended if end.number > acknowledged]
        self.changed = False
        rows = tuple(self._row(run, now) for run in self.runs.values())
        return ExecutorReport(now, rows, tuple(self.ended))

    def _row(self, run: Run, now: float) -> RunningTask:
        task, number = run.key
        serving = run.duration_s == math.inf
        if serving:
            progress = 100 if run.begins_at <= now else 50
            figure = self._latency_ms(run) if run.figures else None
            return RunningTask(task, number, "", progress, figure)
        progress = min(int(100 * run.done_s / run.duration_s), 99)
        checkpoint = f"{run.done_s:.3f}" if run.kind == "batch" else ""
        usage = sum(run.figures) / 10 if run.figures else 0.0
        return RunningTask(task, number, checkpoint, progress, usage)

    def _latency_ms(self, run: Run) -> float:
        pressures = list(run.figures)
        mean = sum(pressures) / len(pressures) + self._random.gauss(0.0, NOISE)
        ratio = self._sheet.unloaded_ratio / (1.0 - min(max(mean, 0.0), MAX_PRESSURE))
        return round(ratio * 150.0)
