"""Checks that the runs which halls believe in are those that executors have."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.attempt import Phase
from tests.virtual_time import world_time

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from linkspan.shard.messages import TaskName
    from tests.hall_world import HallWorld
    from tests.managed_tasks import ManagedTasks

MAX_DIFFERENCE_S = 3.0
"""Longest time for which a hall may believe in a run that is not there, or not know one that is:
for as long a standing task may be away beside room."""


class _Run(NamedTuple):
    """A run of a task on an incarnation of an executor."""

    task: TaskName
    number: int
    executor: str


class BelievedTasks:
    """Finds runs of standing tasks that a hall believes in and no executor has, and the reverse.

    Args:
        world: The deployment.
        managed: Knows the state of the halls' owners.
        excused: Returns the ids of jobs that need not run.
    """

    def __init__(
        self, world: HallWorld, managed: ManagedTasks, excused: Callable[[], Set[str]]
    ) -> None:
        self._world = world
        self._managed = managed
        self._excused = excused
        self._since: dict[tuple[_Run, str], float] = {}
        self._reported: set[tuple[_Run, str]] = set()
        self.checked = 0

    def check(self) -> None:
        """Add a violation for each run on which a hall and an executor differ for seconds, once."""
        now = world_time()
        found = self._differences() if self._managed.all_halls_act else []
        self._since = {difference: self._since.get(difference, now) for difference in found}
        for difference, since in self._since.items():
            if now - since > MAX_DIFFERENCE_S and difference not in self._reported:
                self._reported.add(difference)
                run, how = difference
                self._world.violations.append(f"{now:.2f} BELIEVED {run} {how} since {since:.2f}")

    def _differences(self) -> list[tuple[_Run, str]]:
        cores = self._managed.cores().values()
        known = {run: phase for core in cores for run, phase in _known_runs(core)}
        present = set(self._present_runs())
        self.checked += len(known)
        believed = {run for run, phase in known.items() if phase is Phase.RUNNING}
        found = [
            *((run, "is believed in, and not there") for run in believed - present),
            *((run, "is there, and no hall knows it") for run in present - known.keys()),
        ]
        excused = self._excused() if found else set()
        return [(run, how) for run, how in found if run.task.job_id not in excused]

    def _present_runs(self) -> Iterator[_Run]:
        for executor in self._world.executors.values():
            for run in executor.running.values() if executor.alive else ():
                if self._world.specs[run.task.job_id].standing:
                    yield _Run(run.task, run.run, executor.incarnation_name)


def _known_runs(core: ShardCore) -> Iterator[tuple[_Run, Phase]]:
    """Yield the runs that a hall knows of standing tasks of jobs that are not cancelled."""
    for job in core.jobs.values():
        if job.spec.standing and not job.closing:
            for attempt in job.attempts():
                run = _Run(attempt.task.name, attempt.run, attempt.executor_id)
                yield run, attempt.phase
