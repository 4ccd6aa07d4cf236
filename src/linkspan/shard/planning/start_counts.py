"""Counts the starts of an owner by kind of work and size of task."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.handover.backlog import size_class

if TYPE_CHECKING:
    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.task import Task


class WorkKind(Enum):
    """Kind of work that a task is."""

    SHORT = "short"
    STANDING = "standing"
    BEST_EFFORT = "best effort"

    @classmethod
    def of(cls, spec: StepSpec) -> WorkKind:
        """Return the kind of a step's tasks; those that end and reserve cores are short."""
        if spec.standing:
            return cls.STANDING
        return cls.BEST_EFFORT if spec.best_effort else cls.SHORT


class StartClass(NamedTuple):
    """Starts that are counted together.

    Attributes:
        kind: Kind of the tasks.
        again: Whether they are standing tasks that may have run before.
        milli_cpu: Upper bound of the thousandths of a core that one of them takes.
    """

    kind: WorkKind
    again: bool
    milli_cpu: int

    @classmethod
    def of(cls, task: Task) -> StartClass:
        """Return the class of a task's next start."""
        spec = task.step.spec
        again = spec.standing and task.may_have_run
        return cls(WorkKind.of(spec), again, size_class(spec.demand.milli_cpu))


class StartCounts:
    """Number of starts that were ordered so far, by class."""

    def __init__(self) -> None:
        self._counts: Counter[StartClass] = Counter()

    def __repr__(self) -> str:
        return f"StartCounts({self._counts.total()})"

    def add(self, task: Task) -> None:
        """Count the next start of a task."""
        self._counts[StartClass.of(task)] += 1

    def snapshot(self) -> Counter[StartClass]:
        """Return the present counts."""
        return self._counts.copy()

    def since(self, before: Counter[StartClass]) -> Counter[StartClass]:
        """Return the starts after a snapshot."""
        return self._counts - before
