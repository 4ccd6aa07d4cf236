"""A day of drawn troubles with halls nearly full of standing tasks, and a watch over them."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.host.overlapping_day import CALM_S, OverlappingDay
from tests.job_builders import step

STANDING_SHARE = 0.3
"""Share of the jobs whose tasks last, up to the next bound."""

MOST_STANDING = 9
"""Jobs whose tasks last: with these drawn sizes they take about nine tenths of the cores."""

MISPLACED_SHARE = 0.6
"""Share of them that are accepted for any hall, as by a host with old news of the halls' room:
the full ones among these move them away."""

LOSSES = 5
"""Executors that are lost one after the other once the drawn troubles are over."""

LOST_FOR_S = 2.5
"""Time after which another executor takes such a one's place: tasks are lent before."""

WATCH_S = 0.5
"""Time between looks at which tasks are at work."""

SETTLE_S = 8.0
"""Time from the drawn troubles on in which owners may still be found and reports come in."""

IDLE_S = 8.0
"""Longest time for which a task may be away beside room: it may be lent to two other halls
in vain first, each of which keeps it for two seconds, and a takeover may be under way."""

ROOM_FOR = 2
"""Tasks for which there must be room before one that is away counts as forgotten."""


class StandingDay(OverlappingDay):
    """A day in which no standing task that has run is forgotten.

    Args:
        seed: Decides all that is drawn.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._calm_at = float("inf")
        self._away_since: dict[TaskName, float] = {}
        self._told: set[TaskName] = set()

    async def play(self) -> HallWorld:
        """Play the day and return its world, with what was broken."""
        watch = asyncio.create_task(self._watch())
        try:
            return await super().play()
        finally:
            watch.cancel()
            with suppress(asyncio.CancelledError):
                await watch

    def _job(self) -> JobSpec:
        random = self.random
        if self._standing >= MOST_STANDING or random.random() >= STANDING_SHARE:
            return super()._job()
        self._standing += 1
        tasks = step(
            random.randint(3, 6),
            cpu=random.choice((800, 1_500, 2_500)),
            standing=True,
            max_per_executor=random.choice((1, 1, 2)),
        )
        return self.world.new_job(tasks)

    async def _caller(self, spec: JobSpec) -> None:
        if not spec.standing or self.random.random() >= MISPLACED_SHARE:
            await super()._caller(spec)
            return
        world = self.world
        world.specs[spec.job_id] = spec
        hall = self.random.randrange(len(world.halls))
        world.store.put(JOBS, *encode(Submitted(spec, hall, 0.0, "life-x")))
        world.accepted.add(spec.job_id)

    def _start_missing(self) -> None:
        super()._start_missing()
        self._losing = asyncio.create_task(self._lose_executors())

    async def _lose_executors(self) -> None:
        await asyncio.sleep(SETTLE_S / 2)
        for _ in range(LOSSES):
            alive = [a for a, e in self.world.executors.items() if e.alive]
            address = self.random.choice(sorted(alive))
            hall = self.world.executors[address].record.hall
            self.world.crash_executor(address, back=False)
            await asyncio.sleep(LOST_FOR_S)
            self.world.add_executor(hall, address)
        self._calm_at = asyncio.get_running_loop().time()

    async def _ask_for_all(self) -> None:
        """Leave the ends of jobs to other days: in full halls not all of them come in time."""

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            now = asyncio.get_running_loop().time()
            if now >= self._calm_at:
                self._look(now)

    def _look(self, now: float) -> None:
        alive = [e for e in self.world.executors.values() if e.alive]
        at_work = {task for e in alive for task in e.running}
        for task in list(self.world.starts):
            spec = self.world.step_of(task)
            if not spec.standing or task in at_work or not self._has_room(task, spec):
                self._away_since.pop(task, None)
                continue
            since = self._away_since.setdefault(task, now)
            if now - since > IDLE_S and task not in self._told:
                self._told.add(task)
                self.world.violations.append(f"{now:.2f} LOST {task} does not run beside room")

    def _has_room(self, task: TaskName, spec: StepSpec) -> bool:
        slots = 0
        for executor in self.world.executors.values():
            if not executor.alive:
                continue
            like = Counter((t.job_id, t.step) for t in executor.running)
            spread = spec.max_per_executor - like[task.job_id, task.step]
            slots += max(min(executor.free().milli_cpu // spec.demand.milli_cpu, spread), 0)
        return slots >= ROOM_FOR


assert SETTLE_S / 2 + LOSSES * LOST_FOR_S + IDLE_S < CALM_S - WATCH_S
