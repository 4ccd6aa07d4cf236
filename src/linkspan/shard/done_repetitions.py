"""Numbers of a job's repetitions that are done, in a few bytes for thousands of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class DoneRepetitions:
    """Numbers of repetitions that are done: all below a limit, and some above it.

    Attributes:
        below: All repetitions with a lower number are done.
        above: Bit set of the others: bit ``n`` stands for repetition ``below + n``.

    Example:
        >>> done = DoneRepetitions().with_all([1, 0, 3])
        >>> done
        DoneRepetitions(below=2, above=2)
        >>> 1 in done, 2 in done, 3 in done, done.count
        (True, False, True, 3)
    """

    below: int = 0
    above: int = 0

    def __contains__(self, repetition: int) -> bool:
        if repetition < self.below:
            return True
        return bool(self.above >> (repetition - self.below) & 1)

    @property
    def count(self) -> int:
        """Number of repetitions that are done."""
        return self.below + self.above.bit_count()

    def with_all(self, repetitions: Iterable[int]) -> DoneRepetitions:
        """Return these repetitions and others."""
        above = self.above
        for repetition in repetitions:
            if repetition >= self.below:
                above |= 1 << (repetition - self.below)
        # The lowest bits that are set without a gap move below the limit.
        first_open = (~above & (above + 1)).bit_length() - 1
        return DoneRepetitions(self.below + first_open, above >> first_open)


NO_REPETITIONS = DoneRepetitions()
