"""The operator's configuration in force: queues and services."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdviceRule:
    """A queue's placement policy, asked from a service.

    Attributes:
        valid_s: How long a ticket holds.
    """

    valid_s: float


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """What a job is accepted under; it holds until a configuration names the job's queue again.

    Attributes:
        service: Service whose executors run its tasks.
        max_attempts: Failed runs of a task after which its job has failed.
        priority: 0 goes first and may preempt others.
        stretch: Factor on a job's longest chain of work in its objective.
        target_s: Time beside that in the objective.
        advice: The queue's placement policy, ``None`` without one.
    """

    service: str
    max_attempts: int
    priority: int
    stretch: float
    target_s: float
    advice: AdviceRule | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Its name.
        host: Host name that callers use.
        prefix: Beginning of the paths that belong to it.
        service: Service whose executors run its tasks.
        priority: 0 goes first and may preempt others.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Factor on a job's longest chain of work in its objective.
        target_s: Time beside that in the objective.
        timeout_s: Time that callers wait for an answer.
        advice: Its placement policy, ``None`` without one.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 1.0
    timeout_s: float = 3.0
    advice: AdviceRule | None = None

    @property
    def terms(self) -> QueueTerms:
        """What jobs are accepted under."""
        return QueueTerms(
            self.service,
            self.max_attempts,
            self.priority,
            self.stretch,
            self.target_s,
            self.advice,
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of executors.

    Attributes:
        name: Its name.
        guards_room: Whether its executors reject what does not fit.
        spare: Whether its machines are off until they are moved to another pool.
    """

    name: str
    guards_room: bool = True
    spare: bool = False


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, whole.

    Attributes:
        version: Its version; versions rise.
        queues: Queues by name.
        services: Services by name.
        max_body_bytes: Largest body that callers may send.
    """

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or ``None``."""
        best: Queue | None = None
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix) and (
                best is None or len(queue.prefix) > len(best.prefix)
            ):
                best = queue
        return best

    def __post_init__(self) -> None:
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues.values():
            by_host.setdefault(queue.host.lower(), []).append(queue)
        object.__setattr__(self, "_by_host", by_host)

    _by_host: dict[str, list[Queue]] = field(init=False, repr=False, compare=False)
