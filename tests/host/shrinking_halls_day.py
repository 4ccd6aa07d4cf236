"""Days on which halls lose executors one after the other while standing jobs come and end.

Callers who are refused come back when they were told to. The judge knows what short work there is,
and so the room that standing jobs could have beside it.

For other seeds, with what standing jobs got and what refused callers were told:

    .venv/bin/python -m tests.host.shrinking_halls_day FIRST LAST
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import fmean, median

from linkspan.jobs.spec import JobSpec
from tests.hall_world import HallWorld
from tests.host.day_callers import EXECUTOR_CORES, OBJECTIVE_S, SHORT_S, DayCallers, new_world
from tests.virtual_time import run_virtual, world_time

HALLS = ("east", "west", "north")
EXECUTORS_PER_HALL = 8

STANDING_CORES = (4.8, 8.0)
STANDING_WIDTH = (4, 12)
STANDING_STAY_S = 30.0
STANDING_INTERVAL_S = 0.8
"""Time between standing jobs: they ask for a fifth more cores than there are at first."""

CALLER_PATIENCE_S = 60.0

FIRST_LOSS_S = 20.0
LOSS_INTERVAL_S = 5.0
LOSSES = 12
DRAIN_S = 3.0

DAY_S = 90.0
SAMPLE_S = 0.5

SHORT_CORES = (2, 4, 8, 12, 16)
SHORT_WIDTH = (1, 5)
BURST_S = 25.0
"""Time after which the short work stops on days on which it does."""

BURST_FACTOR = 2.0
"""Multiple of what short tasks use on average that is left to them, as callers are promised."""

MIN_ROOM_S = 1.0
"""Time for which room must have lasted to count as the time at which room came, in seconds."""

SHORT_SHARES: dict[str, tuple[float, float]] = {
    "much": (0.08, DAY_S),
    "little": (0.01, DAY_S),
    "burst": (0.08, BURST_S),
    "none": (0.0, 0.0),
}
"""Share of the first cores that short work asks for on average, and for how many seconds."""


@dataclass
class Caller:
    """A caller of a standing job that was refused.

    Attributes:
        spec: The job.
        told_s: Seconds after which it is told to come back.
        refused_at: Time of the last refusal.
        room_since: Time since which there has been room for all tasks; infinite without room.
        room_came_s: Seconds after the last refusal at which room came; infinite until then.
        longest_room_s: Longest time for which there has been room while the caller had none.
    """

    spec: JobSpec
    told_s: float = 0.0
    refused_at: float = 0.0
    room_since: float = float("inf")
    room_came_s: float = float("inf")
    longest_room_s: float = 0.0


@dataclass
class ShrinkingHallsDay:
    """One day.

    Attributes:
        seed: Seed of all draws.
        short_work: A key of ``SHORT_SHARES``.
        shares: Shares of the room beside short work at which standing tasks were, while callers
            waited.
        callers: Callers who were refused.
        told: Seconds that callers were told, and seconds after which room came.
        accepted: Number of accepted standing jobs.
        took_s: Times that short jobs took; infinite if they were not done.
    """

    seed: int
    short_work: str
    shares: list[float] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    told: list[tuple[float, float]] = field(default_factory=list)
    accepted: int = 0
    took_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.world = new_world(HALLS, EXECUTORS_PER_HALL, self.seed)
        self._day_callers = DayCallers(
            self.world,
            self.random,
            standing_cores=STANDING_CORES,
            standing_width=STANDING_WIDTH,
            short_width=SHORT_WIDTH,
        )
        self._began = 0.0
        self._waiting: list[Caller] = []
        self._leaving: set[str] = set()
        self._group: asyncio.TaskGroup
        share, self._short_until_s = SHORT_SHARES[self.short_work]
        self._short_cores = share * len(HALLS) * EXECUTORS_PER_HALL * EXECUTOR_CORES

    @property
    def longest_room_s(self) -> float:
        """Longest time for which a refused caller was without a job though there was room."""
        return max((caller.longest_room_s for caller in self.callers), default=0.0)

    def in_time_share(self) -> float:
        """Return the share of the short jobs that were done within their objective."""
        return fmean(took_s <= OBJECTIVE_S for took_s in self.took_s) if self.took_s else 1.0

    async def play(self) -> HallWorld:
        """Play the day."""
        await self.world.begin()
        self._began = world_time()
        async with asyncio.TaskGroup() as self._group:
            others = [self._standing_jobs(), self._short_jobs(), self._losses(), self._sample()]
            tasks = [self._group.create_task(other) for other in others]
            await asyncio.sleep(DAY_S)
            for task in tasks:
                task.cancel()
        return self.world

    async def _standing_jobs(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._standing_job(self._day_callers.standing_job()))
                await asyncio.sleep(2 * STANDING_INTERVAL_S * self.random.random())

    async def _standing_job(self, spec: JobSpec) -> None:
        caller = Caller(spec)
        stay_s = self.random.uniform(0.5, 1.5) * STANDING_STAY_S
        gives_up_at = world_time() + CALLER_PATIENCE_S
        try:
            while await self.world.submit(self._day_callers.host(), spec) != 200:
                self._on_refusal(caller)
                if world_time() + caller.told_s > gives_up_at:
                    await asyncio.sleep(gives_up_at - world_time())
                    return
                await asyncio.sleep(caller.told_s)
        finally:
            self._leave_waiting(caller)
        self.accepted += 1
        await asyncio.sleep(stay_s)
        await self.world.cancel(self._day_callers.host(), spec.job_id)

    def _on_refusal(self, caller: Caller) -> None:
        if caller not in self._waiting:
            self._waiting.append(caller)
            self.callers.append(caller)
        else:
            self.told.append((caller.told_s, caller.room_came_s))
        lines = self.world.log.named("STANDING_REFUSED")
        line = next(line for line in reversed(lines) if line["job"] == caller.spec.job_id)
        caller.told_s = float(line["retry_after_s"])
        caller.refused_at = world_time()
        caller.room_came_s = float("inf")

    def _leave_waiting(self, caller: Caller) -> None:
        if caller in self._waiting:
            self._waiting.remove(caller)
            self.told.append((caller.told_s, caller.room_came_s))

    async def _short_jobs(self) -> None:
        if not self._short_cores:
            return
        interval_s = fmean(SHORT_CORES) * fmean(SHORT_WIDTH) * SHORT_S / self._short_cores
        async with asyncio.TaskGroup() as group:
            while world_time() < self._began + self._short_until_s:
                group.create_task(self._short_job(self.random.choice(SHORT_CORES)))
                await asyncio.sleep(2 * interval_s * self.random.random())

    async def _short_job(self, cores: int) -> None:
        self.took_s.append(await self._day_callers.short_job(cores))

    async def _losses(self) -> None:
        await asyncio.sleep(FIRST_LOSS_S)
        lost_hall, *others = self.random.sample(HALLS, len(HALLS))
        addresses = [f"{lost_hall}-{index}:1" for index in range(EXECUTORS_PER_HALL)]
        addresses += [f"{hall}-{index}:1" for hall in others for index in range(2)]
        self.random.shuffle(addresses)
        for address in addresses[:LOSSES]:
            self.random.choice(WAYS)(self, address)
            await asyncio.sleep(LOSS_INTERVAL_S)

    def crash(self, address: str) -> None:
        """End an executor with all that runs on it."""
        self._leaving.add(address)
        self.world.record_fault()
        self.world.crash_executor(address, back=False)

    def drain(self, address: str) -> None:
        """Let an executor take no new work; what runs there stays."""
        self._leaving.add(address)
        self.world.register(self.world.executors[address], draining=True)

    def scale_in(self, address: str) -> None:
        """Drain an executor and end it soon after."""
        self.drain(address)
        asyncio.get_running_loop().call_later(DRAIN_S, self.crash, address)

    def shrink(self, address: str) -> None:
        """Take away half of an executor's cores."""
        self.world.resize(address, EXECUTOR_CORES * 500)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            self._look_at_room()

    def _look_at_room(self) -> None:
        usable = [
            executor
            for address, executor in self.world.executors.items()
            if executor.alive and address not in self._leaving
        ]
        running = [task for executor in usable for task in executor.running]
        steps = [self.world.specs[task.job_id].steps[task.step] for task in running]
        standing = sum(own.demand.milli_cpu for own in steps if own.standing) / 1_000
        short = sum(own.demand.milli_cpu for own in steps if not own.standing) / 1_000
        now = world_time()
        is_short = now < self._began + self._short_until_s
        for_short = BURST_FACTOR * self._short_cores if is_short else 0.0
        if self._waiting:
            total = sum(executor.record.capacity.milli_cpu for executor in usable) / 1_000
            self.shares.append(standing / (total - max(for_short, short)))
        kept = max(for_short - short, 0.0)
        free = [max(executor.free().milli_cpu, 0) for executor in usable]
        for caller in self._waiting:
            demand = caller.spec.steps[0].demand.milli_cpu
            slots = sum(own // demand for own in free) - kept * 1_000 / demand
            self._note_room(caller, now, room=slots >= caller.spec.steps[0].count)

    @staticmethod
    def _note_room(caller: Caller, now: float, *, room: bool) -> None:
        if not room:
            caller.room_since = float("inf")
            return
        caller.room_since = min(caller.room_since, now)
        lasted_s = now - caller.room_since
        caller.longest_room_s = max(caller.longest_room_s, lasted_s)
        if lasted_s >= MIN_ROOM_S:
            came_s = max(caller.room_since - caller.refused_at, 0.0)
            caller.room_came_s = min(caller.room_came_s, came_s)


WAYS: tuple[Callable[[ShrinkingHallsDay, str], None], ...] = (
    ShrinkingHallsDay.crash,
    ShrinkingHallsDay.drain,
    ShrinkingHallsDay.scale_in,
    ShrinkingHallsDay.shrink,
)


def main(first: int, last: int) -> None:
    """Play the days of some seeds."""
    for seed in range(first, last):
        for short_work in SHORT_SHARES:
            day = ShrinkingHallsDay(seed, short_work)
            problems = run_virtual(day.play(), limit_s=200.0).problems
            told, came = zip(*day.told, strict=True) if day.told else ((0,), (0,))
            print(
                f"{seed} {short_work}: standing {fmean(day.shares or [1]):.3f} of its room,"
                f" {day.accepted} accepted, {len(day.callers)} callers refused"
                f" {len(day.told)} times, told {median(told):.0f} s, room after {median(came):.1f};"
                f" longest beside room {day.longest_room_s:.0f} s,"
                f" {sum(c.longest_room_s > 10 for c in day.callers)} over 10 s;"
                f" short in time {day.in_time_share():.2f} {problems[:3]}",
                flush=True,
            )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
