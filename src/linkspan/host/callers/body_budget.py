"""Memory for the bodies of all requests that are not answered yet."""

from __future__ import annotations

SMALL_BODY_BYTES = 16 * 1024
"""Size up to which a body is small: four times the largest text of a job."""

LARGE_SHARE = 0.75
"""Share of the memory that large bodies may take, so that small ones never wait for them."""


class BodyBudget:
    """Memory for the bodies of all requests that are not answered yet.

    Args:
        max_bytes: Memory for all bodies.

    Example:
        >>> budget = BodyBudget(100_000)
        >>> budget.reserve(70_000), budget.reserve(20_000), budget.reserve(20_000, more_than=1)
        (True, False, False)
        >>> budget.reserve(10_000)
        True
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def __repr__(self) -> str:
        return f"BodyBudget({self._held_bytes} of {self._max_bytes} bytes)"

    def reserve(self, size: int, more_than: int = 0) -> bool:
        """Reserve memory for a body; return whether there was enough.

        Args:
            size: Size to reserve, in bytes.
            more_than: Bytes that are reserved for the same body already.
        """
        is_large = size + more_than > SMALL_BODY_BYTES
        limit = self._max_bytes * (LARGE_SHARE if is_large else 1.0)
        # A body that is alone is admitted whatever its size: its own limit holds.
        if self._held_bytes + size > limit and self._held_bytes > more_than:
            return False
        self._held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved memory."""
        self._held_bytes -= size
