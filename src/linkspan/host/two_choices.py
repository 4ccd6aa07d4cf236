"""Chooses between this host's hall and another one, by expected wait."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from linkspan.shard.handover.expected_wait import trust

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_S = 0.03
"""Gain from which a short job goes to a hall with room for it, in seconds. The orders and ends of
its tasks take the same calls there; only requests for its state may take a read more."""

MIN_GAIN_S = 0.25
"""Gain from which a short job goes to wait in another hall, in seconds: estimates are rough, and
its objective leaves half a second in addition to the duration of the work."""

MIN_BEST_EFFORT_GAIN_S = 0.5
"""Gain from which a best-effort job goes to another hall, in seconds. Its tasks share cores, so a
shorter wait may mean a slower run."""


class SendReason(Enum):
    """Why a job was accepted for another hall than that of its host."""

    EVACUATED = "evacuated"
    UNABLE = "unable"
    ROOM = "room"
    WAIT = "wait"
    LOAD = "load"


class HallOffer(NamedTuple):
    """What a hall offers a job.

    Attributes:
        shard: The hall's shard.
        wait_s: Expected wait there, in seconds.
        age_s: Age of the summary that says so, in seconds.
        fits: Whether the job has room there now.
    """

    shard: int
    wait_s: float
    age_s: float
    fits: bool


def better_of_two(
    home: HallOffer | None, others: Iterable[HallOffer], *, best_effort: bool
) -> HallOffer | None:
    """Return the better of this host's hall and one other, or of two others.

    All hosts see the same summaries: if each chose the best hall, all would choose the same one
    until its next summary. The other hall is therefore drawn, by the job's id, so that a repeat of
    its submission at another host draws the same one. A hall with room comes before one without.

    Args:
        home: This host's hall, ``None`` if the job can't go there.
        others: The other halls in the order in which they are drawn, only as far as needed.
        best_effort: Whether the job runs on cores that others leave unused.

    Returns:
        The offer to take, ``None`` if there is none.
    """
    if home is None:
        return min(_first(others, 2), key=lambda offer: offer.wait_s, default=None)
    for other in _first(others, 1):
        gain_s = (home.wait_s - other.wait_s) * trust(other.age_s)
        return other if gain_s >= _margin_s(other, best_effort=best_effort) else home
    return home


def _margin_s(other: HallOffer, *, best_effort: bool) -> float:
    """Return the gain from which a job goes to another hall."""
    if best_effort:
        return MIN_BEST_EFFORT_GAIN_S
    return HOP_S if other.fits else MIN_GAIN_S


def _first(offers: Iterable[HallOffer], count: int) -> list[HallOffer]:
    """Return the first offers of halls with recent summaries, those that fit first."""
    fitting: list[HallOffer] = []
    waiting: list[HallOffer] = []
    for offer in offers:
        if trust(offer.age_s) > 0.0:
            (fitting if offer.fits else waiting).append(offer)
        if len(fitting) == count:
            break
    return (fitting + waiting)[:count]
