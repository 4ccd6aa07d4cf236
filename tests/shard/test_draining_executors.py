"""Tests how a shard handles executors that drain."""

from __future__ import annotations

from dataclasses import replace

from tests.job_builders import step
from tests.shard.builders import core_with


def test_an_already_draining_executor_leaves_at_its_announced_time() -> None:
    """A new owner finds it draining in the store or in the roster of the previous owner."""
    core = core_with(step(1))
    first = core.executors["e0"].record
    drains = replace(first, executor_id="e8", address="e8:1", draining=True, remaining_s=2.0)
    rostered = replace(drains, executor_id="e9", address="e9:1")
    core.inherit([rostered], until=20.0)
    core.list_executors([drains, rostered], 10.0)
    core.list_executors([drains, rostered], 11.0)
    assert core.executors["e8"].leaves_at == 12.0
    assert core.executors["e9"].leaves_at == 12.0
