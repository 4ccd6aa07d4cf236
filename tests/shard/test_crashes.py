"""What an owner makes of executors that crash, and of the tasks that were there."""

from __future__ import annotations

from typing import Any

from linkspan.events import Event
from tests.job_builders import step
from tests.shard.builders import JOB, core_with, plan, started


def test_a_crash_names_the_tasks_that_were_there() -> None:
    """Those that began last come first: what crashes an executor does so soon."""
    lines: list[dict[str, Any]] = []

    def log(event: Event, **fields: Any) -> None:
        if event is Event.EXECUTOR_CRASHED:
            lines.append(fields)

    core = core_with(step(1), step(1), executors=1, log=log)
    first, second = plan(core, 1.0)
    started(core, first, 1.2)
    core.on_silent("e0", 3.0)
    core.on_gone("e0", 4.0, "machine lists it no more")
    (line,) = lines
    assert line["fell_s"] == 1.0
    assert line["tasks"] == {
        f"{JOB}.0.0.0/1": [1.8, 0, 0],
        f"{JOB}.0.1.0/1": [2.0, 0, 0],
    }
    assert second.run == 1


def test_an_executor_that_leaves_as_it_said_has_not_crashed() -> None:
    lines: list[Event] = []
    core = core_with(step(1), executors=1, log=lambda event, **_fields: lines.append(event))
    plan(core, 1.0)
    drained = core.executors["e0"].record
    object.__setattr__(drained, "draining", True)
    core.on_gone("e0", 4.0, "another incarnation answers")
    assert Event.EXECUTOR_GONE in lines
    assert Event.EXECUTOR_CRASHED not in lines
