"""A loan to the hall that its job came from is taken, whatever is left of the move there."""

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
HOME_IS_FULL_S = 4.0
ANSWER_LATE_S = 5.0
"""Longer than the job needs to move, run, lose an executor and be lent back."""


async def _begin() -> tuple[HallWorld, str]:
    """Return a world whose first hall is full, and a job there that is to move."""
    world = HallWorld(halls=("east", "west"))
    await world.begin()
    full = world.new_job(step(3, cpu=8_000, estimate_s=HOME_IS_FULL_S))
    await world.submit("east-host-0", full)
    await asyncio.sleep(1.0)
    spec = world.new_job(step(TASKS, standing=True, max_per_executor=1))
    world.specs[spec.job_id] = spec
    return world, spec.job_id


def _put(world: HallWorld, job_id: str) -> None:
    world.store.put(JOBS, *encode(Submitted(world.specs[job_id], HOME, 0.0, "life-x")))


def test_a_new_owner_takes_a_loan_beside_the_record_of_its_move() -> None:
    """A former owner told of the move and ended before it could drop its record.

    The job was lent back before the next owner read. That one took the record to mean
    that the job is not its business, and nobody looked after the lent task.
    """

    async def play() -> HallWorld:
        world, job_id = await _begin()
        _put(world, job_id)
        await asyncio.sleep(5.0)
        assert _running(world, job_id) == TASKS
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
        assert _running(world, job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def test_a_loan_is_taken_before_the_answer_to_the_move_has_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store had taken the record of the move in; its answer came seconds later.

    By then the job had been lent back. Its first hall still held it as its own, took no
    loan of it, and forgot it with the answer.
    """

    async def play() -> HallWorld:
        world, job_id = await _begin()
        _answer_moves_late(world, monkeypatch)
        _put(world, job_id)
        await asyncio.sleep(2.5)
        assert _running(world, job_id) == TASKS
        world.crash_executor("west-0:1", back=False)
        await asyncio.sleep(10.0)
        assert [row["tasks"] for row in world.log.named("WORK_HANDED_OVER")] == ["all", 1]
        assert _running(world, job_id) == TASKS
        return world

    assert run_virtual(play()).problems == []


def _answer_moves_late(world: HallWorld, monkeypatch: pytest.MonkeyPatch) -> None:
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
        loop.call_later(ANSWER_LATE_S, lambda: answered.set_result(done.result()))
        return answered

    monkeypatch.setattr(job_registry, "write", late)


def _running(world: HallWorld, job_id: str) -> int:
    alive = [e for e in world.executors.values() if e.alive]
    return sum(task.job_id == job_id for e in alive for task in e.running)
