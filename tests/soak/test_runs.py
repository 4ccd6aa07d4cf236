"""Short seeded runs of the soak; more seeds are played by hand (docs/OPERATIONS.md)."""

from __future__ import annotations

from pathlib import Path

import pytest
from soak.deployment import Plan
from soak.run import Run

SECONDS = 6.0
"""Faults begin for so long; both runs together stay under a minute."""


@pytest.mark.parametrize("seed", [101, 102])
async def test_promises_are_kept_under_faults(seed: int, tmp_path: Path) -> None:
    plan = Plan(seed, SECONDS, hosts=4, executors=6, halls=2, jobs_per_s=4.0)
    outcome = await Run(plan, tmp_path).play()
    assert outcome.broken == []
    assert outcome.accepted
    assert outcome.questions
