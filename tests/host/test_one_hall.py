"""Every host, whenever it started, names the same hall for each job.

The failure: in a randomized run, the store forgot its producers and two hosts accepted one job
for two halls. Hosts that had read all records named one hall; hosts that started later, from the
newest record of each key, named the other.

A group of records had been applied, but its answer was lost. It was written again under a new
epoch because the store no longer knew the producer. The second write of a submission had the
key of the first and hid it; between the two stood the other host's submission.

The first test shows this without random choices.
"""

from __future__ import annotations

import asyncio
from random import Random

from linkspan.jobs.job_registry import JOBS, JobRegistry
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import JobSpec
from tests.event_recorder import EventRecorder
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.one_hall import OneHall
from tests.standins.memory_store import MemoryStore, StoreLink
from tests.virtual_time import run_virtual

HALLS = 3

RUNS = 30
"""Number of randomized runs; three of them showed the fault."""

RUN_S = 20.0
"""Duration of a randomized run: long enough for several outages."""


def test_a_submission_that_is_written_again_hides_no_earlier_one() -> None:
    async def play() -> list[str]:
        readers = _Readers(MemoryStore())
        first, second = readers.start("first"), readers.start("second")
        await asyncio.sleep(0.1)
        first.submit(readers.spec(), 0)
        await asyncio.sleep(1.0)
        spec = readers.spec()
        readers.store.lost_answer_share = 1.0
        readers.store.silent.add("second")
        first.submit(spec, 0)
        await asyncio.sleep(0.5)
        readers.store.lost_answer_share = 0.0
        assert second.submit(spec, 1)
        readers.store.silent.clear()
        await asyncio.sleep(0.3)
        readers.store.forget_producers(JOBS)
        await asyncio.sleep(3.0)
        return readers.compare()

    assert run_virtual(play()) == []


def test_readers_of_a_store_that_forgets_name_the_same_halls() -> None:
    """Hosts accept jobs twice, restart and are cut off; the store forgets producers."""

    async def play(seed: int) -> list[str]:
        return await _run_random(_Readers(MemoryStore(seed)), Random(seed))

    assert [(seed, found) for seed in range(RUNS) if (found := run_virtual(play(seed)))] == []


async def _run_random(readers: _Readers, random: Random) -> list[str]:
    store, found = readers.store, []
    names = [f"host-{number}" for number in range(4)]
    for name in names:
        readers.start(name)
    jobs: list[JobSpec] = []
    until = asyncio.get_running_loop().time() + RUN_S
    while asyncio.get_running_loop().time() < until:
        await asyncio.sleep(random.expovariate(8.0))
        name = random.choice(names)
        if random.random() < 0.5 or not jobs:
            jobs.append(readers.spec())
        readers.hosts[name].submit(random.choice(jobs[-3:]), random.randrange(HALLS))
        fault = random.random()
        if fault < 0.05:
            readers.start(name)
        elif fault < 0.1:
            store.forget_producers(JOBS)
        elif fault < 0.13:
            store.forget(JOBS)
        elif fault < 0.18:
            store.silent ^= {name}
        elif fault < 0.25:
            store.lost_answer_share, store.late = random.choice((0.0, 0.6)), random.random() < 0.5
        found += readers.compare()
    store.calm()
    await asyncio.sleep(8.0)
    return found + readers.compare()


class _Reader:
    """A host reduced to its job registry and to what its front end does with the registry."""

    def __init__(self, store: MemoryStore, name: str, incarnation: str) -> None:
        self.job_registry = JobRegistry(StoreLink(store, name), incarnation, EventRecorder())  # type: ignore[arg-type]
        self._incarnation = incarnation
        self._submitting: set[str] = set()
        loops = (self.job_registry.follower.run(), self.job_registry.writer.run())
        self._work = [asyncio.create_task(loop) for loop in loops]

    def kill(self) -> None:
        for task in self._work:
            task.cancel()

    def submit(self, spec: JobSpec, shard: int) -> asyncio.Future[int] | None:
        """Record a job as a front end does: once, and only if the job is unknown."""
        job_id = spec.job_id
        known = job_id in self._submitting or self.job_registry.knows(job_id)
        if known or not self.job_registry.follower.ready:
            return None
        self._submitting.add(job_id)
        write = self.job_registry.write([Submitted(spec, shard, 0.0, self._incarnation)])
        write.add_done_callback(lambda done: self._on_written(job_id, done))
        return write

    def _on_written(self, job_id: str, done: asyncio.Future[int]) -> None:
        self._submitting.discard(job_id)
        if not done.cancelled() and done.exception() is None:
            self.job_registry.note_accepted(job_id, done.result())


class _Readers:
    """Hosts that share a store."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self._world = HallWorld()
        self._judge = OneHall(store)
        self._incarnation_count = 0
        self.hosts: dict[str, _Reader] = {}

    def spec(self) -> JobSpec:
        return self._world.new_job(step(1))

    def start(self, name: str) -> _Reader:
        """Start a host, in place of its previous incarnation if there is one."""
        if name in self.hosts:
            self.hosts[name].kill()
        self._incarnation_count += 1
        self.hosts[name] = _Reader(self.store, name, f"life-{self._incarnation_count}")
        return self.hosts[name]

    def compare(self) -> list[str]:
        return self._judge.compare((name, host.job_registry) for name, host in self.hosts.items())
