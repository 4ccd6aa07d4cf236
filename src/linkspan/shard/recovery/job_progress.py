"""What a former owner recorded of a job's progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from linkspan.shard.done_repetitions import NO_REPETITIONS, DoneRepetitions


@dataclass(slots=True)
class JobProgress:
    """Progress records of a job.

    Attributes:
        runs: Records of repetitions, by number.
        done: Repetitions that are done.
        keys: Keys of all these records.
    """

    runs: dict[int, bytes] = field(default_factory=dict)
    done: DoneRepetitions = NO_REPETITIONS
    keys: list[bytes] = field(default_factory=list)
