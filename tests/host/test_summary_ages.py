"""Tests how old hosts take halls' summaries to be: never younger than they are."""

from __future__ import annotations

import asyncio
from math import inf

from linkspan.clock import steady
from linkspan.host.admission.job_outlook import MAX_SUMMARY_AGE_S
from tests.hall_world import HallWorld
from tests.virtual_time import run_virtual

EAST = 0


def age_s(world: HallWorld, name: str) -> float:
    """Return the age that a host gives for the summary of the eastern hall."""
    return world.hosts[name].host.candidates[EAST].summary_age_s(steady())


async def two_halls() -> HallWorld:
    world = HallWorld(halls=("east", "west"), executors_per_hall=1)
    await world.begin()
    await asyncio.sleep(6.0)
    return world


def test_summaries_of_all_halls_are_used_while_all_is_well() -> None:
    async def play() -> list[float]:
        world = await two_halls()
        found = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            found += [age_s(world, name) for name in world.hosts]
        return found

    assert max(run_virtual(play())) < MAX_SUMMARY_AGE_S


def test_a_host_that_is_cut_off_takes_no_summary_for_fresh() -> None:
    async def play() -> tuple[float, float]:
        world = await two_halls()
        world.store.silent.add("west-host-0")
        await asyncio.sleep(MAX_SUMMARY_AGE_S + 1.0)
        cut_off = age_s(world, "west-host-0")
        world.store.silent.clear()
        # The next read may bring a summary from any time of the cut.
        while world.hosts["west-host-0"].host.candidates[EAST].last_response_at < steady() - 0.1:
            await asyncio.sleep(0.02)
        return cut_off, age_s(world, "west-host-0")

    assert min(run_virtual(play())) > MAX_SUMMARY_AGE_S


def test_a_summary_of_a_former_owner_is_not_used() -> None:
    async def play() -> list[float]:
        world = await two_halls()
        owner = world.owner(EAST)
        assert owner
        world.kill_host(owner)
        while world.owner(EAST) is None:
            await asyncio.sleep(0.02)
        heir = world.owner(EAST)
        assert heir
        found = [age_s(world, heir)]
        await asyncio.sleep(3.0)
        return [*found, age_s(world, heir)]

    at_claim, later = run_virtual(play())
    assert at_claim == inf
    assert later < MAX_SUMMARY_AGE_S


def test_the_first_summary_that_a_host_reads_may_be_of_any_age() -> None:
    async def play() -> list[float]:
        world = await two_halls()
        world.kill_host("west-host-0")
        world.start_host("west-host-0")
        candidate = world.hosts["west-host-0"].host.candidates[EAST]
        while candidate.view.summary is None:
            await asyncio.sleep(0.02)
        found = [age_s(world, "west-host-0")]
        await asyncio.sleep(5.0)
        return [*found, age_s(world, "west-host-0")]

    first, later = run_virtual(play())
    assert first == inf
    assert later < MAX_SUMMARY_AGE_S
