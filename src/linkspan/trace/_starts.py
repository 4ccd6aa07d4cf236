"""Starts of a job's tasks, reconstructed from the logs of the owners that decided them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from linkspan.trace._lines import TraceLine

_OUTCOME_FIELDS = {
    "start_refused": "reason",
    "start_in_doubt": "",
    "run_failed": "",
    "run_ended": "how",
    "run_lost": "",
    "run_moved": "reason",
    "unknown_run_stopped": "",
    "end_unknown": "how",
}
"""Kinds of lines with the outcome of a run, and the field with details of the outcome."""

_ORIGIN_FIELDS = (
    "offset",
    "accepted_by",
    "records",
    "adopting",
    "begun",
    "ordered",
    "moved_at",
    "loans",
)
"""Fields of a ``job_taken_in`` line that describe from where the owner got the job."""


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a task.

    Attributes:
        at: Time of day at which the host decided the start.
        host: Host that decided the start.
        hall: Hall of that host.
        shard: Shard that the host owned.
        token: Token of the tenure; empty if the line lacks it.
        task: Repetition, step and index of the task.
        executor: Executor of the run.
        run: Number of the run.
        reason: Why the owner was allowed to start the task.
        outcome: Outcomes of the run according to later lines.
    """

    at: str
    host: str
    hall: str
    shard: str
    token: str
    task: str
    executor: str
    run: str
    reason: str
    outcome: str

    @property
    def owner(self) -> tuple[str, str, str]:
        """Host, shard and token, which together identify the owner."""
        return self.host, self.shard, self.token


def repeated_starts(lines: Sequence[TraceLine]) -> dict[str, list[Start]]:
    """Return the starts of each task that was started more than once, by task.

    Args:
        lines: Lines about one job, in order of time.
    """
    starts: dict[str, list[Start]] = {}
    origins: dict[tuple[str, str, str], TraceLine] = {}
    outcomes = _outcomes_by_run(lines)
    for line in lines:
        if line.kind == "job_taken_in" and not line.details.get("left"):
            origins[_owner_of(line)] = line
        for task, run, executor in _starts_in(line):
            start = Start(
                line.at,
                line.host,
                line.hall,
                *_owner_of(line)[1:],
                task,
                executor,
                run,
                _reason(line, origins.get(_owner_of(line))),
                ", ".join(outcomes.get((task, run, executor), ())),
            )
            starts.setdefault(task, []).append(start)
    return {task: found for task, found in sorted(starts.items()) if len(found) > 1}


def _owner_of(line: TraceLine) -> tuple[str, str, str]:
    details = line.details
    return line.host, str(details.get("shard", "")), str(details.get("token", ""))


def _starts_in(line: TraceLine) -> Iterator[tuple[str, str, str]]:
    """Return the task, run and executor of each start in a line."""
    details = line.details
    if line.kind == "run_copied":
        yield str(details.get("task")), str(details.get("run")), str(details.get("executor"))
    runs = details.get("runs")
    if line.kind != "step_placed" or not isinstance(runs, dict):
        return
    for name, executor in runs.items():
        index, _, run = str(name).partition("/")
        yield f"{details.get('step')}.{index}", run, str(executor)


def _outcomes_by_run(lines: Iterable[TraceLine]) -> dict[tuple[str, str, str], list[str]]:
    found: dict[tuple[str, str, str], list[str]] = {}
    for line in lines:
        if line.kind not in _OUTCOME_FIELDS:
            continue
        details = line.details
        key = str(details.get("task")), str(details.get("run")), str(details.get("executor"))
        more = details.get(_OUTCOME_FIELDS[line.kind], "")
        found.setdefault(key, []).append(f"{line.kind} {more}".strip())
    return found


def _reason(line: TraceLine, origin: TraceLine | None) -> str:
    parts = ["copy"] if line.kind == "run_copied" else []
    parts += [str(line.details["by"])] if "by" in line.details else []
    parts += _format_fields(line.details, ("roster", "loans"))
    if origin:
        parts += _format_fields(origin.details, _ORIGIN_FIELDS)
    return " ".join(parts)


def _format_fields(details: dict[str, Any], names: Iterable[str]) -> list[str]:
    return [f"{name}={details[name]}" for name in names if name in details]
