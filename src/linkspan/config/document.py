"""The configuration document and parsers for its values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from dataclasses import fields as dataclass_fields
from typing import Any, TypeAlias

from linkspan._fields import as_number, as_object, as_text, check_known_fields
from linkspan.errors import InvalidInput
from linkspan.model.resources import NO_RESOURCES, Resources
from linkspan.selectors.selector import parse_selector

Document: TypeAlias = Mapping[str, Any]
"""Values by key, such as ``services/finder-api`` or ``quotas/maps``."""

SECTIONS = ("services", "labels", "company", "quotas", "placement", "routing", "halls")
"""Valid first parts of a key, up to the first slash."""


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A service that gateways route to.

    Attributes:
        name: Name of the service.
        customer: Customer that the service belongs to.
        deadline_ms: Deadline of requests that specify none.
        max_deadline_ms: Longest deadline that a request may specify.
        slots: Requests that an executor serves concurrently.
        connections: Connections that an executor accepts.
        queue: Requests that may be queued at one gateway.
        replicas: Tasks to run across all halls, 0 when the platform runs the
            service's executors itself.
        size: Resources that each replica needs.
        selector: Selector of the workers that may run replicas.
        labels: Labels that selectors match.
    """

    name: str
    customer: str
    deadline_ms: int = 1_000
    max_deadline_ms: int = 30_000
    slots: int = 8
    connections: int = 64
    queue: int = 256
    replicas: int = 0
    size: Resources = NO_RESOURCES
    selector: str = ""
    labels: dict[str, str] = field(default_factory=dict, hash=False)


@dataclass(frozen=True, slots=True)
class AntiAffinityRule:
    """Keeps tasks that match two selectors off the same worker.

    Attributes:
        work: Selector of the tasks that the rule is about.
        never_with: Selector of the tasks that must not share a worker with them.
    """

    work: str
    never_with: str


SERVICE_FIELDS = tuple(f.name for f in dataclass_fields(ServiceConfig) if f.name != "name")
"""Valid fields of a ``services/`` value."""


def parse_service(name: str, value: Any) -> ServiceConfig:
    """Return the service that a ``services/`` value describes.

    Raises:
        InvalidInput: The value is invalid.
    """
    path = f"services/{name}"
    fields = as_object(path, value)
    check_known_fields(path, fields, SERVICE_FIELDS)
    customer = as_text(f"services/{name}/customer", fields.get("customer", None))
    numbers = {
        key: as_number(f"services/{name}/{key}", fields.get(key, default), 1, maximum)
        for key, default, maximum in (
            ("deadline_ms", 1_000, 3_600_000),
            ("max_deadline_ms", 30_000, 3_600_000),
            ("slots", 8, 10_000),
            ("connections", 64, 10_000),
            ("queue", 256, 100_000),
        )
    }
    replicas = as_number(f"{path}/replicas", fields.get("replicas", 0), 0, 10_000)
    size = parse_resources(f"{path}/size", fields.get("size", {}))
    if replicas and not (size.milli_cpu and size.memory_mb):
        raise InvalidInput(f"{path}/size", "replicas need a size", "give milli_cpu and memory_mb")
    selector = fields.get("selector", "")
    parse_selector(as_text(f"{path}/selector", selector or "any"))
    labels = parse_labels(f"{path}/labels", fields.get("labels", {}))
    return ServiceConfig(
        name, customer, **numbers, replicas=replicas, size=size, selector=selector, labels=labels
    )


def parse_quota(team: str, value: Any) -> Resources:
    """Return the resources that a ``quotas/`` value describes.

    Raises:
        InvalidInput: The value is invalid.
    """
    return parse_resources(f"quotas/{team}", value)


def parse_resources(path: str, value: Any) -> Resources:
    """Return the resources that a mapping describes.

    Raises:
        InvalidInput: The value is invalid.
    """
    fields = as_object(path, value)
    check_known_fields(path, fields, Resources._fields)
    return Resources(
        as_number(f"{path}/milli_cpu", fields.get("milli_cpu", 0), 0, 2**31),
        as_number(f"{path}/memory_mb", fields.get("memory_mb", 0), 0, 2**31),
        as_number(f"{path}/accelerators", fields.get("accelerators", 0), 0, 2**15),
    )


def parse_labels(path: str, value: Any) -> dict[str, str]:
    """Return the labels that a mapping describes.

    Raises:
        InvalidInput: A key or value is not a text.
    """
    fields = as_object(path, value)
    return {as_text(path, key): as_text(f"{path}/{key}", text) for key, text in fields.items()}


def parse_anti_affinity(name: str, value: Any) -> AntiAffinityRule:
    """Return the rule that a ``company/`` value describes.

    Raises:
        InvalidInput: The value is invalid.
    """
    path = f"company/{name}"
    fields = as_object(path, value)
    check_known_fields(path, fields, ("work", "never_with"))
    return AntiAffinityRule(
        as_text(f"{path}/work", fields.get("work", None)),
        as_text(f"{path}/never_with", fields.get("never_with", None)),
    )
