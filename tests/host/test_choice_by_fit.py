"""A standing job is accepted for a hall that has room for all of it, not for the most cores."""

from __future__ import annotations

import pytest

from linkspan.host.shards import ShardChooser
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.settings import HostSettings, StoreLimits
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorKind
from tests.job_builders import QUEUE, step

SETTINGS = HostSettings("host", "east", ("east", "west"), "", "", StoreLimits(""))
LARGE = step(4, cpu=7_750, standing=True)


def _hall(*free_cpu: int, memory_mb: int = 32_000) -> HallSummary:
    """Return the summary of a hall whose executors have this much free."""
    return HallSummary(
        capacity=32_000 * len(free_cpu),
        free=sum(free_cpu),
        free_by_executor=tuple((cpu, memory_mb) for cpu in free_cpu),
        kinds=(ExecutorKind(QUEUE.service, Demand(32_000, 32_000), frozenset(), len(free_cpu)),),
        rows_by_kind=(len(free_cpu),),
    )


def _choose(halls: tuple[HallSummary, ...], work: StepSpec, times: int = 1) -> list[int]:
    chooser = ShardChooser(SETTINGS, dict(enumerate(halls)).get)
    spec = JobSpec("00000000000000aa", QUEUE.name, "text", (work,))
    return [chooser.choose(spec, QUEUE) for _ in range(times)]


@pytest.mark.parametrize(
    "crowded",
    [
        pytest.param(_hall(*[7_000] * 16), id="fragmented cores"),
        pytest.param(_hall(*[32_000] * 16, memory_mb=50), id="no memory"),
        pytest.param(_hall(*[10_000] * 16), id="kept for short work"),
        pytest.param(_hall(*[32_000] * 1, *[4_000] * 15), id="room for a part"),
    ],
)
def test_a_standing_job_goes_where_all_of_it_fits(crowded: HallSummary) -> None:
    """Guards against a job accepted for a hall of free cores that its tasks can't use."""
    roomy = _hall(32_000, 32_000, *[0] * 14)
    assert _choose((crowded, roomy), LARGE) == [1]
    assert _choose((roomy, crowded), LARGE) == [0]


def test_recent_choices_take_the_room_of_a_hall() -> None:
    """Guards against jobs of the same second that are all accepted for the hall with room."""
    full = _hall(*[7_000] * 16)
    roomy = _hall(32_000, 32_000, *[0] * 14)
    assert _choose((full, roomy), LARGE, times=3)[:2] == [1, 1]
    assert _choose((full, roomy), LARGE, times=3)[2] == 0


def test_free_cores_decide_where_all_halls_have_room() -> None:
    """Guards against a change of the choice on days on which halls have room."""
    assert _choose((_hall(*[20_000] * 8), _hall(*[30_000] * 8)), LARGE) == [1]
    assert _choose((_hall(*[30_000] * 8), _hall(*[20_000] * 8)), LARGE) == [0]


def test_jobs_that_other_hosts_accepted_take_the_room_of_a_hall() -> None:
    """Guards against hosts that all send jobs to the hall that had most room a second ago."""
    halls = (_hall(*[32_000] * 4), _hall(*[32_000] * 3))
    spec = JobSpec("00000000000000aa", QUEUE.name, "text", (LARGE,))
    for elsewhere, expected in (({}, 0), ({0: 124_000}, 1), ({0: 124_000, 1: 93_000}, 0)):
        chooser = ShardChooser(
            SETTINGS,
            dict(enumerate(halls)).get,
            accepted_elsewhere=lambda shard, _service, known=elsewhere: known.get(shard, 0),
        )
        assert chooser.choose(spec, QUEUE) == expected
