"""JSON forms of what passes between a scheduler and a worker.

This and the HTTP clients beside it are all that knows the platform's protocol.
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
    """Return the orders as JSON; tuples become arrays, field by field."""
    return orjson.dumps(orders, default=list)


def orders_from_json(body: bytes) -> ExchangeRequest:
    """Return the orders of a JSON form made by :func:`orders_to_json`."""
    fields = orjson.loads(body)
    return ExchangeRequest(
        incarnation=fields["incarnation"],
        lease_until=fields["lease_until"],
        starts=tuple(_start(row) for row in fields["starts"]),
        renew=_runs(fields["renew"]),
        stops=_runs(fields["stops"]),
        throttles=tuple((AttemptKey(*run), share) for run, share in fields["throttles"]),
        acknowledged=_runs(fields["acknowledged"]),
    )


def report_to_json(report: WorkerReport) -> bytes:
    """Return the report as JSON."""
    return orjson.dumps(report, default=list)


def report_from_json(body: bytes) -> WorkerReport:
    """Return the report of a JSON form made by :func:`report_to_json`.

    Raises:
        Unreachable: The bytes are no report.
    """
    try:
        return _report(orjson.loads(body))
    except (KeyError, TypeError, ValueError) as error:
        raise Unreachable(f"worker sent no report: {error!r}; it is asked again") from error


def _report(fields: dict[str, Any]) -> WorkerReport:
    spec = fields["spec"]
    spec["size"] = Resources(*spec["size"])
    return WorkerReport(
        spec=WorkerSpec(**spec),
        clock=float(fields["clock"]),
        leaving=bool(fields["leaving"]),
        running=_runs(fields["running"]),
        closed=tuple(ClosedAttempt(AttemptKey(*row[0]), *row[1:]) for row in fields["closed"]),
        usage=tuple(
            UsageSample(AttemptKey(*run), measured, Resources(*used), latency)
            for run, measured, used, latency in fields["usage"]
        ),
    )


def _runs(rows: list[list[Any]]) -> tuple[AttemptKey, ...]:
    return tuple(AttemptKey(*row) for row in rows)


def _start(row: list[Any]) -> StartCommand:
    run, size, kind, job_id, index, checkpoint = row
    return StartCommand(AttemptKey(*run), Resources(*size), kind, job_id, index, checkpoint)
