"""Failing reads are logged for each partition that a host follows."""

from __future__ import annotations

import asyncio

from tests.hall_executors import EXECUTORS
from tests.hall_world import CONFIGURATION, HallWorld
from tests.virtual_time import run_virtual


def test_a_host_without_its_configuration_logs_why() -> None:
    """Guards against hosts that never get their configuration and log nothing about it."""

    async def play() -> HallWorld:
        world = HallWorld(hosts_per_hall=1)
        await world.begin()
        world.store.silent.update(world.hosts)
        await asyncio.sleep(4.0)
        world.store.silent.clear()
        await asyncio.sleep(4.0)
        return world

    log = run_virtual(play()).log
    for partition in (CONFIGURATION, EXECUTORS):
        for name in ("STORE_DOWN", "STORE_BACK"):
            assert {"partition": partition.topic} in log.named(name), (name, partition)
