"""Tests that a plan which leaves work over is followed by another one without a further change."""

from __future__ import annotations

import pytest

from linkspan.shard.planning import planner
from tests.job_builders import step
from tests.shard.builders import core_with, submitted_job
from tests.shard.stepped_dispatcher import SteppedDispatcher

JOBS = 6
MAX_STEPS = 4
"""Steps that start in a plan: fewer than there are jobs."""


def test_what_a_plan_leaves_over_starts_in_the_next_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner without further news must not leave accepted work waiting beside free executors."""
    monkeypatch.setattr(planner, "MAX_LOOKS_PER_PLAN", 0)
    monkeypatch.setattr(planner, "MIN_STEPS_PER_PLAN", MAX_STEPS)
    core = core_with(step(1))
    for number in range(1, JOBS):
        core.add_job(submitted_job(step(1), job_id=f"{number:016x}"), 0.0)
    stepped = SteppedDispatcher(core)
    stepped.proof.proved(1.0)
    wake = stepped.dispatcher._changes.wake
    started = []
    for _ in range(2):
        wake.clear()
        before = len(stepped.waiting)
        stepped.plan(1.0)
        started.append((len(stepped.waiting) - before, wake.is_set()))
    assert started == [(MAX_STEPS, True), (JOBS - MAX_STEPS, False)]
    for work in stepped.waiting:
        work.close()
