"""Log lines give the reason for which an owner starts work or moves it."""

from __future__ import annotations

import asyncio
import time

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

FULL_S = 4.0
"""How long work fills the first hall."""


async def _move_job() -> tuple[HallWorld, str]:
    """Return a world of two halls, and a job that moved whole from the first, full one."""
    world = HallWorld(halls=("east", "west"))
    await world.begin()
    await world.submit("east-host-0", world.new_job(step(3, cpu=8_000, estimate_s=FULL_S)))
    await asyncio.sleep(1.0)
    spec = world.new_job(step(3, standing=True, max_per_executor=1))
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, 0, time.time(), "life-x")))
    await asyncio.sleep(3.0)
    return world, spec.job_id


def test_a_move_logs_why_the_job_counts_as_not_begun_and_its_offset() -> None:
    world, job_id = run_virtual(_move_job())
    (move,) = [row for row in world.log.named("WORK_HANDED_OVER") if row["tasks"] == "all"]
    assert (move["by"], move["told_begun"]) == ("new", False)
    assert (move["rostered"], move["answered"]) == (3, 3)
    assert (move["run_version"], move["run_durable"]) == (0, 0)
    assert 0 <= move["view_age_s"] < 5.0
    (recorded,), (announced,) = world.log.named("MOVE_KEPT"), world.log.named("MOVE_TOLD")
    for row in (recorded, announced):
        assert (row["job"], row["token"]) == (job_id, move["token"])
        assert (row["shard"], row["to_shard"]) == (0, 1)
    (accepted,) = [
        row for row in world.log.named("JOB_TAKEN_IN") if row["shard"] == 1 and row["moved"]
    ]
    assert accepted["moved_at"] == announced["offset"]
    placed = [row for row in world.log.named("STEP_PLACED") if row["job"] == job_id]
    assert {(row["shard"], row["token"], row["by"]) for row in placed} == {
        (1, accepted["token"], "new moved")
    }


def test_a_start_of_inherited_work_logs_how_many_executors_answered() -> None:
    async def play() -> tuple[HallWorld, str, int]:
        world = HallWorld()
        await world.begin()
        owner = world.owner(0)
        assert owner
        full = world.new_job(step(3, cpu=8_000, estimate_s=FULL_S))
        queued = world.new_job(step(1, cpu=8_000))
        await world.submit(owner, full)
        await world.submit(owner, queued)
        await asyncio.sleep(1.0)
        first = world.log.named("STEP_PLACED")[0]["token"]
        world.kill_host(owner)
        await asyncio.sleep(12.0)
        return world, queued.job_id, first

    world, job_id, first = run_virtual(play())
    (placed,) = [row for row in world.log.named("STEP_PLACED") if row["job"] == job_id]
    assert (placed["by"], placed["roster"]) == ("inherited", {"answered": 3})
    assert placed["token"] > first
    claim, recovery = world.log.named("OWNER_CLAIMED")[-1], world.log.named("OWNER_RECOVERED")[-1]
    assert (claim["former_token"], claim["token"]) == (first, placed["token"])
    assert claim["former_acts_s"] == recovery["former_acts_s"] > 0
    assert recovery["roster"] == 3
    assert recovery["leases_end_s"] > world.max_lease_s


def test_no_field_hides_which_host_wrote_a_line() -> None:
    world, _ = run_virtual(_move_job())
    common = {"host", "hall", "life", "event", "kind", "daemon"}
    assert [event for _, event, fields in world.log.lines if common & fields.keys()] == []


def test_delegated_tasks_are_started_under_the_numbers_of_their_delegations() -> None:
    async def play() -> tuple[HallWorld, str]:
        world, job_id = await _move_job()
        world.crash_executor("west-0:1", back=False)
        await asyncio.sleep(6.0)
        return world, job_id

    world, job_id = run_virtual(play())
    delegated = [row for row in world.log.named("STEP_PLACED") if "loans" in row]
    assert [(row["job"], row["shard"], row["by"]) for row in delegated] == [
        (job_id, 0, "new borrowed")
    ]
    (accepted,) = [row for row in world.log.named("JOB_TAKEN_IN") if row["borrowed"]]
    assert list(delegated[0]["loans"].values()) == list(accepted["loans"].values()) == [1]
