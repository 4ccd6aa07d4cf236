"""Checks the trace of a job through the logs of all hosts, and its summary of starts."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from linkspan.commands.log_commands import LogCommands
from linkspan.trace import repeated_starts, summary, trace


def line(second: int, kind: str, **fields: object) -> bytes:
    entry = {"timestamp": f"2026-01-01T00:00:{second:02}", "event": 1, "kind": kind, "host": "h"}
    return b"  12.5 host " + json.dumps({**entry, **fields}).encode()


def test_lines_are_ordered_and_include_events_of_the_jobs_executors() -> None:
    lines = [
        line(5, "executor_silent", executor="e1"),
        line(1, "job_accepted", job="a"),
        line(2, "step_placed", job="a", runs={"0/1": "e1"}),
        line(3, "step_placed", job="b", runs={"0/1": "e2"}),
        line(4, "executor_silent", executor="e2"),
        b"no log line",
        b"{broken",
    ]
    found = trace("a", lines)
    assert [entry.kind for entry in found] == ["job_accepted", "step_placed", "executor_silent"]
    assert found[1].details == {"runs": {"0/1": "e1"}}


def test_an_unknown_job_has_no_lines() -> None:
    assert trace("zz", [line(1, "job_accepted", job="a")]) == []


def test_claims_of_owners_that_logged_the_job_are_included() -> None:
    lines = [
        line(1, "owner_claimed", shard=0, token=7, former_acts_s=1.5),
        line(2, "owner_claimed", shard=1, token=7),
        line(3, "step_placed", job="a", shard=0, token=7, runs={"0/1": "e1"}),
    ]
    found = trace("a", lines)
    assert [entry.details.get("shard") for entry in found] == [0, 0]


TWO_HALLS = (
    [
        line(1, "job_accepted", job="a", offset=5, host="w"),
        line(2, "job_taken_in", job="a", host="w", hall="west", shard=1, token=30, offset=5),
        line(
            3,
            "step_placed",
            job="a",
            host="w",
            hall="west",
            shard=1,
            token=30,
            step="0.0",
            by="new",
            runs={"0/1": "e1", "1/1": "e2"},
        ),
        line(
            7,
            "work_handed_over",
            job="a",
            host="w",
            hall="west",
            shard=1,
            token=44,
            to_shard=0,
            tasks="all",
            by="inherited",
            answered=2,
            rostered=3,
        ),
        line(8, "move_told", job="a", host="w", hall="west", shard=1, token=44, offset=99),
        line(
            9,
            "end_unknown",
            job="a",
            host="w",
            hall="west",
            shard=1,
            token=44,
            task="0.0.1",
            run=1,
            executor="e2",
            how="done",
        ),
    ],
    [
        line(
            8,
            "job_taken_in",
            job="a",
            host="x",
            hall="east",
            shard=0,
            token=41,
            offset=5,
            moved=True,
            moved_at=99,
        ),
        line(
            9,
            "step_placed",
            job="a",
            host="x",
            hall="east",
            shard=0,
            token=41,
            step="0.0",
            by="new moved",
            runs={"1/1": "e7"},
        ),
        line(9, "step_placed", job="b", host="x", shard=0, token=41, step="0.0", runs={"1/1": "e"}),
    ],
)
"""Logs of a host of each hall. A job starts in the west, and again in the east."""


def test_repeated_starts_are_listed_with_their_owner_and_reason() -> None:
    found = trace("a", [*TWO_HALLS[1], *TWO_HALLS[0]])
    starts = repeated_starts(found)
    assert list(starts) == ["0.0.1"]
    west, east = starts["0.0.1"]
    assert (west.host, west.hall, west.shard, west.token) == ("w", "west", "1", "30")
    assert (west.executor, west.run, west.reason) == ("e2", "1", "new offset=5")
    assert west.outcome == "end_unknown done"
    assert (east.host, east.hall, east.shard, east.token) == ("x", "east", "0", "41")
    assert (east.executor, east.run) == ("e7", "1")
    assert east.reason == "new moved offset=5 moved_at=99"
    text = summary(found)
    assert text[0] == "task 0.0.1 was started 2 times, by 2 owner(s)"
    assert text[4] == "moves of the job: 3 line(s)"
    assert [row.split()[3] for row in text[5:]] == ["work_handed_over", "job_taken_in", "move_told"]


def test_speculative_copies_and_retries_count_as_starts() -> None:
    found = trace(
        "a",
        [
            line(1, "step_placed", job="a", step="0.0", runs={"0/1": "e1"}),
            line(2, "run_failed", job="a", task="0.0.0", run=1, executor="e1"),
            line(3, "step_placed", job="a", step="0.0", runs={"0/2": "e2"}),
            line(4, "run_copied", job="a", task="0.0.0", run=3, executor="e3", beside="e2"),
        ],
    )
    starts = repeated_starts(found)["0.0.0"]
    assert [(start.run, start.outcome) for start in starts] == [
        ("1", "run_failed"),
        ("2", ""),
        ("3", ""),
    ]
    assert starts[2].reason == "copy"


def test_a_job_whose_tasks_were_started_once_has_no_summary() -> None:
    assert summary(trace("a", TWO_HALLS[0])) == []


def test_the_command_prints_the_summary_after_the_lines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    paths = [tmp_path / "w.log", tmp_path / "x.log"]
    for path, lines in zip(paths, TWO_HALLS, strict=True):
        path.write_bytes(b"\n".join(lines))
    LogCommands().trace("a", *map(str, paths))
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 8 + 1 + 3 + 1 + 3
    assert printed[8].startswith("task 0.0.1 was started 2 times")
