"""Splits the time of a profile among the parts of a host."""

from __future__ import annotations

import cProfile
import pstats
from collections import Counter
from functools import cache
from typing import Any

WORLD = "the world"
"""Test doubles for the platform and callers; their time is not the host's."""

_PARTS = (
    ("/tests/", WORLD),
    ("/bench/", WORLD),
    ("/shard/_watch.py", "polls and reports"),
    ("/shard/_reconciliation.py", "polls and reports"),
    ("/shard/_ends.py", "polls and reports"),
    ("/shard/leases.py", "polls and reports"),
    ("/shard/_dispatch.py", "orders"),
    ("/shard/_orders.py", "orders"),
    ("/shard/_changes.py", "orders"),
    ("/shard/_records.py", "progress records"),
    ("/shard/progress.py", "progress records"),
    ("/shard/_feed.py", "job records"),
    ("/shard/_jobs.py", "job records"),
    ("/shard/pacing.py", "pacing"),
    ("/shard/", "plan"),
    ("/jobs/", "job records"),
    ("/host/job_registry.py", "job records"),
    ("/store/", "job records"),
    ("/host/metrics.py", "metrics"),
    ("/aioprometheus/", "metrics"),
    ("/events.py", "logs"),
    ("/logging/", "logs"),
    ("/pythonjsonlogger/", "logs"),
    ("/platform/", "codec and HTTP"),
    ("/aiohttp/", "codec and HTTP"),
    ("/yarl/", "codec and HTTP"),
    ("/multidict/", "codec and HTTP"),
    ("/asyncio/", "event loop"),
    ("/selectors.py", "event loop"),
    ("/linkspan/", "the rest of the host"),
)
"""Part of a host by a fragment of the function's file path; the first match counts.

The time of functions without a match, such as those of other libraries, is attributed to
their callers."""

_FunctionKey = tuple[str, int, str]


def part_shares(profile: cProfile.Profile) -> dict[str, float]:
    """Return the share of each part in the total own time; the shares add up to 1."""
    stats: dict[_FunctionKey, Any] = pstats.Stats(profile).stats  # type: ignore[attr-defined]

    @cache
    def attributed_parts(function: _FunctionKey, depth: int = 0) -> tuple[tuple[str, float], ...]:
        """Return the parts to which a function's time is attributed, with their shares."""
        part = _part_of(function)
        if part:
            return ((part, 1.0),)
        callers = stats[function][4] if function in stats else {}
        total = sum(row[2] for row in callers.values())
        if depth > 8 or total <= 0:
            return (("event loop", 1.0),)
        shares: Counter[str] = Counter()
        for caller, row in callers.items():
            for name, share in attributed_parts(caller, depth + 1):
                shares[name] += share * row[2] / total
        return tuple(shares.items())

    own_times: Counter[str] = Counter()
    for function, (_, _, own, _, _) in stats.items():
        for name, share in attributed_parts(function):
            own_times[name] += share * own
    total = sum(own_times.values())
    return {name: own / total for name, own in own_times.most_common()}


def _part_of(function: _FunctionKey) -> str | None:
    path = function[0].replace("\\", "/")
    return next((part for text, part in _PARTS if text in path), None)
