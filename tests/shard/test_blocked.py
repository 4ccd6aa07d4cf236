"""What a log line says of tasks that wait for room."""

from __future__ import annotations

from typing import Any

from linkspan.events import Event
from tests.job_builders import step
from tests.shard.builders import core_with, plan


class Blocked:
    """Keeps the fields of lines that tell of waiting tasks."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def __call__(self, event: Event, **fields: Any) -> None:
        if event is Event.STEP_BLOCKED:
            self.lines.append(fields)


def test_the_line_names_what_speaks_against_each_executor_and_who_holds_the_hall() -> None:
    blocked = Blocked()
    core = core_with(step(5, cpu=3_000), log=blocked)
    assert len(plan(core, 0.1)) == 4
    assert plan(core, 0.2) == []
    (line,) = blocked.lines
    assert line["against"] == {"cores": 2}
    assert line["held_cores"] == {"free": 4, "best effort": 0, "priority 0": 12}


def test_a_spread_limit_is_told_apart_from_want_of_room() -> None:
    blocked = Blocked()
    core = core_with(step(3, cpu=1_000, max_per_executor=1), log=blocked)
    assert len(plan(core, 0.1)) == 2
    plan(core, 0.2)
    assert blocked.lines[-1]["against"] == {"spread limit": 2}
