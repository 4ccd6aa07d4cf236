"""Random days on which a hall loses its executors for good under work of all kinds.

Every accepted job is judged, from its acceptance to its end. For other seeds:

    .venv/bin/python -m tests.host.lost_hall_day FIRST LAST [WAY]
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from random import Random

from linkspan.jobs.spec import JobSpec, Schedule
from tests.accepted_jobs import accept_in, count_running
from tests.job_builders import step
from tests.virtual_time import EPOCH, run_virtual, world_time
from tests.wide_world import WideWorld

HALLS = ("east", "west", "north")
EXECUTORS_PER_HALL = 4
WAVES = 14
WAVE_S = 0.6
FIRST_LOSS_S = 2.0
LAST_LOSS_S = 8.0

IDLE_LIMIT_S = 40.0
"""Time after the last loss from which on every job that has not ended must be at work."""

MAX_IDLE_S = 3.0
"""Longest time for which nothing of such a job may run."""

END_LIMIT_S = 80.0
"""Time after the last loss within which every accepted job must have ended."""

DRAIN_S = 2.0
AWAY_S = 6.0
FREEZE_S = 5.0
FINAL_STATES = ("succeeded", "failed")

Kind = Callable[["LostHallDay"], JobSpec]
KINDS: dict[str, Kind] = {}
"""Kinds of jobs by the name of their function; a seed draws from the sorted names."""

Way = Callable[["LostHallDay", str, list[str]], None]
WAYS: dict[str, Way] = {}
"""Ways in which a hall loses executors by the name of their function: the day, the hall and the
executors' addresses."""


def kind(function: Kind) -> Kind:
    """Register a kind of job under the name of its function."""
    KINDS[function.__name__] = function
    return function


def way(function: Way) -> Way:
    """Register a way to lose executors under the name of its function."""
    WAYS[function.__name__] = function
    return function


class LostHallDay:
    """The jobs and the losses of one seed.

    Attributes:
        world: The deployment.
        random: Source of all random choices.

    Args:
        seed: Seed of all random choices.
        name: The way in which executors are lost.
    """

    def __init__(self, seed: int, name: str) -> None:
        self.random = Random(seed)
        share = 0.1 if name == "late" else 0.0
        self.world = WideWorld(
            halls=HALLS,
            executors_per_hall=EXECUTORS_PER_HALL,
            seed=seed,
            failing_share=self.random.choice((0.0, 0.0, 0.1)),
            late_share=share,
            lost_answer_share=share,
        )
        self._lose = WAYS[name]
        self._specs: list[JobSpec] = []

    async def play(self) -> list[str]:
        """Play the day and return the promises that it broke."""
        await self.world.begin()
        losses = sorted(
            (self.random.uniform(FIRST_LOSS_S, LAST_LOSS_S), hall)
            for hall in self.random.sample(HALLS, self.random.choice((1, 1, 2)))
        )
        began = world_time()
        for _ in range(WAVES):
            await self._submit_some()
            await asyncio.sleep(WAVE_S)
            while losses and world_time() - began >= losses[0][0]:
                self._lose_in(losses.pop(0)[1])
        for _, hall in losses:
            self._lose_in(hall)
        return await self._unfinished() + self.world.problems

    def crash(self, address: str) -> None:
        """End an executor for good, if it is still there."""
        if self.world.executors[address].alive:
            self.world.crash_executor(address, back=False)

    def later(self, delay_s: float, call: Callable[..., None], *args: object) -> None:
        """Call a function after a time."""
        asyncio.get_running_loop().call_later(delay_s, call, *args)

    async def _submit_some(self) -> None:
        for _ in range(self.random.randint(0, 2)):
            spec = KINDS[self.random.choice(sorted(KINDS))](self)
            if self.random.random() < 0.5:
                accept_in(self.world, spec, self.random.randrange(len(HALLS)))
            elif await self.world.submit(self.random.choice(self._hosts()), spec) != 200:
                continue
            self._specs.append(spec)

    def _hosts(self) -> list[str]:
        return [name for name, _ in self.world.host_names() if name in self.world.hosts]

    def _lose_in(self, hall: str) -> None:
        executors = self.world.executors.items()
        there = [address for address, e in executors if e.record.hall == hall and e.alive]
        share = self.random.choice((0.25, 1.0, 1.0))
        self._lose(self, hall, there[: max(1, round(share * len(there)))])

    async def _unfinished(self) -> list[str]:
        """Return the jobs that have not ended in time, or of which nothing has run for long."""
        last = world_time()
        at_work = dict.fromkeys((spec.job_id for spec in self._specs), last)
        while at_work and world_time() - last < END_LIMIT_S:
            await asyncio.sleep(0.5)
            host, now = self._hosts()[0], world_time()
            for job_id in list(at_work):
                if await self.world.ask(host, job_id) in FINAL_STATES:
                    del at_work[job_id]
                elif count_running(self.world, job_id):
                    at_work[job_id] = now
            idle = [job_id for job_id, at in at_work.items() if now - at > MAX_IDLE_S]
            if now - last > IDLE_LIMIT_S and idle:
                return [f"LOST {job_id}: {self.world.specs[job_id].steps}" for job_id in idle]
        return [f"LOST {job_id}: {self.world.specs[job_id].steps}" for job_id in at_work]

    def estimate_s(self) -> float:
        """Return the duration of a task."""
        return self.random.uniform(0.8, 3.0)


@kind
def chain(day: LostHallDay) -> JobSpec:
    counts = [day.random.randint(1, 6) for _ in range(day.random.randint(2, 4))]
    steps = [
        step(count, cpu=1_500, estimate_s=day.estimate_s(), depends_on=(n - 1,) if n else ())
        for n, count in enumerate(counts)
    ]
    return day.world.new_job(*steps)


@kind
def wide(day: LostHallDay) -> JobSpec:
    return day.world.new_job(step(12, cpu=2_500, estimate_s=day.estimate_s()))


@kind
def gang(day: LostHallDay) -> JobSpec:
    return day.world.new_job(step(3, cpu=5_000, estimate_s=day.estimate_s(), gang=True))


@kind
def best_effort(day: LostHallDay) -> JobSpec:
    return day.world.new_job(step(6, cpu=1_500, estimate_s=day.estimate_s(), best_effort=True))


@kind
def spread(day: LostHallDay) -> JobSpec:
    first = step(3, cpu=1_500, estimate_s=day.estimate_s(), max_per_executor=1)
    return day.world.new_job(first, step(2, depends_on=(0,)))


@kind
def copied(day: LostHallDay) -> JobSpec:
    return day.world.new_job(step(4, cpu=1_000, estimate_s=day.estimate_s(), speculative=True))


@kind
def scheduled(day: LostHallDay) -> JobSpec:
    spec = day.world.new_job(step(3, cpu=1_500, estimate_s=day.estimate_s()))
    first_s = EPOCH + asyncio.get_running_loop().time() + 1.0
    return JobSpec(spec.job_id, spec.queue, spec.payload, spec.steps, Schedule(3, first_s, 3.0))


@way
def nothing(_day: LostHallDay, _hall: str, _there: list[str]) -> None:
    """Lose nothing: what breaks on these days has another cause."""


@way
def crash(day: LostHallDay, _hall: str, there: list[str]) -> None:
    for address in there:
        day.crash(address)


@way
def late(day: LostHallDay, hall: str, there: list[str]) -> None:
    """Lose executors on a day with late orders and lost answers."""
    crash(day, hall, there)


@way
def drain(day: LostHallDay, _hall: str, there: list[str]) -> None:
    for address in there:
        day.world.register(day.world.executors[address], draining=True)
        day.later(DRAIN_S, day.crash, address)


@way
def evacuate(day: LostHallDay, hall: str, _there: list[str]) -> None:
    day.world.evacuate(hall)


@way
def owner(day: LostHallDay, hall: str, there: list[str]) -> None:
    """Lose executors, and the host that owns the hall's shard."""
    crash(day, hall, there)
    if name := day.world.owner(HALLS.index(hall)):
        day.world.kill_host(name)


@way
def frozen_owner(day: LostHallDay, hall: str, there: list[str]) -> None:
    """Lose executors while the host that owns the hall's shard stands still for seconds."""
    crash(day, hall, there)
    if name := day.world.owner(HALLS.index(hall)):
        running = day.world.hosts[name]
        day.world.freeze_host(name)
        day.later(FREEZE_S, day.world.thaw, running)


@way
def cut(day: LostHallDay, hall: str, there: list[str]) -> None:
    """Cut executors off from all hosts; they go on, and come back seconds later."""
    lost = {(name, address) for name, _ in day.world.host_names() for address in there}
    day.world.cuts |= lost
    day.later(AWAY_S + day.random.uniform(0.0, AWAY_S), day.world.cuts.difference_update, lost)


@way
def other_owner(day: LostHallDay, hall: str, there: list[str]) -> None:
    """Lose executors and, seconds later, the owner of a hall that took their work over."""
    crash(day, hall, there)
    shard = (HALLS.index(hall) + 1) % len(HALLS)

    def kill() -> None:
        if name := day.world.owner(shard):
            day.world.kill_host(name)

    day.later(3.0, kill)


def main() -> None:
    """Play days and print what they broke."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    for name in sys.argv[3:] or sorted(WAYS):
        red = 0
        for seed in range(first, last + 1):
            problems = run_virtual(LostHallDay(seed, name).play())
            red += bool(problems)
            if problems:
                print(name, seed, len(problems), problems[0], flush=True)
        print(f"{name}: {red} of {last - first + 1} red", flush=True)


if __name__ == "__main__":
    main()
