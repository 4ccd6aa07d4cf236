"""Planned stops of hosts while the store is slow.

Guards against a host that closes a connection although a request on it still waits for the store:
the caller would then see its request cut.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from soak.callers import Callers
from soak.deployment import Plan
from soak.persistent_callers import CLOSING_SLACK_S, ConnectionStats, PersistentCaller
from soak.world import World

STORE_DELAY_S = 0.8
"""Delay of each call by the store: less than the time that hosts wait for the store, and twice the
time during which the host may close a connection without a response."""

PERSISTENT_CALLERS = 12
START_LIMIT_S = 30.0


async def test_a_planned_stop_cuts_no_request_that_waits_for_the_store(tmp_path: Path) -> None:
    assert STORE_DELAY_S >= 2 * CLOSING_SLACK_S
    plan = Plan(7, 0.0, hosts=2, executors=2, halls=2, jobs_per_s=0.0)
    stats = ConnectionStats(0, 0, [])
    async with World(plan, tmp_path) as world:
        hosts = list(world.hosts.values())
        await world.await_ready(START_LIMIT_S)
        callers = Callers(Random(7), world.callers_at, world.executors, world.session)
        await callers.submit(callers.draw_job(calm=True), Random(7))
        await world.store.send_command("server", {"delay_s": STORE_DELAY_S})
        caller_tasks = [
            asyncio.create_task(
                PersistentCaller(Random(n), hosts[n % 2], world, callers, stats).run()
            )
            for n in range(PERSISTENT_CALLERS)
        ]
        for host in hosts:
            await asyncio.sleep(2 * STORE_DELAY_S)
            await world.stop(host)
            await host.start()
        for caller_task in caller_tasks:
            caller_task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)
    assert stats.violations + world.violations == []
    assert stats.answered > PERSISTENT_CALLERS
