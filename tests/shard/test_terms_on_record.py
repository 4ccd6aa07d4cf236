"""Tests the limits that a job was accepted under, if its queue is no longer configured."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linkspan.jobs.record_codec import decode, encode
from linkspan.jobs.records import JobState, Submitted
from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import (
    AdviceRule,
    Configuration,
    Queue,
    QueueTerms,
    Service,
)
from linkspan.model.settings import Bounds
from linkspan.shard.core import ShardCore
from linkspan.shard.failures import FailedRun, Failures
from linkspan.shard.messages import EndedTask, EndKind
from linkspan.shard.recovery.progress import encode_run
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, confirm_start, core_with, plan, report_ends

POOL = {"pool": Service("pool")}
SPEC = JobSpec(JOB, QUEUE.name, "text", (step(1),))


def accepted(terms: QueueTerms | None = QUEUE.terms) -> Submitted:
    return Submitted(SPEC, 0, 0.0, "host", terms)


def next_owner_of_failed_run(record: Submitted, configuration: Configuration) -> ShardCore:
    """Return an owner that takes over a job of which a task failed once."""
    previous_owner = core_with(step(1))
    task = previous_owner.jobs[JOB].runs[0].steps[0].tasks[0]
    task.next_run, task.failed = 2, Failures(frozenset([FailedRun(1, "e9")]))
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(configuration)
    progress = {0: encode_run(previous_owner.jobs[JOB].runs[0])}
    next_owner.add_job(record, 0.0, inherited=True, progress=progress)
    return next_owner


def test_a_job_of_a_removed_queue_keeps_its_attempts_over_a_change_of_owners() -> None:
    """Guards against jobs failed after one failed run, as the default allows one attempt."""
    next_owner = next_owner_of_failed_run(accepted(), Configuration(2, {}, POOL))
    assert next_owner.finished == []
    assert next_owner.jobs[JOB].max_attempts == QUEUE.max_attempts
    assert next_owner.jobs[JOB].service == "pool", "the service that may run it is known"


def test_a_failed_run_in_a_removed_queue_counts_against_the_accepted_limit() -> None:
    core = core_with()
    core.configure(Configuration(2, {}, POOL))
    other = Submitted(replace(SPEC, job_id="0b"), 0, 0.0, "host", QUEUE.terms)
    core.add_job(other, 0.0)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, order.executor_id, end, asked=0.3, now=0.5)
    assert not core.jobs["0b"].closing


def test_an_unknown_limit_fails_no_job() -> None:
    """A record of an earlier version contains no terms."""
    next_owner = next_owner_of_failed_run(accepted(None), Configuration(2, {}, POOL))
    assert next_owner.finished == []


def test_a_limit_that_becomes_known_is_applied_to_earlier_failures() -> None:
    next_owner = next_owner_of_failed_run(accepted(None), Configuration(2, {}, POOL))
    strict = Queue(QUEUE.name, "h", "/b/", "other", max_attempts=1)
    next_owner.configure(Configuration(3, {strict.name: strict}, POOL))
    assert [f.state for f in next_owner.finished] == [JobState.FAILED]


def test_a_configuration_that_contains_the_queue_again_applies() -> None:
    next_owner = next_owner_of_failed_run(accepted(), Configuration(2, {}, POOL))
    changed = Queue(QUEUE.name, "h", "/b/", "other", max_attempts=2, priority=4)
    next_owner.configure(Configuration(3, {changed.name: changed}, POOL))
    job = next_owner.jobs[JOB]
    assert (job.max_attempts, job.service, job.priority) == (2, "other", 4)


@pytest.mark.parametrize("advice", [None, AdviceRule(2.5)])
def test_terms_are_restored_from_their_record(advice: AdviceRule | None) -> None:
    terms = QueueTerms("pool", 3, 2, 1.5, 0.25, advice)
    assert decode(*encode(accepted(terms))) == accepted(terms)
