"""Tests entries that contradict what a known executor has shown."""

from __future__ import annotations

from dataclasses import replace

from linkspan.events import Event
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorRecord, ExecutorReport
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with

FIRST, SECOND = "e0@1000", "e0@2000"
OTHER_ADDRESS = "other:1"

REWRITE_S = 1.5
"""Time after which an executor rewrites its own entry."""


def _core() -> tuple[ShardCore, ExecutorRecord]:
    core = core_with(step(1), executors=0)
    core.tokens.raise_limit(9)
    add_executor(core, FIRST)
    return core, core.executors[FIRST].record


def _report(core: ShardCore, name: str, started_at_ms: int, at: float) -> None:
    report = ExecutorReport(at, (), (), started_at_ms=started_at_ms)
    core.on_report(name, report, asked=at, now=at + 0.01)


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


# Guards against runs that are moved, or wait for leases, as an entry names another start time.
def test_an_incarnation_that_answers_counts_until_the_one_of_its_entry_does() -> None:
    core, first = _core()
    core.list_executors([replace(first, executor_id=SECOND)], 2.0)
    assert core.executors_to_poll == {FIRST}
    _report(core, FIRST, 1_000, 2.1)
    core.tick(2.2)
    assert list(core.executors) == [FIRST]
    assert core.executors[FIRST].missing_since > 2.0 + REWRITE_S
    core.list_executors([first], 2.0 + REWRITE_S)
    assert core.takes_work(core.executors[FIRST], 2.0 + REWRITE_S)


def test_an_incarnation_claimed_at_another_address_is_called_beside_the_known_one() -> None:
    core, first = _core()
    core.list_executors([replace(first, executor_id=SECOND, address=OTHER_ADDRESS)], 2.0)
    assert [e.record.address for e in core.executors.values()] == [first.address, OTHER_ADDRESS]
    core.on_other_answered(SECOND, OTHER_ADDRESS, 2.1)
    assert list(core.executors) == [FIRST, SECOND]
    _report(core, SECOND, 2_000, 2.2)
    assert list(core.executors) == [SECOND]


def test_an_incarnation_that_has_seen_the_token_of_a_claimed_one_is_called_under_it() -> None:
    core, first = _core()
    core.list_executors([replace(first, executor_id=SECOND, address=OTHER_ADDRESS)], 2.0)
    token = core.executors[SECOND].token
    assert core.executors[FIRST].token < token
    core.on_incarnation_found(SECOND, FIRST, asked=2.1, now=2.11)
    assert core.executors[FIRST].token == token


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
