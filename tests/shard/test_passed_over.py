"""Tests the line on steps that wait while other work starts, and the gauges of free pieces."""

from __future__ import annotations

from collections import Counter
from typing import Any

from linkspan.events import Event
from linkspan.shard.core import ShardCore
from linkspan.shard.planning._passed_over import passed_over_fields, slots_by_size
from tests.job_builders import step
from tests.shard.builders import JOB, add_executors, core_with, plan, submitted_job

SMALL, WIDE = "00000000000000b1", "00000000000000b2"


def _full_hall() -> ShardCore:
    """Return a hall whose executors each have 3 of 8 cores left beside standing tasks."""
    core = core_with(step(2, cpu=5_000, standing=True), executors=0)
    add_executors(core, {"e0": 8_000, "e1": 8_000})
    plan(core, 0.1)
    return core


def _fields(core: ShardCore, job_id: str) -> dict[str, Any]:
    waiting = core.jobs[job_id].runs[0].steps[0]
    return passed_over_fields(waiting, Counter(), core, list(core.executors.values()))


def test_the_line_tells_what_started_while_a_step_waited() -> None:
    """Guards against short work that waits beside free cores with no line that tells why."""
    core = _full_hall()
    assert core.jobs[JOB].start_ordered
    core.add_job(submitted_job(step(2, cpu=4_000), job_id=WIDE), 1.0)
    core.add_job(submitted_job(step(3, cpu=1_000), job_id=SMALL), 1.0)
    plan(core, 1.1)
    fields = _fields(core, WIDE)
    assert fields["work"] == "short"
    assert fields["tasks"] == 2
    assert fields["started"] == {"standing": 2, "short, smaller": 3}
    assert (fields["executors"], fields["with_room"], fields["beside_standing"]) == (2, 0, 0)
    assert (fields["largest_free"], fields["free"]) == (2_000, 3_000)


def test_free_slots_count_whole_pieces() -> None:
    """Guards against a gauge that counts free cores on several executors as one piece."""
    core = _full_hall()
    assert slots_by_size(core.executors.values()) == {1_000: 6, 2_000: 2, 4_000: 0, 8_000: 0}


def test_starts_are_counted_once_each() -> None:
    """Guards against a restart of a standing task that counts as the start of a new one."""
    assert _next_starts(ran=True) == [("standing", True, 1)]


def test_a_start_that_follows_a_refused_one_is_no_restart() -> None:
    """Guards against a standing task that never ran and counts as one that starts again."""
    assert _next_starts(ran=False) == [("standing", False, 1)]


def _next_starts(*, ran: bool) -> list[tuple[str, bool, int]]:
    """Return the starts that are counted after a first start, and after its run if it began."""
    core = _full_hall()
    before = core.start_counts.snapshot()
    attempt = core.jobs[JOB].runs[0].steps[0].tasks[0].attempts[0]
    if ran:
        attempt.confirm(1.0)
    core.close_attempt(attempt, 2.0)
    plan(core, 2.1)
    again = core.start_counts.since(before)
    return [(start.kind.value, start.again, n) for start, n in again.items()]


def test_the_event_of_steps_that_are_passed_over_has_a_number() -> None:
    assert Event.STEP_PASSED_OVER.number == 584
