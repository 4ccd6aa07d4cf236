"""Plays days with one kind of trouble each on the users' bench.

Writes a file for the day of each kind and plays the days on a site file:

    python -m bench.trouble_days FLEETBENCH SITE [--only TEXT] [--jobs 4] [--why TEXT]

Prints one line per day with the worth earned and the rules broken. The bench is run as a
program, once per day; none of its files are read.
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

DAY_LENGTH_S = 40.0
"""Duration of a day; the trouble ends half a minute before the end of the day."""

FIRST_AT_S = 4.0
"""Time of the first occurrence of the trouble."""

SECOND_AT_S = 16.0
"""Time of its second occurrence."""


@dataclass(frozen=True)
class DayResult:
    """Result of a day, as printed by the bench.

    Attributes:
        name: Name of the day.
        broken: Rules broken, or why there is no result; else empty.
        worth: Worth earned; None without a result.
    """

    name: str
    broken: str
    worth: float | None


def day_file(name: str, seed: int) -> str:
    """Return the text of the file of a day."""
    times = (FIRST_AT_S,) if name in ONCE else (FIRST_AT_S, SECOND_AT_S)
    rows = [f"  {{ at = {at}, {TROUBLES[name]} }}," for at in times]
    section, empty_section = ("plan", "faults") if name in PLANNED else ("faults", "plan")
    head = f'name = "{name}"\nslot = "trouble"\nseed = {seed}\nlength_s = {DAY_LENGTH_S}\n'
    return head + f"{empty_section} = []\n{section} = [\n" + "\n".join(rows) + "\n]\n"


def read_result(name: str, output: str) -> DayResult:
    """Parse the output of a play.

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
        return DayResult(name, f"not played: {lines[-1][:160]}", None)
    return DayResult(
        name, broken.group(1) if broken else "", float(worth.group(1)) if worth else None
    )


def _write_days(folder: Path, names: list[str], seed: int) -> list[Path]:
    files = [folder / f"{name}.toml" for name in names]
    for file, name in zip(files, names, strict=True):
        file.write_text(day_file(name, seed))
    return files


async def _play(bench: str, site: str, file: Path, why: str) -> DayResult:
    process = await asyncio.create_subprocess_exec(
        bench, "run", site, str(file), "--why", f"{why}: {file.stem}", stdout=PIPE, stderr=STDOUT
    )
    output, _ = await process.communicate()
    return read_result(file.stem, output.decode(errors="replace"))


async def _play_all(bench: str, site: str, files: list[Path], jobs: int, why: str) -> None:
    slots = asyncio.Semaphore(jobs)

    async def play_one(file: Path) -> None:
        async with slots:
            result = await _play(bench, site, file, why)
            print(f"{result.name:22} {result.worth} {result.broken}", flush=True)

    await asyncio.gather(*(play_one(file) for file in files))


def main(
    bench: str, site: str, *, only: str = "", jobs: int = 4, seed: int = 7, why: str = ""
) -> None:
    """Play the days.

    Args:
        bench: Path of the users' bench.
        site: Path of a site file.
        only: Play only days whose name contains this text.
        jobs: Maximum number of days played at the same time.
        seed: Seed of the days.
        why: Reason to write into the bench's journal.
    """
    reason = why or "one kind of trouble a day, twice"
    with TemporaryDirectory(dir=Path.cwd().parent) as folder:
        files = _write_days(Path(folder), [name for name in TROUBLES if only in name], seed)
        asyncio.run(_play_all(bench, site, files, jobs, reason))


if __name__ == "__main__":
    fire.Fire(main)
