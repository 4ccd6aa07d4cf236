"""An expired lease permits a start only between an end and its acknowledgement.

The tests check the rule of ``LeaseExpiryWorld``.
"""

from __future__ import annotations

import asyncio

from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.job_builders import step
from tests.lease_expiry_world import LeaseExpiryWorld
from tests.virtual_time import run_virtual

EVENT_INTERVAL_S = 1.0
"""Interval between two events."""


def broken_rules(*events: str) -> list[str]:
    """Return the rules that a sequence of events breaks, after the start of a task.

    Args:
        events: ``end`` of the run; ``start`` of the task on an idle executor; ``lapse``, the expiry
            of the first executor's lease; ``renew``, the renewal of that lease; ``note``, the
            acknowledgement of the end.
    """

    async def play() -> list[str]:
        world = LeaseExpiryWorld()
        await world.begin()
        first, second, _ = world.executors.values()
        spec = world.new_job(step())
        world.specs[spec.job_id] = spec
        task = TaskName(spec.job_id, 0, 0, 0)
        world.judge_start(first, StartOrder("", task, 1, spec.payload, ""))
        for event in events:
            await asyncio.sleep(EVENT_INTERVAL_S)
            if event == "end":
                world.judge_end(first, task, 1, EndKind.DONE)
            elif event == "lapse":
                first.until = first.clock
            elif event == "renew":
                first.fence(first.token)
                first.until = first.clock + 60.0
            elif event == "start":
                world.judge_start(second, StartOrder("", task, 2, spec.payload, ""))
            else:
                world.judge_acknowledged(first, EndedTask(1, task, 1, EndKind.DONE, ""))
        return [line.split()[1] for line in world.problems]

    return run_virtual(play())


def test_a_lease_expiry_between_end_and_acknowledgement_permits_a_start() -> None:
    assert broken_rules("renew", "end", "lapse", "start", "renew", "note") == []


def test_a_start_without_a_lease_expiry_is_a_violation() -> None:
    assert broken_rules("renew", "end", "start", "renew", "note") == ["TWICE"]


def test_a_lease_expiry_before_the_end_permits_no_start() -> None:
    assert broken_rules("lapse", "renew", "end", "start", "renew", "note") == ["TWICE"]


def test_a_lease_expiry_after_the_acknowledgement_permits_no_start() -> None:
    assert broken_rules("renew", "end", "note", "lapse", "renew", "start") == ["TWICE"]


def test_a_start_after_the_acknowledgement_is_a_violation_after_a_lease_expiry() -> None:
    assert broken_rules("renew", "end", "lapse", "renew", "note", "start") == ["TWICE"]


def test_a_start_during_a_run_is_a_violation_after_a_lease_expiry() -> None:
    async def play() -> list[str]:
        world = LeaseExpiryWorld()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=30.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(EVENT_INTERVAL_S)
        (first,) = (e for e in world.executors.values() if e.running)
        first.lease_expired_at = first.now
        second = next(e for e in world.executors.values() if e is not first)
        task = TaskName(spec.job_id, 0, 0, 0)
        world.judge_start(second, StartOrder("", task, 2, spec.payload, ""))
        return [line.split()[1] for line in world.problems]

    assert run_virtual(play()) == ["TWICE"]
