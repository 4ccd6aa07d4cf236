"""Records that the operator and the executors write into the store."""

from __future__ import annotations

from typing import Any

import orjson

from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.model.configuration import AdviceRule, Configuration, Queue, Service
from linkspan.shard.messages import ExecutorRecord


def configuration_from_wire(value: bytes) -> Configuration:
    """Return the configuration of an operator's record.

    Raises:
        RecordError: The bytes are no configuration.
    """
    try:
        fields = orjson.loads(value)
        queues = [_queue(row) for row in fields.get("routes") or ()]
        services = [_service(row) for row in fields.get("services") or ()]
        limits = fields.get("limits") or {}
        return Configuration(
            version=int(fields["version"]),
            queues={queue.name: queue for queue in queues},
            services={service.name: service for service in services},
            max_body_bytes=int(limits.get("maxBodyBytes") or 262_144),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"configuration: {error!r}; publish a valid one") from error


def _queue(row: dict[str, Any]) -> Queue:
    advice = row.get("advice")
    return Queue(
        name=row["name"],
        host=row["hostname"],
        prefix=row["pathPrefix"],
        service=row["service"],
        priority=int(row.get("priority") or 0),
        max_attempts=int(row.get("maxAttempts") or 1),
        stretch=float(row.get("stretch") or 1.0),
        target_s=float(row.get("targetLatencyMs") or 1000) / 1000,
        timeout_s=float(row.get("timeoutMs") or 3000) / 1000,
        advice=AdviceRule(float(advice.get("valid_ms") or 0) / 1000) if advice else None,
    )


def _service(row: dict[str, Any]) -> Service:
    return Service(
        name=row["name"],
        # "admissionCheck" says whether the executors reject what does not fit.
        guards_room=bool(row.get("admissionCheck", False)),
        spare=bool(row.get("spare", False)),
    )


def executor_from_wire(executor_id: str, value: bytes) -> ExecutorRecord:
    """Return the executor of its own record.

    Raises:
        RecordError: The bytes are no executor's record.
    """
    try:
        fields = orjson.loads(value)
        return ExecutorRecord(
            executor_id=executor_id,
            service=fields["service"],
            address=fields["address"],
            hall=fields.get("zone") or "",
            capacity=demand_from_wire(fields.get("capacity") or {}),
            # The labels are its kind and then its rack.
            labels=frozenset(fields.get("labels") or ()),
            rack=(fields.get("labels") or [""])[-1],
            draining=fields.get("state") == "draining",
            remaining_s=float(fields.get("remainingMs") or 0) / 1000,
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"executor {executor_id}: {error!r}; it is passed over") from error


def demand_from_wire(fields: dict[str, Any]) -> Demand:
    """Return the room that a capacity or a step names."""
    return Demand(
        # "cpu" counts thousandths of a core.
        int(fields.get("cpu") or 0),
        int(fields.get("memMb") or 0),
        int(fields.get("gpu") or 0),
    )
