"""The operator's configuration: queues and the services that run their jobs."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdviceRule:
    """A queue's placement policy: its placements need tickets from the policy service.

    Attributes:
        valid_s: Time for which a ticket is valid, in seconds.
    """

    valid_s: float


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """The properties of a queue that apply to a job from its acceptance.

    They stay in force when the queue is removed, until a configuration contains it again.

    Attributes:
        service: Service whose executors run the tasks.
        max_attempts: Number of failed runs of a task at which its job fails.
        priority: 0 is the highest and may preempt others.
        stretch: Factor on the duration of the job's longest path in its latency objective.
        target_s: Time that the latency objective adds to it, in seconds.
        advice: The queue's placement policy, ``None`` if it has none.
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
        name: Name of the queue.
        host: Host name in callers' requests.
        prefix: Path prefix of the requests that belong to the queue.
        service: Service whose executors run the tasks.
        priority: 0 is the highest and may preempt others.
        max_attempts: Number of failed runs of a task at which its job fails.
        stretch: Factor on the duration of the job's longest path in its latency objective.
        target_s: Time that the latency objective adds to it, in seconds.
        timeout_s: Time for which callers wait for a response, in seconds.
        advice: The queue's placement policy, ``None`` if it has none.
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
        """The properties that apply to a job from its acceptance."""
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
        name: Name of the service.
        guards_room: Whether the executors reject starts that exceed their capacity.
        spare: Whether the machines are off until they are moved to another pool.
    """

    name: str
    guards_room: bool = True
    spare: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on each request of a caller.

    Attributes:
        max_head_bytes: Maximum size of the request line and the header fields.
        max_body_bytes: Maximum size of a request body.
        head_timeout_s: Time from the first byte of a request to the end of its head, and longest
            pause in its body.
        idle_timeout_s: Time after which a connection between two requests is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One complete version of the configuration.

    Attributes:
        version: Version number; every change increases it.
        queues: Queues by name.
        services: Services by name.
        limits: Limits on each request.
    """

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for a path, or ``None``."""
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
