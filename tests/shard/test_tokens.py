"""Tests fencing tokens: each incarnation of an executor gets a higher one than those before it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, cast

import pytest

from linkspan.errors import Fenced, Unreachable
from linkspan.shard.orders._calls import ExecutorCalls
from linkspan.shard.ownership._tokens import TenureTokens
from linkspan.shard.ownership.owner_record import RESERVATION_NUMBER, OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import OWNER_SILENCE_S, Owner, OwnerView
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


# Guards against an owner that ends over another hall's executor, which an entry puts in its own.
def test_an_executor_that_never_answered_proves_no_newer_owner() -> None:
    core = core_with(step(1), executors=0)
    add_executor(core, FIRST)
    first = core.executors[FIRST].record
    core.list_executors([first, replace(first, executor_id="e1@1", address="other:1")], 1.0)
    calls = ExecutorCalls(lambda token: cast(Any, token), core.token_outdated)
    with pytest.raises(Unreachable), calls.to(core.executors["e1@1"]):
        raise Fenced("the owner of its hall has a higher token")
    core.inherit([replace(first, executor_id="e2@1")], until=20.0)
    with pytest.raises(Fenced), calls.to(core.executors["e2@1"]):
        raise Fenced("a newer owner is at work")


def test_a_tenure_has_a_higher_token_for_a_next_life_from_its_claim_on() -> None:
    """Guards against an order that also runs at a next incarnation in a tenure's first 0.6 s.

    Until a renewal is read back, the next incarnation gets the same token as the previous one.
    """
    view = _view()
    assert view.owner
    assert view.token_limit > view.owner.token


def test_a_claim_and_its_reservation_give_a_tenure_two_tokens() -> None:
    view = OwnerView("me", "me", home=True)
    view.apply(_entry(3, OwnerAct.CLAIM, "me", number=RESERVATION_NUMBER), 0.0)
    assert view.owner and (view.owner.token, view.token_limit) == (4, 4)
    view.apply(_entry(4, OwnerAct.CLAIM, "me"), 0.0)
    assert (view.owner.token, view.token_limit) == (4, 5)


def test_no_two_tenures_have_a_token_in_common() -> None:
    """The tokens of a tenure end below those of the next one, whatever the version of its owner."""
    view = OwnerView("me", "me", home=True)
    view.apply(_entry(0, OwnerAct.CLAIM, "me", number=RESERVATION_NUMBER), 0.0)
    view.apply(_entry(1, OwnerAct.CLAIM, "me"), 0.0)
    view.apply(_entry(2, OwnerAct.RENEW, "me", token=2, number=1), 0.6)
    limit = view.token_limit
    assert limit == 3
    next_view = OwnerView("next", "next", home=True)
    next_view.apply(_entry(3, OwnerAct.CLAIM, "next", number=RESERVATION_NUMBER), 3.0)
    next_view.apply(_entry(4, OwnerAct.CLAIM, "next"), 3.0)
    assert next_view.owner and limit < next_view.owner.token
    earlier_version = OwnerView("earlier", "earlier", home=True)
    earlier_version.apply(_entry(5, OwnerAct.CLAIM, "other"), 6.0)
    assert earlier_version.owner and next_view.token_limit < earlier_version.owner.token


def test_renewals_carry_the_token_that_earlier_versions_expect() -> None:
    """Guards against a tenure that hosts of earlier versions take for silent.

    They know no reservation and expect the offset of the last claim that they read plus 1.
    """
    view = OwnerView("other", "other", home=True)
    view.apply(_entry(3, OwnerAct.CLAIM, "me", number=RESERVATION_NUMBER), 0.0)
    view.apply(_entry(4, OwnerAct.CLAIM, "me"), 0.0)
    assert view.owner == Owner("me", "me", 4), "the token of its orders"
    own = _view()
    assert own.claim_token == view.claim_token == 5
    view.apply(_entry(5, OwnerAct.RENEW, "me", token=own.claim_token, number=1), OWNER_SILENCE_S)
    assert not view.should_claim(OWNER_SILENCE_S)
