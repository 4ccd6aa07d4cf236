"""Random scenarios with tasks that crash their executors while other jobs run.

They cover all kinds of tasks, one to four crashing jobs at a time, 10 ms to 5 s from start to
crash, halls of two to six executors, with and without a machine list. Some tests also lose owners
and other executors.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

import pytest

from linkspan.jobs.spec import JobSpec, StepSpec
from tests.hall_world import HallWorld
from tests.host.crashing_day import crash_under, crashing_world, states
from tests.job_builders import step
from tests.virtual_time import run_virtual

TRAFFIC_S = 30.0
SETTLED_S = 60.0
"""Time in which everything ends, including tasks that wait for leases and for isolated starts."""

KINDS = ("plain", "standing", "gang", "speculative")
CRASH_DELAYS_S = (0.01, 0.4, 1.5, 5.0)


@dataclass
class CrashingDay:
    """A scenario and the jobs of its callers."""

    rng: Random
    world: HallWorld
    crashing: list[JobSpec] = field(default_factory=list)
    others: list[JobSpec] = field(default_factory=list)

    async def run(self, *, troubled: bool) -> None:
        sending = asyncio.create_task(self._send_others())
        after_s, kind = self.rng.choice(CRASH_DELAYS_S), self.rng.choice(KINDS)
        for _ in range(self.rng.choice([1, 2, 4])):
            await asyncio.sleep(3.0 * self.rng.random())
            await self._send_crashing(after_s, kind)
        if troubled:
            for _ in range(3):
                await asyncio.sleep(4.0 * self.rng.random())
                await self._end_owner_and_executors()
        await sending
        await asyncio.sleep(SETTLED_S)

    async def _send_others(self) -> None:
        submissions = []
        for _ in range(int(TRAFFIC_S / 0.4)):
            cpu, estimate_s = self.rng.choice([300, 700]), self.rng.choice([0.3, 0.6, 2.0])
            spec = self.world.new_job(step(self.rng.randint(1, 6), cpu=cpu, estimate_s=estimate_s))
            self.others.append(spec)
            submissions.append(asyncio.create_task(self.world.submit(self._host(), spec)))
            await asyncio.sleep(0.4)
        await asyncio.gather(*submissions)

    async def _send_crashing(self, after_s: float, kind: str) -> None:
        spec = self.world.new_job(_crashing_step(self.rng.choice([1, 3]), kind))
        crash_under(self.world, spec, after_s=after_s)
        if await self.world.submit(self._host(), spec) == 200:
            self.crashing.append(spec)

    async def _end_owner_and_executors(self) -> None:
        owner = self.world.owner(self.rng.randrange(2))
        if owner in self.world.hosts:
            self.world.kill_host(owner)
            await asyncio.sleep(0.3)
            self.world.start_host(owner)
        if self.rng.random() < 0.4:
            up = [a for a, e in self.world.executors.items() if e.alive]
            for address in up[:2]:
                self.world.crash_executor(address)

    def _host(self) -> str:
        return self.rng.choice(list(self.world.hosts))


def _crashing_step(count: int, kind: str) -> StepSpec:
    flags = {} if kind == "plain" else {kind: True}
    return step(count, estimate_s=30.0, **flags)


async def _run_scenario(seed: int, *, troubled: bool) -> tuple[CrashingDay, list[str], list[str]]:
    rng = Random(seed)
    world = await crashing_world(
        seed=seed,
        executors_per_hall=rng.choice([2, 4, 6]),
        resets=rng.random() < 0.5,
        lists_machines=rng.random() < 0.7,
        late_share=0.02 * troubled,
        lost_answer_share=0.02 * troubled,
    )
    scenario = CrashingDay(rng, world)
    await scenario.run(troubled=troubled)
    accepted = [spec for spec in scenario.others if spec.job_id in world.accepted]
    scenario.others = accepted
    return scenario, await states(world, scenario.crashing), await states(world, accepted)


@pytest.mark.parametrize("seed", range(400, 412, 2))
def test_only_crashing_tasks_are_given_up(seed: int) -> None:
    _assert_others_succeed(seed)


@pytest.mark.parametrize("seed", [5006, 5012, 5014, 5054, 5060, 5066, 6030, 7040])
def test_colocated_jobs_in_a_hall_of_two_executors_are_not_given_up(seed: int) -> None:
    """Guards against giving up jobs that repeatedly shared an executor with a crashing task.

    On most of these seeds they were present at four crashes that singled out no task: in a hall of
    two executors a task with a crash history was started together with others after two seconds,
    and new tasks beside it. On three (5054, 6030, 7040) the third crash singled them out although
    other tasks with a crash history were present.
    """
    _assert_others_succeed(seed)


def _assert_others_succeed(seed: int) -> None:
    scenario, crashing, others = run_virtual(_run_scenario(seed, troubled=False))
    assert scenario.world.problems == []
    assert set(crashing) == {"failed"}
    assert set(others) == {"succeeded"}


@pytest.mark.parametrize("seed", [413, 543])
def test_simultaneous_crashes_hide_at_most_one_crash(seed: int) -> None:
    """Guards against endless starts of a crashing task while other executors crash.

    Each crash that coincided with two others and would have given the task up was not counted.
    """
    scenario, crashing, _ = run_virtual(_run_scenario(seed, troubled=True))
    assert scenario.world.problems == []
    assert set(crashing) == {"failed"}


@pytest.mark.parametrize("seed", [*range(401, 413, 2), 428])
def test_crashing_tasks_are_given_up_while_owners_and_executors_are_lost(seed: int) -> None:
    """Other jobs may be given up as well, but only if executors crashed under them."""
    scenario, crashing, others = run_virtual(_run_scenario(seed, troubled=True))
    assert scenario.world.problems == []
    assert set(crashing) == {"failed"}
    assert set(others) <= {"succeeded", "failed"}
    under = scenario.world.crashing.crashes_during_run
    for spec, state in zip(scenario.others, others, strict=True):
        crashes = (
            max(n for task, n in under.items() if task.job_id == spec.job_id)
            if (state == "failed")
            else 2
        )
        assert crashes >= 2, spec.job_id
