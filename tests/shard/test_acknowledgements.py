"""Tests that no incarnation takes a start and, after it, a delayed poll that acknowledges ends."""

from __future__ import annotations

from typing import Any, cast

import pytest

from linkspan.errors import Fenced, Unreachable
from linkspan.shard.attempt import NEVER
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import MAX_ENDS_BEHIND_WITHHELD, ExecutorState
from linkspan.shard.orders._calls import ExecutorCalls
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.reports._acknowledgements import acknowledgeable_end
from tests.job_builders import step
from tests.shard.builders import add_executor, confirm_start, core_with, plan, report_ends
from tests.shard.stepped_dispatcher import SteppedDispatcher

FIRST, SECOND = "e0@1000", "e0@2000"


def _core(*, tokens: int = 3) -> ShardCore:
    """Return a core with a task that waits and an executor that has ends to acknowledge."""
    core = core_with(step(1, estimate_s=2.0), executors=0)
    core.tokens.raise_limit(tokens)
    add_executor(core, FIRST)
    _set_pending(core.executors[FIRST])
    return core


def _set_pending(executor: ExecutorState) -> None:
    executor.acknowledged = 5


def _fail_poll(core: ShardCore, now: float) -> None:
    """Send a poll that acknowledges ends and gets no answer."""
    executor = core.executors[FIRST]
    sent = core.acknowledgements.send(executor, 5, now - 1.0)
    core.acknowledgements.on_unanswered(sent, now)


def test_a_start_waits_while_a_poll_that_acknowledges_ends_is_open() -> None:
    """Guards against TWICE: the next incarnation could carry out the start before the poll."""
    core = _core()
    sent = core.acknowledgements.send(core.executors[FIRST], 5, 0.05)
    assert core.acknowledgements.is_open(core.executors[FIRST])
    core.acknowledgements.on_answered(sent, 0.06, by=FIRST)
    assert not core.acknowledgements.is_open(core.executors[FIRST])


def test_ends_are_acknowledged_only_to_an_incarnation_that_reported_after_each_start() -> None:
    """Guards against TWICE: the next incarnation may have answered a start, and then gets a poll.

    The start is answered while the previous incarnation's report is still fresh.
    """
    core = _core()
    (order,) = plan(core, 0.05)
    core.on_start_sent(order, 0.05)
    confirm_start(core, order, 0.06)
    assert acknowledgeable_end(core.executors[FIRST], 0.07) == 0
    report_ends(core, FIRST, asked=0.08, now=0.09)
    _set_pending(core.executors[FIRST])
    assert acknowledgeable_end(core.executors[FIRST], 0.1) == 5


def test_no_end_is_acknowledged_while_the_start_of_a_long_run_may_still_arrive() -> None:
    """Guards against TWICE: a poll may be on its way for longer than a run takes."""
    core = _core()
    (order,) = plan(core, 0.05)
    core.on_start_sent(order, 0.05)
    core.on_start_unanswered(order, 0.1)
    assert acknowledgeable_end(core.executors[FIRST], 0.1) == 0


def test_calls_after_an_unanswered_poll_carry_a_higher_token() -> None:
    """Guards against TWICE: the poll could be carried out after a later start."""
    core = _core()
    before = core.executors[FIRST].token
    _fail_poll(core, 1.0)
    assert core.executors[FIRST].token > before
    assert core.executors[FIRST].usable(1.1)


def test_without_a_higher_token_an_executor_gets_no_start_until_the_poll_has_expired() -> None:
    """Guards against TWICE while the store answers no renewal, which would bring a token."""
    core = _core(tokens=0)
    _fail_poll(core, 1.0)
    executor = core.executors[FIRST]
    assert core.acknowledgements.prevents_starts(executor, 1.1)
    assert not executor.usable(1.1)
    core.tick(1.0 + MAX_START_DELAY_S)
    assert not core.acknowledgements.prevents_starts(executor, 1.0 + MAX_START_DELAY_S)
    assert executor.usable(1.0 + MAX_START_DELAY_S)


def test_a_renewal_brings_the_token_for_starts_after_an_unanswered_poll() -> None:
    """Guards against an executor that gets no work for longer than is necessary."""
    core = _core(tokens=0)
    _fail_poll(core, 1.0)
    core.tokens.raise_limit(9)
    core.tick(1.1)
    assert core.executors[FIRST].no_starts_until == NEVER
    assert core.executors[FIRST].usable(1.1)


def test_a_next_incarnation_without_a_higher_token_gets_no_start_either() -> None:
    """Guards against TWICE: the poll of the previous incarnation could still reach this one."""
    core = _core(tokens=0)
    _fail_poll(core, 1.0)
    core.on_incarnation_found(FIRST, SECOND, asked=1.2, now=1.3)
    assert core.acknowledgements.prevents_starts(core.executors[SECOND], 1.3)


def test_a_next_incarnation_under_its_own_token_gets_starts() -> None:
    core = _core(tokens=9)
    _fail_poll(core, 1.0)
    core.on_incarnation_found(FIRST, SECOND, asked=1.2, now=1.3)
    assert not core.acknowledgements.prevents_starts(core.executors[SECOND], 1.3)


def test_no_end_is_acknowledged_without_a_higher_token_for_the_starts_after_it() -> None:
    """Guards against LOST: the loss of the answer would keep the executor from all starts."""
    core = _core(tokens=0)
    executor = core.executors[FIRST]
    report_ends(core, FIRST, asked=0.08, now=0.09)
    _set_pending(executor)
    assert core.acknowledgements.acknowledgeable_end(executor, 0.1) == 0
    core.tokens.raise_limit(9)
    assert core.acknowledgements.acknowledgeable_end(executor, 0.1) == 5


def test_ends_that_later_ones_would_be_omitted_for_need_no_higher_token() -> None:
    """Guards against an executor that lists no new ends, as too many are unacknowledged."""
    core = _core(tokens=0)
    executor = core.executors[FIRST]
    report_ends(core, FIRST, asked=0.08, now=0.09)
    executor.acknowledged = MAX_ENDS_BEHIND_WITHHELD + 1
    assert core.acknowledgements.acknowledgeable_end(executor, 0.1) == executor.acknowledged


def test_a_refused_poll_delays_nothing() -> None:
    core = _core(tokens=0)
    sent = core.acknowledgements.send(core.executors[FIRST], 5, 0.05)
    core.acknowledgements.on_refused(sent)
    assert not core.acknowledgements.is_open(core.executors[FIRST])
    assert not core.acknowledgements.prevents_starts(core.executors[FIRST], 0.06)


def test_a_call_that_a_raised_token_overtakes_does_not_end_the_tenure() -> None:
    """Guards against an owner that takes its own higher token for that of a newer owner."""
    core = _core()
    executor = core.executors[FIRST]
    calls = ExecutorCalls(lambda token: cast(Any, token), core.token_outdated)
    with pytest.raises(Unreachable), calls.to(executor):
        _fail_poll(core, 1.0)
        raise Fenced("a call with a higher token came first")
    with pytest.raises(Fenced), calls.to(executor):
        raise Fenced("a newer owner is at work")


def test_a_start_that_was_planned_before_an_unanswered_poll_is_not_sent() -> None:
    """Guards against TWICE: the start was queued while the poll was open."""
    core = _core(tokens=0)
    dispatcher = SteppedDispatcher(core)
    dispatcher.plan(0.05)
    _fail_poll(core, 0.06)
    dispatcher.run_pending(0.07)
    assert dispatcher.sent == []
