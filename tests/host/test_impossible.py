"""Jobs with a step that fits no known executor are refused on submission, and no other jobs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from linkspan.host.admission.oversized import oversized_step
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

SIZES = st.builds(
    Demand,
    milli_cpu=st.integers(0, 4).map(lambda n: 1_000 * n),
    memory_mb=st.integers(0, 4).map(lambda n: 1_000 * n),
    gpus=st.integers(0, 2),
)
STEPS = st.builds(StepSpec, count=st.just(1), demand=SIZES, best_effort=st.booleans())


def test_a_job_that_exceeds_every_executor_is_refused_on_submission() -> None:
    async def play() -> tuple[HallWorld, list[int]]:
        world = HallWorld()
        await world.begin()
        jobs = [world.new_job(step(1, cpu=cpu)) for cpu in (8_000, 8_001)]
        return world, [await world.submit("east-host-0", job) for job in jobs]

    world, statuses = run_virtual(play())
    assert statuses == [200, 429]
    (refused,) = world.log.named("JOB_REFUSED")
    assert "larger than any executor" in refused["reason"]
    assert len(world.starts) <= 1, "a refused job must never run"


def test_the_capacity_of_a_crashed_executor_still_counts() -> None:
    """The executor may restart at any time, so the job can wait for it."""

    async def play() -> int:
        world = HallWorld(executors_per_hall=1)
        await world.begin()
        world.crash_executor("east-0:1", back=False)
        return await world.submit("east-host-0", world.new_job(step(1, cpu=8_000)))

    assert run_virtual(play()) == 200


@given(steps=st.lists(STEPS, min_size=1, max_size=3), capacities=st.sets(SIZES, max_size=3))
def test_only_what_fits_no_executor_is_refused(
    steps: list[StepSpec], capacities: set[Demand]
) -> None:
    def fits(step: StepSpec, room: Demand) -> bool:
        cpu_fits = step.best_effort or step.demand.milli_cpu <= room.milli_cpu
        rest = step.demand.memory_mb <= room.memory_mb and step.demand.gpus <= room.gpus
        return cpu_fits and rest

    spec = JobSpec("00000000000000aa", "batch", "text", tuple(steps))
    homeless = [i for i, s in enumerate(steps) if not any(fits(s, room) for room in capacities)]
    expected = homeless[0] if homeless and capacities else None
    assert oversized_step(spec, capacities) == expected
