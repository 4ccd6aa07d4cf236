"""Shares of a profile by part of a host."""

from __future__ import annotations

import cProfile
import pstats
from collections import Counter
from functools import cache
from typing import Any

WORLD = "the world"
"""What stands in for the platform and for callers: no part of a host."""

_PARTS = (
    ("/tests/", WORLD),
    ("/bench/", WORLD),
    ("/shard/_watch.py", "looks and reports"),
    ("/shard/_reconciliation.py", "looks and reports"),
    ("/shard/_ends.py", "looks and reports"),
    ("/shard/leases.py", "looks and reports"),
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
"""Part of a function by its file, the first that fits; those of libraries that stand
nowhere here count with their callers."""

_Function = tuple[str, int, str]


def part_shares(profile: cProfile.Profile) -> dict[str, float]:
    """Return the share of own time of each part, 1 in all."""
    stats: dict[_Function, Any] = pstats.Stats(profile).stats  # type: ignore[attr-defined]

    @cache
    def owners(function: _Function, depth: int = 0) -> tuple[tuple[str, float], ...]:
        """Return the parts that a function works for, with their shares."""
        part = _part_of(function)
        if part:
            return ((part, 1.0),)
        callers = stats[function][4] if function in stats else {}
        total = sum(row[2] for row in callers.values())
        if depth > 8 or total <= 0:
            return (("event loop", 1.0),)
        shares: Counter[str] = Counter()
        for caller, row in callers.items():
            for name, share in owners(caller, depth + 1):
                shares[name] += share * row[2] / total
        return tuple(shares.items())

    times: Counter[str] = Counter()
    for function, (_, _, own, _, _) in stats.items():
        for name, share in owners(function):
            times[name] += share * own
    total = sum(times.values())
    return {name: own / total for name, own in times.most_common()}


def _part_of(function: _Function) -> str | None:
    path = function[0].replace("\\", "/")
    return next((part for text, part in _PARTS if text in path), None)
