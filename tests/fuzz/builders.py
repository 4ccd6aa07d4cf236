"""Well-formed samples of all decoded inputs, and strategies that damage them."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator, Mapping
from copy import deepcopy
from dataclasses import is_dataclass
from enum import Enum
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from hypothesis import strategies as st

from linkspan.errors import LinkspanError
from linkspan.jobs.crash import Crash
from linkspan.jobs.failed_run import FailedRun
from linkspan.jobs.records import TaskIndex
from linkspan.jobs.spec import Demand, JobSpec, StepSpec
from linkspan.model.configuration import AdviceRule, QueueTerms
from linkspan.shard.messages import EndKind, TaskName

SETTINGS: dict[str, Any] = {
    "nodeName": "edge-a-1",
    "ip": "10.1.0.13",
    "zone": "b",
    "zones": {"b": "r", "a": "r"},
    "bindAddresses": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "platform": {"address": "10.200.1.7:8169", "writes_per_s": 700, "reads_per_s": 900},
    "bounds": {"holdMaxMs": 6000, "drainMs": 3000, "far_x": 3, "thawMs": 200},
    "cloudApi": {"address": "10.200.1.9:8170"},
    "advice": "10.200.1.8:8171",
    "heartbeatMs": 1500,
    "limits": {"memoryMb": 40},
    "internalPortRange": [9000, 9010],
    "commands": "invoke",
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "hostname": "host.example",
            "pathPrefix": "/p/",
            "service": "s",
            "priority": 1,
            "maxAttempts": 4,
            "stretch": 1.5,
            "targetLatencyMs": 250,
            "timeoutMs": 2000,
            "advice": {"decide_ms": 5, "each_ms": 1, "valid_ms": 3000},
        }
    ],
    "services": [{"name": "s", "admissionCheck": True, "spare": False}],
    "limits": {"maxBodyBytes": 65_536},
}
EXECUTOR: dict[str, Any] = {
    "service": "pool",
    "address": "10.2.0.7:8200",
    "zone": "b",
    "version": "2.31",
    "slots": 8,
    "state": "draining",
    "remainingMs": 2500,
    "coldRemainingMs": 0,
    "callSeq": 17,
    "born": 1_700_000_000_123,
    "capacity": {"cpu": 8000, "memMb": 32000, "gpu": 1},
    "labels": ["kind-a", "rack-1"],
}
JOB: dict[str, Any] = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
        {
            "count": 2,
            "gpu": 1,
            "dependsOn": [0],
            "indefinite": True,
            "may_miss": 1,
            "antiAffinity": 1,
            "requirements": "kind-a",
            "fills": True,
            "image": "i",
            "target_ms": 20,
            "checkpointing": True,
        },
    ],
    "repeatCount": 3,
    "firstMs": 5000,
    "intervalMs": 2000,
}
REPORT: dict[str, Any] = {
    "clockMs": 482_113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41, 12.5], ["0a.0.0.0", 1, "", 3]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""], [59, "0a.0.0.1", 3, "failed", "c"]],
    "born": 1_700_000_000_123,
}
MACHINES: dict[str, Any] = {
    "machines": [{"machine": "m1", "pool": "s", "state": "up", "zone": "b", "id": "e1"}],
}
ADVICE: dict[str, Any] = {"good": [["e1", "ticket-1"], ["e2", "ticket-2"]], "valid_ms": 3000}
APPENDED: dict[str, Any] = {"offset": 3, "end": 4}
KEY_PAGE: dict[str, Any] = {
    "items": [{"privateKey": "k1", "value": "dmFsdWU=", "offset": 3}],
    "more": False,
    "end": 9,
}
SUBMITTED: dict[str, Any] = {
    "id": "5c0e7a21d94b36f8",
    "queue": "q",
    "payload": "text",
    "steps": [
        {"count": 2, "demand": [500, 256, 0], "estimate_s": 0.9, "label": "kind-a"},
        {"count": 1, "demand": [0, 0, 1], "depends_on": [0], "standing": True, "gang": False},
    ],
    "shard": 1,
    "accepted": 1_796_000_000.5,
    "schedule": {"count": 2, "first_s": 5.0, "interval_s": 2.0},
    "terms": ["pool", 3, 0, 1.5, 0.25, 2.5],
}
JOB_RECORDS: list[tuple[str, Any]] = [
    ("s:5c0e7a21d94b36f8:host-1", SUBMITTED),
    ("m:5c0e7a21d94b36f8", 2),
    ("l:5c0e7a21d94b36f8:1", [[0, 1, 1], [0, 2, 3]]),
    ("l:5c0e7a21d94b36f8:1", [[0, 1, 1, 2, 5, [["i-7@1700000000123", 2, 3, 1], ["i-8", 3, 2, 0]]]]),
    ("r:5c0e7a21d94b36f8:1", [[0, 1, 1]]),
    ("r:5c0e7a21d94b36f8:1", [[0, 1, 1, 0, 0, [], 0, 2.5, 1, 3, "c", 2, [[1, "i-7@1"]], 1]]),
    ("d:5c0e7a21d94b36f8:1.7.1", [[0, 1, [0, 2]], [1, 0, [5]]]),
    ("c:5c0e7a21d94b36f8", 1),
    ("b:5c0e7a21d94b36f8", 1),
    ("f:5c0e7a21d94b36f8", ["succeeded", 1, 1_796_000_000.5, "q"]),
]
OWNER: list[Any] = [
    "renew",
    "host-1",
    "life-3",
    7,
    12,
    [8000, 4000, 100, 50, {"i": 500}, [["i", "j", 0.1, 0.01]], [[4000, 16000]], 20],
]
ROSTER: list[Any] = [["e1", "s", "10.2.0.7:8200", "b", [8000, 32000, 1], ["k", "r"], "r", 5_000]]
PROGRESS: list[Any] = [
    [1, [3, 1, "c", [[2, "e1", 5_000]], 0, 1, 2, [[1, "e2", 4_000]], [[1, 2, 1, "e2", 4_000]]]],
    [[-2, 1, 4, 1, 2, [[1, 2, 0, "e3"]]]],
]
"""Progress of two tasks, followed by one delegated task."""

EXAMPLES = 200
"""Examples of each test: enough to damage each field of a sample several times."""

DEPTH = 3_000
"""Levels of nesting, more than any decoder follows."""

NESTED_LEVELS = (100, 300, 990, 1_010, 1_023)
"""Levels of nesting that JSON decoders follow: up to 1,023. Encoders follow 254 levels, and
``repr`` about as many as decoders."""

_ODD: list[Any] = [
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    2**64,
    1e300,
    0.5,
    math.nan,
    math.inf,
    "",
    "x",
    "nan",
    "-inf",
    "7",
    "1e999",
    "\ud800",
    "é" * 3,
    "y" * 5_000,
    [],
    {},
    [[]],
    [1, "x", None],
    {"a": {}},
]


class _Missing:
    def __repr__(self) -> str:
        # Part of the ids of tests, which must be the same in all processes of a parallel run.
        return "missing"


MISSING = _Missing()
"""Marks a part that is omitted."""


def with_part(sample: dict[str, Any], path: tuple[str, ...], part: object) -> dict[str, Any]:
    """Return a copy of a sample in which one part is replaced or omitted."""
    kind = "drop" if part is MISSING else "replace"
    changed: dict[str, Any] = _damaged(sample, path, kind, part)
    return changed


def _places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield path
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _places(inner, (*path, key))
    if isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _places(inner, (*path, index))


def _damaged(value: Any, path: tuple[Any, ...], kind: str, odd: Any) -> Any:
    """Return a value with one part dropped, replaced, wrapped, doubled or added to."""
    if not path:
        return odd
    whole = deepcopy(value)
    holder = whole
    for key in path[:-1]:
        holder = holder[key]
    last = path[-1]
    if kind == "drop":
        del holder[last]
    elif kind == "wrap":
        holder[last] = [holder[last]]
    elif kind == "new" and isinstance(holder, dict):
        holder["fieldOfLater"] = odd
    elif kind == "new":
        holder.append(odd)
    else:
        holder[last] = odd
    return whole


@st.composite
def damaged(draw: st.DrawFn, sample: Any) -> Any:
    """Return a sample with one to three parts damaged."""
    value = deepcopy(sample)
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(_places(value))))
        kind = draw(st.sampled_from(("drop", "retype", "retype", "wrap", "new")))
        value = _damaged(value, path, kind, draw(st.sampled_from(_ODD)))
    return value


@st.composite
def damaged_bytes(draw: st.DrawFn, sample: Any) -> bytes:
    """Return an encoded sample that is damaged in its parts or in its bytes."""
    text = json.dumps(draw(damaged(sample))).encode()
    sound = json.dumps(sample).encode()
    cut = draw(st.integers(0, len(sound)))
    return draw(
        st.sampled_from(
            (
                text,
                text,
                text,
                text,
                sound[:cut],
                sound[:cut] + b"\xff\xfe" + sound[cut:],
                b"",
                b"[" * DEPTH + b"]" * DEPTH,
                b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
                sound + sound,
            )
        )
    )


def with_nested_parts(sample: Any, levels: int) -> Iterator[bytes]:
    """Yield encoded samples, in each of which one part is replaced by nested lists or objects."""
    nested = b"[" * levels + b"]" * levels, b'{"a":' * levels + b"1" + b"}" * levels
    for path in _places(sample):
        text = json.dumps(_damaged(sample, path, "replace", "PART")).encode()
        for part in nested:
            yield text.replace(b'"PART"', part)


_NAMES = {
    record_type.__name__: record_type
    for record_type in (
        Crash,
        FailedRun,
        TaskIndex,
        Demand,
        TaskName,
        EndKind,
        JobSpec,
        StepSpec,
        QueueTerms,
        AdviceRule,
    )
}


def unsound(value: Any, hint: Any, where: str = "") -> str:
    """Describe the parts of a decoded value that are not of their declared types, empty if none.

    Numbers have to be finite: infinity and NaN break later comparisons.
    """
    origin, args = get_origin(hint), get_args(hint)
    if hint is Any:
        return ""
    if origin in (Union, UnionType):
        found = [unsound(value, option, where) for option in args]
        return "" if "" in found else found[0]
    if origin is list:
        return unsound(tuple(value), tuple[args[0], ...], where)  # type: ignore[valid-type]
    if origin in (tuple, frozenset):
        if not isinstance(value, origin):
            return f"{where}: {value!r:.60}"
        hints = (args[0],) * len(value) if origin is frozenset or args[-1] is ... else args
        parts = zip(value, hints, strict=True)
        return "; ".join(filter(None, (unsound(part, one, where) for part, one in parts)))
    if origin is dict or origin is Mapping:
        if not isinstance(value, dict):
            return f"{where}: {value!r:.60}"
        problems = [unsound(key, args[0], where) for key in value]
        problems += [unsound(inner, args[1], where) for inner in value.values()]
        return "; ".join(filter(None, problems))
    return _unsound_plain(value, hint, where)


def _unsound_plain(value: Any, hint: Any, where: str) -> str:
    problem = f"{where}: {value!r:.60}"
    if hint in (None, NoneType):
        return "" if value is None else problem
    if hint is float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return "" if is_number and math.isfinite(value) else problem
    if hint is int:
        is_number = isinstance(value, int) and not isinstance(value, bool)
        return "" if is_number and abs(value) < 2**63 else problem
    if not isinstance(value, hint):
        return problem
    if issubclass(hint, Enum) or not (is_dataclass(hint) or hasattr(hint, "_fields")):
        return ""
    return unsound_fields(value)


def unsound_fields(value: Any) -> str:
    """Describe the fields of a decoded record that are not of their types, empty if none."""
    kind = type(value)
    hints = get_type_hints(kind, localns=_NAMES)
    names = kind._fields if hasattr(kind, "_fields") else kind.__dataclass_fields__
    rows = (
        unsound(getattr(value, n), hints[n], f"{kind.__name__}.{n}") for n in names if n in hints
    )
    return "; ".join(filter(None, rows))


def check(decoder: Callable[[Any], Any], given_value: Any, *errors: type[LinkspanError]) -> None:
    """Decode a value, and check that the result has the declared types or one of the errors."""
    try:
        found = decoder(given_value)
    except errors:
        return
    rows = found if isinstance(found, tuple) and not hasattr(found, "_fields") else (found,)
    for row in rows:
        if hasattr(row, "__dataclass_fields__") or hasattr(row, "_fields"):
            assert unsound_fields(row) == ""
