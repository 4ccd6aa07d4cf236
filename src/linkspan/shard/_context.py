"""Dependencies and state shared by the components of a tenure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from linkspan.events import EventLog
    from linkspan.jobs.job_registry import JobRegistry
    from linkspan.metrics import HostMetrics
    from linkspan.model.settings import HostSettings
    from linkspan.shard._changes import Changes
    from linkspan.shard.core import ShardCore
    from linkspan.shard.machines import MachineService
    from linkspan.shard.messages import (
        ExecutorReport,
        PaceOrder,
        StartAnswer,
        StartOrder,
        StopOrder,
    )
    from linkspan.shard.operator.records import OperatorRecords
    from linkspan.shard.orders._calls import ExecutorCalls
    from linkspan.shard.ownership._proof import OwnershipProof
    from linkspan.shard.ownership._scope import TaskScope
    from linkspan.shard.registry import ExecutorRegistry
    from linkspan.store.types import Partition, Store
    from linkspan.store.writer import GroupWriter


class Executors(Protocol):
    """Client for calls to executors under one fencing token."""

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        """Start a run.

        Args:
            address: Address at which the executor accepts orders.
            order: The start order.
            until_s: End of the lease for all runs there, on the executor's clock.

        Raises:
            Fenced: The executor has seen a higher token.
            WrongIncarnation: The intended incarnation has ended.
            Unreachable: No answer arrived; the executor may still carry out the order, even
                seconds later.
        """

    async def stop(self, address: str, order: StopOrder) -> bool:
        """Stop a run and return whether the executor accepted the order.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`start`.
        """

    async def pace(self, address: str, order: PaceOrder) -> bool:
        """Set a run's pace and return whether the executor accepted the order.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`start`.
        """

    async def renew(
        self,
        address: str,
        executor_id: str,
        *,
        acknowledged: int,
        until_s: float | None,
        wait_s: float,
    ) -> ExecutorReport:
        """Poll an executor and renew the lease for all runs there.

        Args:
            address: Address at which the executor accepts orders.
            executor_id: The intended incarnation.
            acknowledged: Number of the last acknowledged end; the executor stops listing ends up
                to it.
            until_s: New end of the lease on the executor's clock; ``None`` polls without renewing.
            wait_s: Longest time for which the executor delays its report while no run ends, in
                seconds.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`start`.
        """


@dataclass(frozen=True, kw_only=True)
class TenureContext:
    """Dependencies and state shared by the components of a tenure.

    Attributes:
        shard: Number of the shard.
        token: The tenure's fencing token.
        settings: The host's settings.
        store: The platform's store.
        partition: Partition that holds the shard's progress records.
        writer: Writes to that partition under the tenure's token.
        calls: Sends calls to executors, each with the token of the intended incarnation.
        machines: Client of the machine service, ``None`` where the platform has none.
        job_registry: All jobs known to this host.
        executor_registry: The registered executors.
        operator_records: Source of the configuration and the evacuations in force.
        log: Event log.
        metrics: The host's metrics.
        core: The shard's state and decisions.
        changes: Events that wake the tenure's loops.
        scope: Task group for work that ends with the tenure.
        proof: Proof of ownership, which decides whether orders may be sent.
    """

    shard: int
    token: int
    settings: HostSettings
    store: Store
    partition: Partition
    writer: GroupWriter
    calls: ExecutorCalls
    machines: MachineService | None
    job_registry: JobRegistry
    executor_registry: ExecutorRegistry
    operator_records: OperatorRecords
    log: EventLog
    metrics: HostMetrics
    core: ShardCore
    changes: Changes
    scope: TaskScope
    proof: OwnershipProof

    @property
    def hall(self) -> str:
        """Name of the shard's hall."""
        return self.settings.halls[self.shard]
