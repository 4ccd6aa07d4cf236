"""Text summary of a job's repeated starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.trace._starts import repeated_starts

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from linkspan.trace._lines import TraceLine
    from linkspan.trace._starts import Start

_COLUMNS = ("at", "host", "hall", "shard", "token", "executor", "run", "reason", "outcome")

_MOVE_KINDS = ("work_handed_over", "move_kept", "move_told")


def summary(lines: Sequence[TraceLine]) -> list[str]:
    """Return a summary of the tasks of a job that were started more than once, line by line.

    Args:
        lines: Lines about one job, in order of time.
    """
    starts = repeated_starts(lines)
    if not starts:
        return []
    text: list[str] = []
    for task, found in starts.items():
        owners = len({start.owner for start in found})
        text.append(f"task {task} was started {len(found)} times, by {owners} owner(s)")
        text.extend(_format_table(found))
    moves = [
        line for line in lines if line.kind in _MOVE_KINDS or line.details.get("moved") is True
    ]
    text.append(f"moves of the job: {len(moves)} line(s)")
    text.extend(f"  {line}" for line in moves)
    return text


def _format_table(starts: Sequence[Start]) -> Iterator[str]:
    """Return a header and one line per start, in columns."""
    rows: list[tuple[str, ...]] = [_COLUMNS]
    rows += [tuple(getattr(start, name) or "-" for name in _COLUMNS) for start in starts]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield f"  {'  '.join(cells).rstrip()}"
