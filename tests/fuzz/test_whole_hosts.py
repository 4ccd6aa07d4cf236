"""Checks complete hosts with malformed records, executor reports and request bodies.

The hosts run in virtual time. A malformed input may cost the record, report or job it belongs to,
and must neither stop a host nor delay other jobs nor cause a second run of a task.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from random import Random

from linkspan.errors import InvalidInput, Unreachable
from linkspan.jobs.job_registry import JOBS
from linkspan.platform.jobs import job_from_wire
from linkspan.shard.messages import EndedTask, EndKind, ExecutorReport, RunningTask, TaskName
from linkspan.shard.recovery.progress import ROSTER_KEY, RunKey
from linkspan.store.types import Partition
from tests.fuzz import builders
from tests.hall_executors import EXECUTORS
from tests.hall_world import CONFIGURATION, HallWorld
from tests.job_builders import QUEUE, step
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual

PROGRESS = Partition("progress", 0, keyed=True)
OWNERS = Partition("owners", 0)

MALFORMED_VALUES = (
    b"null",
    b"{}",
    b"[",
    b"\xff\xfe",
    b'"text"',
    b"[[1,2,3],null]",
    b'{"moved":"x"}',
    b"[" * builders.DEPTH,
    b"9" * 40,
    json.dumps(["claim", 5, None, -1, {}]).encode(),
    json.dumps({**builders.SUBMITTED, "steps": [{"count": "x", "demand": None}]}).encode(),
    json.dumps(
        {**builders.SUBMITTED, "steps": [{"count": 1, "demand": [1, 1, 0], "depends_on": [7]}]}
    ).encode(),
    json.dumps(
        {**builders.SUBMITTED, "schedule": {"count": 10**12, "first_s": 0.0, "interval_s": 0.0}}
    ).encode(),
)
KEYS = (b"s:0a:h", b"m:0a", b"l:0a:x", b"l:0a:1", b"r:0a:0", b"f:0a", b"z:0a", b"", b"\xff")
"""Keys of job records, some of them of a later version or invalid."""


def write_malformed_records(world: HallWorld) -> None:
    """Write malformed records to all partitions that the hosts read."""
    for value in (b"", *MALFORMED_VALUES):
        for key in KEYS:
            world.store.put(JOBS, key, value)
        for key in (b"0a.0", b"0a.x", b"\xff.0", b"fieldOfLater"):
            world.store.put(PROGRESS, key, value)
        world.store.put(OWNERS, b"", value)
        world.store.put(EXECUTORS, b"strange", value)
        world.store.put(CONFIGURATION, b"wave", value)


def host_other_than(world: HallWorld, owner: str | None) -> str:
    return next(name for name in world.hosts if name != owner)


async def kill_owner(world: HallWorld) -> str:
    """Kill the owner's process and return the name of another host."""
    owner = world.owner()
    assert owner
    world.kill_host(owner)
    return host_other_than(world, owner)


def test_malformed_records_stop_no_host_and_no_job() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        first = world.new_job(step(4, estimate_s=3.0), step(2, depends_on=(0,)))
        assert await world.submit("east-host-0", first) == 200
        write_malformed_records(world)
        await asyncio.sleep(0.5)
        host = await kill_owner(world)
        second = world.new_job(step(2))
        assert await world.submit(host, second) == 200
        await world.wait_for(host, first.job_id, "succeeded", limit_s=20.0)
        await world.wait_for(host, second.job_id, "succeeded", limit_s=20.0)
        assert world.log.named("RECORD_SKIPPED")
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert all(len(times) == 1 for times in world.starts.values())


def test_a_job_with_malformed_progress_continues() -> None:
    """Checks that a new owner adopts runs from reports or waits for leases to expire."""

    async def play(value: bytes) -> HallWorld:
        world = HallWorld()
        await world.begin()
        job = world.new_job(step(4, estimate_s=4.0), step(2, depends_on=(0,)))
        other = world.new_job(step(2, estimate_s=3.0))
        assert await world.submit("east-host-0", job) == 200
        assert await world.submit("east-host-0", other) == 200
        await asyncio.sleep(1.0)
        world.store.put(PROGRESS, RunKey(job.job_id, 0).encode(), value)
        host = await kill_owner(world)
        await world.wait_for(host, other.job_id, "succeeded", limit_s=20.0)
        await world.wait_for(host, job.job_id, "succeeded", limit_s=30.0)
        assert world.log.named("RECORD_SKIPPED")
        return world

    for value in (b"[", b"[[1,1,1,[null]],[0,0]]", b"[[0,0,0,0]]", b'{"moved":"x"}', b"7"):
        world = run_virtual(play(value))
        assert world.problems == [], value
        assert all(len(times) == 1 for times in world.starts.values()), value


def test_a_job_with_malformed_progress_waits_for_an_unreachable_executor() -> None:
    """Checks that tasks of an unreachable executor wait until its lease expires."""

    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        job = world.new_job(step(6, cpu=4_000, estimate_s=30.0))
        assert await world.submit("east-host-0", job) == 200
        await asyncio.sleep(1.0)
        world.store.put(PROGRESS, RunKey(job.job_id, 0).encode(), b"[")
        owner = world.owner()
        assert owner
        host = host_other_than(world, owner)
        world.cuts.add((host, "east-0:1"))
        world.kill_host(owner)
        await world.wait_for(host, job.job_id, "succeeded", limit_s=90.0)
        return world

    assert run_virtual(play()).problems == []


def test_a_malformed_roster_delays_no_job() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        job = world.new_job(step(4, estimate_s=3.0))
        assert await world.submit("east-host-0", job) == 200
        await asyncio.sleep(1.0)
        world.store.put(PROGRESS, ROSTER_KEY, b'[["e"]]')
        host = await kill_owner(world)
        await world.wait_for(host, job.job_id, "succeeded", limit_s=30.0)
        return world

    world = run_virtual(play())
    assert world.problems == []


def test_malformed_request_bodies_stop_no_host() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        random = Random(5)
        front = world.hosts["east-host-0"].host.front
        statuses = set()
        for number in range(300):
            job_id = f"{0xFF00 + number:016x}"
            body = json.dumps(mistyped_body(random)).encode()
            with suppress(InvalidInput):
                world.specs[job_id] = job_from_wire(job_id, QUEUE.name, body)
            deadline = asyncio.get_running_loop().time() + 3.0
            statuses.add((await front.submit(QUEUE, job_id, body, deadline)).status)
        assert statuses == {200, 400, 429}
        well_formed = world.new_job(step(2))
        assert await world.submit("east-host-1", well_formed) == 200
        await world.wait_for("east-host-1", well_formed.job_id, "succeeded", limit_s=120.0)
        return world

    assert run_virtual(play()).problems == []


def mistyped_body(random: Random) -> object:
    """Return a job with one field of a step of another type or size."""
    name = random.choice(
        (
            "requirements",
            "affinity",
            "image",
            "count",
            "cpu",
            "memMb",
            "estimatedMs",
            "antiAffinity",
        )
    )
    fields: dict[str, object] = {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 10}
    fields[name] = random.choice(
        ([1], {"a": 1}, "nan", "inf", -5, 10**6, 10**17, 1e300, True, None, "x", 0.5, "", [])
    )
    return {"spec": "text", "steps": [fields]}


def test_reports_of_unknown_runs_stop_no_host() -> None:
    async def play() -> HallWorld:
        world = HallWorld()
        await world.begin()
        job = world.new_job(step(4, estimate_s=3.0), step(2, depends_on=(0,)))
        report_unknown_runs(world.executors["east-0:1"], job.job_id)
        assert await world.submit("east-host-0", job) == 200
        await world.wait_for("east-host-0", job.job_id, "succeeded", limit_s=30.0)
        return world

    assert run_virtual(play()).problems == []


def report_unknown_runs(executor: MemoryExecutor, job_id: str) -> None:
    """Make an executor report runs and ends of tasks that do not exist."""
    original_report = executor.report
    unknown = (TaskName(job_id, 0, 99, 0), TaskName(job_id, 7, 0, 0), TaskName("zz", 0, 0, 0))

    def report(acknowledged: int) -> ExecutorReport:
        known = original_report(acknowledged)
        running = tuple(RunningTask(name, 1, "", 0, None) for name in unknown)
        last = known.ended[-1].number if known.ended else executor.last_number
        ended = tuple(
            EndedTask(last + index, name, 3, EndKind.FAILED, "")
            for index, name in enumerate(unknown, start=1)
            if last + index > acknowledged
        )
        executor.last_number = max(executor.last_number, last + len(unknown))
        return ExecutorReport(known.clock_s, known.running + running, known.ended + ended)

    executor.report = report  # type: ignore[method-assign]


def test_an_executor_with_malformed_reports_stops_no_host_and_is_logged() -> None:
    async def play() -> HallWorld:
        world = HallWorld(lists_machines=False)
        await world.begin()
        job = world.new_job(step(6, cpu=4_000, estimate_s=3.0))
        assert await world.submit("east-host-0", job) == 200
        await asyncio.sleep(0.5)
        break_reports(world.executors["east-0:1"])
        await world.wait_for("east-host-0", job.job_id, "succeeded", limit_s=60.0)
        assert "no report" in world.log.named("EXECUTOR_SILENT")[0]["cause"]
        return world

    assert run_virtual(play()).problems == []


def break_reports(executor: MemoryExecutor) -> None:
    """Make all polls of an executor fail as with a malformed report."""

    def report(_acknowledged: int) -> ExecutorReport:
        raise Unreachable("executor sent no report")

    executor.report = report  # type: ignore[method-assign]
