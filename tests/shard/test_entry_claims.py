"""Tests entries that contradict what a known executor has shown."""

from __future__ import annotations

from dataclasses import replace

from linkspan.events import Event
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorRecord
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with

FIRST = "e0@1000"
OTHER_ADDRESS = "other:1"

REWRITE_S = 1.5
"""Time after which an executor rewrites its own entry."""


def _core() -> tuple[ShardCore, ExecutorRecord]:
    core = core_with(step(1), executors=0)
    add_executor(core, FIRST)
    return core, core.executors[FIRST].record


# Guards against runs that end or start twice, as calls go to an address that an entry claims.
def test_an_incarnation_that_has_answered_keeps_its_address() -> None:
    core, first = _core()
    core.list_executors([replace(first, address=OTHER_ADDRESS)], 2.0)
    executor = core.executors[FIRST]
    assert executor.record == first
    assert not core.takes_work(executor, 2.0)
    assert executor.missing_since > 2.0 + REWRITE_S
    core.list_executors([first], 2.0 + REWRITE_S)
    assert core.takes_work(executor, 2.0 + REWRITE_S)


def test_an_answer_of_another_executor_ends_only_who_has_answered_at_the_address() -> None:
    core, first = _core()
    entered = replace(first, executor_id="e1@1000", address=OTHER_ADDRESS)
    core.list_executors([first, entered], 2.0)
    core.on_other_answered("e1@1000", OTHER_ADDRESS, 2.1)
    core.on_other_answered(FIRST, OTHER_ADDRESS, 2.1)
    assert list(core.executors) == [FIRST, "e1@1000"]
    core.on_other_answered(FIRST, first.address, 2.2)
    assert list(core.executors) == ["e1@1000"]


def test_an_inherited_executor_keeps_the_address_of_the_roster() -> None:
    core = core_with(step(1), executors=0)
    _, first = _core()
    core.inherit([first], until=20.0)
    core.list_executors([replace(first, address=OTHER_ADDRESS)], 2.0)
    assert core.executors[FIRST].record == first


def test_a_claim_is_logged_once() -> None:
    events: list[Event] = []
    core = core_with(step(1), executors=0, log=lambda event, **_fields: events.append(event))
    add_executor(core, FIRST)
    first = core.executors[FIRST].record
    for at in (2.0, 2.5, 3.0):
        core.list_executors([replace(first, address=OTHER_ADDRESS)], at)
        core.tick(at + 0.1)
    core.list_executors([first], 3.5)
    core.list_executors([replace(first, address=OTHER_ADDRESS)], 4.0)
    assert events.count(Event.ENTRY_CONTRADICTED) == 2
