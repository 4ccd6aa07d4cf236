"""Tests fencing tokens: each incarnation of an executor gets a higher one than those before it."""

from __future__ import annotations

from typing import Any, cast

import pytest

from linkspan.errors import Fenced, Unreachable
from linkspan.shard.orders._calls import ExecutorCalls
from linkspan.shard.ownership._tokens import TenureTokens
from linkspan.shard.ownership.ownership import OwnerAct, OwnerRecord, OwnerView
from linkspan.store.types import Entry
from tests.job_builders import step
from tests.shard.builders import add_executor, core_with

FIRST, SECOND = "e0@1000", "e0@2000"


def _entry(
    offset: int, act: OwnerAct, incarnation: str, *, token: int = 0, number: int = 0
) -> Entry:
    record = OwnerRecord(act, incarnation, incarnation, token, number)
    return Entry(offset, record.encode())


def _view() -> OwnerView:
    view = OwnerView("me", "me", home=True)
    view.apply(_entry(4, OwnerAct.CLAIM, "me"), 0.0)
    return view


def test_a_next_incarnation_gets_a_higher_token() -> None:
    core = core_with(step(1), executors=0)
    core.tokens.raise_limit(5)
    add_executor(core, FIRST)
    add_executor(core, "e1@1000")
    add_executor(core, SECOND)
    assert core.executors[FIRST].token == core.executors["e1@1000"].token
    assert core.executors[SECOND].token == core.executors[FIRST].token + 1


def test_an_incarnation_found_after_the_previous_one_ended_gets_a_higher_token() -> None:
    core = core_with(step(1), executors=0)
    core.tokens.raise_limit(5)
    add_executor(core, FIRST)
    token = core.executors[FIRST].token
    core.on_incarnation_ended(FIRST, 1.0, "machine service no longer lists it", since=0.5)
    add_executor(core, SECOND)
    assert core.executors[SECOND].token > token


def test_no_token_exceeds_the_limit_of_its_tenure() -> None:
    tokens = TenureTokens(7)
    tokens.on_incarnation_end(7)
    assert tokens.next_token([]) == 7
    tokens.raise_limit(8)
    assert tokens.next_token([]) == 8


def test_renewals_that_were_read_raise_the_limit() -> None:
    view = _view()
    assert view.token_limit == 5
    view.apply(_entry(9, OwnerAct.RENEW, "me", token=5, number=1), 1.0)
    assert view.token_limit == 10


def test_a_renewal_after_a_gap_in_the_log_raises_no_limit() -> None:
    """The missing records may contain a claim of another host, whose token is higher."""
    view = _view()
    view.on_gap(0.5)
    view.apply(_entry(9, OwnerAct.RENEW, "me", token=5, number=1), 1.0)
    assert view.token_limit == 5


def test_a_renewal_that_comes_after_another_claim_raises_no_limit() -> None:
    view = _view()
    view.apply(_entry(6, OwnerAct.CLAIM, "other"), 0.5)
    view.apply(_entry(9, OwnerAct.RENEW, "me", token=5, number=1), 1.0)
    assert view.token_limit == 7, "the token of the other host's tenure, not of this process"
    assert not view.mine


def test_a_call_refused_by_a_next_incarnation_does_not_end_the_tenure() -> None:
    core = core_with(step(1), executors=0)
    core.tokens.raise_limit(5)
    add_executor(core, FIRST)
    add_executor(core, SECOND)
    calls = ExecutorCalls(lambda token: cast(Any, token), core.token_outdated)
    with pytest.raises(Unreachable), calls.to(core.executors[FIRST]):
        raise Fenced("the next incarnation has a higher token")
    with pytest.raises(Fenced), calls.to(core.executors[SECOND]):
        raise Fenced("a newer owner is at work")


def test_a_newer_owner_ends_the_tenure_even_if_other_executors_have_higher_tokens() -> None:
    """Guards against an owner that continues to call executors that a newer owner has called."""
    core = core_with(step(1), executors=0)
    core.tokens.raise_limit(5)
    add_executor(core, "e1@1000")
    add_executor(core, FIRST)
    add_executor(core, SECOND)
    calls = ExecutorCalls(lambda token: cast(Any, token), core.token_outdated)
    with pytest.raises(Fenced), calls.to(core.executors["e1@1000"]):
        raise Fenced("a newer owner is at work")


def test_a_tenure_has_a_higher_token_for_a_next_life_from_its_claim_on() -> None:
    """Guards against an order that also runs at a next incarnation in a tenure's first 0.6 s.

    Until a renewal is read back, the next incarnation gets the same token as the previous one.
    """
    view = _view()
    assert view.owner
    assert view.token_limit > view.owner.token
