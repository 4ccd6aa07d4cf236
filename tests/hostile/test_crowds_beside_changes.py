"""Crowds of callers outside the limits beside what operators and platforms do."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from soak.deployment import GRACE_S

from tests.hostile.crowd import Crowd, count_waiting, submit_ordinary_job
from tests.hostile.framing import KINDS
from tests.hostile.machine import small_machine

BEGUN_S = 1.0
"""Time after a crowd's start at which the change comes, in seconds."""

KINDS_AT_STOPS = ("body", "small-chunks", "header-line", "pipelined")


@pytest.mark.parametrize("name", KINDS_AT_STOPS)
async def test_a_planned_stop_beside_a_crowd_ends_within_its_grace_time(
    tmp_path: Path, name: str
) -> None:
    """Guards against a process that is killed at the end of its grace time, with its requests."""
    async with small_machine(tmp_path) as machine:
        crowd = asyncio.create_task(Crowd(machine.host.address, [name]).play())
        await asyncio.sleep(BEGUN_S)
        ended = await machine.host.stop(GRACE_S)
        await crowd
        assert ended
        assert machine.host.unexpected_exits == []


async def test_a_change_of_the_limits_beside_a_crowd(tmp_path: Path) -> None:
    async with small_machine(tmp_path) as machine:
        crowd = asyncio.create_task(Crowd(machine.host.address, tuple(KINDS)).play())
        for limit in (1_000, 300_000, 262_144):
            await asyncio.sleep(BEGUN_S / 2)
            machine.world.limits = {"maxBodyBytes": limit, "maxHeaderBytes": 16_384}
            await machine.world.configure(0)
        await crowd
        assert await submit_ordinary_job(machine.host.address) == 200
        machine.sample()
        assert machine.broken_bounds() == []


async def test_an_owner_killed_beside_a_crowd_at_the_next_owner(tmp_path: Path) -> None:
    async with small_machine(tmp_path, hosts=2) as machine:
        other = machine.world.hosts["host-1"]
        crowd = asyncio.create_task(Crowd(machine.host.address, tuple(KINDS)).play())
        await asyncio.sleep(BEGUN_S)
        await other.kill()
        await crowd
        assert await submit_ordinary_job(machine.host.address) == 200
        assert await count_waiting(machine.host.address) == 200
        machine.sample()
        assert machine.broken_bounds() == []
