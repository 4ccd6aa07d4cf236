"""Jobs that have begun go on in other halls when their own hall can't run them any more.

A job counts as lost if nothing of it runs for 3 s beside room for two of its tasks while less than
half of the service is in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from linkspan.jobs.spec import JobSpec, Schedule, StepSpec
from linkspan.model.configuration import AdviceRule, Configuration, Service
from linkspan.shard.planning.advice import Advice
from linkspan.shard.step_run import StepRun
from tests.accepted_jobs import accept_in, count_running, seconds_until_running
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import EPOCH, run_virtual, world_time

END_LIMIT_S = 20.0
"""Time from the loss of a hall within which its jobs of two steps of some 3 s have ended."""

WORK_S = 2.7
EXECUTORS = 4
BEFORE_LOSS_S = 1.5
MAX_IDLE_S = 3.0
LONG_S = 500.0

Loss = Callable[[HallWorld], None]


def _crash(world: HallWorld) -> None:
    for address in _east(world):
        world.crash_executor(address, back=False)


def _drain(world: HallWorld) -> None:
    for address in _east(world):
        world.register(world.executors[address], draining=True)
        asyncio.get_running_loop().call_later(2.0, _leave, world, address)


def _leave(world: HallWorld, address: str) -> None:
    if world.executors[address].alive:
        world.crash_executor(address, back=False)


def _evacuate(world: HallWorld) -> None:
    world.evacuate("east")


def _east(world: HallWorld) -> list[str]:
    return [a for a, e in world.executors.items() if e.record.hall == "east" and e.alive]


def _chain() -> tuple[StepSpec, ...]:
    wide = step(8, cpu=1_500, estimate_s=WORK_S)
    return wide, replace(wide, depends_on=(0,))


def _gang() -> tuple[StepSpec, ...]:
    return (step(4, cpu=6_000, estimate_s=WORK_S, gang=True),)


def _best_effort() -> tuple[StepSpec, ...]:
    return (step(6, cpu=1_500, estimate_s=WORK_S, best_effort=True),)


def _spread() -> tuple[StepSpec, ...]:
    return (step(8, cpu=1_500, estimate_s=WORK_S, max_per_executor=2),)


async def _world() -> HallWorld:
    halls = ("east", "west", "north")
    world = HallWorld(halls=halls, hosts_per_hall=1, executors_per_hall=EXECUTORS)
    await world.begin()
    return world


async def _seconds_until_done(world: HallWorld, specs: list[JobSpec], limit_s: float) -> float:
    since = world_time()
    left = list(specs)
    while left and world_time() - since < limit_s:
        await asyncio.sleep(0.2)
        left = [s for s in left if await world.ask("west-host-0", s.job_id) != "succeeded"]
    return world_time() - since if not left else float("inf")


@pytest.mark.parametrize("steps", [_chain, _gang, _best_effort, _spread])
@pytest.mark.parametrize("lose", [_crash, _drain, _evacuate])
def test_begun_jobs_of_a_hall_without_executors_go_on(
    lose: Loss, steps: Callable[[], tuple[StepSpec, ...]]
) -> None:
    """Guards against jobs that never go on as they have begun in a hall that lost its executors."""

    async def play() -> tuple[float, list[str]]:
        world = await _world()
        specs = [world.new_job(*steps()) for _ in range(2)]
        for spec in specs:
            accept_in(world, spec)
        await asyncio.sleep(BEFORE_LOSS_S)
        assert any(count_running(world, spec.job_id) for spec in specs)
        lose(world)
        return await _seconds_until_done(world, specs, END_LIMIT_S), world.problems

    took_s, problems = run_virtual(play())
    assert problems == []
    assert took_s <= END_LIMIT_S


def test_a_gang_that_lost_one_executor_for_good_runs_again_elsewhere() -> None:
    """Guards against a gang that waits for good, as its hall is one executor too small for it."""

    async def play() -> tuple[float, list[str]]:
        world = await _world()
        gang = world.new_job(step(EXECUTORS, cpu=6_000, estimate_s=WORK_S, gang=True))
        accept_in(world, gang)
        await asyncio.sleep(BEFORE_LOSS_S)
        assert count_running(world, gang.job_id) == EXECUTORS
        world.crash_executor("east-0:1", back=False)
        return await _seconds_until_done(world, [gang], END_LIMIT_S), world.problems

    took_s, problems = run_virtual(play())
    assert problems == []
    assert took_s <= END_LIMIT_S


def test_a_step_that_only_another_hall_can_run_starts_there() -> None:
    """Guards against a job that stops after its first step, as the next one needs a larger size."""

    async def play() -> float:
        world = await _world()
        world.resize("north-0:1", 16_000)
        await asyncio.sleep(BEFORE_LOSS_S)
        large = step(1, cpu=12_000, estimate_s=WORK_S, depends_on=(0,))
        spec = world.new_job(step(1, cpu=1_000, estimate_s=0.5), large)
        accept_in(world, spec)
        return await _seconds_until_done(world, [spec], END_LIMIT_S)

    assert run_virtual(play()) <= END_LIMIT_S


class NorthOnly:
    """A placement policy that allows the executors of one hall only."""

    def __init__(self) -> None:
        self.allowed: set[str] = set()

    async def advise(self, _step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        await asyncio.sleep(0.1)
        return Advice({name: "ticket" for name in executor_ids if name in self.allowed}, 30.0)


def test_a_job_whose_policy_allows_only_another_hall_starts_there() -> None:
    """Guards against a job that waits for good, as only executors of another hall get tickets."""

    async def play() -> tuple[float, list[str]]:
        policy = NorthOnly()
        world = HallWorld(
            halls=("east", "west", "north"),
            hosts_per_hall=1,
            executors_per_hall=EXECUTORS,
            policy=policy,
        )
        await world.begin()
        queue = replace(world.queue, advice=AdviceRule(30.0))
        world.configuration = Configuration(4, {queue.name: queue}, {"pool": Service("pool")})
        world.publish()
        policy.allowed = {
            executor.incarnation_name
            for executor in world.executors.values()
            if executor.record.hall == "north"
        }
        await asyncio.sleep(BEFORE_LOSS_S)
        specs = [world.new_job(step(2, estimate_s=WORK_S)) for _ in range(3)]
        for spec in specs:
            accept_in(world, spec)
        return await _seconds_until_done(world, specs, END_LIMIT_S), world.problems

    took_s, problems = run_virtual(play())
    assert problems == []
    assert took_s <= END_LIMIT_S


def test_later_repetitions_of_a_scheduled_job_start_in_another_hall() -> None:
    """Guards against a scheduled job whose later repetitions wait for good in a lost hall."""

    async def play() -> tuple[float, list[str]]:
        world = await _world()
        plain = world.new_job(step(3, cpu=1_500, estimate_s=0.5))
        first_s = EPOCH + asyncio.get_running_loop().time() + 0.5
        spec = replace(plain, schedule=Schedule(3, first_s, 2.5))
        accept_in(world, spec)
        await asyncio.sleep(BEFORE_LOSS_S)
        _crash(world)
        return await _seconds_until_done(world, [spec], END_LIMIT_S), world.problems

    took_s, problems = run_virtual(play())
    assert problems == []
    assert took_s <= END_LIMIT_S


def test_a_cancelled_job_stops_in_the_hall_that_took_its_tasks() -> None:
    """Guards against tasks that run on, or start, in another hall after their job was cancelled."""

    async def play() -> tuple[int, list[str]]:
        world = await _world()
        spec = world.new_job(step(8, cpu=1_500, estimate_s=LONG_S))
        accept_in(world, spec)
        await asyncio.sleep(BEFORE_LOSS_S)
        _crash(world)
        await seconds_until_running(world, spec.job_id, 8, limit_s=END_LIMIT_S)
        assert await world.cancel("west-host-0", spec.job_id) == 200
        await asyncio.sleep(5.0)
        return count_running(world, spec.job_id), world.problems

    assert run_virtual(play()) == (0, [])


def test_work_passes_from_a_second_lost_hall_to_a_third() -> None:
    """Guards against work that is lost with the hall that had taken it over."""

    async def play() -> tuple[float, list[str]]:
        world = await _world()
        specs = [world.new_job(step(6, cpu=1_500, estimate_s=6.0)) for _ in range(2)]
        for spec in specs:
            accept_in(world, spec)
        await asyncio.sleep(BEFORE_LOSS_S)
        _crash(world)
        await asyncio.sleep(4.0)
        taken = {e.record.hall for e in world.executors.values() if e.alive and e.running}
        for address, executor in list(world.executors.items()):
            if executor.alive and executor.record.hall == sorted(taken)[0]:
                world.crash_executor(address, back=False)
        return await _seconds_until_done(world, specs, END_LIMIT_S), world.problems

    took_s, problems = run_virtual(play())
    assert problems == []
    assert took_s <= END_LIMIT_S


def test_tasks_do_not_leave_a_hall_that_is_busy_for_a_moment() -> None:
    """Guards against records and lost places for tasks that their own hall starts in a moment."""

    async def play() -> list[dict[str, object]]:
        world = await _world()
        for _ in range(EXECUTORS):
            accept_in(world, world.new_job(step(1, cpu=8_000, estimate_s=1.0)))
        spec = world.new_job(step(1, cpu=500, estimate_s=0.3), step(2, depends_on=(0,)))
        accept_in(world, spec, 1)
        await asyncio.sleep(4.0)
        return world.log.named("WORK_HANDED_OVER")

    assert run_virtual(play()) == []
