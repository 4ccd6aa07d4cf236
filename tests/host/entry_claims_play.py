"""A deployment in which another writer replaces the entry of a known executor."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from tests.hall_world import HallWorld
from tests.host.short_work import running_count
from tests.job_builders import step
from tests.wire_addresses import wire_address

TASKS = 8
LOOK_S = 25.0
CHECK_INTERVAL_S = 0.25

OWNER_END_DELAY_S = 0.3
"""Time from the entry until the owner ends: it may have put what the entry says on its roster."""

OWNER_DOWN_S = 0.5

REWRITE_DELAY_S = 1.5
"""Time after which an executor rewrites its own entry."""

Claim = Callable[[HallWorld], dict[str, object]]

NOBODY = "10.9.9.9:80"


def _other(world: HallWorld) -> str:
    return wire_address(list(world.executors)[-1])


ADDRESS_CLAIMS: dict[str, Claim] = {
    "address where nobody answers": lambda _world: {"address": NOBODY},
    "address of another executor": lambda world: {"address": _other(world)},
    "no start time": lambda _world: {"address": NOBODY, "born": None},
}
"""What an entry says of an executor that has another address."""


LATER = 2**52

START_TIME_CLAIMS: dict[str, Claim] = {
    "later": lambda _world: {"born": LATER},
    "earlier": lambda _world: {"born": 1_000},
    "later, nobody answers": lambda _world: {"born": LATER, "address": NOBODY},
    "later, another executor": lambda world: {"born": LATER, "address": _other(world)},
}
"""What an entry says of an executor that started at another time, in part at another address."""


PLACE_CLAIMS: dict[str, Claim] = {
    "another hall": lambda _world: {"zone": "west"},
    "no hall of this deployment": lambda _world: {"zone": "north"},
    "another service": lambda _world: {"service": "other"},
    "other labels": lambda _world: {"labels": ["other-kind", "other-rack"]},
}
"""What an entry says of an executor that is in another hall, service or rack."""


class ClaimPlay:
    """Eight standing tasks, and one entry of another writer while they run or before.

    Args:
        claim: Returns the fields of the entry that differ from those of the executor's own.
        before_job: Whether the entry comes before the job.
        owner_ends: Whether the owner of the executor's hall ends soon after the entry.
        rewritten: Whether the executor rewrites its own entry.

    Attributes:
        world: The deployment.
        away_s: Longest time in which not all tasks ran.
    """

    def __init__(
        self, claim: Claim, *, before_job: bool, owner_ends: bool, rewritten: bool
    ) -> None:
        self._claim = claim
        self._before_job = before_job
        self._owner_ends = owner_ends
        self._rewritten = rewritten
        self.world = HallWorld(halls=("east", "west"), executors_per_hall=4, milli_cpu=32_000)
        self.away_s = 0.0

    async def play(self) -> None:
        """Play, and judge until long after all leases of a former owner have expired."""
        await self.world.begin()
        if not self._before_job:
            await self._submit()
            await asyncio.sleep(2.0)
        executors = list(self.world.executors.values())
        executor = next((e for e in executors if e.running), executors[0])
        changes = {"born": executor.started_at_ms, **self._claim(self.world)}
        fields = self.world.entry_fields(executor.record, **changes)
        self.world.enter(executor.record.executor_id, json.dumps(fields).encode())
        if self._rewritten:
            asyncio.get_running_loop().call_later(REWRITE_DELAY_S, self.world.register, executor)
        await asyncio.sleep(OWNER_END_DELAY_S)
        if self._owner_ends:
            await self._end_owner()
        if self._before_job:
            await self._submit()
        await self._look()

    async def _submit(self) -> None:
        job = self.world.new_job(step(TASKS, cpu=7_750, standing=True))
        assert await self.world.submit("east-host-1", job) == 200

    async def _end_owner(self) -> None:
        owner = str(self.world.owner(0))
        self.world.kill_host(owner)
        asyncio.get_running_loop().call_later(OWNER_DOWN_S, self.world.start_host, owner)
        if self._before_job:
            await asyncio.sleep(OWNER_DOWN_S)

    async def _look(self) -> None:
        away_s = 0.0
        for _ in range(int(LOOK_S / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            away_s = away_s + CHECK_INTERVAL_S if running_count(self.world) < TASKS else 0.0
            self.away_s = max(self.away_s, away_s)
