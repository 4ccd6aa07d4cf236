"""Tests of the work that a hall publishes as waiting, and of the rate at which it drains."""

from __future__ import annotations

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.handover._backlogs import MAX_BACKLOGS
from linkspan.shard.handover.backlog import Backlog, WorkClass
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.planning._drain_rates import MAX_IDLE_S, MIN_OBSERVED_S
from tests.job_builders import QUEUE, step
from tests.shard.backlog_builders import DrainingHall, add_waiting_job, backlogs
from tests.shard.builders import JOB, core_with

CORES = 16
"""Cores of the two executors of a hall."""

DAYS_S = 3 * 86_400.0


def full_hall(tasks: int = 1_000) -> ShardCore:
    """Return a hall with many tasks of one core and one second."""
    return core_with(step(tasks))


def test_waiting_work_is_summed_by_queue_and_size() -> None:
    core = full_hall(3)
    add_waiting_job(core, 1, step(2, cpu=900, estimate_s=2.0))
    add_waiting_job(core, 2, step(1, cpu=4_750, estimate_s=2.0))
    add_waiting_job(core, 3, step(1, cpu=1_000), queue="other")
    assert backlogs(core, 0.1) == (
        Backlog(QUEUE.name, 8_000, 9_500, 0.0, jobs=1, duration_s=2.0),
        Backlog(QUEUE.name, 1_000, 6_600, 0.0, jobs=2, duration_s=6_600 / 4_800),
        Backlog("other", 1_000, 1_000, 0.0, jobs=1, duration_s=1.0),
    )


@pytest.mark.parametrize(
    ("milli_cpu", "size"), [(0, 1_000), (1_000, 1_000), (1_001, 2_000), (16_000, 16_000)]
)
def test_sizes_are_classed_by_powers_of_two(milli_cpu: int, size: int) -> None:
    assert WorkClass.of("short", milli_cpu) == WorkClass("short", size)


def test_a_hall_where_nothing_waits_publishes_no_backlog() -> None:
    """Guards against records that grow for halls without overload."""
    core = core_with(step(1))
    DrainingHall(core, duration_s=1.0).drain(0.5)
    assert backlogs(core, 1.2) == ()


def test_the_rate_of_a_full_hall_is_known_after_seconds() -> None:
    """Until then tasks end that started while there was room: at the rate of their arrival."""
    core = full_hall()
    hall = DrainingHall(core, duration_s=1.0)
    hall.drain(MIN_OBSERVED_S)
    assert [b.rate for b in backlogs(core, hall.now)] == [0.0]
    hall.drain(20.0)
    (backlog,) = backlogs(core, hall.now)
    assert backlog.rate == pytest.approx(CORES * 1_000, rel=0.2)


def test_a_rate_is_forgotten_once_nothing_waits() -> None:
    """A rate at low demand would tell of the arrivals, and make the next burst look hopeless."""
    core = full_hall(10 * CORES)
    hall = DrainingHall(core, duration_s=1.0)
    hall.drain(12.0)
    assert backlogs(core, hall.now) == ()
    later = hall.now + MAX_IDLE_S + 0.1
    assert backlogs(core, later) == ()
    add_waiting_job(core, 1, step(100))
    (backlog,) = backlogs(core, later)
    assert backlog.rate == 0.0


def test_the_rate_of_a_hall_that_completes_nothing_is_unknown() -> None:
    """A falling average would make each new job look hopeless while the hall is cut off."""
    core = full_hall()
    hall = DrainingHall(core, duration_s=1.0)
    hall.drain(20.0)
    for _ in range(10):
        hall.now += 1.0
        found = backlogs(core, hall.now)
    assert [b.rate for b in found] == [0.0]
    hall.drain(hall.now + 1.0)
    (backlog,) = backlogs(core, hall.now)
    assert backlog.rate > 0.0


def test_work_that_is_too_late_does_not_count() -> None:
    """New jobs are served before it, so that a burst leaves no reason for refusals behind."""
    core = full_hall()
    objective_s = core.jobs[JOB].objective_s
    assert backlogs(core, 0.1, wall=objective_s)
    assert backlogs(core, 0.1, wall=3.1 * objective_s) == ()


def test_an_estimate_of_days_counts_little_as_waiting_work() -> None:
    """Jobs with less work go first, so others must not be refused for its sake."""
    core = core_with()
    for number in range(10):
        add_waiting_job(core, number, step(2))
    (before,) = backlogs(core, 0.1)
    add_waiting_job(core, 10, step(1, estimate_s=DAYS_S))
    (after,) = backlogs(core, 0.1)
    assert after.work - before.work == pytest.approx(4 * 2_000)


def test_an_estimate_of_days_counts_as_drained_with_its_measured_duration() -> None:
    core = core_with(step(5 * CORES, estimate_s=DAYS_S))
    add_waiting_job(core, 1, step(1_000))
    hall = DrainingHall(core, duration_s=1.0)
    hall.drain(20.0)
    (backlog,) = backlogs(core, hall.now)
    assert backlog.rate <= CORES * 1_000 * 1.2


def test_estimates_of_zero_are_no_work() -> None:
    core = core_with(step(50, estimate_s=0.0))
    (backlog,) = backlogs(core, 0.1)
    assert (backlog.work, backlog.jobs) == (0, 1)


def test_the_largest_estimates_fit_into_a_record() -> None:
    core = core_with(step(10_000, cpu=2**31, estimate_s=1e9))
    (backlog,) = backlogs(core, 0.1)
    read = HallSummary.decode(HallSummary(capacity=1, backlogs=(backlog,)).encode())
    assert read.backlogs == (backlog._replace(duration_s=pytest.approx(backlog.duration_s)),)


def test_the_number_of_backlogs_is_limited_to_those_with_the_most_work() -> None:
    core = core_with()
    for number in range(3 * MAX_BACKLOGS):
        add_waiting_job(core, number, step(1 + number), queue=f"queue-{number}")
    found = backlogs(core, 0.1)
    assert len(found) == MAX_BACKLOGS
    assert found[0].queue == f"queue-{3 * MAX_BACKLOGS - 1}"


def test_a_new_owner_knows_no_rate() -> None:
    """Its executors may still be reporting, and its hall's halt is no sign of the hall's rate."""
    core = full_hall()
    hall = DrainingHall(core, duration_s=1.0)
    hall.drain(20.0)
    next_owner = full_hall()
    assert [b.rate for b in backlogs(next_owner, hall.now)] == [0.0]
    assert [b.rate for b in backlogs(next_owner, hall.now + MAX_IDLE_S)] == [0.0]
