"""Tests of a review of an owner's waits and orders that keep standing tasks waiting."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any, cast

from linkspan.clock import steady
from linkspan.shard.messages import ExecutorReport
from linkspan.shard.ownership._proof import OwnershipProof, TenureLost
from linkspan.shard.ownership.owner_record import OwnerAct, OwnerRecord
from linkspan.shard.ownership.ownership import RENEWAL_INTERVAL_S, OwnerView
from linkspan.shard.reports._watch import ExecutorWatch
from linkspan.store.types import Entry
from tests.event_recorder import EventRecorder
from tests.job_builders import MAX_AWAY_S, step
from tests.shard.builders import JOB, core_with
from tests.shard.standing_builders import OBSERVED_S, set_history_at_limit, tasks_of
from tests.shard.stepped_dispatcher import SteppedDispatcher
from tests.virtual_time import HOST, run_virtual, virtual_loop

STALL_S = 0.4
"""Time for which a busy process does nothing else, such as read a large configuration."""

LONG_FREEZE_S = 7.0
"""Duration of a freeze in which no proof arrives, shorter than proofs are valid for."""

BUSY_INTERVAL_S = 0.9
"""Interval between two such times."""

SLOW_CONFIRMATION_S = 0.8
"""Time until a renewal is read back from a slow store: two calls of 0.4 s."""

LATE_POLL_S = 0.3
"""Time of a poll on a busy host, above the age of an answer that a start may follow."""


def _entry(offset: int, act: OwnerAct, *, token: int = 0) -> Entry:
    return Entry(offset, OwnerRecord(act, "other", "other-life", token).encode())


def test_a_released_shard_has_no_former_owner_that_may_act() -> None:
    """Guards against 10 s of waiting for an owner that has stopped as planned.

    The next owner starts inherited work once the leases of executors that do not answer have
    expired. It counts them from the time until which former owners may renew them.
    """
    view = OwnerView("me", "me-life", home=True)
    view.apply(_entry(4, OwnerAct.CLAIM), 0.0)
    view.apply(_entry(5, OwnerAct.RELEASE, token=5), 30.0)
    assert view.former_owners_remaining_s(30.2) == 0.0


def test_an_owner_that_may_not_act_for_long_gives_its_shard_up() -> None:
    """Guards against an owner that keeps its shard and starts nothing.

    Its process stalls again before each renewal is read back from a slow store. So each stall has
    to be followed by a newer proof, and the tenure never ends, as the last proof is never old.
    """

    async def play() -> float:
        proof = OwnershipProof(0, steady(), freeze_s=0.3, log=cast(Any, EventRecorder()))
        loop = virtual_loop()
        loop.create_task(proof.watch_freeze())
        began, longest_s, acted_at = steady(), 0.0, steady()
        loop.create_task(_renew(proof))
        loop.create_task(_stall())
        with suppress(TenureLost):
            while steady() - began < OBSERVED_S:
                await asyncio.sleep(0.05)
                proof.check(steady())
                if proof.may_act(steady()):
                    acted_at = steady()
                longest_s = max(longest_s, steady() - acted_at)
        return longest_s

    HOST.set("busy")
    assert run_virtual(play()) <= MAX_AWAY_S


def test_a_single_long_freeze_does_not_end_a_tenure() -> None:
    """Guards against an owner that gives its shard up before a proof could arrive."""

    async def play() -> None:
        proof = OwnershipProof(0, steady(), freeze_s=0.3, log=cast(Any, EventRecorder()))
        loop = virtual_loop()
        loop.create_task(proof.watch_freeze())
        await asyncio.sleep(0.2)
        proof.check(steady())
        loop.freeze("busy")
        HOST.set("")
        loop.call_later(LONG_FREEZE_S, loop.thaw, "busy")
        HOST.set("busy")
        await asyncio.sleep(0.1)
        proof.check(steady())
        assert not proof.may_act(steady())
        proof.proved(steady())
        assert proof.may_act(steady())

    HOST.set("busy")
    run_virtual(play())


async def _renew(proof: OwnershipProof) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(RENEWAL_INTERVAL_S)
        loop.call_later(SLOW_CONFIRMATION_S, proof.proved, steady())


async def _stall() -> None:
    loop = virtual_loop()
    while True:
        await asyncio.sleep(BUSY_INTERVAL_S - STALL_S)
        loop.freeze("busy")
        HOST.set("")
        loop.call_later(STALL_S, loop.thaw, "busy")
        HOST.set("busy")


class _LateWatch:
    """Polls executors, whose answers it applies late."""

    def __init__(self, stepped: SteppedDispatcher) -> None:
        self._stepped = stepped

    async def poll_once(self, executor: Any) -> None:
        asked = steady()
        await asyncio.sleep(LATE_POLL_S)
        self._stepped.proof.proved(steady())
        answer = ExecutorReport(asked, (), ())
        self._stepped.core.on_report(executor.executor_id, answer, asked=asked, now=steady())


def test_the_start_of_a_task_at_the_crash_limit_is_sent_in_time_by_a_busy_host() -> None:
    """Guards against a start that waits 10 s for an answer that a busy host never applies in time.

    Before that, the task may have waited as long for an executor of its own.
    """

    async def play() -> float:
        core = core_with(step(1, standing=True), executors=1)
        (task,) = tasks_of(core, JOB)
        set_history_at_limit(core, task)
        task.ready_since = steady()
        stepped = SteppedDispatcher(core)
        stepped.dispatcher._watch = cast(ExecutorWatch, _LateWatch(stepped))
        stepped.proof.proved(steady())
        answered_at = steady() - LATE_POLL_S
        answer = ExecutorReport(answered_at, (), ())
        core.on_report("e0", answer, asked=answered_at, now=steady())
        stepped.dispatcher._plan()
        planned_at = steady()
        sending = stepped.waiting.pop()
        await sending
        for check in stepped.waiting:
            check.close()
        assert stepped.sent
        return steady() - planned_at

    assert run_virtual(play()) <= MAX_AWAY_S


def test_a_start_is_not_sent_to_an_executor_that_went_silent_meanwhile() -> None:
    """Guards against a start whose answer is lost for certain.

    The task waits for this executor until the start can no longer arrive, instead of starting at
    once on another one.
    """
    stepped = SteppedDispatcher(core_with(step(1, standing=True)))
    stepped.plan(1.0)
    (task,) = tasks_of(stepped.core, JOB)
    stepped.core.on_silent(task.attempts[0].executor_id, 1.05)
    stepped.run_pending(1.1)
    assert stepped.sent == []
    assert task.attempts == []
