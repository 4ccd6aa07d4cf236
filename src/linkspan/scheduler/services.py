"""Services as jobs: which ones the configuration assigns to a hall, and how to reach them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_hexdigest

from linkspan.config.document import parse_service
from linkspan.ledger.codec import job_to_json
from linkspan.ledger.records import Cancelled, Submitted
from linkspan.model.job import JobSpec, Priority

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from linkspan.config.document import Document, ServiceConfig
    from linkspan.ledger.ledger import Ledger
    from linkspan.ledger.records import Decision

SERVICE_JOB_PREFIX = "service:"
"""Prefix of the ids of service jobs; the gateway refuses it in callers' job ids."""


def wanted_services(document: Document, hall: str) -> dict[str, JobSpec]:
    """Return the jobs of the services that this hall has to run, by job id.

    A changed service gets a new job id, so that its new tasks start while the old
    ones still run. The old tasks are stopped afterwards.
    """
    halls = sorted(key.removeprefix("halls/") for key in document if key.startswith("halls/"))
    wanted: dict[str, JobSpec] = {}
    for key, value in document.items():
        if key.startswith("services/"):
            service = parse_service(key.removeprefix("services/"), value)
            count = _replicas_of_hall(service.replicas, halls or [hall], hall)
            if count:
                spec = _service_job(service, count)
                wanted[spec.job_id] = spec
    return wanted


def service_changes(ledger: Ledger, wanted: Mapping[str, JobSpec]) -> Iterator[Decision]:
    """Yield the decisions that bring the ledger's service jobs to the wanted ones."""
    for job_id, spec in wanted.items():
        if ledger.spec_of(job_id) is None:
            yield Submitted(spec)
    for entry in ledger.jobs.values():
        spec = entry.spec
        stale = spec.priority is Priority.SERVICE and spec.job_id not in wanted
        if stale and not entry.cancelled and not _is_replacement_pending(ledger, wanted, spec.kind):
            yield Cancelled(spec.job_id)


def _is_replacement_pending(ledger: Ledger, wanted: Mapping[str, JobSpec], kind: str) -> bool:
    """Return whether a wanted job of the service is not submitted or has queued tasks."""
    for job_id, spec in wanted.items():
        if spec.kind == kind:
            number = ledger.job_numbers.get(job_id)
            return number is None or ledger.jobs[number].queued > 0
    return False


def _replicas_of_hall(replicas: int, halls: list[str], hall: str) -> int:
    if hall not in halls:
        return 0
    position = halls.index(hall)
    return replicas // len(halls) + (position < replicas % len(halls))


def _service_job(service: ServiceConfig, count: int) -> JobSpec:
    spec = JobSpec(
        job_id="",
        customer=service.customer,
        team="services",
        kind=service.name,
        count=count,
        size=service.size,
        priority=Priority.SERVICE,
        labels=service.labels,
        selector=service.selector,
    )
    digest = xxh3_64_hexdigest(job_to_json(spec))[:8]
    fields = {name: getattr(spec, name) for name in JobSpec.__dataclass_fields__}
    return JobSpec(**{**fields, "job_id": f"{SERVICE_JOB_PREFIX}{service.name}:{digest}"})
