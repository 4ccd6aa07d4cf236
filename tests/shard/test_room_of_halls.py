"""Tests the room that other halls are believed to have, and what it costs to ask for it."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.handover._hall_room import HallRoom
from linkspan.shard.handover.rebalance import Rebalancer
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from linkspan.shard.planning.task_need import TaskNeed
from tests.job_builders import step
from tests.shard.builders import core_with, submitted_job

EXECUTORS = 233
"""Executors of a hall at the planned size."""

OTHER_HALLS = 11

WAITING = 100
"""Jobs that wait, of a few kinds."""

MAX_LOOKS = 2 * EXECUTORS * OTHER_HALLS
"""Looks at an executor's room that one kind of waiting tasks may cost a pass."""

AMOUNTS = st.integers(0, 40)
SPECS = st.builds(
    StepSpec,
    st.integers(1, 4),
    st.builds(Demand, st.integers(1, 20), AMOUNTS),
    standing=st.booleans(),
    max_per_executor=st.integers(0, 3),
)


def _hall(*free: tuple[int, int], cpu: int = 40) -> HallSummary:
    kind = ExecutorKind("pool", Demand(cpu, 32_000), frozenset(), len(free))
    return HallSummary(
        capacity=cpu * len(free),
        free=sum(free_cpu for free_cpu, _ in free),
        free_by_executor=free,
        kinds=(kind,),
        rows_by_kind=(len(free),),
    )


@given(st.lists(st.tuples(AMOUNTS, AMOUNTS), max_size=4), st.lists(SPECS, min_size=1, max_size=6))
def test_kept_slots_are_those_of_the_rooms_that_are_left(
    free: list[tuple[int, int]], specs: list[StepSpec]
) -> None:
    """Guards against slots that are kept for a need although other work has taken the room."""
    room = HallRoom(_hall(*free), 0.0)
    needs = [TaskNeed.of(spec, "pool", use_headroom=False) for spec in specs]
    for need, spec in zip(needs, specs, strict=True):
        known = [room.slots(other) for other in needs]
        room.take(need, spec.count)
        left = HallRoom(_left_of(room), 0.0)
        assert [room.slots(other) for other in needs] == [left.slots(other) for other in needs]
        assert known[needs.index(need)] >= room.slots(need)


def _left_of(room: HallRoom) -> HallSummary:
    """Return the summary of a hall with what a hall's room has left."""
    return _hall(*((r.free_cpu, r.free_memory) for r in room._all_rooms()))


@pytest.mark.parametrize("standing", [False, True])
def test_full_halls_are_looked_at_once_for_all_tasks_of_a_kind(
    monkeypatch: pytest.MonkeyPatch, *, standing: bool
) -> None:
    """Guards against passes that stop a host's other work for a second.

    Each waiting task looked at each executor of all halls, though none had room.
    """
    looks = 0
    slots = TaskNeed.slots

    def counted(need: TaskNeed, room: object) -> int:
        nonlocal looks
        looks += 1
        return slots(need, room)  # type: ignore[arg-type]

    monkeypatch.setattr(TaskNeed, "slots", counted)
    full = _hall(*[(100, 32_000)] * EXECUTORS, cpu=32_000)
    halls = {shard: replace(full) for shard in range(1, OTHER_HALLS + 1)}
    core = _waiting_core(standing=standing)
    rebalancer = Rebalancer(
        core,
        summaries=lambda: halls,
        count_capable=lambda shard, spec, service: halls[shard].count_capable(spec, service),
    )
    for now in (0.6, 0.9, 1.2, 2.1, 3.0):
        assert rebalancer.plan(full, now) == []
    assert 0 < looks <= MAX_LOOKS


def _waiting_core(*, standing: bool) -> ShardCore:
    core = core_with(executors=0)
    core.jobs.clear()
    for number in range(WAITING):
        work = step(4, cpu=2_000, standing=standing)
        core.add_job(submitted_job(work, job_id=f"{number:016x}"), 0.0)
    return core
