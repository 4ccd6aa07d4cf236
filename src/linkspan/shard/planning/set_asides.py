"""Resources of executors that are set aside for waiting tasks with a reservation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeVar

from linkspan.jobs.spec import Demand

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from linkspan.shard.step_run import StepRun

Key = TypeVar("Key")

NOTHING = Demand()
"""No resources."""


class SetAsideEnd(Enum):
    """Why resources are no longer set aside."""

    STARTED = "a task of the step started there"
    FEWER_WAIT = "fewer tasks of the step wait in this hall"
    UNUSABLE = "the executor takes no new work"
    EXPIRED = "the task did not fit in time"


@dataclass(frozen=True, slots=True)
class SetAside:
    """Resources of one executor that are kept for a waiting task of a step.

    Attributes:
        step: The step; any of its waiting tasks may use the resources.
        executor_id: The executor.
        since: Steady time at which they were set aside.
    """

    step: StepRun
    executor_id: str
    since: float


class SetAsides:
    """All resources of a hall's executors that are set aside, by step and by executor."""

    def __init__(self) -> None:
        self._by_step: dict[StepRun, list[SetAside]] = {}
        self._by_executor: dict[str, list[SetAside]] = {}

    def __repr__(self) -> str:
        return f"SetAsides({len(self._by_step)} steps, {len(self._by_executor)} executors)"

    def __len__(self) -> int:
        return sum(map(len, self._by_step.values()))

    @property
    def steps(self) -> Collection[StepRun]:
        """Steps for which resources are set aside."""
        return self._by_step.keys()

    @property
    def executor_ids(self) -> Collection[str]:
        """Executors of which resources are set aside."""
        return self._by_executor.keys()

    def of(self, step: StepRun) -> tuple[SetAside, ...]:
        """Return what is set aside for a step, the oldest first."""
        return tuple(self._by_step.get(step, ()))

    def add(self, set_aside: SetAside) -> None:
        """Set resources aside."""
        self._by_step.setdefault(set_aside.step, []).append(set_aside)
        self._by_executor.setdefault(set_aside.executor_id, []).append(set_aside)

    def remove(self, set_aside: SetAside) -> None:
        """Stop setting resources aside."""
        _remove(self._by_step, set_aside.step, set_aside)
        _remove(self._by_executor, set_aside.executor_id, set_aside)

    def held(self, executor_id: str) -> Demand:
        """Return all that is set aside of an executor."""
        return _sum(self._by_executor.get(executor_id, ()))

    def held_against(
        self, step: StepRun, executor_id: str, less_urgent: Collection[StepRun]
    ) -> Demand:
        """Return what is set aside of an executor and a step's tasks may not use.

        A task with a reservation may use what is set aside for less urgent steps.

        Args:
            step: The step.
            executor_id: The executor.
            less_urgent: Steps that are known to be less urgent.
        """
        on_executor = self._by_executor.get(executor_id)
        if not on_executor:
            return NOTHING
        if step.spec.best_effort:
            return _sum(on_executor)
        return _sum(s for s in on_executor if s.step is not step and s.step not in less_urgent)


def _remove(index: dict[Key, list[SetAside]], key: Key, set_aside: SetAside) -> None:
    index[key].remove(set_aside)
    if not index[key]:
        del index[key]


def _sum(set_asides: Iterable[SetAside]) -> Demand:
    milli_cpu = memory_mb = gpus = 0
    for set_aside in set_asides:
        demand = set_aside.step.spec.demand
        milli_cpu += demand.milli_cpu
        memory_mb += demand.memory_mb
        gpus += demand.gpus
    return Demand(milli_cpu, memory_mb, gpus)
