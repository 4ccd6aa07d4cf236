"""Dependencies shared by the components that serve callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from linkspan.events import EventLog
    from linkspan.host.caller_format import CallerFormat
    from linkspan.host.caller_waits import CallerWaits
    from linkspan.host.refusals import Refusals
    from linkspan.jobs.job_registry import JobRegistry
    from linkspan.metrics import HostMetrics
    from linkspan.shard.operator.configuration import ConfigurationWatch


@dataclass(frozen=True, slots=True)
class CallerContext:
    """What the components of one host that serve callers work with.

    Attributes:
        job_registry: Registry of all jobs.
        configuration: Watch that provides the configuration in force.
        form: Format of request and response bodies.
        waits: Waits of requests.
        refusals: Refuses jobs.
        log: Event log.
        metrics: Metrics of the host.
    """

    job_registry: JobRegistry
    configuration: ConfigurationWatch
    form: CallerFormat
    waits: CallerWaits
    refusals: Refusals
    log: EventLog
    metrics: HostMetrics
