"""Standing jobs are refused at once where halls have no room for them beside short work.

The halls that these tests look at alone have two executors of 8 cores, of which a tenth is kept.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from linkspan.host.admission.job_outlook import MAX_SUMMARY_AGE_S, HallLoad
from linkspan.host.admission.standing_admission import (
    HallCores,
    StandingHall,
    StandingShortage,
    shortage_of,
)
from linkspan.host.admission.standing_reservations import RELEASE_WINDOW_S, StandingReservations
from linkspan.jobs.catalog import JobCatalog
from linkspan.jobs.records import Begun, Cancelled, Finished, JobState, Submitted, Tombstone
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from linkspan.shard.planning.set_asides import NOTHING
from tests.hall_world import HallWorld
from tests.host.admission_builders import SHORT, job
from tests.job_builders import step
from tests.virtual_time import EPOCH, run_virtual, world_time

KIND = ExecutorKind("pool", Demand(8_000, 32_000, 2), frozenset(), 2)


def _hall(
    *free: tuple[int, int, int], name: str = "east", accepted: Demand = NOTHING
) -> StandingHall:
    """Return a hall with this much free on each executor."""
    summary = HallSummary(
        capacity=8_000 * len(free),
        free_by_executor=free,
        kinds=(replace(KIND, count=len(free)),),
        rows_by_kind=(len(free),),
    )
    return StandingHall(HallLoad(name, summary, 0.0), accepted)


EMPTY = (8_000, 32_000, 2)
FULL = (700, 32_000, 2)


def _shortage(spec: StepSpec, *halls: StandingHall) -> StandingShortage | None:
    return shortage_of(job(spec), "pool", halls)


def test_a_job_is_refused_where_less_than_half_of_its_tasks_have_room() -> None:
    """Guards against standing jobs that are accepted beyond all room, and wait."""
    spec = step(4, cpu=3_000, standing=True)
    assert _shortage(spec, _hall(EMPTY, FULL)) is None
    shortage = _shortage(spec, _hall((4_000, 32_000, 2), FULL))
    assert shortage is not None
    assert (shortage.tasks, shortage.room) == (2, {"east": 1})
    assert shortage.missing == Demand(3_000, 100)


def test_a_refusal_tells_what_is_kept_and_what_is_free() -> None:
    """Guards against lines that do not tell full halls from ones that keep room nobody uses."""
    hall = _hall((700, 32_000, 2), (4_000, 32_000, 2), accepted=Demand(3_000, 100))
    shortage = _shortage(step(4, cpu=3_000, standing=True), hall)
    assert shortage is not None
    assert shortage.cores == {"east": HallCores(16_000, 0, 0, 1_500, 3_000, 0.0)}


def test_what_is_kept_for_short_work_is_no_room() -> None:
    """Guards against standing jobs that are accepted into the headroom for short work."""
    spec = step(1, cpu=3_000, standing=True)
    assert _shortage(spec, _hall((3_800, 32_000, 2))) is None
    assert _shortage(spec, _hall((3_700, 32_000, 2))) is not None


def test_a_task_that_fits_only_into_the_headroom_of_an_empty_executor_is_accepted() -> None:
    """Guards against large tasks that would be refused for ever."""
    spec = step(1, cpu=7_900, standing=True)
    assert _shortage(spec, _hall(EMPTY)) is None
    assert _shortage(spec, _hall((7_800, 32_000, 2))) is not None


def test_a_task_that_needs_the_accelerators_kept_of_each_executor_is_accepted() -> None:
    """Guards against tasks with accelerators that would be refused for ever."""
    spec = StepSpec(1, Demand(1_000, 100, 2), standing=True)
    hall = _hall(EMPTY)
    summary = hall.load.summary
    assert summary
    keeps_one = replace(summary, headroom=((0, 4_000, 16_000, 1),))
    assert _shortage(spec, replace(hall, load=replace(hall.load, summary=keeps_one))) is None


@pytest.mark.parametrize(
    ("demand", "free"),
    [
        (Demand(100, 20_000), (8_000, 19_000, 2)),
        (Demand(100, 100, 2), (8_000, 32_000, 1)),
    ],
)
def test_room_is_that_of_every_resource(demand: Demand, free: tuple[int, int, int]) -> None:
    """Guards against standing jobs that wait for memory or accelerators beside free cores."""
    spec = StepSpec(1, demand, standing=True)
    assert _shortage(spec, _hall(free)) is not None
    assert _shortage(spec, _hall(EMPTY)) is None
    taken = _hall(EMPTY, accepted=Demand(0, 20_000, 1))
    assert _shortage(spec, taken) is not None


def test_halls_count_together_and_for_a_gang_each_by_itself() -> None:
    """Guards against gangs that are accepted though no hall could hold them."""
    halls = _hall(EMPTY, FULL), _hall(EMPTY, FULL, name="west")
    wide = step(4, cpu=3_500, standing=True)
    assert _shortage(wide, *halls) is None
    assert _shortage(replace(wide, gang=True), *halls) is not None
    assert _shortage(replace(wide, gang=True, count=2), *halls) is None


def test_jobs_accepted_since_the_summary_take_room() -> None:
    """Guards against hosts that all accept into the same room of one summary."""
    spec = step(2, cpu=3_000, standing=True)
    assert _shortage(spec, _hall(EMPTY, EMPTY, accepted=Demand(9_000, 300))) is None
    assert _shortage(spec, _hall(EMPTY, EMPTY, accepted=Demand(12_000, 400))) is not None


@pytest.mark.parametrize("known", ["nothing", "an old summary", "no executors", "evacuated"])
def test_a_hall_of_which_nothing_is_known_may_have_room(known: str) -> None:
    """Guards against refusals while an owner is new, cut off or silent."""
    full = _hall(FULL)
    load = {
        "nothing": replace(full.load, summary=None),
        "an old summary": replace(full.load, age_s=MAX_SUMMARY_AGE_S + 0.1),
        "no executors": replace(full.load, summary=HallSummary(capacity=16_000)),
        "evacuated": replace(full.load, evacuated=True),
    }[known]
    spec = step(1, cpu=3_000, standing=True)
    assert _shortage(spec, full) is not None
    assert _shortage(spec, full, StandingHall(load, Demand())) is None


def _submitted(number: int) -> Submitted:
    spec = job(step(2, cpu=3_000, standing=True), number=number)
    return Submitted(spec, 0, EPOCH + world_time(), "other-host", SHORT.terms)


def test_jobs_of_other_hosts_count_from_their_record_on() -> None:
    """Guards against hosts that know only of what they accepted themselves."""

    async def play() -> list[Demand]:
        catalog = JobCatalog()
        known = StandingReservations(catalog)
        found = []
        for number in (1, 2):
            catalog.apply(number, _submitted(number))
            known.on_job(f"{number:016x}")
            await asyncio.sleep(1.0)
            found.append(known.accepted_since(0, "pool", world_time() - 2.5))
        found.append(known.accepted_since(0, "pool", world_time() - 1.5))
        found.append(known.accepted_since(0, "other", world_time() - 2.5))
        catalog.apply(3, Cancelled(f"{2:016x}"))
        known.on_job(f"{2:016x}")
        found.append(known.accepted_since(0, "pool", world_time() - 1.5))
        return found

    one = Demand(6_000, 200)
    assert run_virtual(play()) == [one, one.plus(one), one, Demand(), Demand()]


def test_jobs_that_other_hosts_store_now_count_by_the_rate_of_the_last_moments() -> None:
    """Guards against many hosts that accept at once what one of them could."""

    async def play() -> Demand:
        catalog = JobCatalog()
        known = StandingReservations(catalog)
        known.on_stored(0.03)
        known.on_read(0.02)
        for number in range(1, 5):
            catalog.apply(number, _submitted(number))
            known.on_job(f"{number:016x}")
        return known.accepted_since(0, "pool", world_time())

    # 24 cores in the last 0.2 s, as many again in four times that which is not read yet.
    assert run_virtual(play()) == Demand(30_000, 1_000)


def test_callers_are_told_when_standing_jobs_will_have_given_back_enough() -> None:
    """Guards against a time to come back at which there is no more room than now."""

    async def play() -> list[float]:
        catalog = JobCatalog()
        known = StandingReservations(catalog)
        missing = Demand(12_000, 100)
        waits = [known.wait_s("pool", missing)]
        for number in (1, 2):
            for offset, record in enumerate(
                (_submitted(number), Begun(f"{number:016x}"), Cancelled(f"{number:016x}"))
            ):
                catalog.apply(10 * number + offset, record)
            known.on_job(f"{number:016x}")
            await asyncio.sleep(10.0)
            waits.append(known.wait_s("pool", missing))
        await asyncio.sleep(RELEASE_WINDOW_S)
        return [*waits, known.wait_s("pool", missing)]

    # 6 cores in 10 s, 12 in 20 s, and none any more.
    assert run_virtual(play()) == pytest.approx([60.0, 20.0, 20.0, 60.0])


@pytest.mark.parametrize("removed", ["nothing", "submission", "all"])
def test_an_end_counts_where_it_is_read_with_the_removal_of_the_jobs_records(removed: str) -> None:
    """Guards against hosts that read seldom, see no job end and tell all callers the longest time.

    Owners read each record at once; other hosts read all records of an end together.
    """

    async def play() -> float:
        catalog = JobCatalog()
        known = StandingReservations(catalog)
        job_id = f"{1:016x}"
        for offset, record in enumerate((_submitted(1), Begun(job_id))):
            catalog.apply(offset, record)
        known.on_job(job_id)
        await asyncio.sleep(10.0)
        catalog.apply(2, Cancelled(job_id))
        catalog.apply(3, Finished(job_id, JobState.CANCELLED, 0, 0.0, SHORT.name))
        kinds = {"nothing": "", "submission": "s", "all": "sf"}[removed]
        for offset, kind in enumerate(kinds, 4):
            catalog.apply(offset, Tombstone(kind, job_id, ""))
        known.on_job(job_id)
        known.on_job(job_id)
        return known.wait_s("pool", Demand(12_000, 100))

    assert run_virtual(play()) == pytest.approx(20.0)


class _FillingCallers(HallWorld):
    """Callers that hand in more standing jobs than the executors can hold, at all hosts at once."""

    def __init__(self) -> None:
        super().__init__(halls=("east", "west"), hosts_per_hall=3, executors_per_hall=6)
        self.statuses: dict[str, int] = {}

    async def fill(self, jobs: int, within_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            for index in range(jobs):
                host = sorted(self.hosts)[index % len(self.hosts)]
                group.create_task(self._submit(host, self.random.random() * within_s))

    async def _submit(self, host: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        spec: JobSpec = self.new_job(step(3, cpu=1_500, standing=True))
        self.statuses[spec.job_id] = await self.submit(host, spec)


def test_hosts_together_accept_no_more_than_fits_and_refuse_the_rest_at_once() -> None:
    """Guards against standing jobs that are accepted beyond all room, and never begin.

    Twelve executors of 8 cores have room for 48 to 60 such tasks beside short work.
    """

    async def play() -> _FillingCallers:
        world = _FillingCallers()
        await world.begin()
        await world.fill(jobs=40, within_s=0.2)
        await asyncio.sleep(10.0)
        return world

    world = run_virtual(play())
    accepted = [job_id for job_id, status in world.statuses.items() if status == 200]
    refused = [job_id for job_id, status in world.statuses.items() if status == 503]
    started = {task.job_id for task in world.starts}
    assert len(accepted) + len(refused) == 40
    assert 14 <= len(accepted) <= 20
    assert started == set(accepted)
    assert world.problems == []
    (line, *_) = world.log.named("STANDING_REFUSED")
    assert line["retry_after_s"] >= line["fits_after_s"] >= 1.0


def test_a_refused_job_is_accepted_once_another_one_has_ended() -> None:
    """Guards against refusals that outlast their reason."""

    async def play() -> tuple[list[int], HallWorld]:
        world = HallWorld(executors_per_hall=2)
        await world.begin()
        first, second = (world.new_job(step(2, cpu=6_000, standing=True)) for _ in range(2))
        statuses = [await world.submit("east-host-0", first)]
        await asyncio.sleep(3.0)
        statuses.append(await world.submit("east-host-1", second))
        await world.cancel("east-host-0", first.job_id)
        await asyncio.sleep(3.0)
        statuses.append(await world.submit("east-host-1", second))
        await asyncio.sleep(3.0)
        return statuses, world

    statuses, world = run_virtual(play())
    assert statuses == [200, 503, 200]
    assert len({task.job_id for task in world.starts}) == 2
    assert world.problems == []
