"""A host whose machine was suspended does not act as if that time had not passed.

The failure guarded against: the owner of a hall is suspended for some seconds. The monotonic clock
of its machine stops meanwhile. When the owner resumes, it believes that its ownership was
confirmed a moment ago, finds no freeze of its process, and starts tasks that the next owner has
started elsewhere.

All times were read from the monotonic clock, which a suspension stops. The next owner, the
executors' leases and the callers' deadlines count that time.

Randomized days whose hosts read a clock that stops while suspended break the rules.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tests.hall_world import HallWorld
from tests.host.crashing_day import states, submit
from tests.job_builders import step
from tests.virtual_time import run_virtual
from tests.wide_world import WideWorld

LONG_S = 90.0
"""Duration of work that outlasts a test."""

SETTLED_S = 30.0
"""Time by which all leases of former owners have expired, and no task changes its executor."""


async def _suspend_partitioned(
    world: HallWorld, name: str, address: str, *, for_s: float, after_s: float
) -> None:
    """Suspend a host that reaches one executor only, which no other host reaches.

    Args:
        world: The world.
        name: The host.
        address: The executor.
        for_s: How long the host is suspended, in seconds.
        after_s: How long the host is then still cut off from the store, and so does not learn of
            the next owner, in seconds.
    """
    running = world.hosts[name]
    world.cuts |= {(other, address) for other in world.hosts if other != name}
    world.cuts |= {(name, other) for other in world.executors if other != address}
    world.suspend_host(name)
    await asyncio.sleep(for_s)
    world.store.silent.add(name)
    world.resume(running)
    await asyncio.sleep(after_s)
    world.store.calm()
    world.cuts.clear()


@pytest.mark.parametrize("for_s", [4.0, 8.0, 14.0])
def test_an_owner_that_was_suspended_starts_nothing_beside_the_next_owner(for_s: float) -> None:
    """Only the suspended owner reaches an executor that has not seen the next owner's token."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=3, executors_per_hall=2)
        await world.begin()
        spec = await submit(world, step(8, cpu=1_500, estimate_s=LONG_S))
        await asyncio.sleep(2.0)
        owner = world.owner()
        assert owner
        await _suspend_partitioned(world, owner, "east-0:1", for_s=for_s, after_s=16.0)
        await asyncio.sleep(SETTLED_S)
        assert await states(world, [spec]) == ["running"]
        return world

    assert run_virtual(play()).problems == []


def test_an_owner_that_was_suspended_confirms_its_ownership_before_it_acts() -> None:
    async def play() -> tuple[HallWorld, list[float]]:
        world = HallWorld(hosts_per_hall=3)
        await world.begin()
        name = world.owner()
        assert name
        running = world.hosts[name]
        world.suspend_host(name)
        await asyncio.sleep(1.5)
        world.store.silent.add(name)
        world.resume(running)
        await asyncio.sleep(0.2)
        lines = zip(world.log.lines, world.log.writers, strict=True)
        freezes_s = [
            f["stood_still_s"] for (_, e, f), by in lines if e == "OWNER_SILENT" and by == name
        ]
        return world, freezes_s

    _, freezes_s = run_virtual(play())
    assert freezes_s == [pytest.approx(1.5, abs=0.1)]


def test_callers_are_answered_by_their_own_clock() -> None:
    """A request whose deadline passed while its host was suspended is not accepted."""

    async def play() -> tuple[int, set[str]]:
        world = HallWorld(hosts_per_hall=2)
        await world.begin()
        name = "east-host-0"
        running = world.hosts[name]
        world.store.silent.add(name)
        spec = world.new_job(step())
        request = asyncio.create_task(world.submit(name, spec, patience_s=20.0))
        await asyncio.sleep(0.1)
        world.suspend_host(name)
        await asyncio.sleep(10.0)
        world.resume(running)
        world.store.calm()
        status = await request
        await asyncio.sleep(10.0)
        return status, {task.job_id for task in world.starts}

    status, started = run_virtual(play())
    assert (status == 200) == bool(started), "the answer differs from what happened"


async def random_day(seed: int) -> WideWorld:
    """Play suspensions of hosts, each the only one to reach some executor, amid late answers.

    Some answers are lost, too.
    """
    rng = Random(seed)
    world = WideWorld(
        halls=("east", "west"),
        hosts_per_hall=3,
        executors_per_hall=3,
        seed=seed,
        lost_answer_share=rng.choice([0.0, 0.05]),
        late_share=rng.choice([0.0, 0.05]),
    )
    await world.begin()
    traffic = asyncio.create_task(_traffic(world, rng))
    for _ in range(4):
        await asyncio.sleep(2.0 + 3.0 * rng.random())
        name = world.owner(rng.randrange(2)) or rng.choice(list(world.hosts))
        address = rng.choice(list(world.executors))
        after_s = rng.choice([2.0, 8.0, 16.0])
        await _suspend_partitioned(
            world, name, address, for_s=rng.choice([1.0, 4.0, 8.0, 13.0]), after_s=after_s
        )
    await traffic
    await asyncio.sleep(SETTLED_S)
    return world


async def _traffic(world: WideWorld, rng: Random) -> None:
    requests = []
    for _ in range(40):
        kind = rng.choice([{"estimate_s": 0.6}, {"estimate_s": 6.0}, {"standing": True}])
        spec = world.new_job(step(rng.randint(1, 3), cpu=800, **kind))
        host = rng.choice(list(world.hosts))
        requests.append(asyncio.create_task(world.submit(host, spec, patience_s=15.0)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*requests)


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_suspensions_break_nothing(seed: int) -> None:
    assert run_virtual(random_day(seed)).problems == []


@pytest.mark.parametrize("seed", [4, 6])
def test_the_random_days_reveal_a_clock_that_stops_while_suspended(seed: int) -> None:
    world = run_virtual(random_day(seed), suspensions_count=False)
    assert any(" TWICE " in line for line in world.problems)
