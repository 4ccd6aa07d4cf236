"""A random scenario of overlapping faults, with callers that resubmit jobs at other hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step

FIRST_TROUBLE_S = 3.0
"""Earliest start of a fault, after the start of the traffic."""

LAST_TROUBLE_S = 14.0
"""Latest start of a fault, after the start of the traffic."""

TRAFFIC_S = 22.0
"""Duration of the traffic."""

CALM_S = 30.0
"""Time after the traffic and all faults in which every accepted job must end."""

MAX_STANDING_JOBS = 3
"""Maximum number of jobs with standing tasks."""

MAX_VISIBILITY_DELAY_S = 3.0
"""Time after its acceptance by which every host must know a job."""

COMPARISON_INTERVAL_S = 1.0
"""Interval between checks of the halls that hosts report for the jobs."""

Trouble = Callable[["OverlappingDay"], Awaitable[None]]
TROUBLES: dict[str, Trouble] = {}
"""Kinds of faults by the name of their function; a seed draws from the sorted names, so that
renaming a function changes the scenarios of all seeds."""


def trouble(function: Trouble) -> Trouble:
    """Register a kind of fault under the name of its function."""
    TROUBLES[function.__name__] = function
    return function


class OverlappingDay:
    """The traffic and the faults of one seed.

    Attributes:
        fault_log: Times and names of the faults that were injected.

    Args:
        seed: Seed of all random choices.
        halls: Names of the halls.
        hosts_per_hall: Number of hosts of each hall.
        jobs_per_s: New jobs per second.
        troubles: Number of faults.
        calm_s: Time after the traffic and all faults until the end, in seconds.
    """

    def __init__(
        self,
        seed: int,
        *,
        halls: tuple[str, ...] = ("east", "west", "north"),
        hosts_per_hall: int = 2,
        jobs_per_s: float = 5.0,
        troubles: int = 7,
        calm_s: float = CALM_S,
    ) -> None:
        self.world = HallWorld(
            halls=halls, hosts_per_hall=hosts_per_hall, seed=seed, failing_share=0.02
        )
        self.random = Random(seed * 7919 + 1)
        self._jobs_per_s = jobs_per_s
        self._troubles = troubles
        self._calm_s = calm_s
        self._standing = 0
        self.fault_log: list[str] = []

    async def play(self) -> HallWorld:
        """Run the scenario and return its world, with the violations it found."""
        world = self.world
        await world.begin()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._traffic(group))
            group.create_task(self._compare_halls())
            for _ in range(self._troubles):
                at = self.random.uniform(FIRST_TROUBLE_S, LAST_TROUBLE_S)
                group.create_task(self._trouble(at))
        world.store.calm()
        world.cuts.clear()
        self._start_missing()
        await asyncio.sleep(self._calm_s)
        await self._ask_for_all()
        return world

    async def _compare_halls(self) -> None:
        """Record a violation where a host reports another hall for a job than the records do."""
        loop = asyncio.get_running_loop()
        until = loop.time() + TRAFFIC_S
        while loop.time() < until:
            await asyncio.sleep(COMPARISON_INTERVAL_S)
            registries = [
                (name, running.host.job_registry) for name, running in self.world.hosts.items()
            ]
            self.world.violations += self.world.one_hall.compare(registries)

    async def _trouble(self, at: float) -> None:
        name = self.random.choice(sorted(TROUBLES))
        await asyncio.sleep(at)
        self.fault_log.append(f"{asyncio.get_running_loop().time():.2f} {name}")
        await self._cause(name)

    async def _cause(self, name: str) -> None:
        """Cause one fault, and return after its end."""
        await TROUBLES[name](self)

    async def _traffic(self, group: asyncio.TaskGroup) -> None:
        until = asyncio.get_running_loop().time() + TRAFFIC_S
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.expovariate(self._jobs_per_s))
            group.create_task(self._caller(self._job()))

    def _job(self) -> JobSpec:
        random = self.random
        if self._standing < MAX_STANDING_JOBS and random.random() < 0.1:
            # More tasks than a hall has executors, so that some are delegated.
            self._standing += 1
            return self.world.new_job(step(5, cpu=400, standing=True, max_per_executor=1))
        if random.random() < 0.6:
            first = step(random.randint(2, 6), estimate_s=random.uniform(0.3, 1.0))
        else:
            first = step(8, estimate_s=random.uniform(1.0, 2.5))
        if random.random() < 0.5:
            return self.world.new_job(first, step(2, estimate_s=0.6, depends_on=(0,)))
        return self.world.new_job(first)

    async def _caller(self, spec: JobSpec) -> None:
        """Submit a job until a host accepts it, and sometimes resubmit it seconds later."""
        world, random = self.world, self.random
        for _ in range(5):
            if not world.hosts:
                await asyncio.sleep(0.5)
                continue
            name = random.choice(sorted(world.hosts))
            if await world.submit(name, spec) == 200:
                await self._ask(spec.job_id)
                break
            await asyncio.sleep(random.uniform(0.1, 1.0))
        if random.random() < 0.2:
            await asyncio.sleep(random.uniform(0.5, 4.0))
            with suppress(IndexError):
                await world.submit(random.choice(sorted(world.hosts)), spec)

    async def _ask(self, job_id: str) -> None:
        """Query the state of an accepted job at random hosts and times."""
        world, random = self.world, self.random
        await asyncio.sleep(MAX_VISIBILITY_DELAY_S)
        for _ in range(random.randint(0, 12)):
            await asyncio.sleep(random.expovariate(4.0))
            names = sorted(world.hosts)
            if names and await world.ask(random.choice(names), job_id) == "410":
                now = asyncio.get_running_loop().time()
                world.violations.append(f"{now:.2f} LOST {job_id} is not known")

    def some_hosts(self) -> list[str]:
        """Return one host, two, an owner, all but two, or all."""
        names = sorted(self.world.hosts)
        if not names:
            return []
        kind = self.random.choice(("one", "some", "owner", "most", "all"))
        if kind == "owner":
            shard = self.random.randrange(len(self.world.halls))
            owner = self.world.owner(shard)
            return [owner] if owner else []
        count = {"one": 1, "some": 2, "most": len(names) - 2, "all": len(names)}[kind]
        return self.random.sample(names, max(min(count, len(names)), 1))

    async def last(self, low: float, high: float) -> None:
        """Wait for a random duration in seconds while a fault lasts."""
        await asyncio.sleep(self.random.uniform(low, high))

    def _start_missing(self) -> None:
        for name, _ in self.world.host_names():
            if name not in self.world.hosts:
                self.world.start_host(name)

    async def _ask_for_all(self) -> None:
        world = self.world
        for job_id in sorted(world.accepted):
            steps = world.specs[job_id].steps
            expected = ("running",) if steps[0].standing else ("succeeded", "failed")
            for name in sorted(world.hosts):
                state = await world.state(name, job_id)
                if state not in expected:
                    world.violations.append(f"LOST {job_id} is {state} at {name}")
            if steps[0].standing:
                self._find_standing(job_id, steps[0].count)

    def _find_standing(self, job_id: str, count: int) -> None:
        executors = [e for e in self.world.executors.values() if e.alive]
        running = {task for e in executors for task in e.running if task.job_id == job_id}
        for index in range(count):
            if TaskName(job_id, 0, 0, index) not in running:
                self.world.violations.append(f"LOST task {index} of {job_id} does not run")


@trouble
async def kill(day: OverlappingDay) -> None:
    """Kill hosts and restart them."""
    victims = day.some_hosts()
    for name in victims:
        if name in day.world.hosts:
            day.world.kill_host(name)
    await day.last(0.2, 1.5)
    for name in victims:
        if name not in day.world.hosts:
            day.world.start_host(name)


@trouble
async def freeze(day: OverlappingDay) -> None:
    """Freeze hosts and resume them."""
    victims = {name: day.world.hosts[name] for name in day.some_hosts()}
    for name in victims:
        day.world.freeze_host(name)
    await day.last(1.0, 5.0)
    for running in victims.values():
        day.world.thaw(running)


async def _exclude_hosts(day: OverlappingDay, excluded: set[str]) -> None:
    """Add some hosts to a set of hosts that the store does not serve, for a random duration."""
    victims = set(day.some_hosts())
    excluded |= victims
    await day.last(1.0, 6.0)
    excluded -= victims


@trouble
async def turn_away(day: OverlappingDay) -> None:
    """Make the store refuse the calls of some hosts."""
    await _exclude_hosts(day, day.world.store.refusing)


@trouble
async def cut_from_store(day: OverlappingDay) -> None:
    """Cut some hosts off from the store."""
    await _exclude_hosts(day, day.world.store.silent)


@trouble
async def lose_answers(day: OverlappingDay) -> None:
    """Lose answers of the store; it may apply the requests seconds later."""
    day.world.store.lost_answer_share = 0.4
    day.world.store.late = day.random.random() < 0.5
    await day.last(1.0, 4.0)
    day.world.store.lost_answer_share = 0.0


@trouble
async def forget(day: OverlappingDay) -> None:
    """Discard the history of all partitions of the store."""
    for partition in day.world.store.partitions:
        day.world.store.forget(partition)


@trouble
async def cut_hall(day: OverlappingDay) -> None:
    """Cut a hall off from the store and from the other halls."""
    world = day.world
    hall = day.random.choice(world.halls)
    inside = {name for name, other in world.host_names() if other == hall}
    world.store.silent |= inside
    cuts = world.cuts_around(hall)
    world.cuts |= cuts
    await day.last(2.0, 6.0)
    world.cuts -= cuts
    world.store.silent -= inside


@trouble
async def late_orders(day: OverlappingDay) -> None:
    """Make executors leave orders unanswered and execute them late."""
    day.world.late_share = 0.1
    day.world.lost_answer_share = 0.05
    await day.last(1.0, 4.0)
    day.world.late_share = day.world.lost_answer_share = 0.0


@trouble
async def crash_executor(day: OverlappingDay) -> None:
    """Crash an executor, which starts again as another incarnation."""
    address = day.random.choice(sorted(day.world.executors))
    if day.world.executors[address].alive:
        day.world.crash_executor(address)


@trouble
async def roll(day: OverlappingDay) -> None:
    """Stop hosts in the planned way and restart them, one after the other."""
    for name, _ in day.world.host_names():
        if name not in day.world.hosts:
            continue
        await day.world.remove_host(name)
        await day.last(0.1, 0.6)
        if name not in day.world.hosts:
            day.world.start_host(name)


@trouble
async def drain_executors(day: OverlappingDay) -> None:
    """Replace executors that announce their departure, keep serving for a while and end."""
    world = day.world
    for address in day.random.sample(sorted(world.executors), 2):
        executor = world.executors[address]
        if not executor.alive:
            continue
        world.register(executor, draining=True)
        await day.last(2.0, 4.0)
        if world.executors[address] is executor:
            world.crash_executor(address)
