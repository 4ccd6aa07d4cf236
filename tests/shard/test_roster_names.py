"""Tests which executors are put on the roster, whose reports each next owner waits for."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard._changes import Changes
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with, report_ends


# Guards against next owners that wait for the report of an executor that there never was.
def test_only_executors_that_have_answered_are_put_on_the_roster() -> None:
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    changes = Changes(core)
    assert core.roster_names == {"e0@1"}
    changes.roster = frozenset(core.roster_names)
    first = core.executors["e0@1"].record
    core.list_executors([first, replace(first, executor_id="e1@1", address="other:1")], 2.0)
    assert not changes.roster_changed()
    report_ends(core, "e1@1", asked=2.1, now=2.11)
    assert changes.roster_changed()
    assert core.roster_names == {"e0@1", "e1@1"}


def test_inherited_executors_and_placeholders_stay_on_the_roster() -> None:
    core = core_with(step(1), executors=0)
    add_executor(core, "e0@1")
    first = core.executors["e0@1"].record
    core.inherit([replace(first, executor_id="e1@1")], until=20.0, read=False)
    core.inherit([replace(first, executor_id="e2", is_placeholder=True)], until=20.0)
    assert core.roster_names == {"e0@1", "e1@1", "e2"}
    core.remove_executor("e1@1")
    assert core.roster_names == {"e0@1", "e2"}
