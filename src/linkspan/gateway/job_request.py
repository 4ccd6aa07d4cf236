"""Validates the JSON of a submitted job and builds the job's specification."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from expression import Error, Ok, Result

from linkspan._fields import as_number, as_text, check_known_fields, parse_json_object
from linkspan._typed import excerpt
from linkspan.config.document import parse_labels, parse_resources
from linkspan.errors import InvalidInput, LinkspanError, SelectorSyntaxError
from linkspan.model.job import JobSpec, Priority
from linkspan.scheduler.services import SERVICE_JOB_PREFIX
from linkspan.selectors.selector import parse_selector

MAX_TASKS = 10_000
"""Limits the number of tasks of a job."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_FIELDS = frozenset(JobSpec.__dataclass_fields__)
_PRIORITIES = {p.name.lower(): p for p in Priority if p is not Priority.SERVICE}


MAX_JOB_BYTES = 16_384
"""Limits the size of a job's JSON, so that a ledger record holds several jobs."""


def parse_job(body: bytes) -> Result[JobSpec, LinkspanError]:
    """Parse the JSON body of a job submission into a job or a validation error."""
    try:
        return Ok(_build_job(body))
    except (InvalidInput, SelectorSyntaxError) as error:
        return Error(error)


def _build_job(body: bytes) -> JobSpec:
    if len(body) > MAX_JOB_BYTES:
        remedy = f"keep it to {MAX_JOB_BYTES}, with fewer or shorter labels"
        raise InvalidInput("body", f"{len(body)} bytes", remedy)
    fields = parse_json_object(body)
    check_known_fields("", fields, _FIELDS)
    selector = fields.get("selector", "")
    parse_selector(as_text("selector", selector) if selector != "" else "")
    size = parse_resources("size", fields.get("size"))
    if not size.milli_cpu or not size.memory_mb:
        raise InvalidInput("size", "no processors or memory", "give milli_cpu and memory_mb")
    if str(fields.get("job_id", "")).startswith(SERVICE_JOB_PREFIX):
        raise InvalidInput("job_id", f"begins with {SERVICE_JOB_PREFIX!r}", "choose another id")
    return JobSpec(
        job_id=_parse_name(fields, "job_id"),
        customer=_parse_name(fields, "customer"),
        team=_parse_name(fields, "team"),
        kind=_parse_name(fields, "kind"),
        count=as_number("count", fields.get("count", 1), 1, MAX_TASKS),
        size=size,
        priority=_parse_priority(fields),
        repeatable=_parse_bool(fields, "repeatable", True),
        labels=parse_labels("labels", fields.get("labels", {})),
        selector=selector,
        run_s=as_number("run_s", fields.get("run_s", 0), 0, 31_536_000),
    )


def _parse_name(fields: Mapping[str, Any], key: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        remedy = "give 1 to 128 letters, digits, dots, colons, dashes or underscores"
        raise InvalidInput(key, "missing" if value is None else "not a name", remedy)
    return value


def _parse_bool(fields: Mapping[str, Any], key: str, default: bool) -> bool:
    value = fields.get(key, default)
    if not isinstance(value, bool):
        raise InvalidInput(key, excerpt(value), "give true or false")
    return value


def _parse_priority(fields: Mapping[str, Any]) -> Priority:
    value = fields.get("priority", "batch")
    found = _PRIORITIES.get(value) if isinstance(value, str) else None
    if found is None:
        raise InvalidInput("priority", excerpt(value), f"give one of {sorted(_PRIORITIES)}")
    return found
