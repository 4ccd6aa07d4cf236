"""Tests that a start is not sent if its attempt was given up after it was planned.

Guards against a task that runs on two executors at once under one owner. The owner's process
freezes for about the duration of a lease. It then plans, still considers an executor alive, and
queues the order for the next turn of its event loop. Before that turn the open poll times out, and
as the lease has expired by now, the executor's attempts are given up. If the order is sent all the
same, the task also starts elsewhere.

An order could also be sent after a freeze between planning and sending: whether another owner may
be active was checked before the freeze, and the lease is computed after it.
"""

from __future__ import annotations

from linkspan.shard.ownership.ownership import MAX_UNPROVED_S
from tests.shard.stepped_dispatcher import LEASE_S, SteppedDispatcher


def test_a_start_is_not_sent_once_the_lease_of_its_executor_has_expired() -> None:
    stepped = SteppedDispatcher()
    core = stepped.core
    for executor in core.executors.values():
        assert executor.clock
        executor.clock.granted_s = executor.clock.clock_s + LEASE_S
    # The process was frozen since 0.1, the time of its last proof of ownership.
    now = 7.0
    stepped.proof.proved(0.1)
    stepped.plan(now)
    (attempt,) = (a for e in core.executors.values() for a in e.attempts.values())
    core.on_silent(attempt.executor_id, now)
    assert attempt.task.pending
    stepped.run_pending(now)
    assert stepped.sent == []


def test_a_start_is_not_sent_once_its_owner_may_no_longer_act() -> None:
    stepped = SteppedDispatcher()
    stepped.proof.proved(0.1)
    stepped.plan(0.2)
    stepped.run_pending(0.2 + 2 * MAX_UNPROVED_S)
    assert stepped.sent == []
