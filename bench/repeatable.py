"""Measures figures that are the same in every run: sizes of messages and records."""

from __future__ import annotations

from typing import Any

from bench.halls import job_spec, lone_scheduler, report_of, running_hall
from bench.target import (
    GATEWAYS_A_HALL,
    HALLS,
    TEAMS,
)
from linkspan.config.store import Change, ConfigState, encode_change, encode_state
from linkspan.ledger.codec import encode, job_to_json
from linkspan.ledger.records import Ended, Outcome, Placed, Record
from linkspan.ledger.snapshot import snapshot_parts
from linkspan.model.job import AttemptId
from linkspan.peer import codec as peer_codec
from linkspan.peer.messages import Envelope, Heard, Heartbeat
from linkspan.services.wire import (
    orders_to_json,
    report_to_json,
)


def placed_record(count: int, serial: int = 1_000) -> Record:
    decisions = tuple(
        Placed(AttemptId(4_000 + n // 50, n % 50, 1), 1 + n % 233) for n in range(count)
    )
    return Record("10.1.2.3:7000#0a1b2c3d", serial, 1_234_567, decisions)


def ended_record(count: int) -> Record:
    decisions = tuple(
        Ended(AttemptId(4_000 + n // 50, n % 50, 1), Outcome.SUCCEEDED) for n in range(count)
    )
    return Record("10.1.2.3:7000#0a1b2c3d", 1_000, 1_234_567, decisions)


def example_heartbeat() -> Heartbeat:
    gateways = tuple(f"10.1.2.{n}:7000#0a1b2c3d" for n in range(GATEWAYS_A_HALL))
    return Heartbeat(
        name="10.1.2.3:7000#0a1b2c3d",
        role="gateway",
        hall="rennes-a",
        address="10.1.2.3:7000",
        applied=1_234_567,
        config=98_765,
        members=gateways,
        heard=tuple(Heard(name, 2**60 + n) for n, name in enumerate(gateways)),
        in_flight=21,
    )


def target_document() -> dict[str, Any]:
    """Return a configuration document of the target size."""
    quota = {"milli_cpu": 400_000, "memory_mb": 1_600_000, "accelerators": 8}
    document: dict[str, Any] = {f"quotas/team-{n}": quota for n in range(TEAMS)}
    document |= {f"services/service-{n}": {"customer": "borne-breizh"} for n in range(60)}
    document |= {f"halls/hall-{n}": {"region": f"region-{n % 3}"} for n in range(HALLS)}
    rule = {"work": "tier=quiet", "never_with": "tier in (noisy, loud)"}
    return document | {f"company/rule-{n}": rule for n in range(40)}


def _state() -> ConfigState:
    document = target_document()
    return ConfigState(5_000, document, dict.fromkeys(document, 5_000))


def _change() -> bytes:
    values = {"quotas/team-7": {"milli_cpu": 500_000, "memory_mb": 2_000_000}}
    return encode_change(Change("change-123456", 5_000, "ana", values))


def exchange_bytes(tasks: int) -> tuple[int, int]:
    ledger = running_hall(1, tasks)
    core = lone_scheduler(ledger)
    orders = core.step(0.0).exchanges["rennes-a-w0000"]
    return len(orders_to_json(orders)), len(report_to_json(report_of(ledger, 1)))


def repeatable() -> dict[str, float]:
    """Return the figures by name, as written into docs/CAPACITY.md."""
    snapshots = {
        tasks: sum(len(part.body) for part in snapshot_parts(running_hall(tasks // 12 + 1, tasks)))
        for tasks in (2_000, 8_000)
    }
    orders, report = exchange_bytes(12)
    return {
        "bytes of a record of 20 placements": len(encode(placed_record(20))),
        "bytes a placement, 20 in a record": round(len(encode(placed_record(20))) / 20, 2),
        "bytes a placement, 200 in a record": round(len(encode(placed_record(200))) / 200, 2),
        "bytes an end, 20 in a record": round(len(encode(ended_record(20))) / 20, 2),
        "bytes of a submitted job": len(job_to_json(job_spec(1))),
        "bytes of a gateway's heartbeat": len(peer_codec.encode(Envelope(0, example_heartbeat()))),
        "bytes of a change of configuration": len(_change()),
        "bytes of the target's configuration": len(encode_state(_state())),
        "bytes of orders to a worker with 12 tasks": orders,
        "bytes of a report of a worker with 12 tasks": report,
        "bytes of a snapshot, 2,000 tasks": snapshots[2_000],
        "bytes of a snapshot, 8,000 tasks": snapshots[8_000],
    }
