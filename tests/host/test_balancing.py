"""Tests the balancing of new jobs between halls by expected completion.

The load: four halls whose demand swings by 0.55 with a period of 17 s, each at its own phase, whose
hosts choose independently by summaries that are seconds old.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import pi, sin

import pytest

from linkspan.host import shards
from linkspan.host.two_choices import SendReason
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import StepSpec
from linkspan.shard.handover.backlog import Backlog
from linkspan.shard.handover.expected_wait import FRESH_S, OLD_S
from linkspan.shard.handover.summary import HallSummary
from tests.host.balancing_halls import CAPACITY, EXECUTOR_MILLI_CPU, HALLS, Chooser, hall, job
from tests.job_builders import QUEUE, step

HOSTS = 10
"""Hosts of a hall."""

JOBS = 300
"""Jobs that they accept while the summaries stay the same."""

MAX_EQUAL_SHARE = 0.42
"""Largest share of the jobs for one of three halls with equal room: a third, with three standard
deviations of a draw of 300."""

FULL = hall(0, queued=CAPACITY // 4)
SHORT = step(1, cpu=4_750, estimate_s=0.8)
BEST_EFFORT = step(2, cpu=1_800, estimate_s=2.2, best_effort=True)

Clock = Callable[[float], None]


@pytest.fixture
def at(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Sets the steady time that choosers see."""

    def set_time(now: float) -> None:
        monkeypatch.setattr(shards, "steady", lambda: now)

    set_time(100.0)
    return set_time


def _spread(summaries: dict[int, HallSummary], work: StepSpec = SHORT) -> Counter[int]:
    """Return how many jobs go to each hall if the hosts of a hall see the same summaries."""
    hosts = [Chooser(summaries) for _ in range(HOSTS)]
    return Counter(hosts[number % HOSTS].choose_for(number, work) for number in range(JOBS))


@pytest.mark.usefixtures("at")
def test_hosts_that_see_the_same_summaries_do_not_all_choose_one_hall() -> None:
    """Guards against jobs of a full hall that fill the first hall with room until it says so."""
    chosen = _spread({0: FULL, 1: hall(8_000), 2: hall(8_000), 3: hall(8_000)})
    assert chosen[0] == 0
    assert max(chosen.values()) <= MAX_EQUAL_SHARE * JOBS


@pytest.mark.usefixtures("at")
def test_jobs_are_spread_in_proportion_to_the_room() -> None:
    chosen = _spread({0: FULL, 1: hall(12_000), 2: hall(5_000), 3: hall(5_000)})
    assert chosen[1] > chosen[2] + chosen[3]
    assert min(chosen[2], chosen[3]) >= JOBS // 10


@pytest.mark.usefixtures("at")
def test_best_effort_jobs_that_would_wait_are_spread() -> None:
    """Guards against best-effort jobs that all go to the hall with the least such work."""
    waiting = {"best_effort": CAPACITY // 4}
    idle = hall(12_000, **waiting)
    summaries = {0: hall(4_000, waiting=CAPACITY, **waiting), 1: idle, 2: idle, 3: idle}
    chosen = _spread(summaries, BEST_EFFORT)
    assert chosen[0] == 0
    assert max(chosen.values()) <= MAX_EQUAL_SHARE * JOBS


@pytest.mark.usefixtures("at")
def test_a_repeat_of_a_job_at_another_host_goes_to_the_same_hall() -> None:
    """Guards against two records of one submission that name two halls."""
    summaries = {0: FULL, 1: hall(8_000), 2: hall(8_000), 3: hall(8_000)}
    for number in range(50):
        first, second = Chooser(summaries), Chooser(summaries)
        assert first.choose_for(number, SHORT) == second.choose_for(number, SHORT)


@pytest.mark.parametrize("work", [SHORT, BEST_EFFORT], ids=["short", "best effort"])
def test_a_deployment_in_which_nothing_waits_is_decided_as_before(
    monkeypatch: pytest.MonkeyPatch, at: Clock, work: StepSpec
) -> None:
    """Guards against jobs that leave an idle deployment's hall."""
    at(100.0)
    summaries = dict.fromkeys(range(4), hall(8_000))
    chosen = _spread(summaries, work)
    monkeypatch.setattr(Chooser, "_compares", lambda *_: False)
    assert _spread(summaries, work) == chosen
    assert work is BEST_EFFORT or set(chosen) == {0}


@pytest.mark.usefixtures("at")
def test_room_in_pieces_is_no_room() -> None:
    """Guards against a task of 4.75 cores sent to a hall whose free cores lie in smaller pieces."""
    pieces = hall(4_500)
    host = Chooser({0: FULL, 1: pieces, 2: pieces, 3: hall(5_000)})
    assert {host.choose_for(number, SHORT) for number in range(10)} == {3}
    assert {sent.reason for sent in host.sent} == {SendReason.ROOM}


@pytest.mark.usefixtures("at")
def test_a_published_backlog_counts_by_its_rate() -> None:
    """Guards against a job that waits in the hall with less waiting work, which drains slower."""
    slow = hall(0, queued=50_000, backlogs=(Backlog(QUEUE.name, 8_000, 50_000, 10_000.0),))
    fast = hall(0, queued=90_000, backlogs=(Backlog(QUEUE.name, 8_000, 90_000, 90_000.0),))
    full = hall(0, backlogs=(Backlog(QUEUE.name, 8_000, 900_000, 10_000.0),))
    assert Chooser({0: slow, 1: fast, 2: full, 3: full}).choose_for(1, SHORT) in (0, 1)
    sent = _spread({0: slow, 1: fast})
    assert sent[1] == JOBS
    assert _spread({0: fast, 1: slow})[0] == JOBS


def test_an_old_summary_is_not_trusted(at: Clock) -> None:
    """Guards against jobs that leave for a hall that has said nothing for seconds."""
    roomy = {0: FULL, 1: hall(8_000)}
    host = Chooser(roomy)
    assert host.choose_for(1, SHORT) == 1
    at(100.0 + OLD_S)
    host.on_summary(0)
    assert host.choose_for(2, SHORT) == 0


def test_a_hall_that_is_cut_off_gets_no_more_jobs_until_it_is_back(at: Clock) -> None:
    """Guards against a share of all jobs that waits for the end of a cut.

    The cut begins at 100 s and lasts for 6 s; other halls go on publishing.
    """
    summaries = {0: FULL, 1: hall(8_000), 2: hall(8_000), 3: hall(8_000)}
    host = Chooser(summaries)
    for shard in range(4):
        host.on_summary(shard)
    chosen: dict[bool, Counter[int]] = {False: Counter(), True: Counter()}
    for number in range(JOBS):
        now = 100.0 + 10.0 * number / JOBS
        at(now)
        for shard in (0, 2, 3):
            if number % 30 == 0:
                summaries[shard] = replace(summaries[shard])
                host.on_summary(shard)
        chosen[now >= 100.0 + OLD_S][host.choose_for(number, SHORT)] += 1
    assert chosen[True][1] == 0
    recovering = replace(hall(0), free=0, free_by_executor=(), rows_by_kind=())
    summaries[1] = recovering
    host = Chooser(summaries)
    back = Counter(host.choose_for(number, SHORT) for number in range(JOBS // 10))
    assert back[1] == 0
    assert min(back[2], back[3]) > 0


@pytest.mark.usefixtures("at")
def test_a_new_owner_that_starts_nothing_yet_gets_no_jobs() -> None:
    """Guards against a hall without queue that seems to drain fast just after an owner change."""
    recovering = replace(hall(0), free_by_executor=(), rows_by_kind=())
    queue = hall(0, queued=CAPACITY // 2)
    assert _spread({0: queue, 1: recovering}, SHORT)[0] == JOBS


@pytest.mark.usefixtures("at")
def test_jobs_of_an_evacuated_hall_are_spread_over_the_others() -> None:
    """Guards against an evacuated hall whose jobs all go to one other hall."""
    summaries = dict.fromkeys(range(4), hall(8_000))
    hosts = [Chooser(summaries, evacuated=frozenset({"east"})) for _ in range(HOSTS)]
    for work in (SHORT, BEST_EFFORT):
        chosen = Counter(hosts[n % HOSTS].choose_for(n, work) for n in range(JOBS))
        assert chosen[0] == 0
        assert max(chosen.values()) <= MAX_EQUAL_SHARE * JOBS


@pytest.mark.usefixtures("at")
def test_jobs_that_other_hosts_accepted_count_before_the_hall_publishes_them() -> None:
    """Guards against hosts that fill a hall with jobs that each of them knows only its own of."""
    summaries = {0: FULL, 1: hall(8_000)}
    host = Chooser(summaries)
    host.on_summary(1)
    large = step(20, cpu=8_000)
    submitted = Submitted(job(1, large), 1, shards.time.time(), "another")
    for _ in range(2):
        host.on_job_read(submitted)
    host.choose_for(2, SHORT)
    assert not host.sent or host.sent[0].reason is SendReason.WAIT
    older = replace(submitted, spec=job(3, large), accepted_at=submitted.accepted_at - 60.0)
    fresh = Chooser(summaries)
    fresh.on_job_read(older)
    assert fresh.choose_for(2, SHORT) == 1
    assert fresh.sent[0].reason is SendReason.ROOM


PERIOD_S = 17.0
SWING = 0.55
MEAN_LOAD = 0.8
"""Mean demand as a share of what a hall drains: no more than the halls drain together."""

STEP_S = 0.1
PUBLISH_EVERY = 12
"""Steps from one summary of a hall to the next; all hosts read it at the same time."""

MAX_WAIT_RATIO = 0.8
"""Mean work that waits in the halls, as a share of that with the choice by room."""


def _mean_backlog(monkeypatch: pytest.MonkeyPatch, at: Clock, *, compares: bool) -> float:
    """Return the mean waiting work of four halls, in seconds of their drain rate.

    Each hall drains its capacity; what arrives beyond waits. The callers of a hall hand in its
    demand as jobs of one core-second each, at one of its hosts.
    """
    if not compares:
        monkeypatch.setattr(Chooser, "_compares", lambda *_: False)
    summaries: dict[int, HallSummary] = {}
    hosts = [[Chooser(summaries, home) for _ in range(2)] for home in HALLS]
    load = [0.0] * len(HALLS)
    total = 0.0
    steps = int(2 * PERIOD_S / STEP_S)
    number = 0
    for tick in range(steps):
        now = 100.0 + tick * STEP_S
        at(now)
        for shard in range(len(HALLS)):
            if (tick + 3 * shard) % PUBLISH_EVERY == 0 or shard not in summaries:
                busy = min(load[shard] + MEAN_LOAD * CAPACITY * STEP_S, CAPACITY)
                free = int((CAPACITY - busy) / CAPACITY * EXECUTOR_MILLI_CPU)
                summaries[shard] = hall(free, queued=int(max(load[shard] - CAPACITY, 0)))
                for host in (h for row in hosts for h in row):
                    host.on_summary(shard)
        for shard in range(len(HALLS)):
            phase = 2 * pi * (now / PERIOD_S + shard / len(HALLS))
            arriving = MEAN_LOAD * (1 + SWING * sin(phase)) * CAPACITY * STEP_S
            while arriving > 0:
                number += 1
                work = step(2, cpu=4_000, estimate_s=1.0)
                chosen = hosts[shard][number % 2].choose_for(number, work)
                load[chosen] += 8_000
                arriving -= 8_000
        for shard in range(len(HALLS)):
            load[shard] -= min(load[shard], CAPACITY) * STEP_S
            total += max(load[shard] - CAPACITY, 0.0) / CAPACITY
    return total / steps / len(HALLS)


def test_waves_leave_less_work_waiting_than_with_the_choice_by_room(
    monkeypatch: pytest.MonkeyPatch, at: Clock
) -> None:
    """Guards against halls that pass their peak on to one other hall."""
    by_wait = _mean_backlog(monkeypatch, at, compares=True)
    by_room = _mean_backlog(monkeypatch, at, compares=False)
    print(by_wait, by_room)
    assert by_wait <= MAX_WAIT_RATIO * by_room


assert FRESH_S < OLD_S
