"""Scenarios in which polls reach restarting executors late, and starts reach them on time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from linkspan.shard.messages import EndedTask
from tests.hall_executors import HEARTBEAT_S
from tests.hall_world import HallWorld
from tests.host.restarting_troubles import MIN_CRASHES_TO_FAIL
from tests.job_builders import step
from tests.standins.memory_executor import MemoryExecutor

JOB_COUNT = 120
SUBMISSION_INTERVAL_S = 0.12
TASK_DURATIONS_S = (0.2, 0.3, 0.6)

FIRST_CRASH_S = 2.0
CRASH_COUNT = 8
DOWN_S = 0.01
"""Time between a crash and the restart, shorter than the interval between two polls."""

FREEZE_DURATIONS_S = (0.2, 4.0)
"""Shortest and longest freeze of an owner."""

SETTLED_S = 30.0
"""Time after the last job in which all work ends."""


@dataclass
class LatePollWorld(HallWorld):
    """A deployment that records which ends were discarded although no report had listed them.

    Attributes:
        unread_ends: Incarnation and number of each such end.
    """

    unread_ends: list[tuple[str, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self._listed: set[tuple[str, int]] = set()

    def judge_listed(self, executor: MemoryExecutor, ends: list[EndedTask]) -> None:
        super().judge_listed(executor, ends)
        self._listed |= {(executor.incarnation_name, end.number) for end in ends}

    def judge_acknowledged(self, executor: MemoryExecutor, end: EndedTask) -> None:
        super().judge_acknowledged(executor, end)
        name = executor.incarnation_name, end.number
        if name not in self._listed:
            self.unread_ends.append(name)


@dataclass
class LatePollDay:
    """A day on which some executors get polls late and then restart under their ids.

    Attributes:
        seed: Seed of all random choices.
        max_delay_s: Longest delay of a poll.
        kills_owners: Whether the owner is killed at some of the crashes.
        freezes_owners: Whether the owner is frozen at some of the crashes.
        lost_answer_share: Share of the calls that are carried out and not answered.
    """

    seed: int
    max_delay_s: float = 0.8
    kills_owners: bool = False
    freezes_owners: bool = False
    lost_answer_share: float = 0.0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.world = LatePollWorld(
            seed=self.seed, entry_after_s=HEARTBEAT_S, late_to_next_incarnation=True
        )
        self.world.max_poll_delay_s = self.max_delay_s
        self.world.lost_answer_share = self.lost_answer_share

    async def play(self) -> LatePollWorld:
        """Run the day and return its world."""
        await self.world.begin()
        await asyncio.gather(self._submit_jobs(), self._crash_executors())
        await asyncio.sleep(SETTLED_S)
        await self._check_jobs()
        return self.world

    async def _check_jobs(self) -> None:
        """Check all jobs; a job may fail if two executors crashed under one of its tasks."""
        world = self.world
        under = world.crashing.crashes_during_run
        for job_id in sorted(world.accepted):
            crashes = max((n for task, n in under.items() if task.job_id == job_id), default=0)
            state = await world.state(min(world.hosts), job_id)
            if state != "succeeded" and not (state == "failed" and crashes >= MIN_CRASHES_TO_FAIL):
                world.violations.append(f"LOST {job_id} is {state}")

    async def _submit_jobs(self) -> None:
        for _ in range(JOB_COUNT):
            count = self.random.choice((1, 2, 4))
            duration_s = self.random.choice(TASK_DURATIONS_S)
            spec = self.world.new_job(step(count, estimate_s=duration_s))
            await self.world.submit(max(self.world.hosts), spec)
            await asyncio.sleep(SUBMISSION_INTERVAL_S)

    async def _crash_executors(self) -> None:
        world, random = self.world, self.random
        await asyncio.sleep(FIRST_CRASH_S)
        for _ in range(CRASH_COUNT):
            addresses = random.sample(sorted(world.executors), random.choice((1, 2)))
            world.slow_poll_addresses = set(addresses)
            await asyncio.sleep(random.uniform(0.1, 0.8))
            if random.random() < 0.7:
                world.slow_poll_addresses = set()
            if (self.kills_owners or self.freezes_owners) and random.random() < 0.5:
                self._disturb_owner()
            await asyncio.sleep(random.uniform(0.0, 0.1))
            for address in addresses:
                if world.executors[address].alive:
                    world.record_fault()
                    clock_s = random.choice((0.0, None, 1e5))
                    world.restart_executor(address, down_s=DOWN_S, clock_s=clock_s)
            await asyncio.sleep(random.uniform(0.5, 1.5))
        world.slow_poll_addresses = set()

    def _disturb_owner(self) -> None:
        owner = self.world.owner()
        if owner is None:
            return
        self.world.record_fault()
        if self.freezes_owners:
            running = self.world.hosts[owner]
            self.world.freeze_host(owner)
            frozen_s = self.random.uniform(*FREEZE_DURATIONS_S)
            asyncio.get_running_loop().call_later(frozen_s, self.world.thaw, running)
        else:
            self.world.kill_host(owner)
            self.world.start_host(owner)
