"""Whole hosts in virtual time run each job once while hosts, the store and orders fail."""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.store.types import Entry
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual


def test_a_job_of_two_steps_runs_in_order() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(4), step(2, depends_on=(0,)))
        assert await world.submit("east-host-0", spec) == 200
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=6.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert len(world.done) == 6


def test_the_same_job_at_two_hosts_runs_once() -> None:
    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(3))
        statuses = await asyncio.gather(
            world.submit("east-host-0", spec), world.submit("west-host-0", spec)
        )
        assert statuses == [200, 200]
        await world.wait_for("west-host-1", spec.job_id, "succeeded")
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1, 1, 1]


def test_tasks_continue_while_the_store_is_down() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(2), step(2, depends_on=(0,)))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(0.1)
        world.store.refusing.update(world.hosts)
        await asyncio.sleep(4.0)
        assert len(world.done) == 4
        refused = world.new_job(step(1))
        assert await world.submit("east-host-0", refused) == 503
        world.store.refusing.clear()
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=5.0)
        assert await world.state("east-host-0", refused.job_id) == "410"
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_a_cancelled_job_stops() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(3, standing=True))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(1.0)
        front = world.hosts["east-host-1"].host.front
        answer = await front.cancel(spec.job_id, asyncio.get_running_loop().time() + 3.0)
        assert answer.status == 200
        await asyncio.sleep(1.5)
        assert not any(e.running for e in world.executors.values())
        assert await world.state("east-host-0", spec.job_id) == "cancelled"
        return world

    assert run_virtual(play()).problems == []


def test_a_standing_task_restarts_soon_after_its_executor_crashed() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(3, standing=True, cpu=5_000))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(1.0)
        world.crash_executor("east-1:1")
        await asyncio.sleep(3.0)
        assert sum(len(e.running) for e in world.executors.values()) == 3
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("lists_machines", [True, False])
def test_a_lost_executor_delays_its_tasks_no_longer_than_its_lease(
    lists_machines: bool,
) -> None:
    """Unanswered polls of a silent executor must not renew its lease."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=lists_machines, executors_per_hall=4)
        await world.begin()
        spec = world.new_job(step(3, standing=True, cpu=5_000))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(1.0)
        busy = next(a for a, e in world.executors.items() if e.running)
        world.crash_executor(busy, back=False)
        await asyncio.sleep(4.0 if lists_machines else 14.0)
        assert sum(len(e.running) for e in world.executors.values() if e.alive) == 3
        return world

    assert run_virtual(play()).problems == []


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_cause_no_violation(seed: int) -> None:
    world = run_virtual(_run_random_scenario(seed), limit_s=400.0)
    assert world.problems == []


async def _run_random_scenario(seed: int) -> HallWorld:
    world = HallWorld(halls=("east", "west"), seed=seed, failing_share=0.03)
    world.lists_machines = seed % 3 > 0
    random = world.random
    await world.begin()
    world.late_share = random.choice((0.0, 0.05))
    world.lost_answer_share = random.choice((0.0, 0.05))
    submissions = asyncio.create_task(_submit_jobs(world))
    for _ in range(10):
        await asyncio.sleep(random.uniform(0.5, 3.0))
        await _inject_fault(world)
    world.late_share = world.lost_answer_share = world.store.lost_answer_share = 0.0
    world.store.refusing.clear()
    world.store.silent.clear()
    world.cuts.clear()
    for name, _ in world.host_names():
        if name not in world.hosts:
            world.start_host(name)
    await submissions
    await asyncio.sleep(45.0)
    for job_id in world.accepted:
        state = await world.state("east-host-0", job_id)
        if state not in ("succeeded", "failed"):
            world.violations.append(f"LOST {job_id} is {state}")
    return world


async def _submit_jobs(world: HallWorld) -> None:
    for _ in range(25):
        await asyncio.sleep(world.random.uniform(0.1, 1.0))
        first = step(world.random.randint(1, 5), estimate_s=world.random.uniform(0.3, 2.0))
        spec = world.new_job(first, step(2, depends_on=(0,)))
        for _ in range(3):
            if not world.hosts:
                break
            name = world.random.choice(sorted(world.hosts))
            if await world.submit(name, spec) == 200:
                break


async def _inject_fault(world: HallWorld) -> None:
    random = world.random
    kind = random.choice(
        ("kill", "kill owner", "kill all", "refuse", "silent", "lose", "forget", "crash", "cut")
    )
    names = [name for name, _ in world.host_names()]
    affected = [random.choice(names)]
    if kind == "kill owner":
        affected = [name for shard in (0, 1) if (name := world.owner(shard))]
    if kind == "kill all":
        affected = names
    if kind.startswith("kill"):
        for name in affected:
            if name in world.hosts:
                world.kill_host(name)
        await asyncio.sleep(random.uniform(0.2, 2.0))
        for name in affected:
            if name not in world.hosts:
                world.start_host(name)
    elif kind == "crash":
        address = random.choice(sorted(world.executors))
        world.crash_executor(address, back=random.random() < 0.7)
        if not world.executors[address].alive:
            hall = world.executors[address].record.hall
            asyncio.get_running_loop().call_later(8.0, world.add_executor, hall, address)
    elif kind == "forget":
        for partition in list(world.store._logs):
            world.store.forget(partition)
    else:
        await _outage(world, kind, random.choice(([random.choice(names)], names)))


async def _outage(world: HallWorld, kind: str, names: list[str]) -> None:
    duration_s = world.random.uniform(1.0, 6.0)
    if kind == "refuse":
        world.store.refusing.update(names)
    elif kind == "silent":
        world.store.silent.update(names)
    elif kind == "lose":
        world.store.lost_answer_share = 0.4
        world.store.late = world.random.random() < 0.5
    elif kind == "cut":
        for name, hall in world.host_names():
            if hall == "east":
                world.store.silent.add(name)
                world.cut(name, "west")
            else:
                world.cut(name, "east")
    await asyncio.sleep(duration_s)
    world.store.refusing.clear()
    world.store.silent.clear()
    world.cuts.clear()
    world.store.lost_answer_share = 0.0


def test_a_job_submitted_twice_to_one_host_has_one_record() -> None:
    """A second record under the same key would hide the first one from starting hosts."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        idle = next(name for name in world.hosts if name not in (world.owner(0), world.owner(1)))
        first = world.new_job(step(1))
        spec = world.new_job(step(2))
        # The host reads this job and then pauses its reading for a second.
        await world.submit(idle, first)
        await asyncio.sleep(0.05)
        for _ in range(3):
            assert await world.submit(idle, spec) == 200
            await asyncio.sleep(0.2)
        await world.wait_for(idle, spec.job_id, "succeeded")
        return world

    world = run_virtual(play())
    log = world.store.log(JOBS)
    prefix = f"s:{2:016x}".encode()
    assert len([e for e in log.entries if e.key.startswith(prefix) and e.value]) <= 1
    assert world.problems == []


def test_a_host_that_has_not_read_the_jobs_accepts_none() -> None:
    """Such a host would write a second record of a job, for another hall."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west"))
        await world.begin()
        spec = world.new_job(step(2, estimate_s=3.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(0.2)
        world.kill_host("west-host-1")
        started = world.start_host("west-host-1")
        # With a slow store the configuration may be read long before the jobs.
        started.host.configuration._activate(Entry(0, b"3", b"config"))
        assert await world.submit("west-host-1", spec) == 503
        await world.wait_for("west-host-0", spec.job_id, "succeeded")
        return world

    world = run_virtual(play())
    keys = [e.key for e in world.store.log(JOBS).entries if e.key.startswith(b"s:") and e.value]
    assert len(keys) == 1
    assert world.problems == []


def test_a_pruned_job_does_not_come_back() -> None:
    """Guards against a repeated submission that outlives the final record of its job."""

    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        spec = world.new_job(step(1))
        await world.submit("east-host-0", spec)
        await world.wait_for("east-host-0", spec.job_id, "succeeded")
        world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-y")))
        await asyncio.sleep(world.bounds().state_kept_s + 90.0)
        for name, _ in world.host_names():
            world.kill_host(name)
            world.start_host(name)
        await asyncio.sleep(5.0)
        assert await world.state("east-host-0", spec.job_id) == "410"
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1]


def test_a_host_accepts_jobs_again_after_a_refused_write() -> None:
    """Guards against a writer that stays refused while nobody else writes to the partition."""

    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        idle = next(name for name in world.hosts if name != world.owner())
        world.store.refusing.add(idle)
        assert await world.submit(idle, world.new_job(step(1))) == 503
        assert await world.submit(idle, world.new_job(step(1))) == 503
        world.store.refusing.clear()
        await asyncio.sleep(3.0)
        assert await world.submit(idle, world.new_job(step(1))) == 200
        return world

    assert run_virtual(play()).problems == []
