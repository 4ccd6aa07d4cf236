"""Registry entries that contradict what the executor of their id has shown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.events import Event
from linkspan.shard.incarnation import Incarnation

if TYPE_CHECKING:
    from linkspan.shard._shard_state import ShardState
    from linkspan.shard.executor import ExecutorState
    from linkspan.shard.messages import ExecutorRecord


class EntryClaims:
    """Entries that are not applied while an executor that is there says otherwise.

    Anyone may write an entry. An incarnation keeps its address for as long as it runs, so an entry
    with another one is not applied once it has answered. An entry that names another incarnation at
    the address of a known one is no reason for calls of its own: whichever incarnation is there
    answers those to the known one, and the higher token of the other's calls would make it refuse
    those under its own. At another address it is polled beside the known one, and nothing but its
    own answer says anything about that.

    Args:
        state: The shard's state.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._claims: dict[str, ExecutorRecord] = {}
        self._former: dict[str, ExecutorRecord] = {}

    def __repr__(self) -> str:
        return f"EntryClaims({list(self._claims.values())})"

    @property
    def records(self) -> list[ExecutorRecord]:
        """The claims."""
        return list(self._claims.values())

    def begin(self) -> None:
        """Forget all claims before the present entries are applied."""
        self._former, self._claims = self._claims, {}

    def end(self) -> None:
        """Forget the former claims after the present entries were applied."""
        self._former = {}

    def contradicts(self, record: ExecutorRecord) -> bool:
        """Return whether an entry must not be applied, for what its executor has shown."""
        known = self._state.executors.get(record.executor_id)
        if known:
            return known.address_confirmed and known.record.address != record.address
        return any(e.record.address == record.address for e in self._incarnations(record))

    def gives_other_address(self, executor: ExecutorState) -> bool:
        """Return whether an entry of an incarnation names another address than the one in use."""
        claim = self._claims.get(Incarnation.of(executor.executor_id).executor_id)
        if claim is None or claim.executor_id != executor.executor_id:
            return False
        return claim.address != executor.record.address

    def add(self, record: ExecutorRecord) -> None:
        """Add a claim. The known incarnations are polled at once, as the next one may answer."""
        executor_id = Incarnation.of(record.executor_id).executor_id
        before = self._claims.get(executor_id) or self._former.get(executor_id)
        self._claims[executor_id] = record
        if before and (before.executor_id, before.address) == (record.executor_id, record.address):
            return
        self._state.executors_to_poll.update(e.executor_id for e in self._incarnations(record))
        self.log(record)

    def log(self, record: ExecutorRecord) -> None:
        """Log an entry, if another incarnation of its id or another address of it is known."""
        incarnations = self._incarnations(record)
        if incarnations:
            self._state.log(
                Event.ENTRY_CONTRADICTED,
                executor=record.executor_id,
                address=record.address,
                known={e.executor_id: e.record.address for e in incarnations},
            )

    def remove(self, record: ExecutorRecord) -> None:
        """Remove a claim that was applied."""
        self._claims.pop(Incarnation.of(record.executor_id).executor_id, None)

    def _incarnations(self, record: ExecutorRecord) -> list[ExecutorState]:
        """Return the known incarnations of the id of an entry."""
        executor_id = Incarnation.of(record.executor_id).executor_id
        return list(self._state.incarnations_by_id.get(executor_id, {}).values())
