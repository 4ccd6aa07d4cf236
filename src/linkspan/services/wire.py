"""JSON encoding of the messages between a scheduler and a worker.

Only this module and the HTTP clients of this package depend on the platform's protocol.
"""

from __future__ import annotations

from typing import Any

import orjson

from linkspan.errors import Unreachable
from linkspan.model.resources import Resources
from linkspan.model.worker import WorkerSpec
from linkspan.services.messages import (
    AttemptKey,
    ClosedAttempt,
    ExchangeRequest,
    StartCommand,
    UsageSample,
    WorkerReport,
)


def orders_to_json(orders: ExchangeRequest) -> bytes:
    """Encode the orders as JSON; named tuples become arrays of their fields."""
    return orjson.dumps(orders, default=list)


def orders_from_json(body: bytes) -> ExchangeRequest:
    """Decode orders that :func:`orders_to_json` encoded."""
    fields = orjson.loads(body)
    return ExchangeRequest(
        incarnation=fields["incarnation"],
        lease_until=fields["lease_until"],
        starts=tuple(_parse_start(row) for row in fields["starts"]),
        renew=_parse_attempts(fields["renew"]),
        stops=_parse_attempts(fields["stops"]),
        throttles=tuple((AttemptKey(*run), share) for run, share in fields["throttles"]),
        acknowledged=_parse_attempts(fields["acknowledged"]),
    )


def report_to_json(report: WorkerReport) -> bytes:
    """Encode the report as JSON."""
    return orjson.dumps(report, default=list)


def report_from_json(body: bytes) -> WorkerReport:
    """Decode a report that :func:`report_to_json` encoded.

    Raises:
        Unreachable: The bytes are not a valid report.
    """
    try:
        return _parse_report(orjson.loads(body))
    except (KeyError, TypeError, ValueError) as error:
        raise Unreachable(
            f"worker sent an invalid report: {error!r}; the exchange will be retried"
        ) from error


def _parse_report(fields: dict[str, Any]) -> WorkerReport:
    spec = fields["spec"]
    spec["size"] = Resources(*spec["size"])
    return WorkerReport(
        spec=WorkerSpec(**spec),
        clock=float(fields["clock"]),
        leaving=bool(fields["leaving"]),
        running=_parse_attempts(fields["running"]),
        closed=tuple(ClosedAttempt(AttemptKey(*row[0]), *row[1:]) for row in fields["closed"]),
        usage=tuple(
            UsageSample(AttemptKey(*run), measured, Resources(*used), latency)
            for run, measured, used, latency in fields["usage"]
        ),
    )


def _parse_attempts(rows: list[list[Any]]) -> tuple[AttemptKey, ...]:
    return tuple(AttemptKey(*row) for row in rows)


def _parse_start(row: list[Any]) -> StartCommand:
    run, size, kind, job_id, index, checkpoint = row
    return StartCommand(AttemptKey(*run), Resources(*size), kind, job_id, index, checkpoint)
