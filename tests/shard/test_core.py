"""Tests rules of the shard core, without sockets and with explicit times."""

from __future__ import annotations

from dataclasses import replace

from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.configuration import Configuration, Queue, Service
from linkspan.model.settings import Bounds
from linkspan.shard._shard_state import MAX_UNANSWERED_STARTS
from linkspan.shard.colocation.pacing import Pacer
from linkspan.shard.core import ShardCore
from linkspan.shard.executor import MAX_ENDS_BEHIND_WITHHELD
from linkspan.shard.messages import (
    EndedTask,
    EndKind,
    ExecutorRecord,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskName,
)
from linkspan.shard.orders._orders import MAX_START_DELAY_S
from linkspan.shard.planning.placement import FAILED_EXECUTOR_AVOIDANCE_S
from linkspan.shard.recovery.progress import encode_run
from linkspan.shard.unacked_end import UnackedEnd
from tests.job_builders import QUEUE, step
from tests.shard.builders import (
    JOB,
    add_executor,
    confirm_start,
    core_with,
    plan,
    report_ends,
    submitted_job,
)


def test_a_finished_job_is_not_added_again() -> None:
    """Older records of a job may be read after its end was written."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    report_ends(core, order.executor_id, end, asked=0.3, now=1.0)
    assert [f.job_id for f in core.finished] == [JOB]
    core.on_finished(JOB)
    core.add_job(submitted_job(step(1)), 1.1)
    assert plan(core, 1.2) == []


def test_a_moved_job_is_not_added_again() -> None:
    core = core_with(step(1))
    core.remove_moved(JOB)
    core.add_job(submitted_job(step(1)), 0.1)
    assert plan(core, 0.2) == []


def test_a_partly_delegated_step_stays_ready() -> None:
    core = core_with(step(4, standing=True, max_per_executor=1))
    assert len(plan(core, 0.1)) == 2
    job = core.jobs[JOB]
    job.handing_over = True
    core.hand_over_tasks(JOB, 1, [(0, 2)])
    plan(core, 0.2)
    job.handing_over = False
    add_executor(core, "e9")
    assert [order.task.index for order in plan(core, 0.3)] == [3]


def _leave_unanswered(core: ShardCore, order: StartOrder, at: float) -> None:
    """Leave a start unanswered and let its executor report without listing the run."""
    core.on_start_unanswered(order, at)
    assert plan(core, at + 0.01) == []
    report_ends(core, order.executor_id, asked=at + 0.02, now=at + 0.03)


def test_an_unanswered_start_is_sent_again_as_the_same_run() -> None:
    """Guards against a second run elsewhere while the first begins at the next incarnation."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    _leave_unanswered(core, order, 1.1)
    assert core.orders == [order]
    confirm_start(core, order, 1.2)
    core.orders.clear()
    assert plan(core, 1.3) == []


def test_an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() -> None:
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    for sent in range(1, MAX_UNANSWERED_STARTS):
        _leave_unanswered(core, order, float(sent))
        assert core.orders == [order]
        core.orders.clear()
    _leave_unanswered(core, order, 9.0)
    stop = StopOrder(order.executor_id, order.task, order.run)
    assert core.orders == [stop]
    core.orders.clear()
    core.on_stopped(stop, True, 9.4)
    report_ends(core, order.executor_id, asked=9.35, now=9.5)
    assert plan(core, 9.6) == [], "the poll was sent before the stop was taken"
    report_ends(core, order.executor_id, asked=9.45, now=9.7)
    (again,) = plan(core, 9.8)
    assert again.run == order.run + 1


def test_an_unanswered_start_that_is_refused_when_sent_again_is_stopped_first() -> None:
    """The unanswered order may still arrive and find the capacity that the second one lacked."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    _leave_unanswered(core, order, 1.1)
    core.orders.clear()
    core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, 1.2), 1.2)
    assert core.orders == [StopOrder(order.executor_id, order.task, order.run)]
    assert plan(core, 1.9) == []


def test_an_unanswered_start_on_a_draining_executor_is_not_sent_again() -> None:
    """A second start would arrive after the executor is known to leave."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    executor = core.executors[order.executor_id]
    executor.register(replace(executor.record, draining=True))
    _leave_unanswered(core, order, 1.1)
    assert core.orders == [StopOrder(order.executor_id, order.task, order.run)]


def test_an_end_is_withheld_while_a_start_of_its_run_may_still_arrive() -> None:
    """Guards against a run that begins at the next incarnation after its end was acknowledged."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    _leave_unanswered(core, order, 1.1)
    confirm_start(core, order, 1.2)
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    report_ends(core, order.executor_id, end, asked=1.5, now=1.6)
    run = core.jobs[JOB].runs[0]
    run.durable = run.version
    executor = core.executors[order.executor_id]
    assert not executor.advance_acknowledged(1.1 + MAX_START_DELAY_S - 0.01)
    assert executor.advance_acknowledged(1.1 + MAX_START_DELAY_S)


def test_withheld_ends_do_not_hide_later_ends() -> None:
    """Guards against reports that are full of withheld ends."""
    core = core_with(step(1))
    executor = core.executors["e0"]
    executor.unacked.extend(
        UnackedEnd(number, None, 0, 99.0) for number in range(1, MAX_ENDS_BEHIND_WITHHELD + 2)
    )
    assert executor.advance_acknowledged(1.0)
    assert executor.acknowledged == 1
    assert len(executor.unacked) == MAX_ENDS_BEHIND_WITHHELD


def test_an_end_is_not_withheld_if_the_only_start_of_its_run_arrived() -> None:
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    core.on_start_unanswered(order, 1.1)
    row = RunningTask(order.task, order.run, "", 50, None)
    core.on_report(order.executor_id, ExecutorReport(1.2, (row,), ()), asked=1.2, now=1.21)
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    report_ends(core, order.executor_id, end, asked=1.5, now=1.6)
    run = core.jobs[JOB].runs[0]
    run.durable = run.version
    assert core.executors[order.executor_id].advance_acknowledged(1.61)


def test_ends_are_acknowledged_only_when_durable() -> None:
    core = core_with(step(2))
    first, second = plan(core, 0.1)
    confirm_start(core, first, 0.2)
    end = EndedTask(1, first.task, first.run, EndKind.DONE, "")
    report_ends(core, first.executor_id, end, asked=0.3, now=0.9)
    executor = core.executors[first.executor_id]
    assert not executor.advance_acknowledged(0.9)
    run = core.jobs[JOB].runs[0]
    run.durable = run.version
    assert executor.advance_acknowledged(0.9)
    assert executor.acknowledged == 1
    assert second.task != first.task


def test_a_failure_counted_by_the_previous_owner_is_not_counted_again() -> None:
    first = core_with(step(2))
    order = next(o for o in plan(first, 0.1) if o.task.index == 0)
    confirm_start(first, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(first, order.executor_id, end, asked=0.3, now=0.5)
    from linkspan.shard.recovery.progress import encode_run

    value = encode_run(first.jobs[JOB].runs[0])
    second = ShardCore(0, Bounds())
    second.configure(first.configuration or Configuration(1))
    second.inherit([e.record for e in first.executors.values()], 20.0)
    second.add_job(submitted_job(step(2)), 1.0, inherited=True, progress={0: value})
    report_ends(second, order.executor_id, end, asked=1.1, now=1.2)
    assert second.jobs[JOB].runs[0].steps[0].tasks[0].failures == 1


def _core_with_one_of_two_inherited_executors_reported() -> ShardCore:
    core = ShardCore(0, Bounds())
    core.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    records = [
        ExecutorRecord(n, "pool", f"{n}:1", "east", Demand(8_000, 32_000), frozenset(), "r")
        for n in ("e0", "e1")
    ]
    core.inherit(records, 20.0)
    core.list_executors(records, 0.0)
    core.add_job(submitted_job(step(1)), 0.0, inherited=True)
    report_ends(core, "e0", asked=0.0, now=0.1)
    return core


def test_inherited_work_waits_for_every_executor() -> None:
    core = _core_with_one_of_two_inherited_executors_reported()
    assert plan(core, 0.2) == []
    report_ends(core, "e1", asked=0.2, now=0.3)
    assert len(plan(core, 0.4)) == 1


def test_inherited_work_waits_until_the_leases_of_a_silent_executor_expire() -> None:
    core = _core_with_one_of_two_inherited_executors_reported()
    core.on_silent("e1", 1.0)
    assert plan(core, 19.0) == []
    assert len(plan(core, 20.1)) == 1


def test_a_task_fails_its_job_after_its_attempts() -> None:
    core = core_with(step(1), executors=4)
    for attempt in range(QUEUE.max_attempts):
        now = float(attempt)
        (order,) = plan(core, now + 0.1)
        confirm_start(core, order, now + 0.2)
        executor = core.executors[order.executor_id]
        end = EndedTask(executor.last_handled_end + 1, order.task, order.run, EndKind.FAILED, "")
        report_ends(core, order.executor_id, end, asked=now + 0.3, now=now + 0.4)
    assert [f.state.value for f in core.finished] == ["failed"]
    assert plan(core, 9.0) == []


def test_a_steps_tasks_wait_for_the_steps_that_they_depend_on() -> None:
    core = core_with(step(2), step(1, depends_on=(0,)))
    orders = plan(core, 0.1)
    assert {order.task.step for order in orders} == {0}
    for number, order in enumerate(orders):
        confirm_start(core, order, 0.2)
        end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
        report_ends(core, order.executor_id, end, asked=0.3 + number, now=0.4 + number)
        after = plan(core, 0.5 + number)
    assert [order.task for order in after] == [TaskName(JOB, 0, 1, 0)]


def test_a_gang_starts_whole_or_not_at_all() -> None:
    core = core_with(step(4, gang=True, cpu=5_000))
    assert plan(core, 0.1) == []
    add_executor(core, "e8")
    assert plan(core, 0.2) == []
    add_executor(core, "e9")
    orders = plan(core, 0.3)
    assert len(orders) == 4
    assert len({order.run for order in orders}) == 1


def test_queue_terms_follow_the_configuration() -> None:
    core = core_with(step(1))
    changed = Queue("batch", "h", "/b/", "other", max_attempts=1)
    core.configure(Configuration(2, {"batch": changed}, {"other": Service("other")}))
    assert core.jobs[JOB].service == "other"
    assert plan(core, 0.1) == [], "the new service has no executor"


def _core_with_reported_latency(*, latency_ms: float) -> ShardCore:
    """Return a core with a standing task, target 10 ms, that has reported a latency."""
    core = core_with(step(1, standing=True, image="s", latency_target_ms=10.0), executors=1)
    (serving,) = plan(core, 0.1)
    confirm_start(core, serving, 0.2)
    row = RunningTask(serving.task, serving.run, "", 100, latency_ms)
    core.on_report("e0", ExecutorReport(1.0, (row,), ()), asked=0.3, now=1.0)
    return core


def test_best_effort_work_is_not_starved_by_pressure() -> None:
    core = _core_with_reported_latency(latency_ms=9.9)
    for second in range(20):
        core.interference.learn(core.executors["e0"], 1.0 + second)
    spec = JobSpec("00000000000000bb", QUEUE.name, "text", (best_effort_step(),))
    core.add_job(Submitted(spec, 0, 20.0, "host"), 20.0)
    assert plan(core, 20.1) == []
    assert len(plan(core, 21.5)) == 1


def test_best_effort_work_avoids_executors_with_a_task_over_its_latency_target() -> None:
    core = _core_with_reported_latency(latency_ms=11.0)
    Pacer(core, core.interference).on_report(core.executors["e0"], 1.0, 1.0)
    spec = JobSpec("00000000000000bb", QUEUE.name, "text", (best_effort_step(),))
    core.add_job(Submitted(spec, 0, 1.0, "host"), 1.0)
    assert plan(core, 1.1) == []
    assert plan(core, 9.0) == []


def best_effort_step() -> StepSpec:
    return step(3, cpu=6_000, best_effort=True, image="b")


def test_a_failed_task_does_not_wait_long_for_another_executor() -> None:
    """The task prefers other executors, but one failure says little about an executor."""
    core = core_with(step(1, cpu=6_000), executors=2)
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    other = next(e for name, e in core.executors.items() if name != order.executor_id)
    full = StepSpec(1, Demand(7_000, 100), standing=True)
    core.add_job(Submitted(JobSpec("00000000000000bb", QUEUE.name, "t", (full,)), 0, 0, "h"), 0.3)
    assert [o.executor_id for o in plan(core, 0.3)] == [other.executor_id]
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    report_ends(core, order.executor_id, end, asked=0.4, now=1.0)
    assert plan(core, 1.1) == []
    (again,) = plan(core, 1.1 + FAILED_EXECUTOR_AVOIDANCE_S)
    assert again.executor_id == order.executor_id


def test_an_older_report_that_comes_later_changes_nothing() -> None:
    """Reports on different connections may arrive out of order."""
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    end = EndedTask(1, order.task, order.run, EndKind.FAILED, "")
    core.on_report(order.executor_id, ExecutorReport(5.0, (), (end,)), asked=0.3, now=1.0)
    row = RunningTask(order.task, order.run, "", 50, None)
    core.on_report(order.executor_id, ExecutorReport(4.0, (row,), ()), asked=0.3, now=1.1)
    assert core.executors[order.executor_id].attempts == {}


def test_a_slow_run_of_a_speculative_step_gets_one_copy() -> None:
    core = core_with(step(3, speculative=True), step(1, depends_on=(0,)), executors=4)
    first, second, slow = plan(core, 0.1)
    for order in (first, second, slow):
        confirm_start(core, order, 0.1)
    for number, order in enumerate((first, second), 1):
        end = EndedTask(number, order.task, order.run, EndKind.DONE, "")
        core.on_report(order.executor_id, ExecutorReport(1.1, (), (end,)), asked=1.0, now=1.1)
    assert plan(core, 1.2) == []
    (copy,) = plan(core, 1.9)
    assert copy.task == slow.task
    assert copy.executor_id != slow.executor_id
    assert plan(core, 3.0) == [], "one copy is enough"
    confirm_start(core, copy, 1.9)
    end = EndedTask(9, copy.task, copy.run, EndKind.DONE, "")
    core.on_report(copy.executor_id, ExecutorReport(2.9, (), (end,)), asked=2.8, now=2.9)
    stops = [order for order in core.orders if isinstance(order, StopOrder)]
    assert [(stop.executor_id, stop.run) for stop in stops] == [(slow.executor_id, slow.run)]
    assert [order.task.step for order in plan(core, 3.1)] == [1]


def test_a_slow_run_of_a_step_without_speculation_gets_no_copy() -> None:
    core = core_with(step(3), executors=4)
    orders = plan(core, 0.1)
    for number, order in enumerate(orders, 1):
        confirm_start(core, order, 0.1)
        if number < 3:
            end = EndedTask(number, order.task, order.run, EndKind.DONE, "")
            core.on_report(order.executor_id, ExecutorReport(1.1, (), (end,)), asked=1.0, now=1.1)
    assert plan(core, 1.9) == []


def test_a_partial_report_does_not_mark_a_run_as_missing() -> None:
    """Guards against a next owner that starts a task again although its run has ended.

    The end is listed after the end of a job whose records the owner has not read, so it is left
    out of the report.
    """
    core = core_with(step(1))
    (order,) = plan(core, 0.1)
    confirm_start(core, order, 0.2)
    (run,) = core.jobs[JOB].runs.values()
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    records = [e.record for e in core.executors.values()]
    next_owner.inherit(records, until=20.0)
    next_owner.list_executors(records, 1.0)
    next_owner.add_job(submitted_job(step(1)), 1.0, inherited=True, progress={0: encode_run(run)})
    end = EndedTask(2, order.task, order.run, EndKind.DONE, "")
    unread = EndedTask(1, TaskName("00000000000000bb", 0, 0, 0), 1, EndKind.DONE, "")
    whole = ExecutorReport(1.0, (), (unread, end))
    partial = whole.without({"00000000000000bb"})
    for name in next_owner.executors:
        answer = partial if name == order.executor_id else ExecutorReport(1.0, (), ())
        next_owner.on_report(name, answer, asked=1.0, now=1.1)
    assert plan(next_owner, 1.2) == []
    assert next_owner.awaiting_reports
    next_owner.on_report(order.executor_id, replace(whole, clock_s=2.0), asked=2.0, now=2.1)
    assert plan(next_owner, 2.2) == []
    assert [f.job_id for f in next_owner.finished] == [JOB]
    assert not next_owner.awaiting_reports


def test_inherited_work_waits_for_a_complete_report() -> None:
    """The omitted part of a report may list a run that is on no record."""
    next_owner = ShardCore(0, Bounds())
    next_owner.configure(Configuration(1, {QUEUE.name: QUEUE}, {"pool": Service("pool")}))
    record = ExecutorRecord("e0", "pool", "e0:1", "east", Demand(8_000, 9_000), frozenset(), "r")
    next_owner.inherit([record], until=20.0)
    next_owner.list_executors([record], 1.0)
    next_owner.add_job(submitted_job(step(1)), 1.0, inherited=True)
    partial = ExecutorReport(1.0, (), (), is_complete=False)
    next_owner.on_report("e0", partial, asked=1.0, now=1.1)
    assert plan(next_owner, 1.2) == []
    next_owner.on_report("e0", replace(partial, is_complete=True, clock_s=2.0), asked=2.0, now=2.1)
    assert [order.run for order in plan(next_owner, 2.2)] == [16]
