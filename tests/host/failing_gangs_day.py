"""A drawn day of gangs whose members fail, while owners change and their writes are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import EndKind, TaskName
from tests.hall_executors import ENTRY_GOES_S
from tests.host.later import later
from tests.job_builders import step
from tests.lapses import LapsingWorld
from tests.standins.memory_executor import MemoryExecutor

GANGS = 12
"""Gangs of a day: with the share of failing runs, some use their attempts up and most do not."""

BETWEEN_S = 1.5
"""Longest time between two gangs."""

FAILING_SHARE = 0.35
"""Share of a gang's runs that fail."""

CULPRIT_SHARE = 0.6
"""Share of the members that end as failed in such a run; at least one does."""

BROKEN_S = 0.02, 0.4
"""Time after a member's end at which the others end as broken, unless they have failed, too."""

TROUBLE_SHARE = 0.7
"""Share of failed runs beside which something else goes wrong."""

AWAY_S = 0.4, 2.0, 8.0, 14.0
"""Times for which an executor is cut off: below and above a lease and the time of an entry."""

SETTLED_S = 90.0
"""Time in which all gangs end, also those that wait out leases."""


@dataclass
class GangsWorld(LapsingWorld):
    """A deployment in which members of one run of a gang fail, and end the others' runs.

    Attributes:
        trouble_beside: Draws what goes wrong beside a failed run.
        seen: Runs of gangs that failed.
    """

    trouble_beside: Random = field(default_factory=lambda: Random(0))
    seen: set[tuple[str, int]] = field(default_factory=set)

    def _culprits(self, task: TaskName, run: int) -> set[int]:
        """Return the members that end as failed in a run, none in one that ends well."""
        draw = Random(f"{self.seed} {task.job_id} {run}")
        if draw.random() >= FAILING_SHARE:
            return set()
        members = range(self.step_of(task).count)
        return {i for i in members if draw.random() < CULPRIT_SHARE} or {draw.choice(members)}

    def running_time(self, task: TaskName) -> float:
        # Members work together and end together.
        draw = Random(f"{self.seed} {task.job_id}")
        return self.step_of(task).estimate_s * draw.uniform(0.8, 1.2)

    def fails(self, task: TaskName, run: int) -> bool:
        return task.index in self._culprits(task, run)

    def may_end(self, task: TaskName, run: int) -> bool:
        culprits = self._culprits(task, run)
        return super().may_end(task, run) and (not culprits or task.index in culprits)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        super().judge_end(executor, task, run, kind)
        if kind in (EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED):
            later(self.trouble_beside.uniform(*BROKEN_S), self._break, task, run)
        if kind is EndKind.FAILED and (task.job_id, run) not in self.seen:
            self.seen.add((task.job_id, run))
            self._disturb(task, run)

    def _break(self, task: TaskName, run: int) -> None:
        for executor in self.executors.values():
            if executor.alive:
                executor.break_member(task, run)

    def _disturb(self, task: TaskName, run: int) -> None:
        """Beside a failed run, cut some executors of it off, lose writes, and lose the owner."""
        draw = self.trouble_beside
        if draw.random() >= TROUBLE_SHARE:
            return
        self.trouble()
        for executor in list(self.executors.values()):
            if any(t.job_id == task.job_id for t in executor.running) and draw.random() < 0.6:
                self._cut_off(executor, draw.choice(AWAY_S))
        if draw.random() < 0.6:
            self._lose_writes(draw.uniform(0.1, 1.0))
        if draw.random() < 0.7:
            later(draw.uniform(0.0, 1.5), self._lose_owner, draw.uniform(0.2, 3.0))

    def _cut_off(self, executor: MemoryExecutor, away_s: float) -> None:
        cut = {(name, executor.record.address) for name, _ in self.host_names()}
        self.cuts |= cut
        if away_s > ENTRY_GOES_S:
            later(ENTRY_GOES_S, self.forget_registration, executor)
        later(away_s, self._reach_again, executor)

    def _reach_again(self, executor: MemoryExecutor) -> None:
        self.trouble()
        self.cuts -= {(name, executor.record.address) for name, _ in self.host_names()}
        self.register(executor)

    def _lose_writes(self, lost_s: float) -> None:
        self.store.losing, self.store.late = 0.7, self.trouble_beside.random() < 0.5
        later(lost_s, self.store.calm)

    def _lose_owner(self, back_s: float) -> None:
        owner = self.owner()
        if owner is None:
            return
        self.trouble()
        self.kill_host(owner)
        later(back_s, self._come_back_host, owner)

    def _come_back_host(self, name: str) -> None:
        if name not in self.hosts:
            self.start_host(name)


@dataclass
class GangsPlayed:
    """What a day left.

    Attributes:
        world: The deployment.
        states: How the gangs' jobs are shown at the end.
    """

    world: GangsWorld
    states: list[str]


async def failing_gangs(seed: int) -> GangsPlayed:
    """Play a day of gangs of two to four members in a hall of four executors."""
    random = Random(seed)
    world = GangsWorld(
        seed=seed,
        hosts_per_hall=3,
        executors_per_hall=4,
        lists_machines=random.random() < 0.5,
        trouble_beside=random,
    )
    await world.begin()
    specs: list[JobSpec] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(GANGS):
            await asyncio.sleep(random.uniform(0.0, BETWEEN_S))
            gang = step(random.randint(2, 4), cpu=1_500, estimate_s=1.0, gang=True)
            specs.append(world.new_job(gang))
            group.create_task(_send(world, specs[-1]))
    await asyncio.sleep(SETTLED_S)
    name = next(iter(world.hosts))
    return GangsPlayed(world, [await world.state(name, spec.job_id) for spec in specs])


async def _send(world: GangsWorld, spec: JobSpec) -> None:
    """Send a job until it is accepted."""
    while True:
        for name in sorted(world.hosts):
            if name in world.hosts and await world.submit(name, spec) == 200:
                return
        await asyncio.sleep(0.2)
