"""Tests placement tickets: requested once per executor and used while they are valid."""

from __future__ import annotations

import asyncio

from linkspan.errors import Unreachable
from linkspan.model.configuration import AdviceRule, Configuration, Queue, Service
from linkspan.shard.planning.advice import ADVICE_RETRY_S, Advice, AdviceCache
from linkspan.shard.step_run import StepRun
from tests.hall_world import HallWorld
from tests.job_builders import QUEUE, step
from tests.shard.builders import JOB, core_with, plan
from tests.virtual_time import run_virtual

VALID_S = 3.0


def core_advice(*, executors: int = 2) -> tuple[AdviceCache, StepRun]:
    """Return the advice cache of a core with one job of one task, and the job's step."""
    core = core_with(step(1), executors=executors)
    return core.advice, core.jobs[JOB].runs[0].steps[0]


def test_a_refused_executor_is_not_requested_again() -> None:
    advice, run = core_advice()
    advice.request_tickets(run, ["e0", "e1"], 0.0)
    call = advice.next_call(0.0)
    assert call and call.executor_ids == ("e0", "e1")
    advice.on_advice(call, Advice({"e1": "t"}, VALID_S), sent_at=0.0, valid_s=0.0)
    assert advice.ticket(run, "e1", 1.0) == "t"
    advice.request_tickets(run, ["e0", "e1"], 1.0)
    assert advice.next_call(1.0) is None


def test_a_ticket_is_requested_again_before_it_expires() -> None:
    advice, run = core_advice()
    advice.request_tickets(run, ["e0"], 0.0)
    call = advice.next_call(0.0)
    assert call
    advice.on_advice(call, Advice({"e0": "t"}, 0.0), sent_at=0.0, valid_s=VALID_S)
    assert advice.ticket(run, "e0", VALID_S) is None
    advice.request_tickets(run, ["e0"], VALID_S)
    assert advice.next_call(VALID_S) == call


def test_a_failed_call_is_retried_after_a_delay() -> None:
    advice, run = core_advice()
    advice.request_tickets(run, ["e0"], 0.0)
    call = advice.next_call(0.0)
    assert call
    advice.on_failed(call, 0.0)
    assert advice.next_call(0.0) is None
    assert advice.next_call(ADVICE_RETRY_S) == call


def test_a_call_that_fails_does_not_hold_up_other_steps() -> None:
    core = core_with(step(1), step(1))
    advice, (first, second) = core.advice, core.jobs[JOB].runs[0].steps
    advice.request_tickets(first, ["e0"], 0.0)
    advice.request_tickets(second, ["e0"], 0.0)
    call = advice.next_call(0.0)
    assert call and call.step is first
    advice.on_failed(call, 0.0)
    call = advice.next_call(ADVICE_RETRY_S)
    assert call and call.step is second


def test_no_ticket_is_requested_for_a_moved_job() -> None:
    core = core_with(step(1))
    core.advice.request_tickets(core.jobs[JOB].runs[0].steps[0], ["e0"], 0.0)
    core.remove_moved(JOB)
    assert core.advice.next_call(0.0) is None


def test_a_step_waits_for_tickets_and_runs_only_on_executors_that_have_one() -> None:
    core = core_with(step(3))
    queue = Queue("batch", "h", "/b/", "pool", advice=AdviceRule(VALID_S))
    core.configure(Configuration(2, {"batch": queue}, {"pool": Service("pool")}))
    assert plan(core, 0.1) == []
    call = core.advice.next_call(0.1)
    assert call and set(call.executor_ids) == {"e0", "e1"}
    core.advice.on_advice(call, Advice({"e1": "t"}, VALID_S), sent_at=0.1, valid_s=VALID_S)
    orders = plan(core, 0.2)
    assert {(order.executor_id, order.ticket) for order in orders} == {("e1", "t")}


class Policy:
    """A policy service that fails every third call and allows every second executor."""

    def __init__(self) -> None:
        self.calls = 0

    async def advise(self, step: StepRun, executor_ids: tuple[str, ...]) -> Advice:
        self.calls += 1
        await asyncio.sleep(0.02 + 0.005 * len(executor_ids))
        if self.calls % 3 == 1:
            raise Unreachable("busy; ask later")
        allowed = sorted(executor_ids)[::2]
        return Advice({name: f"ticket-{name}" for name in allowed}, VALID_S)


def test_hosts_run_a_job_of_a_queue_with_a_placement_policy() -> None:
    async def play() -> HallWorld:
        world = HallWorld(policy=Policy())
        await world.begin()
        queue = Queue(QUEUE.name, QUEUE.host, QUEUE.prefix, "pool", advice=AdviceRule(VALID_S))
        world.configuration = Configuration(4, {QUEUE.name: queue}, {"pool": Service("pool")})
        world.publish()
        await asyncio.sleep(1.5)
        spec = world.new_job(step(4), step(2, depends_on=(0,)))
        assert await world.submit("east-host-0", spec) == 200
        await world.wait_for("east-host-1", spec.job_id, "succeeded", limit_s=8.0)
        return world

    world = run_virtual(play())
    assert world.problems == []
    assert world.log.named("ADVICE_MISSING")
    assert len(world.log.named("ADVICE_GIVEN")) == 2
