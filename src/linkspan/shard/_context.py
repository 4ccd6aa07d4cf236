"""What the parts of a tenure share."""

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
    from linkspan.shard.orders._calls import ExecutorCalls
    from linkspan.shard.ownership._proof import OwnershipProof
    from linkspan.shard.ownership._scope import Scope
    from linkspan.shard.registry import ConfigurationWatch, ExecutorRegistry
    from linkspan.store.types import Partition, Store
    from linkspan.store.writer import GroupWriter


class Executors(Protocol):
    """Calls to executors under one fencing token."""

    async def start(self, address: str, order: StartOrder, *, until_s: float) -> StartAnswer:
        """Start a run.

        Args:
            address: Where the executor takes orders.
            order: What to start.
            until_s: Lease of all that runs there, on the executor's clock.

        Raises:
            Fenced: The executor has seen a higher token.
            WrongIncarnation: The intended incarnation is gone.
            Unreachable: No answer; it may be done, even seconds later.
        """

    async def stop(self, address: str, order: StopOrder) -> bool:
        """Stop a run and return whether the order was taken.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`start`.
        """

    async def pace(self, address: str, order: PaceOrder) -> bool:
        """Set a run's pace and return whether the order was taken.

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
        """Renew the lease of all that runs there and look at it.

        Args:
            address: Where the executor takes orders.
            executor_id: The intended incarnation.
            acknowledged: Number of the last end that need not be listed again.
            until_s: New lease on the executor's clock, ``None`` to only look.
            wait_s: Time that the answer waits for an end, in seconds.

        Raises:
            Fenced, WrongIncarnation, Unreachable: As for :meth:`start`.
        """


@dataclass(frozen=True, kw_only=True)
class TenureContext:
    """The shard of a tenure, its surroundings, and the state that its parts share.

    Attributes:
        shard: Number of the shard.
        token: The tenure's token.
        settings: The host's settings.
        store: The platform's store.
        partition: Where the shard's progress is kept.
        writer: Writes there under the tenure's token.
        calls: Calls to executors, each life under its token.
        machines: The machine service, where there is one.
        job_registry: The jobs.
        executor_registry: The registered executors.
        configuration: The configuration in force.
        log: Where events go.
        metrics: Where counts and times go.
        core: The shard's state.
        changes: Tells the loops what there is to do.
        scope: Starts work within the tenure.
        proof: Whether orders may go out.
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
    configuration: ConfigurationWatch
    log: EventLog
    metrics: HostMetrics
    core: ShardCore
    changes: Changes
    scope: Scope
    proof: OwnershipProof

    @property
    def hall(self) -> str:
        """Name of the shard's hall."""
        return self.settings.halls[self.shard]
