"""A scenario modelled on a recorded incident: nearly all hosts die while answers are lost."""

from __future__ import annotations

import asyncio

from linkspan.jobs.spec import JobSpec
from tests.host.overlapping_day import OverlappingDay
from tests.job_builders import step


class RecordedDay(OverlappingDay):
    """Traffic of one seed in full halls, and the faults of the recorded incident.

    Answers of the store are lost; one host is cut off from the store and another one freezes.
    All other hosts are then killed and restart one second later. The store refuses some of
    them, and the frozen host resumes.

    Args:
        seed: Seed of all random choices.
        jobs_per_s: New jobs per second.
    """

    def __init__(self, seed: int, *, jobs_per_s: float = 6.0) -> None:
        super().__init__(seed, hosts_per_hall=2, jobs_per_s=jobs_per_s, troubles=0)

    async def _traffic(self, group: asyncio.TaskGroup) -> None:
        group.create_task(self._inject_recorded_faults())
        await super()._traffic(group)

    def _job(self) -> JobSpec:
        random = self.random
        first = step(random.randint(2, 4), cpu=2_500, estimate_s=random.uniform(0.5, 1.5))
        if random.random() < 0.7:
            later = step(2, cpu=random.choice((1_000, 6_000)), estimate_s=0.6, depends_on=(0,))
            return self.world.new_job(first, later)
        return self.world.new_job(first)

    async def _inject_recorded_faults(self) -> None:
        world, random = self.world, self.random
        names = sorted(world.hosts)
        frozen, cut_off = random.sample(names, 2)
        await asyncio.sleep(random.uniform(3.0, 5.0))
        world.store.lost_answer_share = random.uniform(0.2, 0.8)
        world.store.late = random.random() < 0.5
        world.store.silent.add(cut_off)
        await self.last(2.0, 4.0)
        running = world.hosts[frozen]
        world.freeze_host(frozen)
        await self.last(0.0, 0.5)
        for name in names:
            if name not in (frozen, cut_off):
                world.kill_host(name)
        world.store.lost_answer_share = 0.0
        await self.last(0.7, 1.2)
        for name in names:
            if name not in world.hosts:
                world.start_host(name)
        await self.last(0.2, 1.5)
        world.store.refusing |= set(random.sample(names, random.randint(0, 3)))
        await self.last(0.5, 1.5)
        world.store.refusing.clear()
        world.thaw(running)
        await self.last(0.5, 1.5)
        world.store.silent.discard(cut_off)
