"""Tests expected durations of steps, learned from estimates and measurements, and their use."""

from __future__ import annotations

from math import exp, log
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from linkspan.jobs.spec import JobSpec
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.messages import EndedTask, EndKind
from linkspan.shard.planning._expected_durations import update_expected_durations
from linkspan.shard.planning.durations import DurationEstimator
from linkspan.shard.planning.urgency import Timeliness, Urgencies
from tests.job_builders import QUEUE, step
from tests.shard.builders import (
    JOB,
    confirm_start,
    core_with,
    place_running,
    plan,
    report_ends,
    submitted_job,
)

OTHER = "00000000000000bb"
GUESSES = st.floats(0.0, 60.0) | st.floats(0.0, 1e300)


def test_inaccurate_estimates_are_corrected_towards_measured_durations() -> None:
    random = Random(1)
    durations = DurationEstimator()
    for _ in range(200):
        duration_s = exp(random.gauss(log(2.0), 0.5))
        durations.learn("batch", duration_s * exp(random.gauss(-0.4, 0.9)), duration_s)
    assert 1.0 < durations.expected_s("batch", 0.2) < 2.0
    assert 2.0 < durations.expected_s("batch", 10.0) < 5.0


def test_accurate_estimates_are_kept() -> None:
    random = Random(2)
    durations = DurationEstimator()
    for _ in range(200):
        duration_s = exp(random.gauss(0.0, 1.0))
        durations.learn("batch", duration_s, duration_s * exp(random.gauss(0.0, 0.05)))
    for guess_s in (0.2, 1.0, 5.0):
        assert abs(durations.expected_s("batch", guess_s) / guess_s - 1.0) < 0.1


@given(
    seen=st.lists(st.tuples(GUESSES, GUESSES), max_size=30),
    guess_s=GUESSES,
)
def test_what_is_expected_is_always_a_sane_time(
    seen: list[tuple[float, float]], guess_s: float
) -> None:
    durations = DurationEstimator()
    for guess, took in seen:
        durations.learn("batch", guess, took)
    if seen:
        assert 0.0 < durations.expected_s("batch", guess_s) <= 1e8 * 1.001
    assert durations.expected_s("other", 3.0) == 3.0


def test_longest_paths_follow_the_durations() -> None:
    steps = (step(1), step(1), step(1, depends_on=(0, 1)))
    spec = JobSpec(JOB, QUEUE.name, "text", steps)
    assert spec.longest_paths_to([1.0, 4.0, 2.0]) == (1.0, 4.0, 6.0)
    assert spec.longest_paths_from([1.0, 4.0, 2.0]) == (3.0, 6.0, 2.0)


def test_a_job_with_a_too_short_estimate_still_counts_as_in_time() -> None:
    """Jobs of the queue take five times their estimate, so the objective is not missed yet."""
    core = core_with(step(1, estimate_s=1.0))
    waiting = core.jobs[JOB].runs[0].steps[0]
    late_s = QUEUE.target_s + 0.5
    assert Urgencies(late_s).of(waiting).timeliness is not Timeliness.IN_TIME
    for _ in range(50):
        core.durations.learn(QUEUE.name, 1.0, 5.0)
    update_expected_durations(core.jobs[JOB], core.durations)
    assert Urgencies(late_s).of(waiting).timeliness is Timeliness.IN_TIME


def test_ended_steps_are_learned_from_and_count_with_their_measured_duration() -> None:
    core = core_with(step(1, estimate_s=1.0), step(1, estimate_s=1.0, depends_on=(0,)))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.1)
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    report_ends(core, order.executor_id, end, asked=4.0, now=4.1)
    job = core.jobs[JOB]
    assert core.durations.learnt == 1
    assert round(job.measured_durations_s[0], 3) == 4.0
    assert job.remaining_path_s[1] > 1.0, "the other step is expected to take longer, too"
    assert job.objective_s > QUEUE.stretch * 5.0


def test_the_job_with_the_least_remaining_work_goes_first() -> None:
    core = core_with(step(4, cpu=2_000), executors=0)
    core.add_job(submitted_job(step(2, cpu=2_000), job_id=OTHER), 0.0)
    large, small = (core.jobs[name].runs[0] for name in (JOB, OTHER))
    assert Urgencies(0.1).of(small.steps[0]) < Urgencies(0.1).of(large.steps[0])
    for task in large.steps[0].tasks[:3]:
        task.done = True
        large.steps[0].remaining_tasks -= 1
    assert Urgencies(0.1).of(large.steps[0]) < Urgencies(0.1).of(small.steps[0])


def test_jobs_that_cannot_be_in_time_are_ordered_by_age() -> None:
    """Guards against a job with much remaining work that smaller jobs overtake forever."""
    core = core_with(step(9, cpu=8_000), executors=0)
    core.add_job(submitted_job(step(1), job_id=OTHER, accepted=5.0), 5.0)
    old, new = (core.jobs[name].runs[0].steps[0] for name in (JOB, OTHER))
    assert Urgencies(60.0).of(new).timeliness is Timeliness.NONE
    assert Urgencies(60.0).of(old) < Urgencies(60.0).of(new)


def test_the_duration_of_a_slowed_run_is_measured_at_full_speed() -> None:
    """An objective counts work at full speed: pauses by the owner must not extend it."""
    core = core_with(step(1, estimate_s=1.0, best_effort=True, image="b"), executors=1)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.1)
    executor = core.executors["e0"]
    serving = place_running(core, executor, standing=True, image="s", latency_target_ms=10.0)
    pacer = Pacer(core, core.interference)
    for tick in range(1, 19):
        # The task is over its latency target, so the neighbouring run is paused after 2.4 s.
        serving.usage = 100.0
        pacer.on_report(executor, 0.5 * tick, 0.5 * tick)
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    report_ends(core, order.executor_id, end, asked=9.0, now=9.1)
    assert core.jobs[JOB].measured_durations_s[0] < 3.0


def test_a_nearly_finished_step_still_counts_as_in_time() -> None:
    """Half a second of the objective remains, and a tenth of a second of the work."""
    core = core_with(step(1, estimate_s=2.0))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    running = core.jobs[JOB].runs[0].steps[0]
    late_s = core.jobs[JOB].objective_s - 0.5
    assert Urgencies(late_s).of(running).timeliness is not Timeliness.IN_TIME
    running.tasks[0].attempts[0].progress = 95
    assert Urgencies(late_s).of(running).timeliness is Timeliness.IN_TIME


def test_a_half_finished_step_goes_before_less_work_that_is_not_started() -> None:
    core = core_with(step(4, cpu=1_000, estimate_s=2.0))
    for order in plan(core, 0.1):
        confirm_start(core, order, 0.2)
    core.add_job(submitted_job(step(3, cpu=1_000, estimate_s=2.0), job_id=OTHER), 0.3)
    started_step, unstarted_step = (core.jobs[job].runs[0].steps[0] for job in (JOB, OTHER))
    assert Urgencies(0.5).of(started_step).rank > Urgencies(0.5).of(unstarted_step).rank
    for task in started_step.tasks:
        task.attempts[0].progress = 50
    assert Urgencies(0.5).of(started_step).rank < Urgencies(0.5).of(unstarted_step).rank
