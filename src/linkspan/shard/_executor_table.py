"""Incarnations of executors that an owner knows."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from linkspan.shard.incarnation import Incarnation
from linkspan.shard.ownership._tokens import TenureTokens

if TYPE_CHECKING:
    from linkspan.shard.executor import ExecutorState

MAX_REMEMBERED_INCARNATIONS = 64
"""Limits the removed incarnations whose withheld ends are remembered. Only a hall with hundreds of
hosts has more executors."""


class ExecutorTable:
    """Incarnations of executors by name and by id, and those whose reports are awaited.

    Args:
        token: The tenure's token.

    Attributes:
        tokens: Fencing tokens of the executors' incarnations.
        executors: Executors that are registered or may have runs, by name of the incarnation.
        incarnations_by_id: The same executors by id; at most one incarnation of an id is alive.
        roster_names: Executors to be named on the roster: all but those known from their
            registration alone, which cannot have received a start.
        withheld_ends: Withheld ends of removed incarnations, which may come back.
        membership_changes: Number of incarnations added or removed so far; comparing two values
            shows cheaply whether the set of executors changed.
        awaiting_report_ids: Inherited executors that have not reported yet.
        awaiting_next_ids: Next incarnations, which have not reported yet, of inherited executors
            that ended before they reported.
        resolved_inherited: Number of the other inherited executors, by how each was resolved: it
            reported, ended, or its leases expired.
    """

    def __init__(self, token: int) -> None:
        self.tokens = TenureTokens(token)
        self.executors: dict[str, ExecutorState] = {}
        self.incarnations_by_id: dict[str, dict[str, ExecutorState]] = {}
        self.roster_names: set[str] = set()
        self.withheld_ends: dict[str, set[int]] = {}
        self.membership_changes = 0
        self.awaiting_report_ids: set[str] = set()
        self.awaiting_next_ids: set[str] = set()
        self.resolved_inherited: Counter[str] = Counter()

    def add_executor(self, executor: ExecutorState) -> None:
        """Add an incarnation of an executor."""
        name = executor.executor_id
        self.executors[name] = executor
        incarnations = self.incarnations_by_id.setdefault(Incarnation.of(name).executor_id, {})
        executor.token = self.tokens.next_token(incarnations.values())
        incarnations[name] = executor
        executor.withheld_ends |= self.withheld_ends.pop(name, set())
        self.membership_changes += 1

    def confirm_address(self, executor: ExecutorState) -> None:
        """Record that an incarnation has answered at its address, so that it may get starts."""
        executor.address_confirmed = True
        if executor.executor_id in self.executors:
            self.roster_names.add(executor.executor_id)

    def token_outdated(self, executor: ExecutorState, token: int) -> bool:
        """Return whether an executor may refuse a token although no newer owner is there.

        Another incarnation of it may have received a higher token of this tenure. An id under which
        nobody has answered here may be another hall's, as only its registration says otherwise.
        """
        if self.executors.get(executor.executor_id) is not executor:
            return True
        incarnations = self.incarnations_by_id[Incarnation.of(executor.executor_id).executor_id]
        has_answered = any(other.address_confirmed for other in incarnations.values())
        return not has_answered or any(other.token > token for other in incarnations.values())

    def may_have_received_starts(self, name: str) -> bool:
        """Return whether an incarnation may have received a start that this shard has ordered.

        It has received none if neither it nor another known incarnation of its id is to be named on
        the roster or has attempts: no owner sends starts to an executor that its durable roster
        does not name.
        """
        incarnations = self.incarnations_by_id.get(Incarnation.of(name).executor_id, {})
        if name not in incarnations:
            return True
        awaited = self.awaiting_report_ids | self.awaiting_next_ids
        return any(
            known in self.roster_names or known in awaited or executor.attempts
            for known, executor in incarnations.items()
        )

    def remove_executor(self, name: str) -> None:
        """Remove an incarnation; the caller handles the attempts on it."""
        executor = self.executors.pop(name, None)
        if executor:
            self.tokens.on_incarnation_end(executor.token)
            self._remember_withheld_ends(executor)
        self.awaiting_next_ids.discard(name)
        self.roster_names.discard(name)
        executor_id = Incarnation.of(name).executor_id
        incarnations = self.incarnations_by_id.get(executor_id, {})
        incarnations.pop(name, None)
        if not incarnations:
            self.incarnations_by_id.pop(executor_id, None)
        self.membership_changes += 1

    def _remember_withheld_ends(self, executor: ExecutorState) -> None:
        """Remember an incarnation's withheld ends, as it may only be cut off and come back."""
        if not executor.withheld_ends:
            return
        if len(self.withheld_ends) >= MAX_REMEMBERED_INCARNATIONS:
            del self.withheld_ends[next(iter(self.withheld_ends))]
        self.withheld_ends[executor.executor_id] = executor.withheld_ends

    def resolve_inherited(self, executor_id: str, how: str) -> None:
        """Stop waiting for the report of an inherited executor, and count the reason."""
        if executor_id in self.awaiting_report_ids:
            self.awaiting_report_ids.remove(executor_id)
            self.resolved_inherited[how] += 1

    def recorded_incarnation(self, name: str) -> ExecutorState | None:
        """Return the incarnation that a record names.

        Either the roster or a progress record may come from an earlier version, which stores no
        start times. A name without a start time matches any incarnation with the same id.
        """
        known = self.executors.get(name)
        incarnation = Incarnation.of(name)
        if known or (
            incarnation.started_at_ms is not None and incarnation.executor_id in self.executors
        ):
            return known or self.executors[incarnation.executor_id]
        if incarnation.started_at_ms is not None:
            return None
        return next(iter(self.incarnations_by_id.get(name, {}).values()), None)
