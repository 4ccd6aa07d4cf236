"""A job's way through the logs of all hosts."""

from __future__ import annotations

import json

from linkspan.trace import trace


def line(second: int, kind: str, **fields: object) -> bytes:
    entry = {"timestamp": f"2026-01-01T00:00:{second:02}", "event": 1, "kind": kind, "host": "h"}
    return b"  12.5 host " + json.dumps({**entry, **fields}).encode()


def test_lines_come_in_order_with_what_befell_the_executors() -> None:
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
