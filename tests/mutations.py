"""Removes one rule at a time and prints which tests fail: ``python -m tests.mutations``.

The table in docs/PROOFS.md is the output of this program.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from linkspan.config.store import ConfigState, ConfigStore
from linkspan.ledger.entries import ApplyResult, WorkerEntry
from linkspan.ledger.job_entry import TaskState
from linkspan.ledger.ledger import Ledger
from linkspan.model.resources import Resources
from linkspan.routing.shares import ShareTable, slot_owners
from linkspan.scheduler.core import SchedulerCore
from linkspan.scheduler.lease_expiry import LeaseExpiryProof
from linkspan.scheduler.worker_orders import WorkerOrders
from tests.config import test_store
from tests.ledger import test_ledger
from tests.routing.test_shares_machine import SharesMachine
from tests.scheduler import test_core
from tests.scheduler.test_hall_machine import HallMachine
from tests.standins.fake_worker import FakeWorker

EXAMPLES = 100


class Mutation(NamedTuple):
    """A rule, the replacement that removes it, and the state machine that should fail."""

    rule: str
    target: Any
    name: str
    replacement: Any
    machine: Any = HallMachine


_ORIGINAL_START = FakeWorker._start
_ORIGINAL_HEARD = ShareTable.heard


def _expire_at_once(self: LeaseExpiryProof, ledger: Ledger, recalled: int) -> float:
    return self._first_seen.get(recalled, float("inf"))


def _expire_after_lease(self: LeaseExpiryProof, ledger: Ledger, recalled: int) -> float:
    return self._first_seen.get(recalled, float("inf")) + self._timing.lease_bound_s


def _requeue_recalled(self: Ledger, offset: int, attempt: Any) -> ApplyResult:
    entry = self._live_entry(attempt)
    if entry is None:
        return ApplyResult.WRONG_STATE
    self._release_unproven(entry, attempt)
    return ApplyResult.APPLIED


def _not_run_if_cancelled(self: Ledger, offset: int, job_id: str) -> ApplyResult:
    number = self.job_numbers.get(job_id)
    if number is None:
        return ApplyResult.UNKNOWN
    entry = self.jobs[number]
    entry.cancelled = True
    for task in [t for t in self.placements if t.job == number]:
        attempt = self.attempt_of(task)
        self._release(entry, attempt, TaskState.CANCELLED)
        entry.attempts[task.index] = 0
    table = bytes.maketrans(bytes([TaskState.QUEUED]), bytes([TaskState.CANCELLED]))
    entry.states = entry.states.translate(table)
    self._finish_if_over(entry)
    return ApplyResult.APPLIED


def _repeat_unproven(self: Ledger, entry: Any, attempt: Any) -> None:
    self._release(entry, attempt, TaskState.QUEUED)


def _forget_highest(self: FakeWorker, start: Any, lease_until: float, clock: float) -> None:
    if start.run not in self.runs:
        self.highest.pop(start.run.task, None)
        self.closed.pop(start.run, None)
    _ORIGINAL_START(self, start, lease_until, clock)


def _renew_always(self: SchedulerCore, now: float) -> bool:
    return True


def _all_wanted(self: WorkerOrders, task: Any) -> bool:
    return not self._ledger.jobs[task.job].cancelled


def _acknowledge_all(self: WorkerOrders) -> tuple[Any, ...]:
    return tuple(run for run in self._view.closed if run not in self._live)


def _settle_at_once(self: ShareTable) -> None:
    self._share_cache.clear()
    if self._members:
        self._confirmed_members = self._members


def _count_own_view(self: ShareTable, executor: str, slots: int, confirmed_members: Any) -> int:
    return slot_owners(executor, slots, self._members).count(self._name)


def _stay_settled(self: ShareTable, now: float) -> None:
    self._started_at = min(self._started_at, now)
    self._last_tick = now
    self._settle()


def _confirm_at_once(self: ShareTable, *, fits: bool) -> dict[str, int]:
    return _ORIGINAL_HEARD(self, fits=True)


def _adopt_any(self: ConfigStore, state: ConfigState) -> bool:
    self._state = state
    return True


MUTATIONS = [
    Mutation("no rule taken out", Ledger, "__repr__", Ledger.__repr__),
    Mutation("a recalled attempt waits for its proof", Ledger, "_recall", _requeue_recalled),
    Mutation("the proof waits at all", LeaseExpiryProof, "expires_at", _expire_at_once),
    Mutation(
        "the proof waits for schedulers that do not confirm",
        LeaseExpiryProof,
        "expires_at",
        _expire_after_lease,
    ),
    Mutation("renewing ends without the log's end", SchedulerCore, "may_renew", _renew_always),
    Mutation("a recalled attempt is not renewed", WorkerOrders, "_is_wanted", _all_wanted),
    Mutation(
        "an end is acknowledged by a newer fold only",
        WorkerOrders,
        "_acknowledged",
        _acknowledge_all,
    ),
    Mutation(
        "a placement must fit the worker's room",
        WorkerEntry,
        "room",
        property(lambda self: Resources(10**9, 10**9, 10**9)),
    ),
    Mutation("an unproven end is not repeated", Ledger, "_release_unproven", _repeat_unproven),
    Mutation("'not run' needs a task never placed", Ledger, "_cancel", _not_run_if_cancelled),
    Mutation("a worker begins no attempt again", FakeWorker, "_start", _forget_highest),
    Mutation(
        "shares: a gain waits for all to confirm",
        ShareTable,
        "_settle",
        _settle_at_once,
        SharesMachine,
    ),
    Mutation(
        "shares: what peers divide by counts",
        ShareTable,
        "_count",
        _count_own_view,
        SharesMachine,
    ),
    Mutation(
        "shares: a paused gateway starts over", ShareTable, "tick", _stay_settled, SharesMachine
    ),
    Mutation(
        "shares: a confirmation waits for requests in flight",
        ShareTable,
        "heard",
        _confirm_at_once,
        SharesMachine,
    ),
    Mutation(
        "configuration: only a newer state is taken over", ConfigStore, "adopt", _adopt_any, None
    ),
]


@contextmanager
def _without(mutation: Mutation) -> Iterator[None]:
    with patch.object(mutation.target, mutation.name, mutation.replacement):
        yield


def _run(machine: Callable[[], Any], examples: int) -> str:
    try:
        run_state_machine_as_test(
            machine,
            settings=settings(
                derandomize=True,
                max_examples=examples,
                stateful_step_count=40,
                deadline=None,
                database=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
                print_blob=False,
            ),
        )
    except Exception as error:
        while isinstance(error, ExceptionGroup):
            error = error.exceptions[0]
        return "fails"
    return "passes"


def _directed() -> str:
    """Return which directed tests fail."""
    tests = [
        (name, test)
        for module in (test_core, test_ledger, test_store)
        for name, test in vars(module).items()
        if name.startswith("test_")
    ]
    failed = [name for name, test in tests if not _passes(test)]
    return "fails: " + ", ".join(f"`{name}`" for name in failed) if failed else "pass"


def _passes(test: Callable[..., None]) -> bool:
    marks = getattr(test, "pytestmark", [])
    values = marks[0].args[1] if marks else [None]
    try:
        for value in values:
            test(*([] if value is None else [value]))
    except Exception:
        return False
    return True


def main() -> None:
    """Print a table row for each mutation whose rule contains an argument, by default for all."""
    chosen = sys.argv[1:]
    print("| rule taken out | machine | directed tests |")
    print("| --- | --- | --- |")
    for mutation in MUTATIONS:
        if chosen and not any(word in mutation.rule for word in chosen):
            continue
        with _without(mutation):
            machine = _run(mutation.machine, EXAMPLES) if mutation.machine else "not run"
            directed = _directed()
            print(f"| {mutation.rule} | {machine} | {directed} |", flush=True)


if __name__ == "__main__":
    main()
