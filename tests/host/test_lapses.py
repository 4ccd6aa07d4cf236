"""A lapse excuses a start between an end and its acknowledgement, and nothing else."""

from __future__ import annotations

import asyncio

from linkspan.shard.messages import EndedTask, EndKind, StartOrder, TaskName
from tests.job_builders import step
from tests.lapses import LapsingWorld
from tests.virtual_time import run_virtual

APART_S = 1.0
"""Time between any two of: an end, a lapse, a start, an acknowledgement."""


def found(*events: str) -> list[str]:
    """Return the rules that are broken where a task's end is followed by these events.

    Args:
        events: ``start``, on an executor where nothing runs; ``lapse`` of the executor whose run
            ended, ``renew`` as the next order finds that; ``note`` of the end.
    """

    async def play() -> list[str]:
        world = LapsingWorld()
        await world.begin()
        first, second, _ = world.executors.values()
        spec = world.new_job(step())
        world.specs[spec.job_id] = spec
        task = TaskName(spec.job_id, 0, 0, 0)
        world.judge_start(first, StartOrder("", task, 1, spec.payload, ""))
        for event in events:
            await asyncio.sleep(APART_S)
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


def test_a_lapse_between_an_end_and_its_acknowledgement_excuses_a_start_between_them() -> None:
    assert found("renew", "end", "lapse", "start", "renew", "note") == []


def test_a_start_without_a_lapse_is_found() -> None:
    assert found("renew", "end", "start", "renew", "note") == ["TWICE"]


def test_a_lapse_before_the_end_excuses_nothing() -> None:
    assert found("lapse", "renew", "end", "start", "renew", "note") == ["TWICE"]


def test_a_lapse_after_the_acknowledgement_excuses_nothing() -> None:
    assert found("renew", "end", "note", "lapse", "renew", "start") == ["TWICE"]


def test_a_start_after_the_acknowledgement_is_found_though_a_lease_had_lapsed() -> None:
    assert found("renew", "end", "lapse", "renew", "note", "start") == ["TWICE"]


def test_a_start_beside_a_run_is_found_whatever_lapsed() -> None:
    async def play() -> list[str]:
        world = LapsingWorld()
        await world.begin()
        spec = world.new_job(step(1, estimate_s=30.0))
        assert await world.submit("east-host-0", spec) == 200
        await asyncio.sleep(APART_S)
        (first,) = (e for e in world.executors.values() if e.running)
        first.lapsed_at = first.now
        second = next(e for e in world.executors.values() if e is not first)
        task = TaskName(spec.job_id, 0, 0, 0)
        world.judge_start(second, StartOrder("", task, 2, spec.payload, ""))
        return [line.split()[1] for line in world.problems]

    assert run_virtual(play()) == ["TWICE"]
