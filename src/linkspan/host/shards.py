"""Which shard a new job lives in."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.host.configuration import Queue
    from linkspan.host.registry import ExecutorRegistry
    from linkspan.host.settings import HostSettings
    from linkspan.jobs.spec import JobSpec, StepSpec
    from linkspan.shard.messages import ExecutorRecord


class ShardChooser:
    """Chooses the hall whose executors can run a job, the own one first.

    Args:
        settings: The host's settings.
        registry: The registered executors.
    """

    def __init__(self, settings: HostSettings, registry: ExecutorRegistry) -> None:
        self._settings = settings
        self._registry = registry

    def __repr__(self) -> str:
        return f"ShardChooser({self._settings.hall!r})"

    def choose(self, spec: JobSpec, queue: Queue) -> int:
        """Return the number of the shard for a new job."""
        own = self._settings.shard
        best, best_score = own, -1
        for shard in [own, *(s for s in range(len(self._settings.halls)) if s != own)]:
            hall = self._settings.halls[shard]
            executors = [
                e
                for e in self._registry.executors(hall)
                if e.service == queue.service and not e.draining
            ]
            score = _score(spec, executors)
            if score > best_score:
                best, best_score = shard, score
        return best


def _score(spec: JobSpec, executors: list[ExecutorRecord]) -> int:
    """Count the steps that a hall can run, twice where it has their data."""
    score = 0
    for step in spec.steps:
        able = [e for e in executors if _able(step, e)]
        if able:
            score += 100
        if step.data_rack and any(step.data_rack in e.labels for e in able):
            score += 1
    return score


def _able(step: StepSpec, executor: ExecutorRecord) -> bool:
    demand, room = step.demand, executor.capacity
    return (
        (not step.label or step.label in executor.labels)
        and demand.memory_mb <= room.memory_mb
        and demand.gpus <= room.gpus
        and (step.best_effort or demand.milli_cpu <= room.milli_cpu)
    )
