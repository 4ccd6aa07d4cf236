"""Two executors, the first of which does not run a task, and the time until the other one does."""

from __future__ import annotations

from collections.abc import Callable

from linkspan.jobs.spec import StepSpec
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import ExecutorReport, StartAnswer, StartOrder, StartOutcome, StopOrder
from linkspan.shard.planning.planner import Planner
from tests.shard.builders import JOB, add_executor, confirm_start, core_with, plan

FIRST = "a@1"
"""The executor that does not run the task."""

OTHER = "b@1"
"""An empty executor that answers all the time."""

UNANSWERED_AT = 2.0
"""Steady time at which the first start counts as unanswered."""

TIMEOUT_S = 1.0
"""Time after which a start counts as unanswered."""

STEP_S = 0.1
"""Time between two reports, and between two plans."""

SIMULATED_S = 38.0
"""Longest simulated time."""

Events = Callable[[ShardCore, float], None]
"""Applies what happens at one time to a core."""


def report_nothing(core: ShardCore, name: str, started_at_ms: int, now: float) -> None:
    """Apply a report of an incarnation that has no runs."""
    report = ExecutorReport(now, (), (), started_at_ms=started_at_ms)
    core.on_report(name, report, asked=now, now=now + 0.01)


def core_with_unanswered_start(spec: StepSpec) -> ShardCore:
    """Return a core whose job has one unanswered start, on the first of two executors."""
    core = core_with(spec, executors=0)
    add_executor(core, FIRST)
    (order,) = plan(core, 1.0)
    core.on_start_sent(order, UNANSWERED_AT - 1.0)
    core.on_start_unanswered(order, UNANSWERED_AT)
    add_executor(core, OTHER)
    core.jobs[JOB].runs[0].durable = float("inf")
    return core


def started_elsewhere_after_s(
    core: ShardCore, events: Events, *, answers_starts: bool = True
) -> float:
    """Return how long after :data:`UNANSWERED_AT` a task is started on the other executor.

    Executors accept all stops, the first one refuses all starts for lack of capacity, and the other
    one accepts them.

    Args:
        core: The core.
        events: Applies what else happens, at the times of the simulation.
        answers_starts: Whether the first executor answers starts; if not, none arrives.
    """
    now = UNANSWERED_AT
    unanswered: dict[float, StartOrder] = {}
    while now < UNANSWERED_AT + SIMULATED_S:
        now = round(now + STEP_S, 2)
        report_nothing(core, OTHER, 1, now)
        events(core, now)
        if order := unanswered.pop(now, None):
            core.on_start_unanswered(order, now)
        core.tick(now)
        # Executors that are polled closely, and do not report above, do not answer.
        core.executors_to_poll_closely(now)
        accepted, received = _plan_and_answer(core, now)
        if accepted:
            break
        for order in received:
            if answers_starts:
                core.on_started(order, StartAnswer(StartOutcome.NO_ROOM, now), now)
            else:
                core.on_start_sent(order, now)
                unanswered[round(now + TIMEOUT_S, 2)] = order
    return now - UNANSWERED_AT


def _plan_and_answer(core: ShardCore, now: float) -> tuple[list[StartOrder], list[StartOrder]]:
    """Plan, and answer all orders but starts at the first executor.

    Returns:
        The starts that the other executor accepted, and those that the first one received.
    """
    Planner(core).plan(now, now)
    orders, core.orders = core.orders, []
    accepted, received = [], []
    for order in orders:
        if isinstance(order, StopOrder):
            core.on_stopped(order, True, now)
        elif isinstance(order, StartOrder) and order.executor_id == OTHER:
            accepted.append(order)
            confirm_start(core, order, now)
        elif isinstance(order, StartOrder):
            received.append(order)
    return accepted, received
