"""Tests the log line on an end that belongs to no job of the shard."""

from __future__ import annotations

import pytest

from linkspan.events import Event
from linkspan.shard.messages import EndedTask, EndKind, TaskName
from linkspan.shard.reports._ends import MAX_UNKNOWN_LINES_PER_S
from tests.job_builders import step
from tests.shard.builders import core_with, report_ends


@pytest.mark.parametrize("left", [False, True])
def test_an_end_of_an_unknown_job_is_logged_at_a_limited_rate(left: bool) -> None:
    rows: list[dict[str, object]] = []

    def log(event: Event, **fields: object) -> None:
        if event is Event.END_UNKNOWN:
            rows.append(fields)

    core = core_with(step(1), log=log)
    if left:
        core.departed_jobs.add("bb")
    ends = [
        EndedTask(n + 1, TaskName("bb", 0, 0, n), 1, EndKind.DONE, "")
        for n in range(MAX_UNKNOWN_LINES_PER_S + 5)
    ]
    report_ends(core, "e0", *ends, asked=5.0, now=5.1)
    assert len(rows) == MAX_UNKNOWN_LINES_PER_S
    assert (rows[0]["executor"], rows[0]["job"], rows[0]["task"]) == ("e0", "bb", "0.0.0")
    assert (rows[0]["run"], rows[0]["how"], rows[0]["left"]) == (1, "done", left)
    late = EndedTask(99, TaskName("bb", 0, 0, 99), 1, EndKind.DONE, "")
    report_ends(core, "e0", late, asked=6.0, now=6.1)
    assert rows[-1]["left_out"] == 5
