"""Tests that a job that is refused for the load was not accepted before, at any host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from linkspan.host._refusal_cause import RefusalCause
from linkspan.host._submissions import LATE_WRITE_S
from linkspan.host.admission.admission import Admission
from linkspan.host.admission.memory_limit import MemoryLimit
from linkspan.host.admission.standing_reservations import StandingReservations
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.job_registry import JOBS
from tests.host.admission_builders import MEMORY_MB, HopelessHalls, SubmittingHost, job
from tests.job_builders import step
from tests.standins.memory_store import MemoryStore
from tests.virtual_time import run_virtual

SPEC = job(step(1))


class Idle(Admission):
    """Admission by halls without load."""

    def __init__(self) -> None:
        catalog = JobCatalog()
        limit = MemoryLimit(catalog, MEMORY_MB)
        super().__init__(list, lambda _spec, _queue: [], StandingReservations(catalog), limit)


def play(
    steps: Callable[[MemoryStore, SubmittingHost, SubmittingHost], Awaitable[list[int]]],
) -> tuple[list[int], int]:
    """Return the statuses from an idle and a loaded host's callers, and the number of records."""

    async def run() -> tuple[list[int], int]:
        store = MemoryStore()
        idle = SubmittingHost(store, "idle", Idle())
        loaded = SubmittingHost(store, "loaded", HopelessHalls())
        await asyncio.sleep(LATE_WRITE_S + 1.0)
        statuses = await steps(store, idle, loaded)
        await asyncio.sleep(10.0)
        for host in (idle, loaded):
            host.stop()
        return statuses, len(store.log(JOBS).entries)

    return run_virtual(run())


def test_a_refused_job_is_not_stored() -> None:
    async def steps(
        _store: MemoryStore, _idle: SubmittingHost, loaded: SubmittingHost
    ) -> list[int]:
        answer = await loaded.submit(SPEC)
        assert int(answer.headers["Retry-After"]) >= 59
        assert answer.headers["X-Reason"] == RefusalCause.HOPELESS.value
        (line,) = loaded.log.named("JOB_HOPELESS")
        assert line["ahead_s"] == 60.0
        assert line["best_hall"] == "east"
        return [answer.status]

    assert play(steps) == ([503], 0)


def test_a_job_that_another_host_has_just_accepted_is_not_refused() -> None:
    """The loaded host reads the job records once a second, so it has not read the first try."""

    async def steps(_store: MemoryStore, idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        loaded.job_registry.follower.pause_s = 1.0
        await asyncio.sleep(2.1)
        return [(await host.submit(SPEC)).status for host in (idle, loaded)]

    assert play(steps) == ([200, 200], 1)


def test_a_first_try_whose_answer_was_lost_is_found_at_another_host() -> None:
    async def steps(store: MemoryStore, idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        loaded.job_registry.follower.pause_s = 1.0
        await asyncio.sleep(2.1)
        store.lost_answer_share = 1.0
        first = asyncio.create_task(idle.submit(SPEC, timeout_s=0.5))
        await asyncio.sleep(0.05)
        second = await loaded.submit(SPEC)
        store.lost_answer_share = 0.0
        return [(await first).status, second.status]

    assert play(steps) == ([504, 200], 1)


def test_a_first_try_at_a_host_that_has_died_is_found_at_another_host() -> None:
    async def steps(store: MemoryStore, idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        loaded.job_registry.follower.pause_s = 1.0
        await asyncio.sleep(2.1)
        store.lost_answer_share = 1.0
        first = asyncio.create_task(idle.submit(SPEC))
        await asyncio.sleep(0.05)
        idle.stop()
        first.cancel()
        return [(await loaded.submit(SPEC)).status]

    assert play(steps) == ([200], 1)


def test_a_job_that_is_being_written_here_is_not_refused() -> None:
    async def steps(
        _store: MemoryStore, idle: SubmittingHost, _loaded: SubmittingHost
    ) -> list[int]:
        first = asyncio.create_task(idle.submit(SPEC))
        await asyncio.sleep(0.0)
        idle.submissions._admission = HopelessHalls()
        second = await idle.submit(SPEC)
        return [(await first).status, second.status]

    assert play(steps) == ([200, 200], 1)


def test_a_host_that_can_not_read_the_records_accepts() -> None:
    """A read that takes long is no ground to say that a job is not in the records."""

    async def steps(store: MemoryStore, _idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        store.read_duration_s[("loaded", JOBS.topic)] = 2.0
        return [(await loaded.submit(SPEC)).status]

    assert play(steps) == ([200], 1)


def test_a_host_accepts_for_seconds_after_its_calls_have_failed() -> None:
    """First tries elsewhere may still be carried out, and no read shows these."""

    async def steps(store: MemoryStore, _idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        store.refusing.add("loaded")
        await asyncio.sleep(3.0)
        store.refusing.clear()
        await asyncio.sleep(1.0)
        statuses = [(await loaded.submit(SPEC)).status]
        await asyncio.sleep(LATE_WRITE_S + 1.0)
        statuses.append((await loaded.submit(job(step(1), number=2))).status)
        return statuses

    assert play(steps) == ([200, 503], 1)


def test_tries_at_one_host_at_once_get_one_answer() -> None:
    async def steps(
        _store: MemoryStore, _idle: SubmittingHost, loaded: SubmittingHost
    ) -> list[int]:
        answers = await asyncio.gather(*(loaded.submit(SPEC) for _ in range(3)))
        return [answer.status for answer in answers]

    assert play(steps) == ([503, 503, 503], 0)


def test_a_refused_job_is_accepted_once_it_fits() -> None:
    async def steps(_store: MemoryStore, idle: SubmittingHost, loaded: SubmittingHost) -> list[int]:
        return [(await host.submit(SPEC)).status for host in (loaded, idle, loaded)]

    assert play(steps) == ([503, 200, 200], 1)


def test_refusals_while_the_store_is_away_send_callers_back_apart() -> None:
    async def steps(store: MemoryStore, idle: SubmittingHost, _loaded: SubmittingHost) -> list[int]:
        store.refusing.add("idle")
        await asyncio.sleep(3.0)
        answers = [await idle.submit(job(step(1), number=n), timeout_s=10.0) for n in range(50)]
        assert {answer.headers["Retry-After"] for answer in answers} == {"1", "2", "3"}
        return sorted({answer.status for answer in answers})

    assert play(steps) == ([503], 0)
