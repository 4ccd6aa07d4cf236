"""Tests when a hall publishes its summary because other halls seek room that it has."""

from __future__ import annotations

from dataclasses import replace

from linkspan.shard.core import ShardCore
from linkspan.shard.handover._room_news import MIN_NEWS_INTERVAL_S, RoomNews
from linkspan.shard.handover.rebalance import HANDOVER_WAIT_S, Rebalancer
from linkspan.shard.handover.sought_room import SoughtRoom
from linkspan.shard.handover.summary import HallSummary
from tests.job_builders import step
from tests.shard.builders import add_executors, core_with, plan

SOUGHT = SoughtRoom("pool", "", 4_000, 1_000, 0)
SEEKING = HallSummary(sought=(SOUGHT,))
IDLE = HallSummary()
CHECKED_AT = 1.0


class _Halls:
    """A hall, what another one seeks, and how often the first one has published its summary."""

    def __init__(self, core: ShardCore, other: HallSummary) -> None:
        self.core = core
        self.other = other
        self.published = 0
        self.news = RoomNews(core, lambda: {1: self.other}, self._publish)

    def check(self, now: float) -> int:
        """Return how many summaries the hall has published by a steady time."""
        self.news.check(now)
        return self.published

    def _publish(self) -> None:
        self.published += 1


def _halls(other: HallSummary, *, executors: int = 0) -> _Halls:
    return _Halls(core_with(step(1), executors=executors), other)


# Guards against room that other halls learn of only by the next summary.
def test_a_new_executor_with_sought_room_is_published_once() -> None:
    halls = _halls(SEEKING)
    assert halls.check(CHECKED_AT) == 0
    add_executors(halls.core, {"e0": 8_000})
    assert halls.check(CHECKED_AT + 0.1) == 1
    assert halls.check(CHECKED_AT + 1.0) == 1


# Guards against summaries that nobody waits for.
def test_room_that_nobody_seeks_is_not_published_at_once() -> None:
    assert _halls(IDLE, executors=2).check(CHECKED_AT) == 0
    too_large = replace(IDLE, sought=(SOUGHT._replace(milli_cpu=9_000),))
    assert _halls(too_large, executors=2).check(CHECKED_AT) == 0
    other_service = replace(IDLE, sought=(SOUGHT._replace(service="other"),))
    assert _halls(other_service, executors=2).check(CHECKED_AT) == 0


# Guards against old summaries beside the first tasks that wait elsewhere.
def test_room_is_published_once_others_begin_to_seek_it() -> None:
    halls = _halls(IDLE, executors=2)
    assert halls.check(CHECKED_AT) == 0
    halls.other = SEEKING
    assert halls.check(CHECKED_AT + 0.1) == 1


# Guards against a summary for each of many executors that come at about the same time.
def test_room_that_grows_again_is_published_after_an_interval() -> None:
    halls = _halls(SEEKING, executors=1)
    assert halls.check(CHECKED_AT) == 1
    add_executors(halls.core, {"e0": 8_000, "e1": 8_000})
    assert halls.check(CHECKED_AT + MIN_NEWS_INTERVAL_S / 2) == 1
    assert halls.check(CHECKED_AT + 1.1 * MIN_NEWS_INTERVAL_S) == 2


# Guards against a hall that does not say what its standing tasks wait for.
def test_a_hall_seeks_room_for_its_waiting_standing_tasks() -> None:
    core = core_with(step(2, standing=True, cpu=4_000), executors=0)
    plan(core, 0.0)
    rebalancer = Rebalancer(core, summaries=dict, count_capable=lambda *_: 1)
    rebalancer.plan(IDLE, HANDOVER_WAIT_S / 2)
    assert rebalancer.sought == ()
    rebalancer.plan(IDLE, HANDOVER_WAIT_S)
    (sought,) = rebalancer.sought
    assert sought.need.demand == core.jobs["00000000000000aa"].spec.steps[0].demand
