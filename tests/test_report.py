"""Checks how the report divides the time of jobs among causes, from the logs of hosts."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import pytest

from linkspan.cli import Cli
from linkspan.errors import Refused
from linkspan.report import LogReader, render
from linkspan.report._intervals import Cause, Interval, split


def line(second: float, number: int, **fields: object) -> bytes:
    stamp = f"2026-01-01T00:00:{second:09.6f}+00:00"
    entry = {"timestamp": stamp, "event": number, "hall": "east", **fields}
    return b"  12.5 host " + json.dumps(entry).encode()


def waiting_job() -> list[bytes]:
    return [
        line(1.0, 521, job="a", queue="short", reason="store is away"),
        line(2.0, 520, job="a", queue="short"),
        line(2.0, 531, job="a", step="0.0", against={"cores": 3, "memory": 1}),
        line(5.0, 530, job="a", step="0.0", waited_s=3.0, runs={"0/1": "e"}),
        line(6.0, 534, job="a", task="0.0.0", run=1),
        line(8.0, 530, job="a", step="0.1", waited_s=0.0, runs={"0/1": "e"}),
        line(9.0, 525, job="a", queue="short", state="succeeded", objective_s=4.0),
    ]


def seconds_of(reader: LogReader) -> dict[str, float]:
    (times,) = reader.times.values()
    return {f"{cause.value}/{detail}": round(s, 3) for (cause, detail), s in times.seconds.items()}


def test_a_jobs_time_is_divided_among_its_causes() -> None:
    reader = LogReader()
    reader.read(waiting_job())
    assert seconds_of(reader) == {
        "not accepted/": 1.0,
        "waiting for capacity/cores": 3.0,
        "run again after a failure/": 2.0,
        "running/": 2.0,
    }
    (times,) = reader.times.values()
    assert (times.jobs["succeeded"], times.over_objective) == (1, 1)
    assert reader.refused == {"store is away": 1}


def test_bad_lines_are_counted_and_skipped() -> None:
    reader = LogReader()
    reader.read([b"no object", b"{cut", b'{"event": 1}', b'{"event":"x","timestamp":"y"}', b""])
    assert reader.bad_lines == 4
    reader.read(waiting_job())
    assert "bad lines: 4" in render(reader)


def test_standing_tasks_over_target_are_summed_by_hall() -> None:
    reader = LogReader()
    reader.read([line(n, 554, job="s", over_s=1.5) for n in (1.0, 2.0)])
    assert reader.over_s == {"east": 3.0}


def test_the_number_of_open_jobs_in_memory_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("linkspan.report.reader.MAX_OPEN_JOBS", 10)
    reader = LogReader()
    reader.read(line(1.0, 520, job=f"{n}", queue="q") for n in range(100))
    assert reader.open_jobs == 100
    assert len(reader._jobs) == 10


def test_the_parts_of_overlapping_intervals_add_up_to_the_whole() -> None:
    random = Random(1)
    for _ in range(200):
        starts = [random.uniform(-5.0, 15.0) for _ in range(8)]
        intervals = [
            Interval(start, start + random.uniform(0.0, 8.0), random.choice(list(Cause)))
            for start in starts
        ]
        assert sum(split(intervals, 0.0, 10.0).values()) == pytest.approx(10.0)


def test_the_command_prints_tables_and_refuses_an_empty_log(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "host.log"
    file.write_bytes(b"\n".join(waiting_job()))
    Cli().report(str(file))
    assert "short | 1 | 0 | 1 | 8" in capsys.readouterr().out
    file.write_bytes(b"")
    with pytest.raises(Refused):
        Cli().report(str(file))
