"""Tests entries that give a running executor another service, hall or labels."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from linkspan.jobs.spec import Demand
from linkspan.shard import _entry_disputes
from linkspan.shard._entry_disputes import EntryDisputes
from linkspan.shard.messages import ExecutorRecord

RECORD = ExecutorRecord(
    "e0@1", "pool", "e0:1", "east", Demand(8_000, 32_000), frozenset(("kind", "r")), "r"
)
PLACES = (
    {"hall": "west"},
    {"service": "other"},
    {"labels": frozenset(("kind", "s")), "rack": "s"},
    {"hall": "west", "executor_id": "e0"},
)
OTHER_FACTS = (
    {"capacity": Demand(4_000, 32_000)},
    {"draining": True, "remaining_s": 2.0},
    {"hall": "west", "executor_id": "e0@2"},
)


@contextmanager
def _time(monkeypatch: pytest.MonkeyPatch, at: float) -> Iterator[None]:
    with monkeypatch.context() as patch:
        patch.setattr(_entry_disputes, "steady", lambda: at)
        yield


@pytest.mark.parametrize("change", PLACES, ids=" ".join)
def test_an_entry_that_moves_an_incarnation_is_disputed_until_it_has_stood_for_long(
    change: dict[str, object], monkeypatch: pytest.MonkeyPatch
) -> None:
    disputes = EntryDisputes()
    moved = replace(RECORD, **change)  # type: ignore[arg-type]
    with _time(monkeypatch, 1.0):
        assert disputes.disputes("e0", moved, RECORD)
    with _time(monkeypatch, 5.0):
        assert disputes.disputes("e0", moved, None), "the same again"
    assert disputes.settled(1.0) == []
    assert disputes.settled(1.1) == ["e0"]
    assert disputes.remove("e0") == moved
    assert disputes.settled(9.0) == []


@pytest.mark.parametrize("change", PLACES, ids=" ".join)
def test_the_entry_that_an_executor_restores_ends_the_dispute(change: dict[str, object]) -> None:
    disputes = EntryDisputes()
    assert disputes.disputes("e0", replace(RECORD, **change), RECORD)  # type: ignore[arg-type]
    assert not disputes.disputes("e0", RECORD, RECORD)
    assert disputes.settled(float("inf")) == []


@pytest.mark.parametrize("change", OTHER_FACTS, ids=" ".join)
def test_what_an_executor_may_change_is_not_disputed(change: dict[str, object]) -> None:
    disputes = EntryDisputes()
    assert not disputes.disputes("e0", replace(RECORD, **change), RECORD)  # type: ignore[arg-type]
    assert not disputes.disputes("e0", replace(RECORD, **change), None)  # type: ignore[arg-type]


# Guards against another writer's entry that counts as its executor could not write in an outage.
def test_an_outage_of_the_store_settles_no_dispute(monkeypatch: pytest.MonkeyPatch) -> None:
    disputes = EntryDisputes()
    with _time(monkeypatch, 1.0):
        assert disputes.disputes("e0", replace(RECORD, hall="west"), RECORD)
    with _time(monkeypatch, 30.0):
        disputes.restart()
    assert disputes.settled(20.0) == []
    assert disputes.settled(31.0) == ["e0"]
