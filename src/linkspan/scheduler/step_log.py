"""Log events and metrics of a scheduler's steps."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from linkspan.events import Event
from linkspan.ledger.entries import ApplyResult
from linkspan.ledger.records import Lapsed, Placed, Recalled, Submitted, WorkerSeen

if TYPE_CHECKING:
    from linkspan.placement.placer import Obstacle, PassResult
    from linkspan.runtime.node import Node
    from linkspan.scheduler.core import SchedulerCore

_EVENT_OF_DECISION: dict[type, Event] = {
    Recalled: Event.RECALLED,
    Lapsed: Event.LAPSED,
    WorkerSeen: Event.WORKER_SEEN,
}


class StepLog:
    """Logs what a scheduler's core decided and what became of it.

    Args:
        node: The daemon's node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._was_leader = False
        self._logged_obstacles: dict[int, Obstacle] = {}

    def __repr__(self) -> str:
        return f"StepLog({self._node.name!r})"

    def on_step(self, core: SchedulerCore, now: float) -> None:
        """Log the age of the ledger, a change of the leader, and evictions.

        Args:
            core: The core, after a step.
            now: Time in seconds.
        """
        self._node.metrics.tail_age.set({}, max(0.0, now - core.tail_read))
        leads = core.leads(now)
        if leads != self._was_leader:
            self._was_leader = leads
            self._node.events.write(Event.LEAD_CHANGED, leads=leads)
        for attempt, reason in core.take_recall_reasons().items():
            self._node.events.write(Event.EVICTION, attempt=str(attempt), reason=reason)

    def on_pass(self, core: SchedulerCore, result: PassResult, placer: str) -> None:
        """Log a placement pass: why jobs wait, and what was placed.

        Args:
            core: The core.
            result: Result of the pass.
            placer: Name of the placement policy.
        """
        self._log_obstacles(core, result)
        for line in result.placed:
            entry = core.ledger.jobs[line.task.job]
            self._node.events.write(
                Event.PLACED,
                job=entry.spec.job_id,
                task=line.task.index,
                worker=core.ledger.workers[line.worker].spec.name,
                cost=round(line.cost, 4),
                candidates=line.candidates,
                placer=placer,
            )

    def _log_obstacles(self, core: SchedulerCore, result: PassResult) -> None:
        """Log why jobs wait, once per change of the reason."""
        for number, obstacle in result.obstacles.items():
            if self._logged_obstacles.get(number) is not obstacle:
                job_id = core.ledger.jobs[number].spec.job_id
                self._node.events.write(Event.NOT_PLACED, job=job_id, reason=obstacle.value)
        self._logged_obstacles = dict(result.obstacles)

    def on_decision(self, decision: Any, result: ApplyResult) -> None:
        """Log what became of a decision of this scheduler in the ledger.

        Args:
            decision: The decision.
            result: Result of applying it.
        """
        kind = type(decision).__name__
        self._node.metrics.decisions.inc({"kind": kind, "verdict": result.name.lower()})
        if result not in (ApplyResult.APPLIED, ApplyResult.DUPLICATE):
            self._node.events.write(
                Event.DECISION_IGNORED, decision=repr(decision), reason=result.value
            )
        elif not isinstance(decision, (Placed, Submitted)):
            event = _EVENT_OF_DECISION.get(type(decision), Event.DECIDED)
            self._node.events.write(event, decision=repr(decision))
