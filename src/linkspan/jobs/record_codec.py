"""How records of jobs stand in the store: a key and a value for each.

Records of earlier versions are read, and what later ones tell behind it is passed over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import orjson

from linkspan._typed import parse_int, parse_list, parse_number, parse_object, parse_text
from linkspan.errors import RecordError
from linkspan.jobs.crash import Crash
from linkspan.jobs.records import (
    Begun,
    Cancelled,
    Delegated,
    Delegation,
    Finished,
    JobRecord,
    JobState,
    Moved,
    Returned,
    Submitted,
    Tombstone,
)
from linkspan.jobs.spec import Demand, JobSpec, Schedule, StepSpec
from linkspan.model.configuration import AdviceRule, QueueTerms


def encode(record: JobRecord) -> tuple[bytes, bytes]:
    """Return the key and the value of a record; an empty value drops the key."""
    if isinstance(record, Submitted):
        return f"s:{record.spec.job_id}:{record.host}".encode(), _submitted(record)
    if isinstance(record, Moved):
        return f"m:{record.job_id}".encode(), orjson.dumps(record.shard)
    if isinstance(record, Delegated | Returned):
        kind = "l" if isinstance(record, Delegated) else "r"
        delegations = orjson.dumps([_loan_row(delegation) for delegation in record.delegations])
        return f"{kind}:{record.job_id}:{record.shard}".encode(), delegations
    if isinstance(record, Cancelled):
        return f"c:{record.job_id}".encode(), b"1"
    if isinstance(record, Begun):
        return f"b:{record.job_id}".encode(), b"1"
    if isinstance(record, Finished):
        fields = [record.state.value, record.shard, record.at, record.queue]
        return f"f:{record.job_id}".encode(), orjson.dumps(fields)
    key = f"{record.kind}:{record.job_id}"
    return (f"{key}:{record.part}" if record.part else key).encode(), b""


def key_sent_again(key: bytes, unanswered: int) -> bytes:
    """Return the key of a record that is sent again.

    A submission gets another one: under the same key it would hide what was written
    first, which may stand in front of another host's submission, from all who list keys.

    Args:
        key: The record's key.
        unanswered: How often it was sent before.
    """
    if not unanswered or not key.startswith(b"s:"):
        return key
    return key + b".%d" % unanswered


def decode(key: bytes, value: bytes) -> JobRecord:
    """Return the record of a key and a value.

    Raises:
        RecordError: They are no record of a job.
    """
    try:
        kind, job_id, *rest = key.decode().split(":", 2)
        part = rest[0] if rest else ""
        if not value:
            return _dropped(kind, job_id, part)
        decoder = _DECODERS.get(kind)
        if decoder:
            return decoder(job_id, part, orjson.loads(value))
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise RecordError(f"job record {key!r:.90}: {error!r}") from error
    raise RecordError(f"job record {key!r:.90}: unknown kind")


def _dropped(kind: str, job_id: str, part: str) -> Tombstone:
    if kind in _OF_SHARDS:
        int(part)
    return Tombstone(kind, job_id, part)


def _submitted(record: Submitted) -> bytes:
    spec = record.spec
    fields: dict[str, Any] = {
        "id": spec.job_id,
        "queue": spec.queue,
        "payload": spec.payload,
        "steps": [_step_fields(step) for step in spec.steps],
        "shard": record.shard,
        "accepted": record.accepted_at,
    }
    if spec.schedule:
        fields["schedule"] = asdict(spec.schedule)
    if record.terms:
        fields["terms"] = _terms_row(record.terms)
    if record.version is not None:
        fields["version"] = record.version
    return orjson.dumps(fields)


def _terms_row(terms: QueueTerms) -> list[Any]:
    """Return the terms of a job's queue; the policy is left out where there is none."""
    row = [terms.service, terms.max_attempts, terms.priority, terms.stretch, terms.target_s]
    return [*row, terms.advice.valid_s] if terms.advice else row


def _terms_from(row: list[Any]) -> QueueTerms:
    # Later versions may tell more behind it.
    service, most, priority, stretch, target_s, *more = row
    advice = AdviceRule(parse_number(more[0])) if more and more[0] is not None else None
    return QueueTerms(
        parse_text(service),
        parse_int(most),
        parse_int(priority),
        parse_number(stretch),
        parse_number(target_s),
        advice,
    )


_STEP_DEFAULTS = {
    name: spec.default
    for name, spec in StepSpec.__dataclass_fields__.items()
    if name not in ("count", "demand")
}


def _step_fields(step: StepSpec) -> dict[str, Any]:
    # Defaults are left out: most steps set three fields of seventeen.
    demand = step.demand
    fields: dict[str, Any] = {
        "count": step.count,
        "demand": [demand.milli_cpu, demand.memory_mb, demand.gpus],
    }
    for name, default in _STEP_DEFAULTS.items():
        value = getattr(step, name)
        if value != default:
            fields[name] = value
    return fields


def _submitted_from(value: Any, host: str) -> Submitted:
    fields = parse_object(value)
    schedule = fields.get("schedule")
    spec = JobSpec(
        parse_text(fields["id"]),
        parse_text(fields["queue"]),
        parse_text(fields["payload"]),
        tuple(_step_from(parse_object(step)) for step in parse_list(fields["steps"])),
        _schedule_from(parse_object(schedule)) if schedule else None,
    )
    terms = _terms_from(parse_list(fields["terms"])) if "terms" in fields else None
    version = parse_int(fields["version"]) if "version" in fields else None
    shard, accepted = parse_int(fields["shard"]), parse_number(fields["accepted"])
    return Submitted(spec, shard, accepted, host, terms, version)


def _schedule_from(fields: dict[str, Any]) -> Schedule:
    first, interval = parse_number(fields["first_s"]), parse_number(fields["interval_s"])
    return Schedule(parse_int(fields["count"]), first, interval)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{value!r:.60} is neither true nor false")
    return value


def _indexes(value: Any) -> tuple[int, ...]:
    return tuple(parse_int(index) for index in parse_list(value))


def _budget(value: Any) -> int | None:
    return None if value is None else parse_int(value)


_STEP_READERS: dict[str, Callable[[Any], Any]] = {
    "estimate_s": parse_number,
    "depends_on": _indexes,
    "label": parse_text,
    "data_rack": parse_text,
    "max_per_executor": parse_int,
    "disruption_budget": _budget,
    "image": parse_text,
    "latency_target_ms": parse_number,
}
"""How fields of a step are read that are no flags."""


def _step_field(name: str, value: Any) -> Any:
    reader: Callable[[Any], Any] = _STEP_READERS.get(name, _flag)
    return reader(value)


def _step_from(fields: dict[str, Any]) -> StepSpec:
    known = {name: _step_field(name, fields[name]) for name in _STEP_DEFAULTS if name in fields}
    # Later versions may tell more behind what this one knows, here and below.
    milli_cpu, memory_mb, gpus, *_ = (parse_int(size) for size in parse_list(fields["demand"]))
    return StepSpec(
        count=parse_int(fields["count"]), demand=Demand(milli_cpu, memory_mb, gpus), **known
    )


def _finished_from(job_id: str, _part: str, fields: Any) -> Finished:
    state, shard, at, queue, *_ = parse_list(fields)
    return Finished(
        job_id, JobState(parse_text(state)), parse_int(shard), parse_number(at), parse_text(queue)
    )


def _loans_from(fields: Any) -> tuple[Delegation, ...]:
    return tuple(_loan_from(parse_list(row)) for row in parse_list(fields))


def _loan_from(row: list[Any]) -> Delegation:
    """Return a loan; earlier versions tell nothing of crashes, later ones may tell more."""
    step, index, number_, crashes, points, *more = [*row, 0, 0][: max(len(row), 5)]
    named = tuple(
        Crash(parse_text(incarnation), parse_int(run), parse_int(counts)).with_certainty(
            parse_int(known)
        )
        for incarnation, run, counts, known, *_ in map(
            parse_list, parse_list(more[0]) if more else ()
        )
    )
    name = parse_int(step), parse_int(index), parse_int(number_)
    return Delegation(*name, parse_int(crashes), parse_int(points), named)


def _loan_row(delegation: Delegation) -> list[Any]:
    """Return a loan's fields; those of crashes are left out where there were none."""
    crashes = [delegation.crash_count, delegation.crash_score] if delegation.crash_count else []
    named = [[c.incarnation, c.run, c.score, c.certainty] for c in delegation.identified_crashes]
    return [
        delegation.step,
        delegation.index,
        delegation.number,
        *crashes,
        *([named] if named else []),
    ]


_OF_SHARDS = frozenset(("l", "r"))
"""Kinds of keys that end with the number of another shard."""

_DECODERS: dict[str, Callable[[str, str, Any], JobRecord]] = {
    "s": lambda _job_id, host, fields: _submitted_from(fields, host),
    "m": lambda job_id, _part, shard: Moved(job_id, parse_int(shard)),
    "l": lambda job_id, shard, fields: Delegated(job_id, int(shard), _loans_from(fields)),
    "r": lambda job_id, shard, fields: Returned(job_id, int(shard), _loans_from(fields)),
    "c": lambda job_id, _part, _fields: Cancelled(job_id),
    "b": lambda job_id, _part, _fields: Begun(job_id),
    "f": _finished_from,
}
