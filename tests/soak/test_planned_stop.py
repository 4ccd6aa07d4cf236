"""Planned stops while answers take long."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from soak.callers import Callers
from soak.deployment import Plan
from soak.persistent_callers import CLOSING_SLACK_S, ConnectionStats, PersistentCaller
from soak.world import World

SLOW_S = 0.8
"""By so much the store holds each call up: less than hosts wait for it, and twice the time
from which a request that is cut counts."""

KEEPERS = 12
START_LIMIT_S = 30.0


async def test_a_planned_stop_cuts_no_question_that_waits_for_the_store(tmp_path: Path) -> None:
    assert SLOW_S >= 2 * CLOSING_SLACK_S
    plan = Plan(7, 0.0, hosts=2, executors=2, halls=2, jobs_per_s=0.0)
    stats = ConnectionStats(0, 0, [])
    async with World(plan, tmp_path) as world:
        hosts = list(world.hosts.values())
        await world.await_ready(START_LIMIT_S)
        callers = Callers(Random(7), world.callers_at, world.executors, world.session)
        await callers.submit(callers.draw_job(calm=True), Random(7))
        await world.store.send_command("server", {"delay_s": SLOW_S})
        keepers = [
            asyncio.create_task(
                PersistentCaller(Random(n), hosts[n % 2], world, callers, stats).run()
            )
            for n in range(KEEPERS)
        ]
        for host in hosts:
            await asyncio.sleep(2 * SLOW_S)
            await world.stop(host)
            await host.start()
        for keeper in keepers:
            keeper.cancel()
        await asyncio.gather(*keepers, return_exceptions=True)
    assert stats.violations + world.violations == []
    assert stats.answered > KEEPERS
