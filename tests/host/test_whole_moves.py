"""A job that began in one hall is not run again from its first run in another hall.

The failure: run 1 of two tasks of a job ended well in one hall. Nearly all hosts were killed and
restarted; then an owner of another hall that had just started began run 1 of the same tasks. An
owner that takes work over begins at run 16, so the other hall considered the job new, or the job
had moved there whole.

The progress of a job is not durable when its owner crashes. The next owner learns of its runs from
executors, or from the record that the job began. If it misses both and the hall has no capacity,
the job moves whole, and the other hall runs all of it.

The first test and the randomized days fail without the rule that an end counts as a beginning;
the second test failed before the fix without such a change.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Begun, Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.shard.job_run import INHERITED_RUN_GAP
from tests.hall_world import HallWorld
from tests.host.recorded_day import RecordedDay
from tests.job_builders import step
from tests.virtual_time import run_virtual

UNWRITTEN_S = 0.03
"""Time after an acceptance at which the first tasks run and no progress is written yet."""

ENDED_S = 1.4
"""Time by which tasks of one second have ended."""

JOB = "0000000000000002"
"""The second job of each world."""

LONG_S = 60.0
"""Duration of the work that fills the first hall."""


def test_a_job_known_only_by_its_ended_runs_does_not_move() -> None:
    """The job's next step waits for capacity, of which the other hall has enough."""

    async def play() -> HallWorld:
        world = await _fill_first_hall_except(milli_cpu=2_000)
        spec = world.new_job(step(2), step(2, cpu=6_000, depends_on=(0,)))
        owner = world.owner(0)
        assert owner
        _accept(world, spec)
        await asyncio.sleep(UNWRITTEN_S)
        world.store.silent.add(owner)
        await asyncio.sleep(ENDED_S)
        _kill_all(world)
        _start_all(world)
        await asyncio.sleep(8.0)
        return world

    world = run_virtual(play())
    assert sorted((task.step, len(world.starts[task])) for task in world.done) == [
        (0, 1),
        (0, 1),
        (1, 1),
        (1, 1),
    ]
    assert _moved(world) == []
    assert world.problems == []


def test_a_job_whose_beginning_is_on_record_does_not_move() -> None:
    """The job's progress was not written, and no executor reports a run of it."""

    async def play() -> HallWorld:
        world = await _fill_first_hall_except(milli_cpu=500)
        _kill_all(world)
        spec = world.new_job(step(2))
        _accept(world, spec)
        world.store.put(JOBS, *encode(Begun(spec.job_id)))
        _start_all(world)
        await asyncio.sleep(8.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert _moved(world) == []
    placed = [run for f in world.log.named("STEP_PLACED") for run in f["runs"] if f["job"] == JOB]
    assert all(int(run.partition("/")[2]) >= INHERITED_RUN_GAP for run in placed)
    assert len(placed) == 2


@pytest.mark.parametrize("seed", range(4))
def test_a_day_in_the_recorded_fault_pattern_breaks_no_promise(seed: int) -> None:
    assert run_virtual(RecordedDay(seed).play(), limit_s=400.0).problems == []


async def _fill_first_hall_except(*, milli_cpu: int) -> HallWorld:
    """Return a world of two halls; each executor of the first has `milli_cpu` left."""
    world = HallWorld(halls=("east", "west"))
    await world.begin()
    owner = world.owner(0)
    assert owner
    fill = step(3, cpu=world.milli_cpu - milli_cpu, estimate_s=LONG_S, max_per_executor=1)
    await world.submit(owner, world.new_job(fill))
    # Wait until the halls know of each other.
    await asyncio.sleep(3.0)
    return world


def _accept(world: HallWorld, spec: JobSpec) -> None:
    """Record a job as accepted for the first hall."""
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, 0, time.time(), "life-x")))


def _moved(world: HallWorld) -> list[str]:
    """Return the jobs that moved as a whole."""
    return [f["job"] for f in world.log.named("WORK_HANDED_OVER") if f["tasks"] == "all"]


def _kill_all(world: HallWorld) -> None:
    for name in list(world.hosts):
        world.kill_host(name)
    world.store.calm()


def _start_all(world: HallWorld) -> None:
    for name, _ in world.host_names():
        world.start_host(name)
