"""A random scenario in which the operator removes the queue of running jobs, and owners change.

Some jobs are accepted for a hall without capacity and move as a whole to the other hall.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import Configuration, Queue, Service
from tests.hall_world import HallWorld
from tests.host.later import later
from tests.job_builders import step

HALLS = "east", "west"

FAILING_SHARE = 0.08
"""Share of failing runs: some jobs of a few tasks have one failed run, and hardly any as many as
the queue allows."""

JOB_COUNT = 14
"""Number of jobs that are unfinished when the queue is removed."""

MISPLACED_SHARE = 0.4
"""Share of these jobs that are accepted for the first hall, which has no capacity."""

LONG_S = 12.0
"""Duration of the tasks that fill the first hall until after the queue is removed."""

OWNER_CHANGES = 3
"""Number of owners that end after the queue is removed."""

SETTLED_S = 60.0
"""Time in which all jobs end after the last change of an owner."""


@dataclass
class RemovedQueue:
    """The outcome of a scenario.

    Attributes:
        world: The deployment.
        jobs: The submitted jobs.
        states: Their final states.
    """

    world: HallWorld
    jobs: list[JobSpec]
    states: list[str]

    @property
    def moved(self) -> int:
        """Number of moves of a whole job to the other hall."""
        jobs = {spec.job_id for spec in self.jobs}
        return sum(line["job"] in jobs for line in self.world.log.named("WORK_HANDED_OVER"))


async def removed_queue(seed: int) -> RemovedQueue:
    """Run jobs in two halls, the first of which is full until the queue is removed."""
    random = Random(seed)
    world = HallWorld(
        halls=HALLS, seed=seed, failing_share=FAILING_SHARE, lists_machines=random.random() < 0.5
    )
    await world.begin()
    full = step(3, cpu=world.milli_cpu - 500, estimate_s=LONG_S, max_per_executor=1)
    _accept_for_first(world, world.new_job(full))
    # Until the halls have received each other's announcements.
    await asyncio.sleep(3.0)
    jobs = [_job(world, random) for _ in range(JOB_COUNT)]
    for spec in jobs:
        if random.random() < MISPLACED_SHARE:
            _accept_for_first(world, spec)
        else:
            assert await world.submit(random.choice(sorted(world.hosts)), spec) == 200
        await asyncio.sleep(random.uniform(0.0, 0.1))
    await asyncio.sleep(random.uniform(0.0, 1.0))
    _remove_queue(world)
    for _ in range(OWNER_CHANGES):
        await asyncio.sleep(random.uniform(0.0, 3.0))
        await _change_owner(world, random)
    await asyncio.sleep(SETTLED_S)
    name = next(iter(world.hosts))
    return RemovedQueue(world, jobs, [await world.state(name, spec.job_id) for spec in jobs])


def _job(world: HallWorld, random: Random) -> JobSpec:
    count = random.randint(2, 6)
    first = step(count, cpu=1_000, estimate_s=random.uniform(0.5, 3.0))
    if random.random() < 0.3:
        return world.new_job(first, step(2, depends_on=(0,)))
    return world.new_job(first)


def _accept_for_first(world: HallWorld, spec: JobSpec) -> None:
    """Accept a job for the first hall, as a host with an outdated view of its capacity does."""
    world.specs[spec.job_id] = spec
    world.accepted.add(spec.job_id)
    world.store.put(JOBS, *encode(submitted_record(spec, world.queue)))


def submitted_record(spec: JobSpec, queue: Queue) -> Submitted:
    """Return the record of a job that is accepted for the first hall."""
    return Submitted(spec, 0, time.time(), "life-x", queue.terms)


def _remove_queue(world: HallWorld) -> None:
    version = world.configuration.version + 1
    world.configuration = Configuration(version, {}, {"pool": Service("pool")})
    world.publish()


async def _change_owner(world: HallWorld, random: Random) -> None:
    """Kill the owner of a shard, or stop it in the planned way; it restarts soon after."""
    owner = world.owner(random.randrange(len(HALLS)))
    if owner is None:
        return
    world.record_fault()
    if random.random() < 0.5:
        world.kill_host(owner)
    else:
        await world.remove_host(owner)
    later(random.uniform(0.2, 2.0), _restart_host, world, owner)


def _restart_host(world: HallWorld, name: str) -> None:
    if name not in world.hosts:
        world.start_host(name)
