"""Encodes job records as key-value pairs of the store, and decodes them.

The decoder accepts records of earlier versions and ignores trailing fields of later ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import orjson

from linkspan._typed import (
    excerpt,
    parse_int,
    parse_list,
    parse_number,
    parse_object,
    parse_text,
)
from linkspan.errors import RecordError
from linkspan.jobs.crash import Crash
from linkspan.jobs.failed_run import FailedRun
from linkspan.jobs.records import (
    Begun,
    Cancelled,
    Completed,
    Delegated,
    Delegation,
    Finished,
    JobRecord,
    JobState,
    Moved,
    Returned,
    StartOrdered,
    Submitted,
    TaskIndex,
    Tombstone,
)
from linkspan.jobs.spec import Demand, JobSpec, Schedule, StepSpec
from linkspan.model.configuration import AdviceRule, QueueTerms


def encode(record: JobRecord) -> tuple[bytes, bytes]:
    """Return the key and the value of a record; an empty value removes the key."""
    if isinstance(record, Submitted):
        return f"s:{record.spec.job_id}:{record.writer_id}".encode(), _submission_value(record)
    if isinstance(record, Moved):
        return f"m:{record.job_id}".encode(), orjson.dumps(record.shard)
    if isinstance(record, Delegated | Returned):
        kind = "l" if isinstance(record, Delegated) else "r"
        delegations = orjson.dumps(
            [_delegation_row(delegation) for delegation in record.delegations]
        )
        return f"{kind}:{record.job_id}:{record.shard}".encode(), delegations
    if isinstance(record, Completed):
        rows = _completed_rows(record.tasks)
        return f"d:{record.job_id}:{record.part}".encode(), orjson.dumps(rows)
    if isinstance(record, Cancelled):
        return f"c:{record.job_id}".encode(), orjson.dumps([record.at])
    if isinstance(record, StartOrdered | Begun):
        # Earlier versions read both as begun, so that they don't move the job, either.
        return f"b:{record.job_id}".encode(), b"1" if isinstance(record, Begun) else b"0"
    if isinstance(record, Finished):
        fields = [record.state.value, record.shard, record.at, record.queue]
        return f"f:{record.job_id}".encode(), orjson.dumps(fields)
    key = f"{record.kind}:{record.job_id}"
    return (f"{key}:{record.part}" if record.part else key).encode(), b""


def retry_key(key: bytes, unanswered: int) -> bytes:
    """Return the key under which to retry a record.

    A submission gets a new key. The unanswered append may be in the log, in front of another
    host's submission; a retry under the same key would hide it from readers that start with the
    newest record of each key.

    Args:
        key: Key of the record.
        unanswered: Number of earlier appends of the record that were not answered.
    """
    if not unanswered or not key.startswith(b"s:"):
        return key
    return key + b".%d" % unanswered


def decode(key: bytes, value: bytes) -> JobRecord:
    """Return the record of a key and a value.

    Raises:
        RecordError: The key and value do not form a valid job record.
    """
    try:
        kind, job_id, *rest = key.decode().split(":", 2)
        part = rest[0] if rest else ""
        if not value:
            return _tombstone_from(kind, job_id, part)
        decoder = _DECODERS.get(kind)
        if decoder:
            return decoder(job_id, part, orjson.loads(value))
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise RecordError(f"job record {key!r:.90}: {error!r}") from error
    raise RecordError(f"job record {key!r:.90}: unknown kind")


def _tombstone_from(kind: str, job_id: str, part: str) -> Tombstone:
    if kind in _KINDS_WITH_SHARD:
        int(part)
    return Tombstone(kind, job_id, part)


def _submission_value(record: Submitted) -> bytes:
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
    """Return the fields of a queue's terms; the placement policy is omitted if there is none."""
    row = [terms.service, terms.max_attempts, terms.priority, terms.stretch, terms.target_s]
    return [*row, terms.advice.valid_s] if terms.advice else row


def _terms_from(row: list[Any]) -> QueueTerms:
    # Later versions may append fields.
    service, max_attempts, priority, stretch, target_s, *more = row
    advice = AdviceRule(parse_number(more[0])) if more and more[0] is not None else None
    return QueueTerms(
        parse_text(service),
        parse_int(max_attempts),
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
    # Omits default values: most steps set three of sixteen fields.
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


def _submission_from(value: Any, writer_id: str) -> Submitted:
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
    return Submitted(spec, shard, accepted, writer_id, terms, version)


def _schedule_from(fields: dict[str, Any]) -> Schedule:
    first, interval = parse_number(fields["first_s"]), parse_number(fields["interval_s"])
    return Schedule(parse_int(fields["count"]), first, interval)


def _parse_bool(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{excerpt(value)} is not a boolean")
    return value


def _parse_indexes(value: Any) -> tuple[int, ...]:
    return tuple(parse_int(index) for index in parse_list(value))


def _parse_optional_int(value: Any) -> int | None:
    return None if value is None else parse_int(value)


_STEP_PARSERS: dict[str, Callable[[Any], Any]] = {
    "estimate_s": parse_number,
    "depends_on": _parse_indexes,
    "label": parse_text,
    "data_rack": parse_text,
    "max_per_executor": parse_int,
    "disruption_budget": _parse_optional_int,
    "image": parse_text,
    "latency_target_ms": parse_number,
}
"""Parsers of the fields of a step that are not booleans."""


def _step_field(name: str, value: Any) -> Any:
    parser: Callable[[Any], Any] = _STEP_PARSERS.get(name, _parse_bool)
    return parser(value)


def _step_from(fields: dict[str, Any]) -> StepSpec:
    known = {name: _step_field(name, fields[name]) for name in _STEP_DEFAULTS if name in fields}
    # Later versions may append fields, here and below.
    milli_cpu, memory_mb, gpus, *_ = (parse_int(size) for size in parse_list(fields["demand"]))
    return StepSpec(
        count=parse_int(fields["count"]), demand=Demand(milli_cpu, memory_mb, gpus), **known
    )


def _finished_from(job_id: str, _part: str, fields: Any) -> Finished:
    state, shard, at, queue, *_ = parse_list(fields)
    return Finished(
        job_id, JobState(parse_text(state)), parse_int(shard), parse_number(at), parse_text(queue)
    )


def _cancelled_from(job_id: str, fields: Any) -> Cancelled:
    """Parse a cancel; earlier versions wrote a number in place of a list."""
    return Cancelled(job_id, parse_number(fields[0]) if isinstance(fields, list) else 0.0)


def _completed_rows(tasks: tuple[TaskIndex, ...]) -> list[list[Any]]:
    """Return a row for each step with its repetition, its index and those of the tasks."""
    by_step: dict[tuple[int, int], list[int]] = {}
    for task in tasks:
        by_step.setdefault((task.repetition, task.step), []).append(task.task)
    return [[*step, indexes] for step, indexes in by_step.items()]


def _completed_from(job_id: str, part: str, fields: Any) -> Completed:
    tasks = tuple(
        TaskIndex(parse_int(repetition), parse_int(step), parse_int(index))
        for repetition, step, indexes, *_ in map(parse_list, parse_list(fields))
        for index in parse_list(indexes)
    )
    return Completed(job_id, part, tasks)


EMPTY_DELEGATION_FIELDS: tuple[Any, ...] = (0, 0, [], 0, 0, 0, 1, "", 0, [], 0, 0)
"""Empty values of the optional fields in the row of a delegation."""


def _delegations_from(fields: Any) -> tuple[Delegation, ...]:
    return tuple(_delegation_from(parse_list(row)) for row in parse_list(fields))


def _delegation_from(row: list[Any]) -> Delegation:
    """Parse a delegation.

    Rows of earlier versions omit fields at the end; those of later versions may append some.
    """
    step, index, number, *more = row
    fields = [*more, *EMPTY_DELEGATION_FIELDS[len(more) :]]
    crash_count, crash_score, listed, deferred, waited_s, *fields = fields
    repetition, next_run, checkpoint, saved_by, failed, more_failures, never_ran, *_ = fields
    identified = tuple(
        Crash(parse_text(incarnation), parse_int(run), parse_int(score)).with_certainty(
            parse_int(certainty)
        )
        for incarnation, run, score, certainty, *_ in map(parse_list, parse_list(listed))
    )
    return Delegation(
        parse_int(step),
        parse_int(index),
        parse_int(number),
        parse_int(crash_count),
        parse_int(crash_score),
        identified,
        parse_int(deferred) > 0,
        parse_number(waited_s),
        parse_int(repetition),
        parse_int(next_run, minimum=1),
        parse_text(checkpoint),
        parse_int(saved_by),
        tuple(
            FailedRun(parse_int(run), parse_text(incarnation))
            for run, incarnation, *_ in map(parse_list, parse_list(failed))
        ),
        parse_int(more_failures),
        parse_int(never_ran) > 0,
    )


def _delegation_row(delegation: Delegation) -> list[Any]:
    """Return the fields of a delegation; empty ones at the end are omitted."""
    identified = [
        [c.incarnation, c.run, c.score, c.certainty] for c in delegation.identified_crashes
    ]
    more: list[Any] = [
        delegation.crash_count,
        delegation.crash_score,
        identified,
        int(delegation.give_up_deferred),
        round(delegation.waited_s, 1),
        delegation.repetition,
        delegation.next_run,
        delegation.checkpoint,
        delegation.saved_by,
        [list(failed) for failed in delegation.failed_runs],
        delegation.more_failures,
        int(delegation.never_ran),
    ]
    while more and more[-1] == EMPTY_DELEGATION_FIELDS[len(more) - 1]:
        more.pop()
    return [delegation.step, delegation.index, delegation.number, *more]


_KINDS_WITH_SHARD = frozenset(("l", "r"))
"""Kinds of keys that end with the number of the shard that tasks were delegated to."""

_DECODERS: dict[str, Callable[[str, str, Any], JobRecord]] = {
    "s": lambda _job_id, host, fields: _submission_from(fields, host),
    "m": lambda job_id, _part, shard: Moved(job_id, parse_int(shard)),
    "l": lambda job_id, shard, fields: Delegated(job_id, int(shard), _delegations_from(fields)),
    "r": lambda job_id, shard, fields: Returned(job_id, int(shard), _delegations_from(fields)),
    "d": _completed_from,
    "c": lambda job_id, _part, fields: _cancelled_from(job_id, fields),
    "b": lambda job_id, _part, begun: Begun(job_id) if begun else StartOrdered(job_id),
    "f": _finished_from,
}
