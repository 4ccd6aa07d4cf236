"""Compares two source trees by paired plays on the users' bench.

Plays the same days with the same seeds on both trees, in turn, and prints the mean
difference with its standard error, in total and by kind of request:

    python -m bench.paired FLEETBENCH BEFORE AFTER --sites A.toml,B.toml --days quiet-1,scale-1 \
        --seeds 1,2,3 --rows rows.jsonl [--jobs 4] [--charge_cpu] [--why TEXT]

Each play appends a row when it ends, and a play that has a row is not repeated. An
interrupted comparison can therefore be resumed, and the rows of a tree can be used in
several comparisons as long as its path stands for the same source. Trees lie beside the
repository and keep their own journals. The bench is run as a program, once per play; none
of its files are read.
"""

from __future__ import annotations

import asyncio
from asyncio.subprocess import DEVNULL
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, stdev
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import fire
import orjson

WHOLE = "whole"
"""Name of the figure over all kinds of requests, after prices are deducted."""


class Run(NamedTuple):
    """One day played on one tree with one seed."""

    tree: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """Result of a play.

    Attributes:
        play: The play.
        figures: Ratio of earned to owed worth, in total and by kind of request.
        broken: Rules broken and floors missed, or why there are no figures; else empty.
    """

    play: Run
    figures: dict[str, float]
    broken: str

    @classmethod
    def of_report(cls, play: Run, report: dict[str, Any]) -> Row:
        """Build the row from a report of the bench."""
        figures = {WHOLE: float(report["G"])}
        figures |= {row["name"]: float(row["worth"]) for row in report["classes"]}
        broken = [f"{name} {count}" for name, count in report["breaks"].items()]
        broken += [str(report["fault"])] if report["fault"] else []
        broken += [f"short: {text}" for text in report["short"]]
        return cls(play, figures, ", ".join(broken))

    def encode(self) -> bytes:
        """Encode the row as a line of JSON."""
        fields = {"play": list(self.play), "figures": self.figures, "broken": self.broken}
        return orjson.dumps(fields) + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> Row:
        """Decode a row from a line of JSON."""
        fields = orjson.loads(line)
        return cls(Run(*fields["play"]), fields["figures"], fields["broken"])


class Difference(NamedTuple):
    """Differences of one figure over all pairs of plays.

    Attributes:
        name: Name of the figure.
        before: Mean of the figure on the first tree.
        mean: Mean of the differences, second tree minus first.
        error: Standard error of ``mean``; None for a single pair.
        pairs: Number of pairs.
    """

    name: str
    before: float
    mean: float
    error: float | None
    pairs: int


def differences(rows: Iterable[Row], before: str, after: str) -> list[Difference]:
    """Return the differences between two trees, one per figure.

    Example:
        >>> def row(tree, seed, worth):
        ...     return Row(Run(tree, "s", "d", seed), {"whole": worth}, "")
        >>> rows = [row("a", 1, 0.5), row("b", 1, 0.75), row("a", 2, 0.5), row("b", 2, 0.5)]
        >>> differences(rows, "a", "b")[0]
        Difference(name='whole', before=0.5, mean=0.125, error=0.125, pairs=2)
    """
    by_play = {row.play: row for row in rows}
    pairs = [
        (row, by_play[counterpart])
        for row in by_play.values()
        if row.play.tree == before and (counterpart := row.play._replace(tree=after)) in by_play
    ]
    names = {name: None for row, _ in pairs for name in row.figures}
    return [_difference(name, pairs) for name in names]


def _difference(name: str, pairs: list[tuple[Row, Row]]) -> Difference:
    values = [
        (a.figures[name], b.figures[name])
        for a, b in pairs
        if name in a.figures and name in b.figures
    ]
    changes = [b - a for a, b in values]
    error = stdev(changes) / len(changes) ** 0.5 if len(changes) > 1 else None
    return Difference(name, fmean(a for a, _ in values), fmean(changes), error, len(changes))


def read_rows(path: Path) -> list[Row]:
    """Read the rows of a file; a missing file has no rows."""
    if not path.exists():
        return []
    return [Row.decode(line) for line in path.read_bytes().splitlines()]


async def _play(bench: str, play: Run, *, why: str, charge_cpu: bool) -> Row:
    with TemporaryDirectory(dir=Path(play.tree).parent) as folder:
        report = Path(folder) / "report.json"
        options = ["--seed", str(play.seed), "--report", str(report), "--why", why]
        if not charge_cpu:
            options.append("--no-cpu")
        process = await asyncio.create_subprocess_exec(
            bench, "run", play.site, play.day, *options, cwd=play.tree, stdout=DEVNULL
        )
        await process.wait()
        if not report.exists():
            return Row(play, {}, f"not played, exit {process.returncode}")
        return Row.of_report(play, orjson.loads(report.read_bytes()))


async def _play_all(
    bench: str, plays: list[Run], rows: Path, *, jobs: int, why: str, charge_cpu: bool
) -> None:
    slots = asyncio.Semaphore(jobs)

    async def play_one(play: Run) -> None:
        async with slots:
            row = await _play(bench, play, why=why, charge_cpu=charge_cpu)
        with rows.open("ab") as file:
            file.write(row.encode())

    await asyncio.gather(*(play_one(play) for play in plays))


def _plays(trees: Iterable[str], sites: str, days: str, seeds: Iterable[int]) -> Iterator[Run]:
    for seed in seeds:
        for site in sites.split(","):
            for day in days.split(","):
                for tree in trees:
                    yield Run(tree, site, day, seed)


def table(rows: list[Row], before: str, after: str) -> str:
    """Return a table of the differences, followed by the broken rules."""
    lines = ["| figure | before | difference | standard error | pairs |", "| --- " * 5 + "|"]
    for d in differences(rows, before, after):
        error = "" if d.error is None else f"{d.error:.3f}"
        lines.append(f"| {d.name} | {d.before:.3f} | {d.mean:+.3f} | {error} | {d.pairs} |")
    lines += [f"broken: {row.play}: {row.broken}" for row in rows if row.broken]
    return "\n".join(lines)


def _join(value: str | tuple[str, ...]) -> str:
    # Fire parses "a,b" on the command line as a tuple.
    return value if isinstance(value, str) else ",".join(value)


def main(
    bench: str,
    before: str,
    after: str,
    *,
    sites: str | tuple[str, ...],
    days: str | tuple[str, ...],
    seeds: int | tuple[int, ...],
    rows: str,
    jobs: int = 4,
    charge_cpu: bool = False,
    why: str = "trial: paired plays",
) -> None:
    """Play all pairs that have no rows yet, and print the differences.

    Args:
        bench: Path of the users' bench.
        before: Path of the first tree.
        after: Path of the second tree.
        sites: Paths of site files.
        days: Names of days.
        seeds: Seeds of the days.
        rows: File of rows.
        jobs: Plays at a time.
        charge_cpu: Whether processor time is charged; without it plays mostly repeat.
        why: Reason for the journal.
    """
    numbers = (seeds,) if isinstance(seeds, int) else tuple(seeds)
    trees = [str(Path(tree).resolve()) for tree in (before, after)]
    wanted = list(_plays(dict.fromkeys(trees), _join(sites), _join(days), numbers))
    file = Path(rows)
    played = {row.play for row in read_rows(file)}
    todo = [play for play in wanted if play not in played]
    asyncio.run(_play_all(bench, todo, file, jobs=jobs, why=why, charge_cpu=charge_cpu))
    chosen = set(wanted)
    print(table([row for row in read_rows(file) if row.play in chosen], *trees))


if __name__ == "__main__":
    fire.Fire(main)
