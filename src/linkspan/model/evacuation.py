"""Evacuation of a hall, as the operator asks for it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A request that nothing more is started on the executors of a hall.

    It holds until the operator withdraws it. What runs there is still polled, paced and stopped.

    Attributes:
        hall: The hall.
        offset: Offset of the operator's record that began it.
        read_at: Steady time at which this host read that record.
        unread_s: Time for which the record lay in the store before that, at most, in seconds;
            infinite if unknown.
    """

    hall: str
    offset: int
    read_at: float
    unread_s: float = float("inf")

    def log_fields(self, now: float) -> dict[str, float]:
        """Return the offset of the operator's record and its greatest possible age, if known."""
        if self.unread_s == float("inf"):
            return {"offset": self.offset}
        return {"offset": self.offset, "age_s": round(now - self.read_at + self.unread_s, 2)}
