"""Jobs run by scheduler, gateway and worker processes under faults.

Processes are paused or stopped, workers fall silent, and the log fails or loses answers. Guards
against a task that runs twice at the same time, is completed twice or is never run, and against
a cancelled job that still starts.
"""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from tests.process.conftest import HALL
from tests.standins.fleet import Fleet


def _job(job_id: str, count: int = 12, **changes: Any) -> dict[str, Any]:
    fields = {
        "job_id": job_id,
        "customer": "borne-breizh",
        "team": "routes",
        "kind": "route-plan",
        "count": count,
        "size": {"milli_cpu": 8_000, "memory_mb": 8_000},
    }
    return {**fields, **changes}


async def _submit(fleet: Fleet, job: dict[str, Any]) -> dict[str, Any]:
    """Submit a job, and retry while the gateway reports that nothing was done."""
    for _ in range(20):
        status, answer = await fleet.call("POST", fleet.daemons["g1"].callers, "/jobs", job)
        if (status, answer.get("error")) != (503, "unreachable"):
            break
        await asyncio.sleep(0.2)
    assert status == 200, answer
    return answer


async def _wait_done(fleet: Fleet, job_id: str, count: int = 12) -> dict[str, Any]:
    async def done() -> bool:
        _, answer = await fleet.call("GET", fleet.daemons["g1"].callers, f"/jobs/{job_id}")
        counts = answer.get("counts")
        return bool(counts and counts["done"] == count)

    await fleet.until(done, f"{job_id} done")
    seen = await fleet.witness()
    assert seen["violations"] == []
    return seen


async def test_paused_scheduler_resumes_after_its_lease_expired(jobs_fleet: Fleet) -> None:
    """Check that the late orders of a paused scheduler do no harm after the other took over."""
    fleet = jobs_fleet
    await _submit(fleet, _job("long", 30))
    paused = fleet.daemons["s1"]
    paused.signal(signal.SIGSTOP)
    await asyncio.sleep(4.0)
    paused.signal(signal.SIGCONT)
    seen = await _wait_done(fleet, "long", 30)
    assert set(seen["completed"].values()) == {1}


async def test_log_outage_does_not_stop_running_tasks(jobs_fleet: Fleet) -> None:
    """Check that a watcher's lease is renewed through an outage longer than the lease."""
    fleet = jobs_fleet
    await _submit(fleet, _job("watch", 1, kind="watch-stock", priority="watcher"))

    async def watched() -> bool:
        return list((await fleet.witness())["running"]) == ["watch/0"]

    await fleet.until(watched, "watcher running")
    await fleet.post(fleet.platform, "/faults", {"down": True})
    await asyncio.sleep(5.0)
    status, answer = await fleet.call("POST", fleet.daemons["g1"].callers, "/jobs", _job("late"))
    assert (status, answer["status"]) == (202, "unknown")
    await fleet.post(fleet.platform, "/faults", {"down": False})
    seen = await _wait_done(fleet, "late")
    assert seen["begun"]["watch/0"] == 1


async def test_lost_answers_and_duplicate_appends_run_no_task_twice(jobs_fleet: Fleet) -> None:
    """Check that no task runs twice if appends take effect without an answer, or twice."""
    fleet = jobs_fleet
    faults = {"answer_lost": 0.4, "duplicate": 0.3, "append_lost": 0.2}
    await fleet.post(fleet.platform, "/faults", faults)
    await fleet.call("POST", fleet.daemons["g1"].callers, "/jobs", _job("rough"))
    seen = await _wait_done(fleet, "rough")
    assert set(seen["completed"].values()) == {1}


async def test_watcher_of_a_silent_worker_moves_after_its_lease(jobs_fleet: Fleet) -> None:
    """Check that a watcher starts elsewhere only after its lease on a silent worker expired."""
    fleet = jobs_fleet
    await _submit(fleet, _job("watch", 1, kind="watch-stock", priority="watcher"))

    async def worker_of_watcher() -> str:
        running = (await fleet.witness())["running"]
        return running["watch/0"][0] if running else ""

    await fleet.until(worker_of_watcher, "watcher running")
    first = await worker_of_watcher()
    await fleet.post(fleet.witnesses[HALL], "/silence", [first])

    async def moved() -> bool:
        return await worker_of_watcher() not in ("", first)

    await fleet.until(moved, "watcher moved")
    seen = await fleet.witness()
    assert seen["violations"] == []
    assert seen["begun"]["watch/0"] == 2
    for event in (420, 421, 430, 431):
        assert fleet.daemons["s1"].seen(event) or fleet.daemons["s2"].seen(event), event


async def test_cancelled_queued_tasks_were_not_started(jobs_fleet: Fleet) -> None:
    """Check that no task that is reported as not run was started on a worker."""
    fleet = jobs_fleet
    await _submit(fleet, _job("big", 200))
    address = fleet.daemons["g1"].callers
    status, _ = await fleet.call("DELETE", address, "/jobs/big")
    assert status == 200

    async def finished() -> bool:
        return (await fleet.call("GET", address, "/jobs/big"))[1]["state"] == "finished"

    await fleet.until(finished, "cancelled")
    counts = (await fleet.call("GET", address, "/jobs/big"))[1]["counts"]
    begun = (await fleet.witness())["begun"]
    assert counts["not_run"] > 0
    assert len(begun) <= 200 - counts["not_run"]
    status, answer = await fleet.call("POST", address, "/jobs", _job("big", 5))
    assert (status, answer["status"]) == (409, "refused")


async def test_unknown_job_can_be_cancelled_in_advance(jobs_fleet: Fleet) -> None:
    """Check that a job never runs if its id was cancelled before its submission."""
    address = jobs_fleet.daemons["g1"].callers
    assert (await jobs_fleet.call("GET", address, "/jobs/ghost"))[0] == 404
    status, answer = await jobs_fleet.call("DELETE", address, "/jobs/ghost")
    assert (status, answer["not_run"]) == (200, "all")
    status, answer = await jobs_fleet.call("POST", address, "/jobs", _job("ghost"))
    assert (status, answer["status"]) == (409, "refused")


async def test_planned_stop_of_a_scheduler_leaves_the_ledger(jobs_fleet: Fleet) -> None:
    """Check that a scheduler leaves the ledger on SIGTERM, and the other one serves on."""
    fleet = jobs_fleet
    leaving = fleet.daemons["s1"]
    leaving.signal(signal.SIGTERM)
    leaving.signal(signal.SIGTERM)
    assert await asyncio.wait_for(leaving.process.wait(), 15) == 0
    await _submit(fleet, _job("after"))
    await _wait_done(fleet, "after")
    status = await fleet.get(fleet.daemons["s2"].operator, "/status")
    assert status["schedulers"] == [status["name"]]


async def test_explain_shows_decisions_and_reasons_for_waiting(jobs_fleet: Fleet) -> None:
    """Check that placed tasks are explained by their decisions, and queued ones by a reason."""
    fleet = jobs_fleet
    huge = _job("huge", 1, size={"milli_cpu": 64_000, "memory_mb": 8_000})
    await _submit(fleet, huge)
    await _submit(fleet, _job("plain", 2))
    await _wait_done(fleet, "plain", 2)
    address = fleet.daemons["g1"].callers

    async def explained() -> bool:
        answer = (await fleet.call("GET", address, "/jobs/huge/explain"))[1]
        return answer["waiting_because"] == "no worker is large enough"

    await fleet.until(explained, "reason for huge")
    assert fleet.daemons["s1"].seen(411) or fleet.daemons["s2"].seen(411)
    answer = (await fleet.call("GET", address, "/jobs/plain/explain"))[1]
    assert any(f"to {HALL}-w" in line for line in answer["decisions"])
