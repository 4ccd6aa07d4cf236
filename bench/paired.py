"""Paired plays of two source trees on the users' bench.

Plays the same days with the same seeds on both trees, in turn, and tells the mean of the
differences with its standard error, in all and by kind of request:

    python -m bench.paired FLEETBENCH BEFORE AFTER --sites A.toml,B.toml --days quiet-1,scale-1 \
        --seeds 1,2,3 --rows rows.jsonl [--jobs 4] [--charge_cpu] [--why TEXT]

A row is written for each play as it ends, and a play that has its row is not played again:
an interrupted round goes on where it was, and a tree's rows serve several rounds as long
as its name stands for the same source. Trees lie beside the repository; their journals
stay with them. The bench is run as a program, once a play; nothing of it is read.
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
"""Name of the figure over all kinds of requests, prices taken off."""


class Play(NamedTuple):
    """One day to play on one tree."""

    tree: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """What a play gave.

    Attributes:
        play: The play.
        figures: Worth earned of that owed: whole, and by kind of request.
        broken: Rules broken and floors missed, or why there are no figures; empty for none.
    """

    play: Play
    figures: dict[str, float]
    broken: str

    @classmethod
    def of_report(cls, play: Play, report: dict[str, Any]) -> Row:
        """Return the row of a bench's report."""
        figures = {WHOLE: float(report["G"])}
        figures |= {row["name"]: float(row["worth"]) for row in report["classes"]}
        broken = [f"{name} {count}" for name, count in report["breaks"].items()]
        broken += [str(report["fault"])] if report["fault"] else []
        broken += [f"short: {text}" for text in report["short"]]
        return cls(play, figures, ", ".join(broken))

    def encode(self) -> bytes:
        """Return the row as a line."""
        fields = {"play": list(self.play), "figures": self.figures, "broken": self.broken}
        return orjson.dumps(fields) + b"\n"

    @classmethod
    def decode(cls, line: bytes) -> Row:
        """Return the row of a line."""
        fields = orjson.loads(line)
        return cls(Play(*fields["play"]), fields["figures"], fields["broken"])


class Difference(NamedTuple):
    """Differences of one figure over pairs of plays.

    Attributes:
        name: The figure.
        before: Its mean on the first tree.
        mean: Mean of the differences, second tree less first.
        error: Standard error of that mean, ``None`` for a single pair.
        pairs: How many pairs.
    """

    name: str
    before: float
    mean: float
    error: float | None
    pairs: int


def differences(rows: Iterable[Row], before: str, after: str) -> list[Difference]:
    """Return the differences of two trees by figure.

    Example:
        >>> def row(tree, seed, worth):
        ...     return Row(Play(tree, "s", "d", seed), {"whole": worth}, "")
        >>> rows = [row("a", 1, 0.5), row("b", 1, 0.75), row("a", 2, 0.5), row("b", 2, 0.5)]
        >>> differences(rows, "a", "b")[0]
        Difference(name='whole', before=0.5, mean=0.125, error=0.125, pairs=2)
    """
    by_play = {row.play: row for row in rows}
    pairs = [
        (row, by_play[twin])
        for row in by_play.values()
        if row.play.tree == before and (twin := row.play._replace(tree=after)) in by_play
    ]
    names = {name: None for row, _ in pairs for name in row.figures}
    return [_difference(name, pairs) for name in names]


def _difference(name: str, pairs: list[tuple[Row, Row]]) -> Difference:
    both = [
        (a.figures[name], b.figures[name])
        for a, b in pairs
        if name in a.figures and name in b.figures
    ]
    changes = [b - a for a, b in both]
    error = stdev(changes) / len(changes) ** 0.5 if len(changes) > 1 else None
    return Difference(name, fmean(a for a, _ in both), fmean(changes), error, len(changes))


def read_rows(path: Path) -> list[Row]:
    """Return the rows of a file, none if there is no such file."""
    if not path.exists():
        return []
    return [Row.decode(line) for line in path.read_bytes().splitlines()]


async def _play(bench: str, play: Play, *, why: str, charge_cpu: bool) -> Row:
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
    bench: str, plays: list[Play], rows: Path, *, jobs: int, why: str, charge_cpu: bool
) -> None:
    turn = asyncio.Semaphore(jobs)

    async def one(play: Play) -> None:
        async with turn:
            row = await _play(bench, play, why=why, charge_cpu=charge_cpu)
        with rows.open("ab") as file:
            file.write(row.encode())

    await asyncio.gather(*(one(play) for play in plays))


def _plays(trees: Iterable[str], sites: str, days: str, seeds: Iterable[int]) -> Iterator[Play]:
    for seed in seeds:
        for site in sites.split(","):
            for day in days.split(","):
                for tree in trees:
                    yield Play(tree, site, day, seed)


def table(rows: list[Row], before: str, after: str) -> str:
    """Return the differences and the rules broken as text."""
    lines = ["| figure | before | difference | standard error | pairs |", "| --- " * 5 + "|"]
    for d in differences(rows, before, after):
        error = "" if d.error is None else f"{d.error:.3f}"
        lines.append(f"| {d.name} | {d.before:.3f} | {d.mean:+.3f} | {error} | {d.pairs} |")
    lines += [f"broken: {row.play}: {row.broken}" for row in rows if row.broken]
    return "\n".join(lines)


def _texts(value: str | tuple[str, ...]) -> str:
    # The command line hands "a,b" over as a tuple.
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
    """Play the pairs that have no rows yet, and print the differences.

    Args:
        bench: Path of the users' bench.
        before: One tree.
        after: The other tree.
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
    wanted = list(_plays(dict.fromkeys(trees), _texts(sites), _texts(days), numbers))
    file = Path(rows)
    played = {row.play for row in read_rows(file)}
    todo = [play for play in wanted if play not in played]
    asyncio.run(_play_all(bench, todo, file, jobs=jobs, why=why, charge_cpu=charge_cpu))
    chosen = set(wanted)
    print(table([row for row in read_rows(file) if row.play in chosen], *trees))


if __name__ == "__main__":
    fire.Fire(main)
