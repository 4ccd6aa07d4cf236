"""A random scenario of gangs whose members fail while owners change and their writes are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import EndKind, TaskName
from tests.hall_executors import ENTRY_EXPIRY_S
from tests.host.later import later
from tests.job_builders import step
from tests.lease_expiry_world import LeaseExpiryWorld
from tests.standins.memory_executor import MemoryExecutor

GANG_COUNT = 12
"""Number of gangs: with this share of failing runs some use up their attempts and most do not."""

MAX_SUBMISSION_INTERVAL_S = 1.5
"""Longest time between two submissions."""

FAILING_SHARE = 0.35
"""Share of a gang's runs that fail."""

FAILING_MEMBER_SHARE = 0.6
"""Probability that a member of a failing run ends as failed; at least one member does."""

BREAK_DELAY_RANGE_S = 0.02, 0.4
"""Range of delays between a member's end and the end of the other members as broken, unless these
have failed as well."""

FAULT_SHARE = 0.7
"""Share of failed runs during which further faults are injected."""

CUT_OFF_DURATIONS_S = 0.4, 2.0, 8.0, 14.0
"""Durations for which an executor is cut off: shorter and longer than a lease and than the lifetime
of a registry entry."""

SETTLED_S = 90.0
"""Time in which all gangs end, including those that wait for leases to expire."""


@dataclass
class GangsWorld(LeaseExpiryWorld):
    """A deployment in which failing members of a gang end the runs of the other members.

    Attributes:
        fault_random: Draws the faults that are injected during a failed run.
        failed_runs: Gang runs that failed.
    """

    fault_random: Random = field(default_factory=lambda: Random(0))
    failed_runs: set[tuple[str, int]] = field(default_factory=set)

    def _failing_members(self, task: TaskName, run: int) -> set[int]:
        """Return the members that end as failed in a run; none if the run succeeds."""
        draw = Random(f"{self.seed} {task.job_id} {run}")
        if draw.random() >= FAILING_SHARE:
            return set()
        members = range(self.step_of(task).count)
        return {i for i in members if draw.random() < FAILING_MEMBER_SHARE} or {
            draw.choice(members)
        }

    def running_time(self, task: TaskName) -> float:
        # All members of a gang have the same duration.
        draw = Random(f"{self.seed} {task.job_id}")
        return self.step_of(task).estimate_s * draw.uniform(0.8, 1.2)

    def fails(self, task: TaskName, run: int) -> bool:
        return task.index in self._failing_members(task, run)

    def may_end(self, task: TaskName, run: int) -> bool:
        failing = self._failing_members(task, run)
        return super().may_end(task, run) and (not failing or task.index in failing)

    def judge_end(self, executor: MemoryExecutor, task: TaskName, run: int, kind: EndKind) -> None:
        super().judge_end(executor, task, run, kind)
        if kind in (EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED):
            later(self.fault_random.uniform(*BREAK_DELAY_RANGE_S), self._break, task, run)
        if kind is EndKind.FAILED and (task.job_id, run) not in self.failed_runs:
            self.failed_runs.add((task.job_id, run))
            self._inject_faults(task, run)

    def _break(self, task: TaskName, run: int) -> None:
        for executor in self.executors.values():
            if executor.alive:
                executor.break_member(task, run)

    def _inject_faults(self, task: TaskName, run: int) -> None:
        """Cut off some executors of a failed run, lose writes, and kill the owner."""
        draw = self.fault_random
        if draw.random() >= FAULT_SHARE:
            return
        self.record_fault()
        for executor in list(self.executors.values()):
            if any(t.job_id == task.job_id for t in executor.running) and draw.random() < 0.6:
                self._cut_off(executor, draw.choice(CUT_OFF_DURATIONS_S))
        if draw.random() < 0.6:
            self._lose_writes(draw.uniform(0.1, 1.0))
        if draw.random() < 0.7:
            later(draw.uniform(0.0, 1.5), self._kill_owner, draw.uniform(0.2, 3.0))

    def _cut_off(self, executor: MemoryExecutor, duration_s: float) -> None:
        cut = {(name, executor.record.address) for name, _ in self.host_names()}
        self.cuts |= cut
        if duration_s > ENTRY_EXPIRY_S:
            later(ENTRY_EXPIRY_S, self.forget_registration, executor)
        later(duration_s, self._reconnect, executor)

    def _reconnect(self, executor: MemoryExecutor) -> None:
        self.record_fault()
        self.cuts -= {(name, executor.record.address) for name, _ in self.host_names()}
        self.register(executor)

    def _lose_writes(self, duration_s: float) -> None:
        self.store.lost_answer_share, self.store.late = 0.7, self.fault_random.random() < 0.5
        later(duration_s, self.store.calm)

    def _kill_owner(self, down_s: float) -> None:
        owner = self.owner()
        if owner is None:
            return
        self.record_fault()
        self.kill_host(owner)
        later(down_s, self._restart_host, owner)

    def _restart_host(self, name: str) -> None:
        if name not in self.hosts:
            self.start_host(name)


@dataclass
class GangsOutcome:
    """The outcome of a scenario.

    Attributes:
        world: The deployment.
        states: Final states of the gangs' jobs.
    """

    world: GangsWorld
    states: list[str]


async def failing_gangs(seed: int) -> GangsOutcome:
    """Run gangs of two to four members in a hall of four executors."""
    random = Random(seed)
    world = GangsWorld(
        seed=seed,
        hosts_per_hall=3,
        executors_per_hall=4,
        lists_machines=random.random() < 0.5,
        fault_random=random,
    )
    await world.begin()
    specs: list[JobSpec] = []
    async with asyncio.TaskGroup() as group:
        for _ in range(GANG_COUNT):
            await asyncio.sleep(random.uniform(0.0, MAX_SUBMISSION_INTERVAL_S))
            gang = step(random.randint(2, 4), cpu=1_500, estimate_s=1.0, gang=True)
            specs.append(world.new_job(gang))
            group.create_task(_submit_until_accepted(world, specs[-1]))
    await asyncio.sleep(SETTLED_S)
    name = next(iter(world.hosts))
    return GangsOutcome(world, [await world.state(name, spec.job_id) for spec in specs])


async def _submit_until_accepted(world: GangsWorld, spec: JobSpec) -> None:
    """Submit a job repeatedly until a host accepts it."""
    while True:
        for name in sorted(world.hosts):
            if name in world.hosts and await world.submit(name, spec) == 200:
                return
        await asyncio.sleep(0.2)
