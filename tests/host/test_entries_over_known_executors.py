"""One entry that contradicts a known executor keeps no task away and runs none twice."""

from __future__ import annotations

import pytest

from tests.host.entry_claims_play import (
    ADDRESS_CLAIMS,
    PLACE_CLAIMS,
    START_TIME_CLAIMS,
    Claim,
    ClaimPlay,
)
from tests.virtual_time import run_virtual

MAX_AWAY_S = 6.0
"""Time after its last run from which on a standing task with room for it counts as lost."""

every_order = pytest.mark.parametrize(
    ("before_job", "owner_ends", "rewritten"),
    [(b, o, r) for b in (False, True) for o in (False, True) for r in (False, True)],
)


def _play(claim: Claim, before_job: bool, owner_ends: bool, rewritten: bool) -> ClaimPlay:
    """Play one entry, and check that it keeps no task away and breaks no promise."""
    play = ClaimPlay(claim, before_job=before_job, owner_ends=owner_ends, rewritten=rewritten)
    run_virtual(play.play())
    assert play.world.problems == []
    assert play.away_s <= MAX_AWAY_S
    return play


# Guards against calls that go to a claimed address, and ends that an answer there seems to prove.
@every_order
@pytest.mark.parametrize("kind", ADDRESS_CLAIMS)
def test_a_claimed_address_keeps_no_task_away_and_runs_none_twice(
    kind: str, before_job: bool, owner_ends: bool, rewritten: bool
) -> None:
    _play(ADDRESS_CLAIMS[kind], before_job, owner_ends, rewritten)


# Guards against executors that refuse their owner, as they have seen the token of a next
# incarnation that there never was, and against owners that end over it.
@every_order
@pytest.mark.parametrize("kind", START_TIME_CLAIMS)
def test_a_claimed_start_time_keeps_no_task_away_and_ends_no_owner(
    kind: str, before_job: bool, owner_ends: bool, rewritten: bool
) -> None:
    play = _play(START_TIME_CLAIMS[kind], before_job, owner_ends, rewritten)
    assert play.world.log.named("OWNER_LOST") == []
    if rewritten:
        assert play.world.log.named("RUN_MOVED") == []


# Guards against owners of two halls that both call an executor and end each other over it.
@every_order
@pytest.mark.parametrize("kind", PLACE_CLAIMS)
def test_a_claimed_place_keeps_no_task_away_and_ends_no_owner(
    kind: str, before_job: bool, owner_ends: bool, rewritten: bool
) -> None:
    play = _play(PLACE_CLAIMS[kind], before_job, owner_ends, rewritten)
    assert play.world.log.named("OWNER_LOST") == []
    if rewritten and not owner_ends:
        assert play.world.log.named("RUN_MOVED") == []
