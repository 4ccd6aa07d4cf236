"""Description of a worker machine."""

from __future__ import annotations

from dataclasses import dataclass, field

from linkspan.model.resources import Resources


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker: one machine that runs tasks.

    Attributes:
        name: The worker's name, unique in its hall.
        incarnation: Number that changes whenever the worker restarts and loses its state.
        size: Resources that all tasks on the worker may use together.
        rack: The worker's rack.
        labels: Labels that selectors match.
    """

    name: str
    incarnation: int
    size: Resources
    rack: str = ""
    labels: dict[str, str] = field(default_factory=dict, hash=False)
