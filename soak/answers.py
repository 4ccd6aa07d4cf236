"""Reads the bodies of hosts' responses to callers."""

from __future__ import annotations

import json
from typing import Any

from linkspan.jobs.records import JobState

STATES = frozenset(state.value for state in JobState)


def read_state(body: bytes) -> str | None:
    """Return the state in a response about a job, or ``None`` if it cannot be read."""
    state = _fields(body).get("state")
    return state if isinstance(state, str) and state in STATES else None


def read_waiting(body: bytes) -> int | None:
    """Return the number of waiting jobs in a response, or ``None`` if it cannot be read."""
    waiting = _fields(body).get("waiting")
    return waiting if isinstance(waiting, int) and waiting >= 0 else None


def _fields(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
