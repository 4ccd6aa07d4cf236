"""Identity of a failed run, as kept in records."""

from __future__ import annotations

from typing import NamedTuple


class FailedRun(NamedTuple):
    """Identity of a failed run.

    Attributes:
        run: Number of the run.
        incarnation: Name of the executor's incarnation that ran it. The number alone is not unique:
            two owners that do not know of each other may assign the same one, and an order may
            arrive at two incarnations.
    """

    run: int
    incarnation: str
