"""Which hall a new job lives in."""

from __future__ import annotations

from linkspan.host.shards import ShardChooser
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.settings import HostSettings, StoreLimits
from linkspan.shard.handover.summary import HallSummary
from linkspan.shard.messages import ExecutorRecord
from tests.job_builders import QUEUE, step

HALLS = ("east", "west")
SETTINGS = HostSettings("host", "east", HALLS, "", "", StoreLimits(""))


class Registered:
    """One executor in each hall."""

    def executors(self, hall: str | None = None) -> list[ExecutorRecord]:
        room = Demand(8_000, 32_000)
        return [
            ExecutorRecord(f"e-{h}", QUEUE.service, f"{h}:1", h, room, frozenset(), "r")
            for h in HALLS
            if h == hall
        ]


def choose(summaries: dict[int, HallSummary], *steps: StepSpec, times: int = 1) -> list[int]:
    chooser = ShardChooser(SETTINGS, Registered(), summaries.get)  # type: ignore[arg-type]
    spec = JobSpec("00000000000000aa", QUEUE.name, "text", steps)
    return [chooser.choose(spec, QUEUE) for _ in range(times)]


def hall(free: int, *, queued: int = 0) -> HallSummary:
    return HallSummary(capacity=8_000, free=free, queued=queued, rooms=((free, 32_000),))


def test_short_work_stays_in_its_hall_while_that_has_room() -> None:
    assert choose({0: hall(4_000), 1: hall(8_000)}, step(2)) == [0]


def test_short_work_goes_where_there_is_room() -> None:
    assert choose({0: hall(1_000), 1: hall(8_000)}, step(2)) == [1]
    assert choose({0: hall(4_000, queued=4_000), 1: hall(8_000)}, step(2)) == [1]


def test_own_choices_count_before_the_hall_tells_of_them() -> None:
    assert choose({0: hall(4_000), 1: hall(8_000)}, step(2), times=3) == [0, 0, 1]


def test_without_news_work_stays() -> None:
    assert choose({}, step(2)) == [0]
    assert choose({0: hall(0), 1: hall(0)}, step(2)) == [0]
