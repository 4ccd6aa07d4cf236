"""Builders of cores in which best-effort work holds the memory that other tasks wait for."""

from __future__ import annotations

from typing import Any

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard._shard_state import Order
from linkspan.shard.core import ShardCore
from linkspan.shard.messages import EndedTask, EndKind, StartOrder, StopOrder
from linkspan.shard.planning.planner import Planner
from tests.shard.builders import confirm_start, core_with, report_ends, submitted_job

WAITING_JOB = "00000000000000cc"
LATER_JOB = "00000000000000dd"

LONG_S = 60.0
"""Duration of runs that do not end by themselves in time."""


def best_effort(
    count: int, memory_mb: int, *, estimate_s: float = LONG_S, gpus: int = 0, **fields: Any
) -> StepSpec:
    """Return a best-effort step."""
    demand = Demand(1_000, memory_mb, gpus)
    return StepSpec(count, demand, estimate_s, best_effort=True, image="a", **fields)


def short(count: int = 1, memory_mb: int = 20_000, *, gpus: int = 0, **fields: Any) -> StepSpec:
    """Return a step with a reservation."""
    return StepSpec(count, Demand(1_000, memory_mb, gpus), 0.5, **fields)


class HeldMemory:
    """A hall whose executors are full of running best-effort work, and its planner.

    Args:
        held: Steps of best-effort work that run there, the first one since the earliest time.
        executors: Number of executors, of 32,000 MB and eight cores each.
    """

    def __init__(self, *held: StepSpec, executors: int = 1) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.core: ShardCore = core_with(
            executors=executors, log=lambda event, **fields: self._log(event.name, fields)
        )
        self._planner = Planner(self.core)
        self._ended = dict.fromkeys(self.core.executors, 0)
        self.held: list[StartOrder] = []
        for number, spec in enumerate(held):
            self.submit(spec, f"{number:016x}", 0.0)
            for order in self.starts(0.01 * (number + 1)):
                confirm_start(self.core, order, 0.01 * (number + 1))
                self.held.append(order)

    def _log(self, name: str, fields: dict[str, Any]) -> None:
        self.events.append((name, fields))

    def submit(self, spec: StepSpec, job_id: str, now: float) -> None:
        """Accept a job of one step."""
        self.core.add_job(submitted_job(spec, job_id=job_id, accepted=now), now)

    def plan(self, now: float) -> list[Order]:
        """Plan and return the orders."""
        self._planner.plan(now, now)
        orders, self.core.orders = self.core.orders, []
        return orders

    def starts(self, now: float) -> list[StartOrder]:
        """Plan and return the starts."""
        return [order for order in self.plan(now) if isinstance(order, StartOrder)]

    def stops(self, now: float) -> list[StopOrder]:
        """Plan and return the stops."""
        return [order for order in self.plan(now) if isinstance(order, StopOrder)]

    def confirm(self, order: StartOrder, now: float) -> None:
        """Apply an executor's answer that it has started a run."""
        confirm_start(self.core, order, now)

    def end(self, order: StartOrder, now: float, kind: EndKind = EndKind.DONE) -> None:
        """Report the end of a run."""
        name = order.executor_id
        self._ended[name] += 1
        ended = EndedTask(self._ended[name], order.task, order.run, kind, "")
        report_ends(self.core, name, ended, asked=now, now=now)

    def set_aside_on(self) -> list[str]:
        """Return the executors of which resources are set aside, in order."""
        return sorted(self.core.set_asides.executor_ids)

    def ended_because(self) -> list[str]:
        """Return why resources are no longer set aside, in order."""
        return [fields["reason"] for name, fields in self.events if name == "SET_ASIDE_ENDED"]
