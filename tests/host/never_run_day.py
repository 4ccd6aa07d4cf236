"""A random scenario of standing jobs of all widths and sizes, judged from their acceptance."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Set
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf

from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from tests.hall_world import HallWorld
from tests.host.overlapping_day import OverlappingDay
from tests.host.standing_checks import StandingChecks
from tests.host.standing_faults_day import StandingFaultsDay
from tests.host.standing_judge import StandingJudge
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import world_time

CALM = "calm"
"""The kind that injects no fault."""

CALM_FAULT_S = 1.0
"""Duration of a fault of this kind."""

ALL_HALLS = (
    "east",
    "west",
    "north",
    "south",
    "northeast",
    "northwest",
    "southeast",
    "southwest",
    "upper",
    "lower",
    "inner",
    "outer",
)
"""Names of the halls, of which a scenario has the first ones."""


@dataclass(frozen=True)
class StandingLoad:
    """How much standing work a scenario has, and of which kinds.

    Attributes:
        executors_per_hall: Number of executors of each hall.
        max_share: Share of all cores that the standing jobs need before no more of them are
            submitted.
        job_share: Share of the jobs that have standing tasks until then.
        cancelled_share: Share of the standing jobs that their callers cancel.
        widths: Numbers of tasks of a standing job.
        sizes: Demands of a standing task: parts of an executor in cores, memory or both.
        spreads: Maximum numbers of tasks of a step on one executor; 0 is no limit.
    """

    executors_per_hall: int = 6
    max_share: float = 0.6
    job_share: float = 0.35
    cancelled_share: float = 0.3
    widths: tuple[int, ...] = (1, 3, 6, 11, 17)
    sizes: tuple[Demand, ...] = (
        Demand(1_940, 2_400),
        Demand(1_200, 9_000),
        Demand(2_600, 700),
        Demand(4_200, 5_000),
        Demand(6_800, 12_000),
        Demand(7_700, 3_000),
    )
    spreads: tuple[int, ...] = (0, 0, 1, 2)


ORDINARY_LOAD = StandingLoad()

FULL_HALLS = StandingLoad(
    executors_per_hall=8,
    max_share=0.9,
    job_share=0.6,
    cancelled_share=0.6,
    widths=(2, 4, 6, 8, 12, 17),
    sizes=(
        Demand(970, 1_200),
        Demand(1_250, 3_200),
        Demand(1_625, 3_250),
        Demand(1_900, 4_500),
        Demand(2_400, 6_300),
    ),
    spreads=(0, 1, 1, 2),
)
"""Halls that fill up with small standing tasks, of which most end again."""

CANCEL_RANGE_S = 2.0, 30.0
"""Range of times from the acceptance to the cancellation."""

EXECUTOR_FAULTS = frozenset(
    (
        "crash_executor",
        "dark",
        "drain",
        "drain_executors",
        "join",
        "late",
        "late_orders",
        "replace",
        "replace_in_turn",
        "restart",
        "restart_late",
        "shrink",
        "shrink_and_grow",
    )
)
"""Faults that leave hosts and store alone, so that cancelled work must still end in time."""


class NeverRunDay(StandingFaultsDay):
    """A scenario in which standing tasks are wide, large or both, and some never ran.

    Some jobs are accepted for a random hall, as by a host with an outdated view of the halls, and
    some are cancelled and leave room.

    Args:
        seed: Seed of all random choices.
        kinds: Names of the kinds of faults to inject, of which ``CALM`` injects none; by default
            all but that.
        hall_count: Number of halls.
        load: Its standing work.
    """

    def __init__(
        self,
        seed: int,
        kinds: tuple[str, ...] = (),
        *,
        hall_count: int = 4,
        load: StandingLoad = ORDINARY_LOAD,
    ) -> None:
        super().__init__(seed, kinds)
        self._load = load
        self.world = HallWorld(
            halls=ALL_HALLS[:hall_count],
            hosts_per_hall=2,
            executors_per_hall=load.executors_per_hall,
            seed=seed,
            failing_share=0.02,
        )
        self.world.resets = self.random.random() < 0.5
        self._judge = StandingJudge(MAX_AWAY_S)
        self.checks = StandingChecks(self.world, self._excused)
        self._standing_cpu = 0
        self._cancelled: set[str] = set()
        self._open_faults = 0

    def _job(self) -> JobSpec:
        random, world, load = self.random, self.world, self._load
        all_cpu = len(world.halls) * world.executors_per_hall * world.milli_cpu
        is_full = self._standing_cpu > load.max_share * all_cpu
        if is_full or random.random() >= load.job_share:
            return OverlappingDay._job(self)
        count, demand = random.choice(load.widths), random.choice(load.sizes)
        self._standing_cpu += count * demand.milli_cpu
        self._standing += 1
        spread = random.choice(load.spreads)
        return world.new_job(StepSpec(count, demand, 1.0, standing=True, max_per_executor=spread))

    async def _caller(self, spec: JobSpec) -> None:
        await super()._caller(spec)
        if not spec.standing or self.random.random() >= self._load.cancelled_share:
            return
        await self.last(*CANCEL_RANGE_S)
        if spec.job_id not in self.world.accepted or not self.world.hosts:
            return
        # Whatever the answer: the host may have recorded the cancellation.
        self._cancelled.add(spec.job_id)
        await self.world.cancel(self.random.choice(sorted(self.world.hosts)), spec.job_id)

    async def _cause(self, name: str) -> None:
        with self._recorded(name):
            await super()._cause(name)

    async def _inject(self, kind: str) -> None:
        if kind == CALM:
            await asyncio.sleep(CALM_FAULT_S)
            return
        with self._recorded(kind):
            await super()._inject(kind)

    @contextmanager
    def _recorded(self, fault: str) -> Iterator[None]:
        """Tell the judge of cancelled work of a fault of hosts or the store while it lasts."""
        if fault in EXECUTOR_FAULTS:
            yield
            return
        self._open_faults += 1
        self.world.faulty_until = inf
        try:
            yield
        finally:
            self._open_faults -= 1
            self.world.faulty_until = inf if self._open_faults else world_time()

    def _excused(self) -> Set[str]:
        return super()._excused() | self._cancelled
