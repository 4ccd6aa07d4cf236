"""Checks that each accepted task that is not done is managed by exactly one hall."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from linkspan.shard.messages import TaskName
from tests.virtual_time import virtual_loop, world_time

if TYPE_CHECKING:
    from linkspan.shard.core import ShardCore
    from tests.hall_world import HallWorld

CHECK_INTERVAL_S = 0.1
"""Interval between checks."""

MAX_HANDOVER_S = 2.0
"""Longest time for which no hall, or two, may manage a task while all halls have owners: a handover
needs two records, each of which a slow store takes in 0.4 s, and the other hall reads the second
one as late."""


class ManagedTasks:
    """Finds the tasks of standing jobs that no hall manages, or more than one.

    Args:
        world: The deployment.

    Attributes:
        longest_s: Longest time for which a task was not managed by exactly one hall while all
            halls had owners and the store answered them, in seconds.
        checked: Number of checks of a task, in all.
    """

    def __init__(self, world: HallWorld) -> None:
        self._world = world
        self._wrong_since: dict[TaskName, float] = {}
        self._reported: set[TaskName] = set()
        self._recovered: set[tuple[int, int]] = set()
        self._lines_read = 0
        self.longest_s = 0.0
        self.checked = 0

    async def watch(self) -> None:
        """Check for ever, and add violations to those of the world."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def wrong(self) -> dict[TaskName, int]:
        """Return by how many halls each task is managed that exactly one should manage."""
        cores = self.cores()
        managing = Counter(task for core in cores.values() for task in _managed_tasks(core))
        expected = {
            TaskName(job_id, 0, index, number)
            for job_id in self._open_jobs()
            for index, step in enumerate(self._world.specs[job_id].steps)
            for number in range(step.count)
        }
        self.checked += len(expected)
        return {task: managing[task] for task in expected if managing[task] != 1}

    @property
    def all_halls_act(self) -> bool:
        """Whether each hall has a recovered owner that is not frozen, and the store answers all."""
        store = self._world.store
        if store.refusing or store.silent or store.lost_answer_share or store.read_duration_s:
            return False
        return len(self.cores()) == len(self._world.halls)

    def check(self) -> None:
        """Add a violation to those of the world for each task that is wrong for too long, once."""
        now = world_time()
        wrong = self.wrong() if self.all_halls_act else {}
        self._wrong_since = {task: self._wrong_since.get(task, now) for task in wrong}
        for task, since in self._wrong_since.items():
            self.longest_s = max(self.longest_s, now - since)
            if now - since > MAX_HANDOVER_S and task not in self._reported:
                self._reported.add(task)
                self._world.violations.append(
                    f"{now:.2f} MANAGED {task} is managed by {wrong[task]} halls"
                )

    def cores(self) -> dict[int, ShardCore]:
        """Return the state of each hall's newest owner, if it has recovered the hall, by shard."""
        self._read_recoveries()
        cores: dict[int, ShardCore] = {}
        for running in self._world.hosts.values():
            if virtual_loop().is_frozen(running.process):
                continue
            for shard, candidate in enumerate(running.host.candidates):
                core = candidate.tenure and candidate.tenure.core
                if not core or (shard, core.token) not in self._recovered:
                    continue
                known = cores.get(shard)
                if known is None or known.token < core.token:
                    cores[shard] = core
        return cores

    def _read_recoveries(self) -> None:
        lines = self._world.log.lines
        for _, event, fields in lines[self._lines_read :]:
            if event == "OWNER_RECOVERED":
                self._recovered.add((fields["shard"], fields["token"]))
        self._lines_read = len(lines)

    def _open_jobs(self) -> set[str]:
        """Return the accepted standing jobs that no host knows to be finished or cancelled."""
        registries = [running.host.job_registry for running in self._world.hosts.values()]
        entries = {
            job_id: [registry.catalog.get(job_id) for registry in registries]
            for job_id in self._world.accepted
            if self._world.specs[job_id].standing
        }
        return {
            job_id
            for job_id, known in entries.items()
            if all(entry and not entry.finished and not entry.cancelled for entry in known)
        }


def _managed_tasks(core: ShardCore) -> list[TaskName]:
    """Return the tasks that a shard manages; a job that is being moved counts as handed over."""
    return [
        task.name
        for job in core.jobs.values()
        if not job.moving
        for run in job.runs.values()
        for task in run.tasks()
        if task.managed_by is None
    ]
