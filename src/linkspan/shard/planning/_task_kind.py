"""Kinds of tasks, and those that fit nowhere during one plan."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from linkspan.jobs.spec import Demand
    from linkspan.shard.planning.urgency import Timeliness
    from linkspan.shard.step_run import StepRun


class TaskKind(NamedTuple):
    """Properties that decide which executors have capacity for a task.

    Attributes:
        service: Service whose executors run the tasks.
        label: Required label, empty if there is none.
        standing: Whether the tasks are standing ones.
        best_effort: Image and timeliness of best-effort tasks, ``None`` for others.
        use_headroom: Whether a standing task may use the headroom for short ones.
        starved: Whether pressure on standing tasks is ignored.
        demand: Resources that one task takes.
    """

    service: str
    label: str
    standing: bool
    best_effort: tuple[str, Timeliness] | None
    use_headroom: bool
    starved: bool
    demand: Demand


def has_kind(step: StepRun) -> bool:
    """Return whether the kind of a step's tasks decides which executors have capacity for them.

    The members of a gang may be unplaced again. A spread limit and tickets restrict one step only.
    """
    spec = step.spec
    return not (spec.gang or spec.max_per_executor or step.run.job.requires_ticket)


def kind_of(
    step: StepRun, timeliness: Timeliness | None, *, use_headroom: bool, starved: bool
) -> TaskKind:
    """Return the kind of a step's tasks.

    Args:
        step: The step.
        timeliness: Timeliness of a best-effort step, ``None`` for others.
        use_headroom: Whether a standing task may use the headroom for short ones.
        starved: Whether pressure on standing tasks is ignored.
    """
    spec = step.spec
    return TaskKind(
        step.run.job.service,
        spec.label,
        spec.standing,
        None if timeliness is None else (spec.image, timeliness),
        use_headroom and spec.standing,
        starved,
        spec.demand,
    )


class UnplaceableKinds:
    """Kinds of tasks that no usable executor has capacity for.

    Placements of a plan only reduce free capacity, so a kind that did not fit does not fit later in
    the same plan, and neither does one that is the same but takes more. For each set of other
    properties only the smallest demands are kept, so that steps of many sizes cost little.
    """

    def __init__(self) -> None:
        # For each smallest demand, a step with such tasks.
        self._smallest: dict[tuple[object, ...], dict[Demand, StepRun]] = {}

    def __repr__(self) -> str:
        return f"UnplaceableKinds({self._smallest})"

    def __contains__(self, kind: TaskKind) -> bool:
        smallest = self._smallest.get(kind[:-1])
        return smallest is not None and any(_covers(kind.demand, small) for small in smallest)

    def add(self, kind: TaskKind, step: StepRun) -> None:
        """Add a kind that fits nowhere, with a step whose tasks are of it."""
        smallest = self._smallest.setdefault(kind[:-1], {})
        for covered in [small for small in smallest if _covers(small, kind.demand)]:
            del smallest[covered]
        smallest[kind.demand] = step

    def examples(self) -> list[tuple[TaskKind, StepRun]]:
        """Return the smallest kinds, each with a step whose tasks are of it."""
        return [
            (TaskKind._make((*key, demand)), step)
            for key, smallest in self._smallest.items()
            for demand, step in smallest.items()
        ]


def _covers(demand: Demand, other: Demand) -> bool:
    """Return whether a demand takes at least as much of each resource as another one."""
    return (
        demand.milli_cpu >= other.milli_cpu
        and demand.memory_mb >= other.memory_mb
        and demand.gpus >= other.gpus
    )
