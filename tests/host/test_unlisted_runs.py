"""Tests the line and the gauge on standing runs that count as running and that no report lists."""

from __future__ import annotations

import asyncio

from linkspan.shard.executor import ExecutorState
from linkspan.shard.messages import ExecutorReport, RunningTask
from linkspan.shard.reports._unlisted_runs import longest_unlisted_s, unlisted_fields
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.shard.builders import JOB, confirm_start, core_with, plan
from tests.virtual_time import run_virtual


def _confirmed() -> tuple[ExecutorState, dict[str, float]]:
    """Return an executor whose start was answered at 1 s, and what is unlisted at 7 s."""
    core = core_with(step(1, standing=True), executors=1)
    (order,) = plan(core, 0.5)
    confirm_start(core, order, 1.0)
    return core.executors["e0"], longest_unlisted_s(core, 7.0)


def test_a_run_whose_start_was_answered_and_that_no_report_lists_is_named() -> None:
    """Guards against a task that counts as running, so that no line tells that it waits."""
    executor, unlisted_s = _confirmed()
    assert unlisted_s == {"e0": 6.0}
    fields = unlisted_fields(executor, 7.0)
    assert fields["tasks"] == [f"{JOB} 0.0.0"]
    assert fields["unlisted_s"] == 6.0


def test_a_report_that_lists_a_run_begins_its_time_anew() -> None:
    core = core_with(step(1, standing=True), executors=1)
    (order,) = plan(core, 0.5)
    confirm_start(core, order, 1.0)
    row = RunningTask(order.task, order.run, "", 100, None)
    core.on_report("e0", ExecutorReport(6.0, (row,), ()), asked=5.9, now=6.0)
    assert longest_unlisted_s(core, 7.0) == {"e0": 1.0}
    assert unlisted_fields(core.executors["e0"], 7.0)["tasks"] == []


def test_the_owner_names_an_executor_that_does_not_answer() -> None:
    """Guards against seconds in which a task may be away and neither 569 nor 579 says so."""

    async def play() -> None:
        world = HallWorld(hosts_per_hall=1, executors_per_hall=1, lists_machines=False)
        await world.begin()
        await world.submit("east-host-0", world.new_job(step(1, standing=True)))
        await asyncio.sleep(6.0)
        assert world.log.named("RUNS_UNLISTED") == []
        world.crash_executor("east-0:1", back=False)
        await asyncio.sleep(7.0)
        line = world.log.named("RUNS_UNLISTED")[0]
        assert line["runs"] == 1
        assert line["silent_s"] is not None
        page, _ = world.hosts["east-host-0"].host._metrics.page()
        (gauge,) = (v for v in page.decode().splitlines() if v.startswith("linkspan_standing_unl"))
        assert float(gauge.split()[-1]) >= 4.0

    run_virtual(play())
