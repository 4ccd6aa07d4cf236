"""Whose turn it is beside a standing task of which starts were ordered, and that never ran."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from linkspan.shard.core import ShardCore
from linkspan.shard.messages import StartAnswer, StartOutcome
from tests.job_builders import step
from tests.shard.builders import core_with, plan, submitted_job

SHORT, STANDING = "00000000000000d1", "00000000000000d2"
NOW = 2.0


def _core_with_refused_start() -> ShardCore:
    core = core_with(step(1, cpu=7_000, standing=True), executors=1)
    (order,) = plan(core, 0.1)
    core.on_start_sent(order, 0.1)
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, 0.2), 0.2)
    return core


def _core_of_owner(*, inherited: bool) -> ShardCore:
    core = core_with(executors=1)
    standing = submitted_job(step(1, cpu=7_000, standing=True), job_id=STANDING)
    core.add_job(standing, 0.5, inherited=inherited)
    return core


CORES = [
    pytest.param(_core_with_refused_start, id="refused"),
    pytest.param(partial(_core_of_owner, inherited=True), id="inherited"),
]


@pytest.mark.parametrize("core_of", CORES)
def test_a_standing_task_that_never_ran_is_no_restart(core_of: Callable[[], ShardCore]) -> None:
    """Guards against short work of use that waits behind standing tasks that never ran.

    A task whose run number is above 1 counts as a restart. A refused start raises the number, and
    a change of owner raises that of each task.
    """
    assert _first_start(core_of()) == SHORT


def test_a_standing_task_without_any_start_is_no_restart() -> None:
    """Guards against the tests above being right for another cause than the one they name."""
    assert _first_start(_core_of_owner(inherited=False)) == SHORT


def _first_start(core: ShardCore) -> str:
    """Return the job that gets the executor when a short job comes."""
    short = submitted_job(step(1, cpu=7_000, estimate_s=1.0), job_id=SHORT, accepted=NOW)
    core.add_job(short, NOW)
    (order,) = plan(core, NOW)
    return order.task.job_id
