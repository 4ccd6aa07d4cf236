"""Records that the operator and the executors write into the store."""

from __future__ import annotations

from typing import Any

import orjson

from linkspan._typed import (
    MAX_FLOAT,
    parse_int,
    parse_list,
    parse_number,
    parse_object,
    parse_started_at_ms,
    parse_text,
)
from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.model.configuration import AdviceRule, Configuration, Queue, Service
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import ExecutorRecord

_DRAINING = {"ready": False, "draining": True}
"""Whether an executor drains, by the states that its entry may name."""


def configuration_from_wire(value: bytes) -> Configuration:
    """Return the configuration of an operator's record.

    Raises:
        RecordError: The bytes are no configuration.
    """
    try:
        fields = parse_object(orjson.loads(value))
        queues = [_queue(parse_object(row)) for row in parse_list(fields.get("routes"))]
        services = [_service(parse_object(row)) for row in parse_list(fields.get("services"))]
        limits = parse_object(fields.get("limits"))
        return Configuration(
            version=parse_int(fields["version"]),
            queues={queue.name: queue for queue in queues},
            services={service.name: service for service in services},
            max_body_bytes=parse_int(limits.get("maxBodyBytes") or 262_144),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"configuration: {error!r}; publish a valid one") from error


def _queue(row: dict[str, Any]) -> Queue:
    advice = parse_object(row.get("advice"))
    return Queue(
        name=parse_text(row["name"]),
        host=parse_text(row["hostname"]),
        prefix=parse_text(row["pathPrefix"]),
        service=parse_text(row["service"]),
        priority=parse_int(row.get("priority") or 0),
        max_attempts=parse_int(row.get("maxAttempts") or 1),
        stretch=parse_number(row.get("stretch") or 1.0),
        target_s=parse_number(row.get("targetLatencyMs") or 1000) / 1000,
        timeout_s=parse_number(row.get("timeoutMs") or 3000) / 1000,
        advice=AdviceRule(parse_number(advice.get("valid_ms") or 0) / 1000) if advice else None,
    )


def _service(row: dict[str, Any]) -> Service:
    return Service(
        name=parse_text(row["name"]),
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
        fields = parse_object(orjson.loads(value))
        _check_unused(fields)
        labels = [parse_text(label) for label in _list(fields["labels"])]
        return ExecutorRecord(
            executor_id=_incarnation(executor_id, fields).name,
            service=_name(fields["service"]),
            address=_address(fields["address"]),
            hall=_name(fields["zone"]),
            capacity=_capacity(fields["capacity"]),
            # The labels are its kind and then its rack.
            labels=frozenset(labels),
            rack=labels[-1] if labels else "",
            draining=_DRAINING[parse_text(fields["state"])],
            # Below 0 it stays beyond its time; that it drains counts all the same.
            remaining_s=max(parse_number(fields.get("remainingMs") or 0, minimum=-MAX_FLOAT), 0)
            / 1000,
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"executor {executor_id}: {error!r}; it names none to use") from error


def _incarnation(executor_id: str, fields: dict[str, Any]) -> Incarnation:
    incarnation = Incarnation(executor_id, parse_started_at_ms(fields.get("born")))
    if Incarnation.of(incarnation.name) != incarnation:
        raise ValueError(f"{executor_id!r:.60} is no id")
    return incarnation


def _check_unused(fields: dict[str, Any]) -> None:
    """Check the fields that executors always write and that no decision needs.

    An entry without them comes from another writer.
    """
    _name(fields["version"])
    for name in ("slots", "coldRemainingMs", "callSeq"):
        parse_int(fields[name])


def _name(value: Any) -> str:
    """Return a text that is not empty."""
    if not value:
        raise ValueError("a name is empty")
    return parse_text(value)


def _address(value: Any) -> str:
    """Return an ``ip:port``."""
    ip, _, port = parse_text(value).rpartition(":")
    if not ip or not port.isdecimal() or any(sign.isspace() for sign in ip):
        raise ValueError(f"{value!r:.60} is no address")
    return parse_text(value)


def _list(value: Any) -> list[Any]:
    if value is None:
        raise TypeError("a list is missing")
    return parse_list(value)


def _capacity(value: Any) -> Demand:
    fields = parse_object(value)
    # "cpu" counts thousandths of a core.
    return Demand(parse_int(fields["cpu"]), parse_int(fields["memMb"]), parse_int(fields["gpu"]))


def demand_from_wire(fields: dict[str, Any]) -> Demand:
    """Return the room that a capacity or a step names."""
    return Demand(
        # "cpu" counts thousandths of a core.
        parse_int(fields.get("cpu") or 0),
        parse_int(fields.get("memMb") or 0),
        parse_int(fields.get("gpu") or 0),
    )
