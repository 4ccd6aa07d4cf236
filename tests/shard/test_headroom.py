"""Tests the room that standing tasks leave to short ones: pieces of some executors.

Executors have 64 cores and 4 GB of memory a core, unless a test says otherwise.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import ExecutorState
from linkspan.shard.handover.summarize import summarize
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import EndedTask, EndKind, ExecutorRecord
from linkspan.shard.planning.headroom import (
    FIRST_SHARE,
    MAX_DECLINE_S,
    MAX_SHARE,
    PIECE_SHARE,
    Kept,
    piece_shares,
)
from linkspan.shard.planning.task_need import HEADROOM_WAIT_S, TaskNeed
from tests.job_builders import step
from tests.shard.builders import (
    JOB,
    add_executors,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)

CORES = 64_000
SHORT, MORE = "00000000000000c1", "00000000000000c2"


def _hall(*steps: StepSpec, executors: int = 10, cpu: int = CORES) -> ShardCore:
    core = core_with(*steps, executors=0)
    add_executors(core, {f"e{index}": cpu for index in range(executors)})
    return core


def _kept(core: ShardCore) -> dict[str, int]:
    """Return the thousandths of a core that are kept, of the executors with any."""
    kept = {e.executor_id: e.headroom.milli_cpu for e in core.executors.values()}
    return {executor_id: milli_cpu for executor_id, milli_cpu in kept.items() if milli_cpu}


def _states(*kinds: tuple[int, str]) -> list[ExecutorState]:
    return [
        ExecutorState(
            ExecutorRecord(
                f"e{index:02}",
                "pool",
                f"e{index}:1",
                "east",
                Demand(cpu, 4 * cpu),
                frozenset({label}),
                "r",
            )
        )
        for index, (cpu, label) in enumerate(kinds)
    ]


@pytest.mark.parametrize("count", [1, 2, 3, 7, 10, 82])
def test_a_tenth_of_the_cores_is_kept_in_pieces_of_half_an_executor(count: int) -> None:
    """Guards against a headroom that is smaller on each executor than the tasks it is for."""
    shares = piece_shares(_states(*[(CORES, "a")] * count), Kept())
    assert sum(shares.values()) == pytest.approx(FIRST_SHARE * count)
    assert sum(share != PIECE_SHARE for share in shares.values()) <= 1
    assert max(shares.values()) <= PIECE_SHARE


def _holding_standing(core: ShardCore) -> set[str]:
    """Return the executors on which standing tasks start."""
    return {order.executor_id for order in plan(core, 0.1)}


def test_a_piece_larger_than_half_an_executor_is_kept_where_there_is_room_for_it() -> None:
    """Guards against a piece of which standing tasks hold a part, beside empty executors."""
    core = _hall(step(1, cpu=30_000, standing=True))
    (holding,) = _holding_standing(core)
    shares = piece_shares(core.executors.values(), Kept(FIRST_SHARE, piece_milli_cpu=48_000))
    assert max(shares.values()) == pytest.approx(0.75)
    assert holding not in shares


def test_accelerators_are_kept_where_standing_tasks_leave_some() -> None:
    """Guards against pieces whose accelerators all belong to standing tasks."""
    spec = replace(step(2, standing=True, max_per_executor=1), demand=Demand(1_000, 100, 4))
    core = _hall(spec)
    for executor in core.executors.values():
        executor.record = replace(executor.record, capacity=Demand(CORES, 32_000, 4))
    holding = _holding_standing(core)
    shares = piece_shares(core.executors.values(), Kept(FIRST_SHARE, gpus=True))
    assert len(holding) == len(shares) == 2
    assert holding.isdisjoint(shares)


def test_pieces_are_spread_over_kinds_of_executors() -> None:
    """Guards against short tasks that need one kind, of which nothing is kept."""
    kinds = [(CORES, "a")] * 20 + [(2 * CORES, "b")] * 10 + [(CORES, "c")] * 10
    shares = piece_shares(_states(*kinds), Kept())
    by_label = {
        label: sum(shares.get(f"e{i:02}", 0.0) for i, (_, own) in enumerate(kinds) if own == label)
        for label in "abc"
    }
    assert by_label == pytest.approx({"a": 2.0, "b": 1.0, "c": 1.0})


def test_a_hall_that_standing_tasks_fill_keeps_pieces_for_short_ones() -> None:
    """Guards against wide short tasks that fit on no executor of a hall full of standing work."""
    core = _hall(step(60, cpu=13_000, standing=True))
    plan(core, 0.1)
    core.add_job(submitted_job(step(2, cpu=32_000), job_id=SHORT), 1.0)
    assert [order.task.job_id for order in plan(core, 1.1)] == [SHORT, SHORT]


def test_standing_tasks_may_use_the_headroom_after_a_while() -> None:
    """Guards against accepted standing tasks that wait for ever beside free cores."""
    core = _hall(step(60, cpu=13_000, standing=True))
    begun = len(plan(core, 0.1))
    assert begun < 40
    assert begun + len(plan(core, 0.1 + HEADROOM_WAIT_S)) == 40


def test_pieces_are_kept_where_standing_tasks_leave_most() -> None:
    """Guards against pieces that are kept by name only, as standing tasks have taken a part."""
    core = _hall(step(30, cpu=20_000, standing=True, max_per_executor=3), executors=10)
    plan(core, 0.1)
    plan(core, 0.1 + HEADROOM_WAIT_S)
    assert {e.standing.milli_cpu for e in core.executors.values()} == {60_000}
    for attempt in [a for e in ("e4", "e7") for a in core.executors[e].attempts.values()][:5]:
        core.close_attempt(attempt, 5.0)
        attempt.task.managed_by = 1
    plan(core, 6.0)
    assert set(_kept(core)) == {"e4", "e7"}


def test_an_executor_that_keeps_a_piece_stays_so_among_equals() -> None:
    """Guards against pieces that move on each time, so that standing tasks fill all in turn."""
    core = _hall(executors=10)
    plan(core, 0.1)
    kept = set(_kept(core))
    assert len(kept) == 2
    add_executors(core, {f"e{index}": CORES for index in range(10)} | {"a0": CORES})
    plan(core, 1.0)
    assert kept <= set(_kept(core))


def test_short_tasks_use_the_headroom_and_take_nothing_else_from_standing_ones() -> None:
    """Guards against a headroom that is kept free beside short tasks that use it."""
    core = _hall(step(2, cpu=16_000), executors=1, cpu=320_000)
    plan(core, 0.1)
    (executor,) = core.executors.values()
    assert executor.reserved_cpu == 32_000
    assert executor.headroom == Demand(0, int(0.1 * 8 * 320_000) - 200)
    core.add_job(submitted_job(step(1, cpu=288_000, standing=True), job_id=MORE), 1.0)
    assert [order.task.job_id for order in plan(core, 1.1)] == [MORE]


def test_memory_is_kept_as_cores_are() -> None:
    """Guards against short tasks that find cores without memory beside standing tasks."""
    spec = StepSpec(100, Demand(1_000, 50_000), standing=True)
    core = _hall(spec, executors=10, cpu=64_000)
    plan(core, 0.1)
    free = sorted(e.free_memory for e in core.executors.values())
    assert free[-2:] == pytest.approx([256_000, 256_000], abs=50_000)
    assert min(free[-2:]) >= 256_000


def test_a_restart_takes_other_room_before_the_headroom() -> None:
    """Guards against restarts that break up pieces beside other room; they may use any at once."""
    core = _hall(step(1, cpu=40_000, standing=True), executors=5)
    core.jobs[JOB].runs[0].steps[0].tasks[0].next_run = 2
    (order,) = plan(core, 0.1)
    assert order.executor_id not in _kept(core)


def test_other_halls_and_hosts_read_what_is_kept() -> None:
    """Guards against standing jobs that hosts accept into what a hall keeps for short tasks."""
    core = _hall(executors=10)
    summary = summarize(core, 1.0)
    rooms = list(HallSummary.decode(summary.encode()).rooms())
    assert _cores(room.headroom for room in rooms) == _cores(
        e.headroom for e in core.executors.values()
    )
    need = TaskNeed.of(step(1, cpu=32_000, standing=True), "pool", use_headroom=False)
    assert sum(need.slots(room) for room in rooms) == 18


def _cores(headrooms: Iterable[Demand]) -> list[int]:
    return sorted(headroom.milli_cpu for headroom in headrooms)


def test_a_tenth_of_each_executor_is_kept_where_a_hall_publishes_no_pieces() -> None:
    """Guards against a summary of an earlier version that reads as if nothing were kept."""
    fields = summarize(_hall(executors=2), 1.0).encode()
    rooms = HallSummary.decode(fields[:14]).rooms()
    assert [room.headroom for room in rooms] == [Demand(6_400), Demand(6_400)]


def _kept_share(core: ShardCore) -> float:
    total = sum(e.total_cpu for e in core.executors.values())
    return sum(e.kept.milli_cpu for e in core.executors.values() if e.kept) / total


def _play(core: ShardCore, seconds: int, *steps: StepSpec, from_s: int = 0) -> None:
    """Let jobs of the steps arrive each second, whose tasks end a second later."""
    for second in range(from_s, from_s + seconds):
        now = float(second)
        for index, spec in enumerate(steps):
            job_id = f"{second:08x}{index:08x}"
            core.add_job(submitted_job(spec, job_id=job_id, accepted=now), now)
        for quarter in range(4):
            plan(core, now + 0.25 * quarter)
        for job in core.jobs.values():
            for attempt in list(job.attempts()):
                core.close_attempt(attempt, now + 0.9)
                core.mark_done(attempt.task, now + 0.9)


def test_more_is_kept_where_short_work_asks_for_more() -> None:
    """Guards against a headroom that is the same whatever comes: it is full in a busy hall."""
    core = _hall(executors=10)
    _play(core, 90, step(5, cpu=10_000, estimate_s=1.0))
    # 50 of 640 cores on average, twice that in bursts.
    assert _kept_share(core) == pytest.approx(2 * 50 / 640, rel=0.15)
    _play(core, 90, step(20, cpu=10_000, estimate_s=1.0), from_s=90)
    assert _kept_share(core) == pytest.approx(MAX_SHARE, rel=0.1)


def test_less_is_kept_after_a_while_where_no_short_work_comes() -> None:
    """Guards against standing jobs that are refused for short work that nobody hands in."""
    core = _hall(executors=10)
    _play(core, 60)
    assert _kept_share(core) > 0.85 * FIRST_SHARE
    _play(core, int(4 * MAX_DECLINE_S), from_s=60)
    assert _kept_share(core) < 0.05 * FIRST_SHARE


def test_less_is_kept_soon_where_standing_jobs_end_often() -> None:
    """Guards against room that is kept for minutes though standing jobs would give it back soon.

    Each second a standing job of 16 of 640 cores ends: what is kept would be back in 4 s.
    """
    core = _hall(executors=10)
    standing = step(1, cpu=16_000, standing=True)
    for second in range(90):
        job_id = f"{second:016x}"
        core.add_job(submitted_job(standing, job_id=job_id, accepted=second), float(second))
        (order,) = plan(core, second + 0.1)
        confirm_start(core, order, second + 0.2)
        core.cancel_job(job_id)
        end = EndedTask(second + 1, order.task, order.run, EndKind.STOPPED, "")
        report_ends(core, order.executor_id, end, asked=second + 0.3, now=second + 0.4)
    plan(core, 91.0)
    assert _kept_share(core) < 0.1 * FIRST_SHARE


def test_batch_and_standing_work_are_no_short_demand() -> None:
    """Guards against batch work with a reservation of none that grows what is kept for short."""
    core = _hall(executors=10)
    standing = step(2, cpu=1_000, standing=True)
    _play(core, 60, step(40, cpu=10_000, best_effort=True), standing)
    assert _kept_share(core) <= FIRST_SHARE


def test_pieces_are_as_large_as_the_largest_short_task() -> None:
    """Guards against pieces that are smaller than what short work asks for."""
    core = _hall(executors=20)
    _play(core, 2, step(1, cpu=48_000))
    assert {e.kept.milli_cpu for e in core.executors.values() if e.kept} >= {48_000}


def test_accelerators_are_kept_where_short_tasks_use_them() -> None:
    """Guards against accelerators that standing tasks hold all of, or that nobody may use."""
    core = core_with(executors=0)
    for index in range(10):
        _add_with_gpus(core, f"e{index}")
    plan(core, 0.1)
    assert {e.headroom.gpus for e in core.executors.values()} == {0}
    _play(core, 2, StepSpec(2, Demand(1_000, 100, 1), 1.0))
    kept = [e.headroom.gpus for e in core.executors.values() if e.headroom.milli_cpu]
    assert kept == [2] * len(kept)
    standing = StepSpec(40, Demand(1_000, 100, 1), standing=True)
    core.add_job(submitted_job(standing, job_id=MORE), 3.0)
    plan(core, 3.1)
    assert sum(e.free_gpus for e in core.executors.values()) >= sum(kept)
    rooms = HallSummary.decode(summarize(core, 3.2).encode()).rooms()
    assert sum(room.headroom.gpus for room in rooms) == sum(kept)


def _add_with_gpus(core: ShardCore, name: str) -> None:
    """Register an executor of 64 cores and 4 accelerators."""
    capacity = Demand(CORES, 4 * CORES, 4)
    record = ExecutorRecord(name, "pool", f"{name}:1", "east", capacity, frozenset(), "r")
    core.list_executors([e.record for e in core.executors.values()] + [record], 0.0)
    core.executors[name].rostered = True
    report_ends(core, name, asked=0.0, now=0.01)
