"""A hall accepts a delegation of a job that it moved away, whatever is left of that move.

A standing job moves whole from its full hall. Its new hall then loses an executor and delegates
a task back to the first hall. The first hall must not refuse or forget that task because of
what is left of the move: its record in the progress, or a state that waits for the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import JobRecord, Moved, Submitted
from linkspan.shard.recovery.progress import RunKey, encode_moved
from linkspan.store.types import Partition
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

HOME = 0
TASKS = 3
HOME_FULL_S = 4.0
ANSWER_DELAY_S = 5.0
"""Longer than the job needs to move, run, lose an executor and be delegated back."""


async def _begin() -> tuple[HallWorld, str]:
    """Return a world whose first hall is full, and the id of a job there that has to move."""
    world = HallWorld(halls=("east", "west"))
    await world.begin()
    full = world.new_job(step(3, cpu=8_000, estimate_s=HOME_FULL_S))
    await world.submit("east-host-0", full)
    await asyncio.sleep(1.0)
    spec = world.new_job(step(TASKS, standing=True, max_per_executor=1))
    world.specs[spec.job_id] = spec
    return world, spec.job_id


def _put(world: HallWorld, job_id: str) -> None:
    world.store.put(JOBS, *encode(Submitted(world.specs[job_id], HOME, 0.0, "life-x")))


def test_a_new_owner_accepts_a_delegation_despite_the_record_of_a_move() -> None:
    """Guards against a delegated task that no owner runs.

    A former owner announced the move and crashed before it could remove the record of the move.
    A task was delegated back before the next owner read that record. The next owner concluded
    from the record that the job was not in its hall, and ignored the delegated task.
    """

    async def play() -> HallWorld:
        world, job_id = await _begin()
        _put(world, job_id)
        await asyncio.sleep(5.0)
        assert _count_running(world, job_id) == TASKS
        for name in ("east-host-0", "east-host-1"):
            world.kill_host(name)
        key = RunKey(job_id, 0).encode()
        world.store.put(Partition("progress", HOME, keyed=True), key, encode_moved(1))
        world.crash_executor("west-0:1", back=False)
        await asyncio.sleep(2.5)
        assert [row["tasks"] for row in world.log.named("WORK_HANDED_OVER")] == ["all", 1]
        for name in ("east-host-0", "east-host-1"):
            world.start_host(name)
        await asyncio.sleep(10.0)
        assert _count_running(world, job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def test_a_delegation_is_accepted_before_the_store_confirms_the_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a delegated task that is dropped when the store confirms a move late.

    The store had applied the record of the move, but its answer came seconds later. By then a
    task had been delegated back. The first hall still held the job as its own, accepted no
    delegation of it, and dropped it with the answer.
    """

    async def play() -> HallWorld:
        world, job_id = await _begin()
        _delay_answers_to_moves(world, monkeypatch)
        _put(world, job_id)
        await asyncio.sleep(2.5)
        assert _count_running(world, job_id) == TASKS
        world.crash_executor("west-0:1", back=False)
        await asyncio.sleep(10.0)
        assert [row["tasks"] for row in world.log.named("WORK_HANDED_OVER")] == ["all", 1]
        assert _count_running(world, job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def _delay_answers_to_moves(world: HallWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    owner = world.owner(HOME)
    assert owner
    job_registry = world.hosts[owner].host.job_registry
    write = job_registry.write

    def late(records: Sequence[JobRecord], **options: Any) -> asyncio.Future[int]:
        done = write(records, **options)
        if not any(isinstance(record, Moved) for record in records):
            return done
        loop = asyncio.get_running_loop()
        answered = loop.create_future()
        loop.call_later(ANSWER_DELAY_S, lambda: answered.set_result(done.result()))
        return answered

    monkeypatch.setattr(job_registry, "write", late)


def _count_running(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)
