"""An executor that crashed under a task, as records hold it."""

from __future__ import annotations

from typing import NamedTuple


class Crash(NamedTuple):
    """An executor that crashed under a task.

    Attributes:
        life: Name of the life that ended.
        run: Number of the task's run that was there.
        points: What it counts.
        heard: Whether the run is known to have been there: its start was answered, or it is one
            that a former owner had recorded.
        address: Where it was; empty where a former owner saw it.
    """

    life: str
    run: int
    points: int
    heard: bool = True
    address: str = ""
