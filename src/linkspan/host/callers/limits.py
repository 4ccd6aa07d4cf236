"""What all callers of one process together may make it hold.

What one request may hold is in the operator's configuration (``RequestLimits``).
"""

from __future__ import annotations

from dataclasses import dataclass

MB = 1 << 20

PROCESS_BYTES = 48 * MB
"""Memory of a process before its first caller."""

CALLER_SHARE = 0.5
"""Share of the remaining memory that callers may take. The records of jobs, the work on them and
gaps in the memory take the rest."""

BODY_SHARE = 0.5
"""Share of the callers' memory for bodies; connections take the rest."""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Size of the kernel's receive buffer of a connection; the kernel may hold twice as much."""

READ_BYTES = 16 * 1024
"""Limits the bytes that are read from one connection before the next one's turn."""

CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES + 16 * 1024 + 8 * 1024
"""Memory of a connection at most: what the kernel has received, what was read and is not a body
yet (a head of the usual limit), and its objects."""

RESERVED_FDS = 200
"""File descriptors that the platform reserves for files."""

CALLER_FD_SHARE = 0.5
"""Share of the other file descriptors for callers; calls to the store and executors take the
rest."""

MIN_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class CallerCapacity:
    """Limits on what all callers of a process make it hold.

    Attributes:
        max_connections: Maximum number of open connections.
        max_body_bytes: Maximum size of all bodies of requests that are not answered yet.
    """

    max_connections: int
    max_body_bytes: int

    @classmethod
    def of_machine(cls, memory_mb: int, max_fds: int) -> CallerCapacity:
        """Return the limits for a process on a machine.

        Args:
            memory_mb: Memory of the machine in megabytes.
            max_fds: File descriptors that the process may have open.

        Example:
            >>> CallerCapacity.of_machine(200, 4100).max_connections
            694
        """
        memory = memory_mb * MB
        # A machine that the process hardly fits in still serves a few callers.
        caller_bytes = CALLER_SHARE * max(memory - PROCESS_BYTES, memory / 8)
        by_memory = int((1 - BODY_SHARE) * caller_bytes / CONNECTION_BYTES)
        by_fds = int(CALLER_FD_SHARE * (max_fds - RESERVED_FDS))
        return cls(
            max_connections=max(MIN_CONNECTIONS, min(by_memory, by_fds)),
            max_body_bytes=int(BODY_SHARE * caller_bytes),
        )


DEFAULT_CAPACITY = CallerCapacity(max_connections=512, max_body_bytes=32 * MB)
"""Limits of a listener for whose machine no limits are known."""

CONTROL_CAPACITY = CallerCapacity(max_connections=64, max_body_bytes=MB)
"""Limits of a listener that only the platform and operators call."""
