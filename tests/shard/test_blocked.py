"""Tests the log line on tasks that wait for capacity."""

from __future__ import annotations

from typing import Any

from linkspan.events import Event
from tests.job_builders import step
from tests.shard.builders import core_with, plan


class BlockedLines:
    """Collects the fields of log lines on blocked steps."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def __call__(self, event: Event, **fields: Any) -> None:
        if event is Event.STEP_BLOCKED:
            self.lines.append(fields)


def test_the_line_gives_the_reason_per_executor_and_the_cores_in_use_per_priority() -> None:
    blocked = BlockedLines()
    core = core_with(step(5, cpu=3_000), log=blocked)
    assert len(plan(core, 0.1)) == 4
    assert plan(core, 0.2) == []
    (line,) = blocked.lines
    assert line["against"] == {"cores": 2}
    assert line["held_cores"] == {"free": 4, "best effort": 0, "priority 0": 12}


def test_the_line_distinguishes_a_spread_limit_from_missing_capacity() -> None:
    blocked = BlockedLines()
    core = core_with(step(3, cpu=1_000, max_per_executor=1), log=blocked)
    assert len(plan(core, 0.1)) == 2
    plan(core, 0.2)
    assert blocked.lines[-1]["against"] == {"spread limit": 2}
