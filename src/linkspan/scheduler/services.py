"""Services as jobs: what configuration wants of a hall, and how it gets there."""

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

PREFIX = "service:"
"""What the ids of services' jobs begin with; callers' ids may not."""


def wanted_services(document: Document, hall: str) -> dict[str, JobSpec]:
    """Return the job of each service that this hall is to run, by job id.

    A changed service has another id, so that the new tasks start beside the
    old ones before those are stopped.
    """
    halls = sorted(key.removeprefix("halls/") for key in document if key.startswith("halls/"))
    wanted: dict[str, JobSpec] = {}
    for key, value in document.items():
        if key.startswith("services/"):
            service = parse_service(key.removeprefix("services/"), value)
            count = _part(service.replicas, halls or [hall], hall)
            if count:
                spec = _job(service, count)
                wanted[spec.job_id] = spec
    return wanted


def service_changes(ledger: Ledger, wanted: Mapping[str, JobSpec]) -> Iterator[Decision]:
    """Yield what brings the ledger's services to what is wanted."""
    for job_id, spec in wanted.items():
        if ledger.spec_of(job_id) is None:
            yield Submitted(spec)
    for entry in ledger.jobs.values():
        spec = entry.spec
        stale = spec.priority is Priority.SERVICE and spec.job_id not in wanted
        if stale and not entry.cancelled and not _is_awaited(ledger, wanted, spec.kind):
            yield Cancelled(spec.job_id)


def _is_awaited(ledger: Ledger, wanted: Mapping[str, JobSpec], kind: str) -> bool:
    """Return whether a newer job of the service has tasks that do not run yet."""
    for job_id, spec in wanted.items():
        if spec.kind == kind:
            number = ledger.job_numbers.get(job_id)
            return number is None or ledger.jobs[number].queued > 0
    return False


def _part(replicas: int, halls: list[str], hall: str) -> int:
    if hall not in halls:
        return 0
    at = halls.index(hall)
    return replicas // len(halls) + (at < replicas % len(halls))


def _job(service: ServiceConfig, count: int) -> JobSpec:
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
    return JobSpec(**{**fields, "job_id": f"{PREFIX}{service.name}:{digest}"})
