"""Parsers for the records that the operator and the executors write to the store."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv6Address
from typing import Any

import orjson

from linkspan._typed import (
    MAX_FLOAT,
    excerpt,
    parse_int,
    parse_list,
    parse_number,
    parse_object,
    parse_started_at_ms,
    parse_text,
)
from linkspan.errors import RecordError
from linkspan.jobs.spec import Demand
from linkspan.model.configuration import AdviceRule, Configuration, Queue, RequestLimits, Service
from linkspan.platform.store import CONFIG_KEY, CONFIG_RECORDS, EVACUATION_KEY_PREFIX
from linkspan.shard.incarnation import Incarnation
from linkspan.shard.messages import ExecutorRecord
from linkspan.shard.operator.records import OperatorFormat

MAX_CAPACITY = 10**9
"""Largest capacity of an executor: a million cores, or a petabyte of memory. Sums over all halls
stay exact numbers, which every reader of a summary accepts."""

MAX_ID_LENGTH = 200
"""Limits the length of an executor id, in characters; each call carries it in a header."""

MAX_PORT = 65_535

_IS_DRAINING = {"ready": False, "draining": True}
"""Whether an executor drains, by the ``state`` of its record."""


def configuration_from_wire(value: bytes) -> Configuration:
    """Return the configuration that an operator's record holds.

    Raises:
        RecordError: The bytes are not a valid configuration.
    """
    try:
        fields = parse_object(orjson.loads(value))
        queues = [_parse_queue(parse_object(row)) for row in parse_list(fields.get("routes"))]
        services = [_parse_service(parse_object(row)) for row in parse_list(fields.get("services"))]
        return Configuration(
            version=parse_int(fields["version"]),
            queues={queue.name: queue for queue in queues},
            services={service.name: service for service in services},
            limits=_parse_limits(parse_object(fields.get("limits"))),
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"configuration: {error!r}; publish a valid one") from error


def _parse_limits(fields: dict[str, Any]) -> RequestLimits:
    """Return the limits of a configuration; one that is missing or 0 has its default."""
    default = RequestLimits()
    head_timeout_ms = parse_number(fields.get("headerTimeoutMs") or 1000 * default.head_timeout_s)
    idle_timeout_ms = parse_number(fields.get("idleTimeoutMs") or 1000 * default.idle_timeout_s)
    return RequestLimits(
        max_head_bytes=parse_int(fields.get("maxHeaderBytes") or default.max_head_bytes),
        max_body_bytes=parse_int(fields.get("maxBodyBytes") or default.max_body_bytes),
        head_timeout_s=head_timeout_ms / 1000,
        idle_timeout_s=idle_timeout_ms / 1000,
    )


def _parse_queue(row: dict[str, Any]) -> Queue:
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


def _parse_service(row: dict[str, Any]) -> Service:
    return Service(
        name=parse_text(row["name"]),
        # "admissionCheck" states whether the executors reject starts that exceed their capacity.
        guards_room=bool(row.get("admissionCheck", False)),
        spare=bool(row.get("spare", False)),
    )


def evacuated_hall_from_wire(key: bytes) -> str | None:
    """Return the hall whose evacuation a key of the operator stands for, ``None`` for others.

    The record under the key says nothing more.
    """
    if not key.startswith(EVACUATION_KEY_PREFIX):
        return None
    return key.removeprefix(EVACUATION_KEY_PREFIX).decode(errors="replace")


OPERATOR_FORMAT = OperatorFormat(
    CONFIG_RECORDS, CONFIG_KEY, configuration_from_wire, evacuated_hall_from_wire
)
"""Partition, keys and decoders of the operator's records."""


def executor_from_wire(executor_id: str, value: bytes) -> ExecutorRecord:
    """Return the executor that its own record describes.

    Raises:
        RecordError: The bytes are not a valid executor record.
    """
    try:
        fields = parse_object(orjson.loads(value))
        _check_unused_fields(fields)
        labels = [parse_text(label) for label in _parse_required_list(fields["labels"])]
        return ExecutorRecord(
            executor_id=_parse_incarnation(executor_id, fields).name,
            service=_parse_name(fields["service"]),
            address=_parse_address(fields["address"]),
            hall=_parse_name(fields["zone"]),
            capacity=_parse_capacity(fields["capacity"]),
            # The labels are the executor's kind, followed by its rack.
            labels=frozenset(labels),
            rack=labels[-1] if labels else "",
            draining=_IS_DRAINING[parse_text(fields["state"])],
            # Negative once the executor outlives its announced end; it still drains.
            remaining_s=max(parse_number(fields.get("remainingMs") or 0, minimum=-MAX_FLOAT), 0)
            / 1000,
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecordError(f"executor {executor_id}: {error!r}; the record is ignored") from error


def _parse_incarnation(executor_id: str, fields: dict[str, Any]) -> Incarnation:
    incarnation = Incarnation(executor_id, parse_started_at_ms(fields.get("born")))
    if Incarnation.of(incarnation.name) != incarnation or not _fits_header(executor_id):
        raise ValueError(f"{excerpt(executor_id)} is not a valid executor id")
    return incarnation


def _fits_header(executor_id: str) -> bool:
    """Return whether an id can be sent in the header that names the executor of a call."""
    if not 0 < len(executor_id) <= MAX_ID_LENGTH:
        return False
    return executor_id.isascii() and executor_id.isprintable() and " " not in executor_id


def _check_unused_fields(fields: dict[str, Any]) -> None:
    """Check the fields that executors always write but no decision uses.

    A record without them was not written by an executor.
    """
    _parse_name(fields["version"])
    for name in ("slots", "coldRemainingMs", "callSeq"):
        parse_int(fields[name])


def _parse_name(value: Any) -> str:
    """Return a non-empty text."""
    if not value:
        raise ValueError("name is empty")
    return parse_text(value)


def _parse_address(value: Any) -> str:
    """Return an address in the form ``ip:port``, with an IPv6 address in brackets.

    A start to any other text could not be sent, or would be sent to whatever a name stands for.
    """
    ip, _, port = parse_text(value).rpartition(":")
    if not _is_port(port):
        raise ValueError(f"{excerpt(value)} has no valid port")
    if ip.startswith("[") and ip.endswith("]"):
        ipv6 = IPv6Address(ip[1:-1])
        if ipv6.scope_id or ipv6.is_unspecified or ipv6.is_multicast:
            raise ValueError(f"{excerpt(value)} is not the address of one executor")
        return f"[{ipv6}]:{port}"
    ipv4 = IPv4Address(ip)
    if ipv4.is_unspecified or ipv4.is_multicast:
        raise ValueError(f"{excerpt(value)} is not the address of one executor")
    return f"{ipv4}:{port}"


def _is_port(text: str) -> bool:
    """Return whether a text is a port number from 1 on, in ASCII digits without leading zeros."""
    if len(text) > len(str(MAX_PORT)) or not (text.isascii() and text.isdecimal()):
        return False
    return str(int(text)) == text and 1 <= int(text) <= MAX_PORT


def _parse_required_list(value: Any) -> list[Any]:
    if value is None:
        raise TypeError("list is missing")
    return parse_list(value)


def _parse_capacity(value: Any) -> Demand:
    fields = parse_object(value)
    # "cpu" counts thousandths of a core.
    amounts = [parse_int(fields[name]) for name in ("cpu", "memMb", "gpu")]
    if max(amounts) > MAX_CAPACITY:
        raise ValueError(f"{excerpt(amounts)} is no capacity of one executor")
    return Demand(*amounts)


def demand_from_wire(fields: dict[str, Any]) -> Demand:
    """Return the resources that a capacity or a step specifies."""
    return Demand(
        # "cpu" counts thousandths of a core.
        parse_int(fields.get("cpu") or 0),
        parse_int(fields.get("memMb") or 0),
        parse_int(fields.get("gpu") or 0),
    )
