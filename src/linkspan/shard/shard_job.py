"""A job that lives in a shard, and what its owner expects of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from linkspan.jobs.records import Submitted
    from linkspan.jobs.spec import JobSpec
    from linkspan.model.configuration import QueueTerms
    from linkspan.shard.attempt import Attempt
    from linkspan.shard.job_run import JobRun


@dataclass(slots=True, eq=False)
class ShardJob:
    """A job that lives in the shard.

    Attributes:
        submitted: Its submission.
        inherited: Whether a former owner may have started tasks of it.
        runs: Its repetitions by number.
        begun: Whether a task was started.
        closing: Whether its final state is decided; nothing is started any more.
        handing_over: Whether it is on its way to another shard.
        moved: Whether it came from another shard.
        delegated_here: Whether it lives in another shard that lent some of its tasks.
        max_attempts: Failed runs of a task after which it has failed; ``None`` while its queue's
            limit is not known, which decides nothing.
        limit_version: Version of the configuration that told this limit, as far as it is known.
        priority: Its queue's priority.
        stretch: Part of its objective, in times of its longest chain of steps.
        target_s: Time that its objective has beside that.
        objective_s: Time from acceptance in which it is to be done, as expected.
        measured_durations_s: Times of the steps that have ended, in seconds.
        expected_durations_s: For each step, time that one of its tasks is expected to take.
        remaining_path_s: For each step, time of the longest chain that begins with it.
        service: Service whose executors run it.
        requires_ticket: Whether its queue's policy decides where its steps may run.
        ticket_valid_s: How long a ticket of that policy holds, in seconds.
    """

    submitted: Submitted
    inherited: bool = False
    runs: dict[int, JobRun] = field(default_factory=dict)
    begun: bool = False
    closing: bool = False
    handing_over: bool = False
    moved: bool = False
    delegated_here: bool = False
    max_attempts: int | None = None
    limit_version: int | None = None
    priority: int = 0
    stretch: float = 1.0
    target_s: float = 0.0
    objective_s: float = 0.0
    measured_durations_s: dict[int, float] = field(default_factory=dict)
    expected_durations_s: tuple[float, ...] = ()
    remaining_path_s: tuple[float, ...] = ()
    service: str = ""
    requires_ticket: bool = False
    ticket_valid_s: float = 0.0

    def __post_init__(self) -> None:
        # Until more is known, the caller's guesses stand.
        self.expected_durations_s = tuple(step.estimate_s for step in self.spec.steps)
        self.remaining_path_s = self.spec.longest_paths_from(self.expected_durations_s)

    @property
    def spec(self) -> JobSpec:
        """What the caller asked for."""
        return self.submitted.spec

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.submitted.spec.job_id

    def take_limit(self, most: int, version: int | None) -> None:
        """Hold to a limit of failed runs, unless a newer one is known.

        Where it is not known which is newer, the larger one holds: a job that has failed stays so.

        Args:
            most: The limit.
            version: Version of the configuration that tells it; ``None`` if that is not known.
        """
        if self.max_attempts is None or self.limit_version is None:
            self.max_attempts = max(most, self.max_attempts or 0)
            self.limit_version = version
        elif version is not None and version > self.limit_version:
            self.max_attempts, self.limit_version = most, version

    def take_terms(self, terms: QueueTerms, version: int | None) -> None:
        """Hold to what a queue says from now on, unless something newer is known.

        Args:
            terms: What it says.
            version: Version of the configuration that tells so; ``None`` if that is not known.
        """
        if version is not None and self.limit_version is not None and version < self.limit_version:
            return
        self.take_limit(terms.max_attempts, version)
        self.priority = terms.priority
        self.stretch = terms.stretch
        self.target_s = terms.target_s
        self.service = terms.service
        self.requires_ticket = terms.advice is not None
        self.ticket_valid_s = terms.advice.valid_s if terms.advice else 0.0

    def used_up(self, failures: int) -> bool:
        """Whether a task with some failed runs has none left."""
        return self.max_attempts is not None and failures >= self.max_attempts

    def attempts(self) -> Iterator[Attempt]:
        """Iterate over all attempts that may be running."""
        for run in self.runs.values():
            for task in run.tasks():
                yield from task.attempts
