"""Days with one kind of trouble each, for the users' bench.

Writes a day's file for each kind and plays them on a site file at its place:

    python -m bench.trouble_days FLEETBENCH SITE [--only TEXT] [--jobs 4] [--why TEXT]

Prints a line a day: rules broken, and what was earned. The bench is run as a program,
once for each day; nothing of it is read.
"""

from __future__ import annotations

import asyncio
import re
from asyncio.subprocess import PIPE, STDOUT
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import fire

from bench._troubles import ONCE, PLANNED, TROUBLES

LENGTH_S = 40.0
"""Length of a day in seconds: trouble ends half a minute before its end."""

FIRST_AT_S = 4.0
"""Time of the first trouble, in seconds."""

SECOND_AT_S = 16.0
"""Time of the same once more, in seconds."""


@dataclass(frozen=True)
class Played:
    """What a play printed of a day.

    Attributes:
        name: The day's name.
        broken: Rules broken, or why there is no result; empty for none.
        worth: What was earned, ``None`` without a result.
    """

    name: str
    broken: str
    worth: float | None


def day_file(name: str, seed: int) -> str:
    """Return the text of a day's file."""
    times = (FIRST_AT_S,) if name in ONCE else (FIRST_AT_S, SECOND_AT_S)
    rows = [f"  {{ at = {at}, {TROUBLES[name]} }}," for at in times]
    table, other = ("plan", "faults") if name in PLANNED else ("faults", "plan")
    head = f'name = "{name}"\nslot = "trouble"\nseed = {seed}\nlength_s = {LENGTH_S}\n'
    return head + f"{other} = []\n{table} = [\n" + "\n".join(rows) + "\n]\n"


def read_result(name: str, output: str) -> Played:
    """Return what a play's output tells.

    Example:
        >>> read_result("x", "worth 0.5 = whole day 0.6\\n").worth
        0.5
        >>> read_result("x", "x  9/48 0.0 0.4  BROKEN: TWICE 1 (else 0.9)").broken
        'TWICE 1'
    """
    broken = re.search(r"BROKEN: (.*?)(?: \(|$)", output, re.MULTILINE)
    worth = re.search(r"^worth (\S+) =", output, re.MULTILINE)
    if not worth and not broken:
        lines = output.strip().splitlines() or ["no output"]
        return Played(name, f"not played: {lines[-1][:160]}", None)
    return Played(name, broken.group(1) if broken else "", float(worth.group(1)) if worth else None)


def _write_days(folder: Path, names: list[str], seed: int) -> list[Path]:
    files = [folder / f"{name}.toml" for name in names]
    for file, name in zip(files, names, strict=True):
        file.write_text(day_file(name, seed))
    return files


async def _play(bench: str, site: str, file: Path, why: str) -> Played:
    process = await asyncio.create_subprocess_exec(
        bench, "run", site, str(file), "--why", f"{why}: {file.stem}", stdout=PIPE, stderr=STDOUT
    )
    output, _ = await process.communicate()
    return read_result(file.stem, output.decode(errors="replace"))


async def _play_all(bench: str, site: str, files: list[Path], jobs: int, why: str) -> None:
    turn = asyncio.Semaphore(jobs)

    async def one(file: Path) -> None:
        async with turn:
            played = await _play(bench, site, file, why)
            print(f"{played.name:22} {played.worth} {played.broken}", flush=True)

    await asyncio.gather(*(one(file) for file in files))


def main(
    bench: str, site: str, *, only: str = "", jobs: int = 4, seed: int = 7, why: str = ""
) -> None:
    """Play the days.

    Args:
        bench: Path of the users' bench.
        site: Path of a site file.
        only: Part of the names of the days to play; all without it.
        jobs: Days to play at a time.
        seed: Seed of the days.
        why: Reason for the journal.
    """
    reason = why or "one kind of trouble a day, twice"
    with TemporaryDirectory(dir=Path.cwd().parent) as folder:
        files = _write_days(Path(folder), [name for name in TROUBLES if only in name], seed)
        asyncio.run(_play_all(bench, site, files, jobs, reason))


if __name__ == "__main__":
    fire.Fire(main)
