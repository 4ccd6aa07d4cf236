"""Starts of a job's tasks, as the owners that made them logged them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from linkspan.trace._lines import TraceLine

_OUTCOMES = {
    "start_refused": "reason",
    "start_in_doubt": "",
    "run_failed": "",
    "run_ended": "how",
    "run_lost": "",
    "run_moved": "reason",
    "unknown_run_stopped": "",
    "end_unknown": "how",
}
"""Lines that tell what became of a run, and the field that says more."""

_TAKEN_IN = ("offset", "accepted_by", "records", "adopting", "begun", "moved_at", "loans")
"""What an owner's line on taking a job in says of where it had the job from."""


@dataclass(frozen=True, slots=True)
class Start:
    """A start of a task.

    Attributes:
        at: When it was decided, by the host's time of day.
        host: Host that decided it.
        hall: Hall of that host.
        shard: Shard that it acted for.
        token: Token of its tenure; empty in lines that do not tell it.
        task: Repetition, step and index of the task.
        executor: Where it was started.
        run: Number of the run.
        reason: By what the owner might start it.
        outcome: What lines tell of the run afterwards.
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
        """What tells its owner from others."""
        return self.host, self.shard, self.token


def repeated_starts(lines: Sequence[TraceLine]) -> dict[str, list[Start]]:
    """Return the starts of each task that was started more than once, by task.

    Args:
        lines: Lines of one job, in order of time.
    """
    starts: dict[str, list[Start]] = {}
    taken_in: dict[tuple[str, str, str], TraceLine] = {}
    outcomes = _outcomes(lines)
    for line in lines:
        if line.kind == "job_taken_in" and not line.details.get("left"):
            taken_in[_owner(line)] = line
        for task, run, executor in _runs(line):
            start = Start(
                line.at,
                line.host,
                line.hall,
                *_owner(line)[1:],
                task,
                executor,
                run,
                _reason(line, taken_in.get(_owner(line))),
                ", ".join(outcomes.get((task, run, executor), ())),
            )
            starts.setdefault(task, []).append(start)
    return {task: found for task, found in sorted(starts.items()) if len(found) > 1}


def _owner(line: TraceLine) -> tuple[str, str, str]:
    details = line.details
    return line.host, str(details.get("shard", "")), str(details.get("token", ""))


def _runs(line: TraceLine) -> Iterator[tuple[str, str, str]]:
    """Return task, run and executor of each start that a line tells of."""
    details = line.details
    if line.kind == "run_copied":
        yield str(details.get("task")), str(details.get("run")), str(details.get("executor"))
    runs = details.get("runs")
    if line.kind != "step_placed" or not isinstance(runs, dict):
        return
    for name, executor in runs.items():
        index, _, run = str(name).partition("/")
        yield f"{details.get('step')}.{index}", run, str(executor)


def _outcomes(lines: Iterable[TraceLine]) -> dict[tuple[str, str, str], list[str]]:
    found: dict[tuple[str, str, str], list[str]] = {}
    for line in lines:
        if line.kind not in _OUTCOMES:
            continue
        details = line.details
        key = str(details.get("task")), str(details.get("run")), str(details.get("executor"))
        more = details.get(_OUTCOMES[line.kind], "")
        found.setdefault(key, []).append(f"{line.kind} {more}".strip())
    return found


def _reason(line: TraceLine, taken_in: TraceLine | None) -> str:
    parts = ["copy"] if line.kind == "run_copied" else []
    parts += [str(line.details["by"])] if "by" in line.details else []
    parts += _fields(line.details, ("roster", "loans"))
    if taken_in:
        parts += _fields(taken_in.details, _TAKEN_IN)
    return " ".join(parts)


def _fields(details: dict[str, Any], names: Iterable[str]) -> list[str]:
    return [f"{name}={details[name]}" for name in names if name in details]
